package checker

import (
	"strings"
	"time"
)

// keyWrites is what a history tells of puts and drops.
type keyWrites struct {
	acknowledged map[string][]Record // by key; each request ID once
	drops        map[string][]Record // those that were done, or may have been
}

func writesOf(records []Record) *keyWrites {
	w := &keyWrites{acknowledged: map[string][]Record{}, drops: map[string][]Record{}}
	seen := map[string]bool{}
	for _, r := range ofKind(records, CoordinationCall) {
		if r.Op != "put" && r.Op != "drop" {
			continue
		}
		if r.Op == "drop" && r.Outcome != OutcomeRefused {
			w.drops[r.Name] = append(w.drops[r.Name], r)
		}
		if r.Outcome == OutcomeDone && !isRepeat(r, seen) {
			w.acknowledged[r.Name] = append(w.acknowledged[r.Name], r)
		}
	}
	return w
}

// mayBeDropped tells whether a key was dropped, or may have been, after an index and before
// a time.
func (w *keyWrites) mayBeDropped(name string, after uint64, by time.Duration) bool {
	for _, drop := range w.drops[name] {
		if drop.Start < by && (drop.Outcome != OutcomeDone || drop.Revision > after) {
			return true
		}
	}
	return false
}

// staleRead: a get, a list or the answer to who leads is older than a write that was
// acknowledged before it was sent, or tells what was never written; or a key was put on a
// condition that did not hold.
func staleRead(records []Record, report reporter) {
	writes := writesOf(records)
	grants := map[string][]Record{}
	for _, r := range ofKind(records, CoordinationCall) {
		if r.Outcome != OutcomeDone {
			continue
		}
		switch r.Op {
		case "get":
			writes.checkGet(r, report)
		case "list":
			writes.checkList(r, report)
		case "acquire":
			grants[r.Name] = append(grants[r.Name], r)
		}
	}
	for _, r := range ofKind(records, CoordinationCall) {
		if r.Op == "leader" && r.Outcome == OutcomeDone && r.FencingToken != 0 {
			checkLeader(r, grants[r.Name], report)
		}
	}
	writes.checkConditions(report)
}

func (w *keyWrites) checkGet(get Record, report reporter) {
	for _, write := range w.acknowledged[get.Name] {
		isOlder := write.At < get.Start && write.Revision > get.Revision
		if isOlder && (get.Revision > 0 || write.Op == "put" && !w.mayBeDropped(get.Name, write.Revision, get.At)) {
			report(get.At, "key %s was read at index %d, index %d was acknowledged at %s", get.Name, get.Revision, write.Revision, write.At)
			return
		}
		if get.Digest != "" && write.Revision == get.Revision && write.Digest != get.Digest {
			report(get.At, "key %s was read as %s at index %d, and %s was written", get.Name, get.Digest, get.Revision, write.Digest)
		}
	}
}

func (w *keyWrites) checkList(list Record, report reporter) {
	listed := map[string]uint64{}
	for i, name := range list.Names {
		listed[name] = list.Revisions[i]
	}
	for name, writes := range w.acknowledged {
		if !strings.HasPrefix(name, list.Name) {
			continue
		}
		for _, write := range writes {
			if write.At >= list.Start {
				continue
			}
			index, isListed := listed[name]
			isOlder := isListed && index < write.Revision
			isMissing := !isListed && write.Op == "put" && !w.mayBeDropped(name, write.Revision, list.At)
			if write.Revision > list.Revision || isOlder || isMissing {
				report(list.At, "the list of %s as of %d has %s at %d; index %d was acknowledged at %s", list.Name, list.Revision, name, index, write.Revision, write.At)
			}
		}
	}
}

func checkLeader(leader Record, grants []Record, report reporter) {
	for _, grant := range grants {
		if grant.At < leader.Start && grant.FencingToken > leader.FencingToken {
			report(leader.At, "%s leads %s under fencing token %d, and token %d was granted at %s", leader.Holder, leader.Name, leader.FencingToken, grant.FencingToken, grant.At)
			return
		}
	}
}

// checkConditions reports each conditional put that another write came before, after the
// index that it names.
func (w *keyWrites) checkConditions(report reporter) {
	for name, writes := range w.acknowledged {
		for _, put := range writes {
			if !put.IsConditional || put.Op != "put" {
				continue
			}
			for _, other := range writes {
				// A put on the condition that there is no key may follow a drop.
				isUndone := put.From == 0 && (other.Op == "drop" || w.mayBeDropped(name, other.Revision, put.At))
				if other.Revision > put.From && other.Revision < put.Revision && !isUndone {
					report(put.At, "key %s was set at index %d on condition of index %d, and index %d lies between", name, put.Revision, put.From, other.Revision)
					break
				}
			}
		}
	}
}
