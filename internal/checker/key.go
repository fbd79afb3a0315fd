package checker

import (
	"strings"
	"time"
)

// keyWrites holds the puts and drops of a history, by key.
type keyWrites struct {
	acknowledged map[string][]Record // successful puts and drops, each request ID once
	drops        map[string][]Record // drops that were, or may have been, executed
}

func collectWrites(records []Record) *keyWrites {
	w := &keyWrites{acknowledged: map[string][]Record{}, drops: map[string][]Record{}}
	seenIDs := map[string]bool{}
	for _, r := range ofKind(records, CoordinationCall) {
		if r.Op != "put" && r.Op != "drop" {
			continue
		}
		if r.Op == "drop" && r.Outcome != OutcomeRefused {
			w.drops[r.Name] = append(w.drops[r.Name], r)
		}
		if r.Outcome == OutcomeDone && !isRepeat(r, seenIDs) {
			w.acknowledged[r.Name] = append(w.acknowledged[r.Name], r)
		}
	}
	return w
}

// mayHaveBeenDropped reports whether the key was, or may have been, dropped after afterIndex and
// before the given time.
func (w *keyWrites) mayHaveBeenDropped(name string, afterIndex uint64, before time.Duration) bool {
	for _, drop := range w.drops[name] {
		if drop.Start < before && (drop.Outcome != OutcomeDone || drop.Revision > afterIndex) {
			return true
		}
	}
	return false
}

// staleRead reports gets, lists and leader queries whose result is older than a write that was
// acknowledged before they were sent, gets that return a value that was not written, and
// conditional puts that succeeded although their condition did not hold.
func staleRead(records []Record, report reporter) {
	writes := collectWrites(records)
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
		if isOlder && (get.Revision > 0 || write.Op == "put" && !w.mayHaveBeenDropped(get.Name, write.Revision, get.At)) {
			report(get.At, "key %s was read at index %d, but index %d was acknowledged at %s", get.Name, get.Revision, write.Revision, write.At)
			return
		}
		if get.Digest != "" && write.Revision == get.Revision && write.Digest != get.Digest {
			report(get.At, "key %s was read as %s at index %d, but %s was written", get.Name, get.Digest, get.Revision, write.Digest)
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
			isMissing := !isListed && write.Op == "put" && !w.mayHaveBeenDropped(name, write.Revision, list.At)
			if write.Revision > list.Revision || isOlder || isMissing {
				report(list.At, "the list of %s as of index %d has %s at index %d, but index %d was acknowledged at %s", list.Name, list.Revision, name, index, write.Revision, write.At)
			}
		}
	}
}

func checkLeader(leader Record, grants []Record, report reporter) {
	for _, grant := range grants {
		if grant.At < leader.Start && grant.FencingToken > leader.FencingToken {
			report(leader.At, "%s was returned as leader of %s with fencing token %d, but token %d was granted at %s", leader.Holder, leader.Name, leader.FencingToken, grant.FencingToken, grant.At)
			return
		}
	}
}

// checkConditions reports each conditional put with another write between the index that it
// requires and its own.
func (w *keyWrites) checkConditions(report reporter) {
	for name, writes := range w.acknowledged {
		for _, put := range writes {
			if !put.IsConditional || put.Op != "put" {
				continue
			}
			for _, other := range writes {
				// A put on condition that the key is absent may follow a drop.
				wasDropped := put.From == 0 && (other.Op == "drop" || w.mayHaveBeenDropped(name, other.Revision, put.At))
				if other.Revision > put.From && other.Revision < put.Revision && !wasDropped {
					report(put.At, "key %s was set at index %d on condition of index %d, but was written at index %d in between", name, put.Revision, put.From, other.Revision)
					break
				}
			}
		}
	}
}
