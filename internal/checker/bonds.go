// Checkers of coordination: locks and elections, counters, keys and watches.
package checker

import (
	"sort"
	"strings"
	"time"
)

// locks: two holders at once, or a fencing stamp that does not grow.
func locks(all []Record, fail func(time.Duration, string, ...any)) {
	type span struct {
		holder      string
		fence       uint64
		begin, over time.Duration
	}
	spans := map[string][]*span{}
	for _, r := range of(all, Bonded) {
		if r.Outcome != "done" {
			if r.Op == "release" {
				for _, s := range spans[r.Name] {
					if s.fence == r.Fence && r.Start < s.over {
						s.over = r.Start
					}
				}
			}
			continue
		}
		list := spans[r.Name]
		var mine *span
		for _, s := range list {
			if s.fence == r.Fence && s.holder == r.Holder {
				mine = s
			}
		}
		switch r.Op {
		case "acquire", "renew":
			if mine == nil {
				mine = &span{holder: r.Holder, fence: r.Fence, begin: r.At}
				spans[r.Name] = append(list, mine)
			}
			mine.over = max(mine.over, r.Start+r.Ttl)
		case "release":
			if mine != nil && r.Start < mine.over {
				mine.over = r.Start
			}
		}
	}
	for name, list := range spans {
		sort.Slice(list, func(i, j int) bool { return list[i].begin < list[j].begin })
		for i := 1; i < len(list); i++ {
			a, b := list[i-1], list[i]
			if b.begin < a.over {
				fail(b.begin, "lock %s: %s holds it until %s, %s has it at %s", name, a.holder, a.over, b.holder, b.begin)
			}
			if b.fence <= a.fence {
				fail(b.begin, "lock %s: fence %d after %d", name, b.fence, a.fence)
			}
		}
	}
}

// isAgain tells whether a done call is the repeat of one that was done, under its id.
func isAgain(r Record, seen map[string]bool) bool {
	if r.Request == "" {
		return false
	}
	was := seen[r.Request]
	seen[r.Request] = true
	return was
}

// counters: a count is given twice, or goes backward.
func counters(all []Record, fail func(time.Duration, string, ...any)) {
	names, first := map[string][]Record{}, map[string]bool{}
	asked := map[string]time.Duration{} // a repeat gets the receipt of the first try that was done
	for _, r := range of(all, Bonded) {
		if at, ok := asked[r.Request]; r.Request != "" && (!ok || r.Start < at) {
			asked[r.Request] = r.Start
		}
	}
	for _, r := range of(all, Bonded) {
		if at, ok := asked[r.Request]; ok {
			r.Start = at
		}
		if r.Op == "add" && r.Outcome == "done" && !isAgain(r, first) {
			names[r.Name] = append(names[r.Name], r)
		}
	}
	for name, list := range names {
		given := map[int64]bool{}
		sort.Slice(list, func(i, j int) bool { return list[i].Start < list[j].Start })
		for i, r := range list {
			if given[r.Count] {
				fail(r.At, "counter %s gave %d twice", name, r.Count)
			}
			given[r.Count] = true
			for _, earlier := range list[:i] {
				if earlier.At < r.Start && earlier.Count >= r.Count {
					fail(r.At, "counter %s gave %d after %d", name, r.Count, earlier.Count)
					break
				}
			}
		}
	}
}

// counted: calls under one id are done once. Their receipts are the same, and a
// counter at the end is what the ids that were done make, and at most those that
// were left unknown beside.
func counted(all []Record, fail func(time.Duration, string, ...any)) {
	receipts := map[string]Record{}
	least, most := map[string]map[string]bool{}, map[string]map[string]bool{}
	note := func(sets map[string]map[string]bool, r Record) {
		if sets[r.Name] == nil {
			sets[r.Name] = map[string]bool{}
		}
		sets[r.Name][r.Request] = true
	}
	for _, r := range of(all, Bonded) {
		if r.Request == "" || r.Outcome == "refused" {
			continue
		}
		if r.Op == "add" {
			note(most, r)
		}
		if r.Outcome != "done" {
			continue
		}
		if r.Op == "add" {
			note(least, r)
		}
		if first, ok := receipts[r.Request]; ok && (first.Stamp != r.Stamp || first.Count != r.Count) {
			fail(r.At, "%s of %s under id %s has the receipts %d at %d and %d at %d", r.Op, r.Name, r.Request, first.Count, first.Stamp, r.Count, r.Stamp)
		}
		receipts[r.Request] = r
	}
	for _, r := range of(all, Bonded) {
		if r.Op == "total" && r.Outcome == "done" && (r.Count < int64(len(least[r.Name])) || r.Count > int64(len(most[r.Name]))) {
			fail(r.At, "counter %s is %d at the end; %d ids were done, %d may have been", r.Name, r.Count, len(least[r.Name]), len(most[r.Name]))
		}
	}
}

