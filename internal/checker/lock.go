package checker

import (
	"sort"
	"time"
)

// holding is the time during which a client may assume that it holds a lock: from the response
// that granted it until the TTL of a request expires, counted from when that request was sent. The
// latest expiry counts, and a release ends the holding.
type holding struct {
	holder     string
	token      uint64
	begin, end time.Duration
}

// lockExclusion reports locks that two clients held at the same time, and fencing tokens that do
// not increase.
func lockExclusion(records []Record, report reporter) {
	for name, holdings := range holdingsByLock(records) {
		sort.Slice(holdings, func(i, j int) bool { return holdings[i].begin < holdings[j].begin })
		for i := 1; i < len(holdings); i++ {
			previous, current := holdings[i-1], holdings[i]
			if current.begin < previous.end {
				report(current.begin, "lock %s: held by %s until %s, and granted to %s at %s", name, previous.holder, previous.end, current.holder, current.begin)
			}
			if current.token <= previous.token {
				report(current.begin, "lock %s: fencing token %d after %d", name, current.token, previous.token)
			}
		}
	}
}

func holdingsByLock(records []Record) map[string][]*holding {
	locks := map[string][]*holding{}
	for _, r := range ofKind(records, CoordinationCall) {
		switch {
		case r.Op == "release" && r.Outcome != OutcomeDone:
			// The release may have been executed, and its client no longer assumes that it holds
			// the lock.
			for _, h := range locks[r.Name] {
				if h.token == r.FencingToken {
					h.end = min(h.end, r.Start)
				}
			}
		case r.Outcome != OutcomeDone:
		case r.Op == "acquire" || r.Op == "renew":
			h := findHolding(locks[r.Name], r)
			if h == nil {
				h = &holding{holder: r.Holder, token: r.FencingToken, begin: r.At}
				locks[r.Name] = append(locks[r.Name], h)
			}
			h.end = max(h.end, r.Start+r.TTL)
		case r.Op == "release":
			if h := findHolding(locks[r.Name], r); h != nil {
				h.end = min(h.end, r.Start)
			}
		}
	}
	return locks
}

func findHolding(holdings []*holding, r Record) (match *holding) {
	for _, h := range holdings {
		if h.token == r.FencingToken && h.holder == r.Holder {
			match = h
		}
	}
	return match
}
