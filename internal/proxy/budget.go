// The budget of extra tries: per service, in any ten seconds, a fifth of the
// traffic at most plus this proxy's part of sixty. Each first request puts a
// fifth of a try into a bucket, time puts the part of the sixty into it at a
// steady rate, each extra try takes one out, and the bucket holds half of the
// sixty at most: so no window whatever can hold more. A window looked back on
// would not do, for traffic that is past may have left the window while the
// tries it paid for are still in it. Our own further tries and recognisable
// repeats by callers count alike. A new proxy's bucket is empty, so that proxies
// which come and go can't make more of the sixty than there is.
package proxy

import (
	"sync"
	"time"
)

const debtMax = -200

// bucket is one service's: the tries it holds, and the orders lost without all
// other proxies' having heard of it, of which some still may.
type bucket struct {
	tries  float64
	unsaid float64
	debt   float64
	at     time.Time
}

// Bounds is what a service may have: a percentage of its traffic, and a base
// for the whole fleet in a window.
type Bounds struct{ Percent, Base int }

// Budget counts for all services of one proxy.
type Budget struct {
	window   time.Duration
	mu       sync.Mutex
	services map[string]*bucket
	keys     map[uint64]seenKey
	swept    time.Time
	fleets   []fleetSize
}

// seenKey is a caller's key that was handed over; its service is set as long as
// it counts here as a first request.
type seenKey struct {
	at      time.Time
	service string
	isTold  bool
}

// fleetSize is how many proxies there were until a moment; zero is until now.
type fleetSize struct {
	n     int
	until time.Time
}

// NewBudget counts over windows of that length.
func NewBudget(window time.Duration) *Budget {
	return &Budget{window: window, services: map[string]*bucket{}, keys: map[uint64]seenKey{}}
}

// Fleet notes how many proxies there are. For the length of the window the part
// of the sixty is that of the largest fleet, for one that is gone may have used
// its part.
func (b *Budget) Fleet(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	var kept []fleetSize
	for _, f := range b.fleets {
		if f.until.IsZero() {
			f.until = now
		}
		if now.Sub(f.until) <= b.window {
			kept = append(kept, f)
		}
	}
	b.fleets = append(kept, fleetSize{n: n})
}

func (b *Budget) proxies() int {
	most := 1
	for _, f := range b.fleets {
		if f.until.IsZero() || time.Since(f.until) <= b.window {
			most = max(most, f.n)
		}
	}
	return most
}

// of is the service's bucket, filled up to now.
func (b *Budget) of(service string, bounds Bounds) *bucket {
	now := time.Now()
	l := b.services[service]
	if l == nil {
		l = &bucket{at: now}
		b.services[service] = l
	}
	part := float64(bounds.Base) / 2 / float64(b.proxies())
	if l.tries < part {
		l.tries = min(l.tries+part*now.Sub(l.at).Seconds()/b.window.Seconds(), part)
	}
	l.at = now
	if paid := min(l.debt, max(0, l.tries)); paid > 0 {
		l.debt -= paid
		l.tries -= paid
	}
	return l
}

// Extra takes one extra try out of the budget, or says no.
func (b *Budget) Extra(service string, bounds Bounds) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.of(service, bounds)
	if l.tries < 1 {
		return false
	}
	l.tries--
	return true
}

// Seen remembers that a request under this key is handed over, as a first one
// of the service or as a repeat.
func (b *Budget) Seen(service string, bounds Bounds, key uint64, isRepeat bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !isRepeat {
		l := b.of(service, bounds)
		l.tries = min(l.tries+float64(bounds.Percent)/100, max(1, float64(bounds.Base)/2/float64(b.proxies())))
	}
	if key == 0 {
		return
	}
	old := b.keys[key]
	old.at = time.Now()
	if !isRepeat {
		old.service = service
	}
	b.keys[key] = old
	b.sweep()
}

func (b *Budget) sweep() {
	now := time.Now()
	if now.Sub(b.swept) < b.window {
		return
	}
	b.swept = now
	for k, seen := range b.keys {
		if now.Sub(seen.at) > 3*b.window {
			delete(b.keys, k)
		}
	}
}

// Lose notes an order that got no answer; until all proxies have heard of it,
// its repeat may come to one that takes it for a first request.
func (b *Budget) Lose(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l := b.services[service]; l != nil {
		l.unsaid++
	}
}

// Told marks keys as ones that the other proxies were told of. Those that not
// all have heard of are a debt, paid before any extra try is.
func (b *Budget) Told(keys []uint64, services map[string]int, isHeard bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, key := range keys {
		if seen, ok := b.keys[key]; ok {
			seen.isTold = true
			b.keys[key] = seen
		}
	}
	for service, n := range services {
		l := b.services[service]
		if l == nil {
			continue
		}
		l.unsaid -= float64(n)
		if !isHeard {
			l.debt = min(l.debt+float64(n), -debtMax)
		}
	}
}

// MayLose tells whether the bucket could pay for the repeats of all orders that
// were lost unsaid. If not, no order with a key is handed over for a moment, for
// its loss might not be told either.
func (b *Budget) MayLose(service string, bounds Bounds) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.of(service, bounds)
	return l.unsaid+l.debt <= max(0, l.tries)+1+float64(bounds.Base)/8/float64(b.proxies())
}

// Heard takes keys that another proxy tells of. One that was taken for a first
// request here, because the repeat was faster than the word of it, is counted
// as the extra try that it was.
func (b *Budget) Heard(keys []uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, key := range keys {
		seen := b.keys[key]
		if seen.service != "" && !seen.isTold {
			if l := b.services[seen.service]; l != nil {
				l.tries = max(l.tries-1, debtMax)
			}
		}
		seen.at, seen.service = time.Now(), ""
		b.keys[key] = seen
	}
	b.sweep()
}
