package checker

import (
	"sort"
	"time"
)

// contactTimeline returns which proxies the bounds on time bind at a time: where a history
// tells of proxies in contact with the fleet and out of it, only those in contact; otherwise
// all of them, always.
func contactTimeline(records []Record) (isBound func(proxy string, at time.Duration) bool) {
	type change struct {
		at        time.Duration
		inContact bool
	}
	changes := map[string][]change{}
	for _, r := range ofKind(records, ProxyContact) {
		changes[r.Proxy] = append(changes[r.Proxy], change{r.At, r.Outcome == OutcomeInContact})
	}
	return func(proxy string, at time.Duration) bool {
		if len(changes) == 0 {
			return true
		}
		list := changes[proxy]
		next := sort.Search(len(list), func(i int) bool { return list[i].at > at })
		return next > 0 && list[next-1].inContact
	}
}
