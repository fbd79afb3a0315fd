// Package retry bounds how many extra requests a proxy may send to targets: retries, hedged
// requests, and repeats of a request by its own client.
//
// The bound holds per service and for all proxies together: in any window (ten seconds by
// default) at most Limits.Percent of the first requests plus Limits.Base. Each proxy keeps
// it with a token bucket of its own. A first request deposits a fraction of a token, time
// refills the bucket at a steady rate up to half of this proxy's share of the base, and each
// extra request takes one token; no window can therefore hold more than the bound. Counting
// back over a sliding window would not do: first requests may have left the window while the
// extra requests that they paid for are still in it. A new proxy starts with an empty
// bucket, so that proxies which come and go can't raise the bound.
package retry

import (
	"sync"
	"time"
)

const (
	// minTokens is how far a bucket may be overdrawn.
	minTokens = -200

	// keyLifetime is how many windows an idempotency key is remembered for.
	keyLifetime = 3
)

// Limits bound the extra requests of one service.
type Limits struct {
	Percent int // extra requests per hundred first requests
	Base    int // further ones in a window, for all proxies together
}

// tokenBucket is the account of one service.
type tokenBucket struct {
	tokens float64 // extra requests that may be sent at once
	// unreported counts lost requests of which the other proxies have not been told; debt
	// counts those of which some were told in vain. Retries of either may reach a proxy that
	// takes them for first requests.
	unreported float64
	debt       float64
	refilledAt time.Time
}

// keyRecord is an idempotency key under which a request was forwarded, here or elsewhere.
type keyRecord struct {
	seenAt   time.Time
	service  string // set while the request counts as a first one here
	reported bool   // the other proxies were told that it was lost
}

// proxyCount is a number of proxies and until when it held; zero means that it still holds.
type proxyCount struct {
	count int
	until time.Time
}

// Budget holds the token buckets of all services of one proxy. It is safe for concurrent use.
type Budget struct {
	window time.Duration

	mu          sync.Mutex // guards all that follows
	services    map[string]*tokenBucket
	keys        map[uint64]keyRecord
	expiredAt   time.Time // when keys were last expired
	proxyCounts []proxyCount
}

// NewBudget returns an empty budget that bounds any window of the given length.
func NewBudget(window time.Duration) *Budget {
	return &Budget{window: window, services: map[string]*tokenBucket{}, keys: map[uint64]keyRecord{}}
}

// SetProxyCount sets how many proxies share the base. A smaller number takes effect after
// one window, for a proxy that has gone may have used its share.
func (b *Budget) SetProxyCount(count int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	var recent []proxyCount
	for _, past := range b.proxyCounts {
		if past.until.IsZero() {
			past.until = now
		}
		if now.Sub(past.until) <= b.window {
			recent = append(recent, past)
		}
	}
	b.proxyCounts = append(recent, proxyCount{count: count})
}

// maxProxyCount is the largest number of proxies within the last window. b.mu is held.
func (b *Budget) maxProxyCount() int {
	largest := 1
	for _, past := range b.proxyCounts {
		if past.until.IsZero() || time.Since(past.until) <= b.window {
			largest = max(largest, past.count)
		}
	}
	return largest
}

// capacity is this proxy's share of the base that its bucket may hold. b.mu is held.
func (b *Budget) capacity(limits Limits) float64 {
	return float64(limits.Base) / 2 / float64(b.maxProxyCount())
}

// refill returns the service's bucket, refilled up to now and with its debt paid from what
// it holds. b.mu is held.
func (b *Budget) refill(service string, limits Limits) *tokenBucket {
	now := time.Now()
	bucket := b.services[service]
	if bucket == nil {
		bucket = &tokenBucket{refilledAt: now}
		b.services[service] = bucket
	}
	if capacity := b.capacity(limits); bucket.tokens < capacity {
		bucket.tokens = min(bucket.tokens+capacity*now.Sub(bucket.refilledAt).Seconds()/b.window.Seconds(), capacity)
	}
	bucket.refilledAt = now
	if paid := min(bucket.debt, max(0, bucket.tokens)); paid > 0 {
		bucket.debt -= paid
		bucket.tokens -= paid
	}
	return bucket
}

// Withdraw takes one token for an extra request; it returns false if there is none.
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

// RecordRequest records that a request is forwarded. A first request (retry is false)
// makes its deposit. The key is the hash of the request's idempotency key, zero if it has
// none.
func (b *Budget) RecordRequest(service string, limits Limits, key uint64, retry bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !retry {
		bucket := b.refill(service, limits)
		bucket.tokens = min(bucket.tokens+float64(limits.Percent)/100, max(1, b.capacity(limits)))
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

// expireKeys drops keys that were not seen for a while, at most once in a window. b.mu is
// held.
func (b *Budget) expireKeys() {
	now := time.Now()
	if now.Sub(b.expiredAt) < b.window {
		return
	}
	b.expiredAt = now
	for key, record := range b.keys {
		if now.Sub(record.seenAt) > keyLifetime*b.window {
			delete(b.keys, key)
		}
	}
}

// RecordLoss records a request with a key that was forwarded and got no response. Until all
// proxies have been told (RecordReported), its retry may reach one that takes it for a first
// request.
func (b *Budget) RecordLoss(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if bucket := b.services[service]; bucket != nil {
		bucket.unreported++
	}
}

// RecordReported records that the other proxies were told of these lost requests; services
// counts them by service. If not all proxies were reached, they are charged as a debt, which
// is paid before any extra request is.
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

// CoversLosses reports whether the bucket could pay for the retries of all lost requests
// that may go unrecognised. While it can't, no request with a key may be forwarded, for its
// loss might go unreported too.
func (b *Budget) CoversLosses(service string, limits Limits) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	bucket := b.refill(service, limits)
	return bucket.unreported+bucket.debt <= max(0, bucket.tokens)+1+float64(limits.Base)/8/float64(b.maxProxyCount())
}

// RecordPeerLosses takes the keys of requests that another proxy lost. One that counted as a
// first request here, because the retry was faster than the report, is charged as the extra
// request that it was.
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

// Visit calls visit for each service with what its bucket held when it was last refilled.
// The budget is locked meanwhile.
func (b *Budget) Visit(visit func(service string, tokens, debt float64)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for service, bucket := range b.services {
		visit(service, bucket.tokens, bucket.debt)
	}
}
