package checker

import (
	"sort"
	"time"
)

// holding is the time in which a client may believe that it holds a lock: from the response
// that granted it until the time of its last request is over, counted from when it was sent.
type holding struct {
	holder     string
	token      uint64
	begin, end time.Duration
}

// lockExclusion: two clients hold a lock at once, or a fencing token does not grow.
func lockExclusion(records []Record, report reporter) {
	for name, holdings := range holdingsByLock(records) {
		sort.Slice(holdings, func(i, j int) bool { return holdings[i].begin < holdings[j].begin })
		for i := 1; i < len(holdings); i++ {
			a, b := holdings[i-1], holdings[i]
			if b.begin < a.end {
				report(b.begin, "lock %s: %s holds it until %s, %s has it at %s", name, a.holder, a.end, b.holder, b.begin)
			}
			if b.token <= a.token {
				report(b.begin, "lock %s: fencing token %d after %d", name, b.token, a.token)
			}
		}
	}
}

func holdingsByLock(records []Record) map[string][]*holding {
	locks := map[string][]*holding{}
	for _, r := range ofKind(records, CoordinationCall) {
		switch {
		case r.Op == "release" && r.Outcome != OutcomeDone:
			// It may have been carried out, and its client believes nothing any more.
			for _, h := range locks[r.Name] {
				if h.token == r.FencingToken {
					h.end = min(h.end, r.Start)
				}
			}
		case r.Outcome != OutcomeDone:
		case r.Op == "acquire" || r.Op == "renew":
			h := holdingOf(locks[r.Name], r)
			if h == nil {
				h = &holding{holder: r.Holder, token: r.FencingToken, begin: r.At}
				locks[r.Name] = append(locks[r.Name], h)
			}
			h.end = max(h.end, r.Start+r.TTL)
		case r.Op == "release":
			if h := holdingOf(locks[r.Name], r); h != nil {
				h.end = min(h.end, r.Start)
			}
		}
	}
	return locks
}

func holdingOf(holdings []*holding, r Record) (found *holding) {
	for _, h := range holdings {
		if h.token == r.FencingToken && h.holder == r.Holder {
			found = h
		}
	}
	return found
}
