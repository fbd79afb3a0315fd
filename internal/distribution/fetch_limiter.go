package distribution

import (
	"sync"
	"time"
)

const (
	// minRetryAfter is the least time that a proxy is told to wait.
	minRetryAfter = 50 * time.Millisecond
	// assumedDuration is how long a fetch is taken to last at least.
	assumedDuration = 20 * time.Millisecond
)

// fetchLimiter bounds the fetches under way. Those that it refuses it tells when to come
// again, each a little later than the one before, so that they do not come back together.
type fetchLimiter struct {
	limit         int
	maxRetryAfter time.Duration

	// mu guards all below.
	mu              sync.Mutex
	inFlight        int
	averageDuration time.Duration // of the fetches of late, smoothed
	nextFree        time.Time     // when the one that was refused last should come again
}

// acquire takes a place, which release gives back. If there is none it returns in how long
// one should be free.
func (l *fetchLimiter) acquire(now time.Time) (retryAfter time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inFlight < l.limit {
		l.inFlight++
		return 0, true
	}
	if l.nextFree.Before(now) {
		l.nextFree = now
	}
	l.nextFree = l.nextFree.Add(max(l.averageDuration, assumedDuration) / time.Duration(l.limit))
	if latest := now.Add(l.maxRetryAfter); l.nextFree.After(latest) {
		l.nextFree = latest
	}
	return max(l.nextFree.Sub(now), minRetryAfter), false
}

// release gives back the place of a fetch that took so long.
func (l *fetchLimiter) release(took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
	l.averageDuration = (3*l.averageDuration + took) / 4
}
