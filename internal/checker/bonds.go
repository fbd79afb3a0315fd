// Checkers of coordination: locks and elections, counters, keys and watches.
package checker

import (
	"sort"
	"strings"
	"time"
)

// lockExclusion: two holders at once, or a fencing stamp that does not grow.
func lockExclusion(all []Record, fail func(time.Duration, string, ...any)) {
	type span struct {
		holder      string
		fence       uint64
		begin, over time.Duration
	}
	spans := map[string][]*span{}
	for _, r := range ofKind(all, CoordinationCall) {
		if r.Outcome != "done" {
			if r.Op == "release" {
				for _, s := range spans[r.Name] {
					if s.fence == r.FencingToken && r.Start < s.over {
						s.over = r.Start
					}
				}
			}
			continue
		}
		list := spans[r.Name]
		var mine *span
		for _, s := range list {
			if s.fence == r.FencingToken && s.holder == r.Holder {
				mine = s
			}
		}
		switch r.Op {
		case "acquire", "renew":
			if mine == nil {
				mine = &span{holder: r.Holder, fence: r.FencingToken, begin: r.At}
				spans[r.Name] = append(list, mine)
			}
			mine.over = max(mine.over, r.Start+r.TTL)
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

// isRepeat tells whether a done call is the repeat of one that was done, under its id.
func isRepeat(r Record, seen map[string]bool) bool {
	if r.RequestID == "" {
		return false
	}
	was := seen[r.RequestID]
	seen[r.RequestID] = true
	return was
}

// counterMonotonicity: a count is given twice, or goes backward.
func counterMonotonicity(all []Record, fail func(time.Duration, string, ...any)) {
	names, first := map[string][]Record{}, map[string]bool{}
	asked := map[string]time.Duration{} // a repeat gets the receipt of the first try that was done
	for _, r := range ofKind(all, CoordinationCall) {
		if at, ok := asked[r.RequestID]; r.RequestID != "" && (!ok || r.Start < at) {
			asked[r.RequestID] = r.Start
		}
	}
	for _, r := range ofKind(all, CoordinationCall) {
		if at, ok := asked[r.RequestID]; ok {
			r.Start = at
		}
		if r.Op == "add" && r.Outcome == "done" && !isRepeat(r, first) {
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

// exactlyOnceCalls: calls under one id are done once. Their receipts are the same, and a
// counter at the end is what the ids that were done make, and at most those that
// were left unknown beside.
func exactlyOnceCalls(all []Record, fail func(time.Duration, string, ...any)) {
	receipts := map[string]Record{}
	least, most := map[string]map[string]bool{}, map[string]map[string]bool{}
	note := func(sets map[string]map[string]bool, r Record) {
		if sets[r.Name] == nil {
			sets[r.Name] = map[string]bool{}
		}
		sets[r.Name][r.RequestID] = true
	}
	for _, r := range ofKind(all, CoordinationCall) {
		if r.RequestID == "" || r.Outcome == "refused" {
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
		if first, ok := receipts[r.RequestID]; ok && (first.Revision != r.Revision || first.Count != r.Count) {
			fail(r.At, "%s of %s under id %s has the receipts %d at %d and %d at %d", r.Op, r.Name, r.RequestID, first.Count, first.Revision, r.Count, r.Revision)
		}
		receipts[r.RequestID] = r
	}
	for _, r := range ofKind(all, CoordinationCall) {
		if r.Op == "total" && r.Outcome == "done" && (r.Count < int64(len(least[r.Name])) || r.Count > int64(len(most[r.Name]))) {
			fail(r.At, "counter %s is %d at the end; %d ids were done, %d may have been", r.Name, r.Count, len(least[r.Name]), len(most[r.Name]))
		}
	}
}

// acknowledgedWrites is the acknowledged writes of keys, each id once, and whether a key was
// dropped, or may have been, after a stamp and before a time.
func acknowledgedWrites(all []Record) (writes map[string][]Record, mayBeGone func(name string, after uint64, by time.Duration) bool) {
	writes, seen := map[string][]Record{}, map[string]bool{}
	drops := map[string][]Record{}
	for _, r := range ofKind(all, CoordinationCall) {
		if r.Op != "put" && r.Op != "drop" {
			continue
		}
		if r.Op == "drop" && r.Outcome != "refused" {
			drops[r.Name] = append(drops[r.Name], r)
		}
		if r.Outcome == "done" && !isRepeat(r, seen) {
			writes[r.Name] = append(writes[r.Name], r)
		}
	}
	return writes, func(name string, after uint64, by time.Duration) bool {
		for _, d := range drops[name] {
			if d.Start < by && (d.Outcome != "done" || d.Revision > after) {
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
	writes, mayBeGone := acknowledgedWrites(all)
	grants := map[string][]Record{}
	for _, r := range ofKind(all, CoordinationCall) {
		if r.Outcome != "done" {
			continue
		}
		switch r.Op {
		case "get":
			for _, w := range writes[r.Name] {
				isOlder := w.At < r.Start && w.Revision > r.Revision
				if isOlder && (r.Revision > 0 || w.Op == "put" && !mayBeGone(r.Name, w.Revision, r.At)) {
					fail(r.At, "key %s was read at stamp %d, stamp %d was acknowledged at %s", r.Name, r.Revision, w.Revision, w.At)
					break
				}
				if r.Digest != "" && w.Revision == r.Revision && w.Digest != r.Digest {
					fail(r.At, "key %s was read as %s at stamp %d, and %s was written", r.Name, r.Digest, r.Revision, w.Digest)
				}
			}
		case "list":
			there := map[string]uint64{}
			for i, name := range r.Names {
				there[name] = r.Revisions[i]
			}
			for name, list := range writes {
				for _, w := range list {
					if !strings.HasPrefix(name, r.Name) || w.At >= r.Start {
						continue
					}
					stamp, isThere := there[name]
					if w.Revision > r.Revision || isThere && stamp < w.Revision || !isThere && w.Op == "put" && !mayBeGone(name, w.Revision, r.At) {
						fail(r.At, "the list of %s as of %d has %s at %d; stamp %d was acknowledged at %s", r.Name, r.Revision, name, stamp, w.Revision, w.At)
					}
				}
			}
		case "acquire":
			grants[r.Name] = append(grants[r.Name], r)
		}
	}
	for _, r := range ofKind(all, CoordinationCall) {
		if r.Op != "leader" || r.Outcome != "done" || r.FencingToken == 0 {
			continue
		}
		for _, g := range grants[r.Name] {
			if g.At < r.Start && g.FencingToken > r.FencingToken {
				fail(r.At, "%s leads %s under fence %d, and fence %d was granted at %s", r.Holder, r.Name, r.FencingToken, g.FencingToken, g.At)
				break
			}
		}
	}
	for name, list := range writes {
		for _, w := range list {
			if !w.IsConditional || w.Op != "put" {
				continue
			}
			for _, other := range list {
				isGone := w.From == 0 && (other.Op == "drop" || mayBeGone(name, other.Revision, w.At))
				if other.Revision > w.From && other.Revision < w.Revision && !isGone {
					fail(w.At, "key %s was set at stamp %d on condition of stamp %d, and stamp %d lies between", name, w.Revision, w.From, other.Revision)
					break
				}
			}
		}
	}
}

// watchCompleteness: a watch passes over an event younger than twenty seconds.
func watchCompleteness(all []Record, fail func(time.Duration, string, ...any)) {
	writes, _ := acknowledgedWrites(all)
	for _, r := range ofKind(all, WatchResponse) {
		got := map[uint64]bool{}
		for i, stamp := range r.Revisions {
			got[stamp] = true
			if i > 0 && stamp <= r.Revisions[i-1] {
				fail(r.At, "watch of %s from %d tells %d after %d", r.Name, r.From, stamp, r.Revisions[i-1])
			}
		}
		for name, list := range writes {
			if !strings.HasPrefix(name, r.Name) {
				continue
			}
			for _, w := range list {
				if w.Revision > r.From && w.Revision <= r.Revision && !got[w.Revision] {
					fail(r.At, "watch of %s from %d to %d lacks %d, %s of %s", r.Name, r.From, r.Revision, w.Revision, w.Op, name)
				}
				if r.Outcome == "too old" && w.Revision > r.From && r.Start-w.At < 20*time.Second {
					fail(r.At, "watch of %s from %d was told too old; stamp %d is young", r.Name, r.From, w.Revision)
					break
				}
			}
		}
	}
}
