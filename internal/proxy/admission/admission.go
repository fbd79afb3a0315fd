// Package admission schedules large request bodies on a narrow link. What is large would
// hold up all that is small there, updates of the configuration included. So each large
// body gets its turn before any of it is read, is read when its turn has come, and is
// forwarded right after: one token bucket bounds the link in both directions. A body whose
// turn would come too late is rejected at once and left unread, since reading it would take
// as much of the link as serving it.
package admission

import (
	"context"
	"sync"
	"time"
)

// LargeBody is from how many bytes on a body needs a turn.
const LargeBody = 16 << 10

// Config holds the bounds of Uploads.
type Config struct {
	KilobytesPerSecond int // link rate for large bodies; zero is no bound
	ConcurrentReads    int // large bodies read at once; zero is no bound
}

// Uploads admits large request bodies in turn. It is safe for concurrent use.
type Uploads struct {
	rate    float64       // bytes a second; zero is no bound
	readers chan struct{} // holds one value per body that is being read; nil is no bound

	mu     sync.Mutex
	freeAt time.Time // when the link is free for the next large body; guarded by mu
}

// New returns Uploads with the given bounds.
func New(bounds Config) *Uploads {
	u := &Uploads{rate: float64(bounds.KilobytesPerSecond) * 1000}
	if bounds.ConcurrentReads > 0 {
		u.readers = make(chan struct{}, bounds.ConcurrentReads)
	}
	return u
}

// IsLarge reports whether a body of that size in bytes needs a turn. One of unknown size,
// which is negative as in http.Request.ContentLength, does.
func IsLarge(size int64) bool { return size < 0 || size >= LargeBody }

// IsBounded reports whether the link has a rate that bodies must not exceed.
func (u *Uploads) IsBounded() bool { return u.rate > 0 }

// reserve takes the next turn for a body of that size, unless it comes later than latest.
// The link is taken for as long as the body needs.
func (u *Uploads) reserve(now time.Time, size int64, latest time.Time) (at time.Time, ok bool) {
	if u.rate <= 0 || !IsLarge(size) {
		return now, true
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	at = now
	if u.freeAt.After(now) {
		at = u.freeAt
	}
	if at.After(latest) {
		return at, false
	}
	u.freeAt = at.Add(time.Duration(float64(max(size, LargeBody)) / u.rate * float64(time.Second)))
	return at, true
}

// Admit waits until it is the turn of a body of that size. It returns false at once if
// that would be later than latest, and when ctx ends.
func (u *Uploads) Admit(ctx context.Context, size int64, latest time.Time) bool {
	now := time.Now()
	at, ok := u.reserve(now, size, latest)
	if !ok || !at.After(now) {
		return ok
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

// BeginRead waits, until latest at most, for a place among the bodies that are being read. It
// returns false when ctx ends. The caller gives the place back with release.
func (u *Uploads) BeginRead(ctx context.Context, size int64, latest time.Time) (release func(), ok bool) {
	if u.readers == nil || !IsLarge(size) {
		return func() {}, true
	}
	wakeup := time.NewTimer(time.Until(latest))
	defer wakeup.Stop()
	select {
	case u.readers <- struct{}{}:
		return func() { <-u.readers }, true
	case <-wakeup.C:
	case <-ctx.Done():
	}
	return nil, false
}
