package checker

import (
	"sort"
	"time"
)

// holding is the time during which a client may assume that it holds a lock: from the response
// that granted it until the TTL of a request expires, counted from when that request was sent. The
// latest expiry counts. A release ends the holding when it is sent, whatever its outcome; a client
// that then acquires the lock again begins another holding, with the same token if the release was
// not executed.
type holding struct {
	holder     string
	token      uint64
	sentAt     time.Duration // when the request that granted it was sent
	begin, end time.Duration
	isReleased bool
}

// isSameGrant reports whether two holdings are of one grant of the lock.
func (h *holding) isSameGrant(other *holding) bool {
	return h.token == other.token && h.holder == other.holder
}

// lockExclusion reports locks that two clients held at the same time, and fencing tokens that do
// not increase.
func lockExclusion(records []Record, report reporter) {
	for name, holdings := range holdingsByLock(records) {
		sort.SliceStable(holdings, func(i, j int) bool { return holdings[i].begin < holdings[j].begin })
		reportOverlaps(name, holdings, report)
		reportTokens(name, holdings, report)
	}
}

// reportOverlaps reports holdings, sorted by begin, that begin before the end of another's. A holding
// whose response arrived after its end was never held.
func reportOverlaps(name string, holdings []*holding, report reporter) {
	longest := &holding{}
	for _, current := range holdings {
		isHeld := current.begin < current.end
		if isHeld && current.begin < longest.end && !current.isSameGrant(longest) {
			report(current.begin, "lock %s: held by %s until %s, and granted to %s at %s", name, longest.holder, longest.end, current.holder, current.begin)
		}
		if isHeld && current.end > longest.end {
			longest = current
		}
	}
}

// reportTokens reports tokens of two holders, and tokens that are not above that of every grant
// whose response arrived before the request was sent. A request that was sent earlier may have been
// granted earlier too, although its response arrives later.
func reportTokens(name string, holdings []*holding, report reporter) {
	holders := map[uint64]string{}
	for i, current := range holdings {
		if holder, ok := holders[current.token]; ok && holder != current.holder {
			report(current.begin, "lock %s: fencing token %d of %s and of %s", name, current.token, holder, current.holder)
		}
		holders[current.token] = current.holder
		for _, earlier := range holdings[:i] {
			if earlier.begin <= current.sentAt && earlier.token >= current.token && !earlier.isSameGrant(current) {
				report(current.begin, "lock %s: fencing token %d, requested at %s, after %d", name, current.token, current.sentAt, earlier.token)
				break
			}
		}
	}
}

func holdingsByLock(records []Record) map[string][]*holding {
	locks := map[string][]*holding{}
	for _, r := range ofKind(records, CoordinationCall) {
		latest := latestHolding(locks[r.Name], r)
		switch {
		case r.Op == "release":
			if latest != nil {
				latest.end, latest.isReleased = min(latest.end, r.Start), true
			}
		case r.Outcome != OutcomeDone:
		case r.Op == "acquire" && (latest == nil || latest.isReleased), r.Op == "renew" && latest == nil:
			locks[r.Name] = append(locks[r.Name], &holding{holder: r.Holder, token: r.FencingToken, sentAt: r.Start, begin: r.At, end: r.Start + r.TTL})
		case (r.Op == "acquire" || r.Op == "renew") && !latest.isReleased:
			latest.end = max(latest.end, r.Start+r.TTL)
		}
	}
	return locks
}

// latestHolding returns the latest holding of a call's holder under its token, or nil if there is
// none.
func latestHolding(holdings []*holding, r Record) (latest *holding) {
	for _, h := range holdings {
		if h.token == r.FencingToken && h.holder == r.Holder {
			latest = h
		}
	}
	return latest
}
