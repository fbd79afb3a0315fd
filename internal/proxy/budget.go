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

const minTokens = -200

// tokenBucket is one service's: the tries it holds, and the orders lost without all
// other proxies' having heard of it, of which some still may.
type tokenBucket struct {
	tokens     float64
	unreported float64
	debt       float64
	refilledAt time.Time
}

// Limits is what a service may have: a percentage of its traffic, and a base
// for the whole fleet in a window.
type Limits struct{ Percent, Base int }

// Budget counts for all services of one proxy.
type Budget struct {
	window      time.Duration
	mu          sync.Mutex
	services    map[string]*tokenBucket
	keys        map[uint64]keyRecord
	expiredAt   time.Time
	proxyCounts []proxyCount
}

// keyRecord is a caller's key that was handed over; its service is set as long as
// it counts here as a first request.
type keyRecord struct {
	seenAt   time.Time
	service  string
	reported bool
}

// proxyCount is how many proxies there were until a moment; zero is until now.
type proxyCount struct {
	count int
	until time.Time
}

// NewBudget counts over windows of that length.
func NewBudget(window time.Duration) *Budget {
	return &Budget{window: window, services: map[string]*tokenBucket{}, keys: map[uint64]keyRecord{}}
}

// SetProxyCount notes how many proxies there are. For the length of the window the part
// of the sixty is that of the largest fleet, for one that is gone may have used
// its part.
func (b *Budget) SetProxyCount(count int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	var kept []proxyCount
	for _, past := range b.proxyCounts {
		if past.until.IsZero() {
			past.until = now
		}
		if now.Sub(past.until) <= b.window {
			kept = append(kept, past)
		}
	}
	b.proxyCounts = append(kept, proxyCount{count: count})
}

func (b *Budget) maxProxyCount() int {
	largest := 1
	for _, past := range b.proxyCounts {
		if past.until.IsZero() || time.Since(past.until) <= b.window {
			largest = max(largest, past.count)
		}
	}
	return largest
}

// refill is the service's bucket, filled up to now.
func (b *Budget) refill(service string, limits Limits) *tokenBucket {
	now := time.Now()
	bucket := b.services[service]
	if bucket == nil {
		bucket = &tokenBucket{refilledAt: now}
		b.services[service] = bucket
	}
	share := float64(limits.Base) / 2 / float64(b.maxProxyCount())
	if bucket.tokens < share {
		bucket.tokens = min(bucket.tokens+share*now.Sub(bucket.refilledAt).Seconds()/b.window.Seconds(), share)
	}
	bucket.refilledAt = now
	if paid := min(bucket.debt, max(0, bucket.tokens)); paid > 0 {
		bucket.debt -= paid
		bucket.tokens -= paid
	}
	return bucket
}

// Withdraw takes one extra try out of the budget, or says no.
func (b *Budget) Withdraw(service string, limits Limits) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	bucket := b.refill(service, limits)
	if bucket.tokens < 1 {
		return false
	}
	bucket.tokens--
	return true
}

// RecordRequest remembers that a request under this key is handed over, as a first one
// of the service or as a repeat.
func (b *Budget) RecordRequest(service string, limits Limits, key uint64, retry bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !retry {
		bucket := b.refill(service, limits)
		bucket.tokens = min(bucket.tokens+float64(limits.Percent)/100, max(1, float64(limits.Base)/2/float64(b.maxProxyCount())))
	}
	if key == 0 {
		return
	}
	record := b.keys[key]
	record.seenAt = time.Now()
	if !retry {
		record.service = service
	}
	b.keys[key] = record
	b.expireKeys()
}

func (b *Budget) expireKeys() {
	now := time.Now()
	if now.Sub(b.expiredAt) < b.window {
		return
	}
	b.expiredAt = now
	for key, record := range b.keys {
		if now.Sub(record.seenAt) > 3*b.window {
			delete(b.keys, key)
		}
	}
}

// RecordLoss notes an order that got no answer; until all proxies have heard of it,
// its repeat may come to one that takes it for a first request.
func (b *Budget) RecordLoss(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if bucket := b.services[service]; bucket != nil {
		bucket.unreported++
	}
}

// RecordReported marks keys as ones that the other proxies were told of. Those that not
// all have heard of are a debt, paid before any extra try is.
func (b *Budget) RecordReported(keys []uint64, services map[string]int, complete bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, key := range keys {
		if record, ok := b.keys[key]; ok {
			record.reported = true
			b.keys[key] = record
		}
	}
	for service, losses := range services {
		bucket := b.services[service]
		if bucket == nil {
			continue
		}
		bucket.unreported -= float64(losses)
		if !complete {
			bucket.debt = min(bucket.debt+float64(losses), -minTokens)
		}
	}
}

// CoversLosses tells whether the bucket could pay for the repeats of all orders that
// were lost unsaid. If not, no order with a key is handed over for a moment, for
// its loss might not be told either.
func (b *Budget) CoversLosses(service string, limits Limits) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	bucket := b.refill(service, limits)
	return bucket.unreported+bucket.debt <= max(0, bucket.tokens)+1+float64(limits.Base)/8/float64(b.maxProxyCount())
}

// RecordPeerLosses takes keys that another proxy tells of. One that was taken for a first
// request here, because the repeat was faster than the word of it, is counted
// as the extra try that it was.
func (b *Budget) RecordPeerLosses(keys []uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, key := range keys {
		record := b.keys[key]
		if record.service != "" && !record.reported {
			if bucket := b.services[record.service]; bucket != nil {
				bucket.tokens = max(bucket.tokens-1, minTokens)
			}
		}
		record.seenAt, record.service = time.Now(), ""
		b.keys[key] = record
	}
	b.expireKeys()
}
