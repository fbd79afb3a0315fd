// Package retry limits the extra requests that proxies send to targets: retries, hedged
// requests, and repeats of a request by its client.
//
// The limit applies per service to all proxies together: in any window (ten seconds by
// default) at most Limits.Percent of the first requests plus Limits.Base. Each proxy enforces
// it with a token bucket. A first request adds a fraction of a token, time refills the bucket
// at a steady rate up to half of this proxy's share of the base, and each extra request takes
// one token, so no window can exceed the limit. Counting requests in a sliding window would
// not ensure this: first requests may have left the window while the extra requests that they
// allowed are still in it. A new proxy starts with an empty bucket, so that proxies that join
// and leave can't raise the limit.
package retry

import (
	"sync"
	"time"
)

const (
	// minTokens is the lowest balance of a bucket; its absolute value also bounds the debt.
	minTokens = -200

	// keyLifetime is how long an idempotency key is remembered, in windows.
	keyLifetime = 3
)

// Limits configures how many extra requests of one service are allowed.
type Limits struct {
	Percent int // extra requests per hundred first requests
	Base    int // additional extra requests per window, for all proxies together
}

// tokenBucket is the token bucket of one service.
type tokenBucket struct {
	tokens float64 // extra requests that may be sent now; negative if overdrawn
	// unreported counts lost requests whose report to the other proxies is pending; debt
	// counts those whose report did not reach all of them. A repeat of either may reach a
	// proxy that takes it for a first request.
	unreported float64
	debt       float64
	refilledAt time.Time
}

// keyRecord describes an idempotency key with which this proxy or another one forwarded a
// request.
type keyRecord struct {
	seenAt   time.Time
	service  string // service of the first request at this proxy; empty if none is counted
	reported bool   // this proxy reported the request as lost
}

// proxyCount is a number of proxies, valid until the given time; zero if it is still valid.
type proxyCount struct {
	count int
	until time.Time
}

// Budget holds the token buckets of all services of one proxy. It is safe for concurrent use.
type Budget struct {
	window time.Duration

	mu          sync.Mutex // guards the fields below
	services    map[string]*tokenBucket
	keys        map[uint64]keyRecord
	expiredAt   time.Time // time of the last sweep of keys
	proxyCounts []proxyCount
}

// NewBudget returns an empty budget for windows of the given length.
func NewBudget(window time.Duration) *Budget {
	return &Budget{window: window, services: map[string]*tokenBucket{}, keys: map[uint64]keyRecord{}}
}

// SetProxyCount sets the number of proxies that share the base. A smaller number takes effect
// after one window, because a proxy that left may have used its share.
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

// maxProxyCount returns the largest number of proxies within the last window, at least one.
// The caller holds b.mu.
func (b *Budget) maxProxyCount() int {
	largest := 1
	for _, past := range b.proxyCounts {
		if past.until.IsZero() || time.Since(past.until) <= b.window {
			largest = max(largest, past.count)
		}
	}
	return largest
}

// capacity returns the number of tokens up to which time refills the bucket: half of this
// proxy's share of the base. The caller holds b.mu.
func (b *Budget) capacity(limits Limits) float64 {
	return float64(limits.Base) / 2 / float64(b.maxProxyCount())
}

// refill returns the service's bucket after refilling it and paying its debt from the tokens.
// The caller holds b.mu.
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

// Withdraw takes one token for an extra request, and reports whether there was one.
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

// RecordRequest records that a request is forwarded. A first request (retry is false) adds
// a fraction of a token. The key is the hash of the request's idempotency key, zero if it has
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

// expireKeys deletes keys that were not seen for keyLifetime windows. It sweeps at most once
// per window. The caller holds b.mu.
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

// RecordLoss records a request with a key that was forwarded and got no response. Until the
// loss has been reported to all proxies (RecordReported), a repeat may reach one that takes
// it for a first request.
func (b *Budget) RecordLoss(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if bucket := b.services[service]; bucket != nil {
		bucket.unreported++
	}
}

// RecordReported records that lost requests were reported to the other proxies; services holds
// their number by service. If the report did not reach all proxies (complete is false), the
// losses are added to the debt, which is paid before any extra request.
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

// CoversLosses reports whether the bucket could pay for the repeats of all lost requests that
// may go unrecognized. If it could not, no request with a key may be forwarded, because its
// loss might go unreported as well.
func (b *Budget) CoversLosses(service string, limits Limits) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	bucket := b.refill(service, limits)
	return bucket.unreported+bucket.debt <= max(0, bucket.tokens)+1+float64(limits.Base)/8/float64(b.maxProxyCount())
}

// RecordPeerLosses records the keys of requests that another proxy lost. A repeat that this
// proxy counted as a first request, because it arrived before the report, is charged as an
// extra request.
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

// Visit calls visit for each service with the tokens and debt of its bucket as of its last
// refill or charge. The budget is locked during the calls.
func (b *Budget) Visit(visit func(service string, tokens, debt float64)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for service, bucket := range b.services {
		visit(service, bucket.tokens, bucket.debt)
	}
}
