// Which proxies the bounds on time bind: where a history tells of proxies in touch
// and out of it, only those in touch; else all, always.
package checker

import (
	"sort"
	"time"
)

func contactTimeline(all []Record) (isBound func(proxy string, at time.Duration) bool) {
	type turn struct {
		at   time.Duration
		isIn bool
	}
	turns := map[string][]turn{}
	for _, r := range ofKind(all, ProxyContact) {
		turns[r.Proxy] = append(turns[r.Proxy], turn{r.At, r.Outcome == "in"})
	}
	return func(proxy string, at time.Duration) bool {
		list := turns[proxy]
		if len(turns) == 0 {
			return true
		}
		next := sort.Search(len(list), func(i int) bool { return list[i].at > at })
		return next > 0 && list[next-1].isIn
	}
}
