package distribution

import (
	"sync"
	"time"
)

const (
	// minRetryAfter is the lower bound on the retry delay sent to a proxy.
	minRetryAfter = 50 * time.Millisecond
	// minAverageDuration is the lower bound on the average fetch duration from which retry
	// delays are computed.
	minAverageDuration = 20 * time.Millisecond
)

// fetchLimiter limits the number of concurrent fetches. Each refused fetch gets a later retry
// time than the one refused before it, so that retries do not arrive together.
type fetchLimiter struct {
	limit         int
	maxRetryAfter time.Duration

	// mu guards the fields below.
	mu              sync.Mutex
	inFlight        int
	averageDuration time.Duration // exponential moving average over completed fetches
	lastRetryAt     time.Time     // retry time computed for the last refused fetch
}

// acquire takes a slot, which must be returned with release. If no slot is free, it returns
// false and the delay after which the caller should retry.
func (l *fetchLimiter) acquire(now time.Time) (retryAfter time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inFlight < l.limit {
		l.inFlight++
		return 0, true
	}
	if l.lastRetryAt.Before(now) {
		l.lastRetryAt = now
	}
	l.lastRetryAt = l.lastRetryAt.Add(max(l.averageDuration, minAverageDuration) / time.Duration(l.limit))
	if latest := now.Add(l.maxRetryAfter); l.lastRetryAt.After(latest) {
		l.lastRetryAt = latest
	}
	return max(l.lastRetryAt.Sub(now), minRetryAfter), false
}

// release returns the slot of a fetch that took the given time.
func (l *fetchLimiter) release(duration time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
	l.averageDuration = (3*l.averageDuration + duration) / 4
}
