package checker

import (
	"sort"
	"time"
)

// contactTimeline returns a function that reports whether the time bounds apply to a proxy at a
// given time. If the history has ProxyContact records, they apply only while the proxy is in
// contact with the fleet; otherwise always.
func contactTimeline(records []Record) (boundsApply func(proxy string, at time.Duration) bool) {
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
		proxyChanges := changes[proxy]
		next := sort.Search(len(proxyChanges), func(i int) bool { return proxyChanges[i].at > at })
		return next > 0 && proxyChanges[next-1].inContact
	}
}