// written is the acknowledged writes of keys, each id once, and whether a key was
// dropped, or may have been, after a stamp and before a time.
func written(all []Record) (writes map[string][]Record, mayBeGone func(name string, after uint64, by time.Duration) bool) {
	writes, seen := map[string][]Record{}, map[string]bool{}
	drops := map[string][]Record{}
	for _, r := range of(all, Bonded) {
		if r.Op != "put" && r.Op != "drop" {
			continue
		}
		if r.Op == "drop" && r.Outcome != "refused" {
			drops[r.Name] = append(drops[r.Name], r)
		}
		if r.Outcome == "done" && !isAgain(r, seen) {
			writes[r.Name] = append(writes[r.Name], r)
		}
	}
	return writes, func(name string, after uint64, by time.Duration) bool {
		for _, d := range drops[name] {
			if d.Start < by && (d.Outcome != "done" || d.Stamp > after) {
				return true
			}
		}
		return false
	}
}

// staleRead: a read, a list or the word on who leads is older than a write that
// was acknowledged before it began, or tells what was never written; or a key was
// set on a condition that did not hold.
func staleRead(all []Record, fail func(time.Duration, string, ...any)) {
	writes, mayBeGone := written(all)
	grants := map[string][]Record{}
	for _, r := range of(all, Bonded) {
		if r.Outcome != "done" {
			continue
		}
		switch r.Op {
		case "get":
			for _, w := range writes[r.Name] {
				isOlder := w.At < r.Start && w.Stamp > r.Stamp
				if isOlder && (r.Stamp > 0 || w.Op == "put" && !mayBeGone(r.Name, w.Stamp, r.At)) {
					fail(r.At, "key %s was read at stamp %d, stamp %d was acknowledged at %s", r.Name, r.Stamp, w.Stamp, w.At)
					break
				}
				if r.Digest != "" && w.Stamp == r.Stamp && w.Digest != r.Digest {
					fail(r.At, "key %s was read as %s at stamp %d, and %s was written", r.Name, r.Digest, r.Stamp, w.Digest)
				}
			}
		case "list":
			there := map[string]uint64{}
			for i, name := range r.Names {
				there[name] = r.Stamps[i]
			}
			for name, list := range writes {
				for _, w := range list {
					if !strings.HasPrefix(name, r.Name) || w.At >= r.Start {
						continue
					}
					stamp, isThere := there[name]
					if w.Stamp > r.Stamp || isThere && stamp < w.Stamp || !isThere && w.Op == "put" && !mayBeGone(name, w.Stamp, r.At) {
						fail(r.At, "the list of %s as of %d has %s at %d; stamp %d was acknowledged at %s", r.Name, r.Stamp, name, stamp, w.Stamp, w.At)
					}
				}
			}
		case "acquire":
			grants[r.Name] = append(grants[r.Name], r)
		}
	}
	for _, r := range of(all, Bonded) {
		if r.Op != "leader" || r.Outcome != "done" || r.Fence == 0 {
			continue
		}
		for _, g := range grants[r.Name] {
			if g.At < r.Start && g.Fence > r.Fence {
				fail(r.At, "%s leads %s under fence %d, and fence %d was granted at %s", r.Holder, r.Name, r.Fence, g.Fence, g.At)
				break
			}
		}
	}
	for name, list := range writes {
		for _, w := range list {
			if !w.IsIf || w.Op != "put" {
				continue
			}
			for _, other := range list {
				isGone := w.From == 0 && (other.Op == "drop" || mayBeGone(name, other.Stamp, w.At))
				if other.Stamp > w.From && other.Stamp < w.Stamp && !isGone {
					fail(w.At, "key %s was set at stamp %d on condition of stamp %d, and stamp %d lies between", name, w.Stamp, w.From, other.Stamp)
					break
				}
			}
		}
	}
}

// watchGap: a watch passes over an event younger than twenty seconds.
func watchGap(all []Record, fail func(time.Duration, string, ...any)) {
	writes, _ := written(all)
	for _, r := range of(all, Watched) {
		got := map[uint64]bool{}
		for i, stamp := range r.Stamps {
			got[stamp] = true
			if i > 0 && stamp <= r.Stamps[i-1] {
				fail(r.At, "watch of %s from %d tells %d after %d", r.Name, r.From, stamp, r.Stamps[i-1])
			}
		}
		for name, list := range writes {
			if !strings.HasPrefix(name, r.Name) {
				continue
			}
			for _, w := range list {
				if w.Stamp > r.From && w.Stamp <= r.Stamp && !got[w.Stamp] {
					fail(r.At, "watch of %s from %d to %d lacks %d, %s of %s", r.Name, r.From, r.Stamp, w.Stamp, w.Op, name)
				}
				if r.Outcome == "too old" && w.Stamp > r.From && r.Start-w.At < 20*time.Second {
					fail(r.At, "watch of %s from %d was told too old; stamp %d is young", r.Name, r.From, w.Stamp)
					break
				}
			}
		}
	}
}
