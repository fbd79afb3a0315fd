package checker

import (
	"sort"
	"time"
)

// isRepeat reports whether a successful call has the request ID of an earlier one, and adds its
// ID to seenIDs.
func isRepeat(r Record, seenIDs map[string]bool) bool {
	if r.RequestID == "" {
		return false
	}
	isSeen := seenIDs[r.RequestID]
	seenIDs[r.RequestID] = true
	return isSeen
}

// counterMonotonicity reports counter values that were returned twice or that decrease. A repeated
// call gets the response of the first attempt that was executed, so its interval begins with the
// first attempt.
func counterMonotonicity(records []Record, report reporter) {
	calls := ofKind(records, CoordinationCall)
	firstSent := map[string]time.Duration{}
	for _, r := range calls {
		if at, ok := firstSent[r.RequestID]; r.RequestID != "" && (!ok || r.Start < at) {
			firstSent[r.RequestID] = r.Start
		}
	}
	addsByCounter, seenIDs := map[string][]Record{}, map[string]bool{}
	for _, r := range calls {
		if at, ok := firstSent[r.RequestID]; ok {
			r.Start = at
		}
		if r.Op == "add" && r.Outcome == OutcomeDone && !isRepeat(r, seenIDs) {
			addsByCounter[r.Name] = append(addsByCounter[r.Name], r)
		}
	}
	for name, adds := range addsByCounter {
		returned := map[int64]bool{}
		sort.Slice(adds, func(i, j int) bool { return adds[i].Start < adds[j].Start })
		for i, r := range adds {
			if returned[r.Count] {
				report(r.At, "counter %s returned %d twice", name, r.Count)
			}
			returned[r.Count] = true
			for _, earlier := range adds[:i] {
				if earlier.At < r.Start && earlier.Count >= r.Count {
					report(r.At, "counter %s returned %d after %d", name, r.Count, earlier.Count)
					break
				}
			}
		}
	}
}

// exactlyOnceCalls reports calls that were executed more than once under one request ID. All
// responses to an ID must be the same. The final value of a counter to which each ID adds one must
// be at least the number of IDs that succeeded, and at most that plus those of unknown outcome.
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
			report(r.At, "%s of %s with ID %s has two responses: %d at %d and %d at %d", r.Op, r.Name, r.RequestID, first.Count, first.Revision, r.Count, r.Revision)
		}
		responses[r.RequestID] = r
	}
	for _, r := range calls {
		minimum, maximum := len(done[r.Name]), len(attempted[r.Name])
		if r.Op == "total" && r.Outcome == OutcomeDone && (r.Count < int64(minimum) || r.Count > int64(maximum)) {
			report(r.At, "counter %s is %d at the end; %d IDs succeeded, and at most %d were executed", r.Name, r.Count, minimum, maximum)
		}
	}
}

// idSets holds the request IDs of calls by the name of their counter.
type idSets map[string]map[string]bool

func (s idSets) add(r Record) {
	if s[r.Name] == nil {
		s[r.Name] = map[string]bool{}
	}
	s[r.Name][r.RequestID] = true
}
