// The lane of large bodies. On a narrow link what is large would hold up all that is
// small, word of a new epoch included: so large bodies go out one after another at
// the rate of the lane, and a few at most are read at once.
package gate

import (
	"context"
	"sync"
	"time"
)

// largeBody is from how many bytes on a body takes the lane.
const largeBody = 16 << 10

type lane struct {
	rate  float64 // bytes a second; zero is no bound
	reads chan struct{}
	mu    sync.Mutex
	next  time.Time
}

func newLane(kilobytes, reads int) *lane {
	l := &lane{rate: float64(kilobytes) * 1000}
	if reads > 0 {
		l.reads = make(chan struct{}, reads)
	}
	return l
}

// turn is when a body of that size may go out; the lane is taken for as long as it
// needs.
func (l *lane) turn(now time.Time, size int64) time.Time {
	if l.rate <= 0 || size < largeBody {
		return now
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	at := now
	if l.next.After(now) {
		at = l.next
	}
	l.next = at.Add(time.Duration(float64(size) / l.rate * float64(time.Second)))
	return at
}

// await waits for the turn of a body; false if the time is over before.
func (l *lane) await(ctx context.Context, size int64) bool {
	now := time.Now()
	at := l.turn(now, size)
	if !at.After(now) {
		return true
	}
	wakeup := time.NewTimer(at.Sub(now))
	defer wakeup.Stop()
	select {
	case <-wakeup.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// begin takes a place among the bodies that are read; the verb gives it back.
func (l *lane) begin(size int64, limit time.Time) (end func(), ok bool) {
	if l.reads == nil || size >= 0 && size < largeBody {
		return func() {}, true
	}
	wakeup := time.NewTimer(time.Until(limit))
	defer wakeup.Stop()
	select {
	case l.reads <- struct{}{}:
		return func() { <-l.reads }, true
	case <-wakeup.C:
		return nil, false
	}
}
