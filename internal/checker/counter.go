package checker

import (
	"sort"
	"time"
)

// isRepeat tells whether a call that was done repeats one that was done before under its
// ID, and notes the ID as seen.
func isRepeat(r Record, seen map[string]bool) bool {
	if r.RequestID == "" {
		return false
	}
	repeats := seen[r.RequestID]
	seen[r.RequestID] = true
	return repeats
}

// counterMonotonicity: a count is given twice, or goes backward. A repeated call gets the
// response of the first attempt that was carried out, so it counts from the first attempt on.
func counterMonotonicity(records []Record, report reporter) {
	calls := ofKind(records, CoordinationCall)
	firstSent := map[string]time.Duration{}
	for _, r := range calls {
		if at, ok := firstSent[r.RequestID]; r.RequestID != "" && (!ok || r.Start < at) {
			firstSent[r.RequestID] = r.Start
		}
	}
	adds, seen := map[string][]Record{}, map[string]bool{}
	for _, r := range calls {
		if at, ok := firstSent[r.RequestID]; ok {
			r.Start = at
		}
		if r.Op == "add" && r.Outcome == OutcomeDone && !isRepeat(r, seen) {
			adds[r.Name] = append(adds[r.Name], r)
		}
	}
	for name, list := range adds {
		given := map[int64]bool{}
		sort.Slice(list, func(i, j int) bool { return list[i].Start < list[j].Start })
		for i, r := range list {
			if given[r.Count] {
				report(r.At, "counter %s gave %d twice", name, r.Count)
			}
			given[r.Count] = true
			for _, earlier := range list[:i] {
				if earlier.At < r.Start && earlier.Count >= r.Count {
					report(r.At, "counter %s gave %d after %d", name, r.Count, earlier.Count)
					break
				}
			}
		}
	}
}

// exactlyOnceCalls: calls under one ID are carried out more than once. Their responses are
// the same, and a counter that each ID adds one to is at the end what the IDs that were done
// make, and at most those beside whose outcome is unknown.
func exactlyOnceCalls(records []Record, report reporter) {
	calls := ofKind(records, CoordinationCall)
	responses := map[string]Record{}
	done, attempted := idSets{}, idSets{} // of adds, by counter
	for _, r := range calls {
		if r.RequestID == "" || r.Outcome == OutcomeRefused {
			continue
		}
		if r.Op == "add" {
			attempted.add(r)
		}
		if r.Outcome != OutcomeDone {
			continue
		}
		if r.Op == "add" {
			done.add(r)
		}
		if first, ok := responses[r.RequestID]; ok && (first.Revision != r.Revision || first.Count != r.Count) {
			report(r.At, "%s of %s under ID %s has the responses %d at %d and %d at %d", r.Op, r.Name, r.RequestID, first.Count, first.Revision, r.Count, r.Revision)
		}
		responses[r.RequestID] = r
	}
	for _, r := range calls {
		least, most := len(done[r.Name]), len(attempted[r.Name])
		if r.Op == "total" && r.Outcome == OutcomeDone && (r.Count < int64(least) || r.Count > int64(most)) {
			report(r.At, "counter %s is %d at the end; %d IDs were done, %d may have been", r.Name, r.Count, least, most)
		}
	}
}

// idSets is the request IDs of calls, by the name that they were on.
type idSets map[string]map[string]bool

func (s idSets) add(r Record) {
	if s[r.Name] == nil {
		s[r.Name] = map[string]bool{}
	}
	s[r.Name][r.RequestID] = true
}
