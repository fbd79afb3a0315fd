// Package admission schedules large request bodies on a link of limited bandwidth, where they
// would otherwise delay all small traffic, including configuration updates. Each large body is
// assigned a start time before any of it is read. At that time it is read and then immediately
// forwarded, so that one token bucket limits the link in both directions. A body whose start time
// would be too late is rejected immediately and not read, since reading it would use as much
// bandwidth as serving it.
package admission

import (
	"context"
	"sync"
	"time"
)

// LargeBodyBytes is the minimum size of a body that is scheduled.
const LargeBodyBytes = 16 << 10

// Config holds the limits of Uploads.
type Config struct {
	KilobytesPerSecond int // link rate for large bodies; zero means no limit
	ConcurrentReads    int // large bodies read concurrently; zero means no limit
}

// Uploads admits large request bodies one after another. It is safe for concurrent use.
type Uploads struct {
	bytesPerSecond float64       // zero means no limit
	readSlots      chan struct{} // semaphore with one value per body being read; nil means no limit

	mu         sync.Mutex
	linkFreeAt time.Time // start time of the next large body; guarded by mu
}

// New returns Uploads with the given limits.
func New(config Config) *Uploads {
	u := &Uploads{bytesPerSecond: float64(config.KilobytesPerSecond) * 1000}
	if config.ConcurrentReads > 0 {
		u.readSlots = make(chan struct{}, config.ConcurrentReads)
	}
	return u
}

// IsLarge reports whether a body of the given size in bytes is scheduled. A negative size means
// unknown, as in http.Request.ContentLength, and counts as large.
func IsLarge(size int64) bool { return size < 0 || size >= LargeBodyBytes }

// IsBounded reports whether the link rate is limited.
func (u *Uploads) IsBounded() bool { return u.bytesPerSecond > 0 }

// reserve reserves the link for the time that a body of the given size in bytes takes, and
// returns when it may start. It returns false, without a reservation, if that is after latest.
func (u *Uploads) reserve(now time.Time, size int64, latest time.Time) (start time.Time, ok bool) {
	if u.bytesPerSecond <= 0 || !IsLarge(size) {
		return now, true
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	start = now
	if u.linkFreeAt.After(now) {
		start = u.linkFreeAt
	}
	if start.After(latest) {
		return start, false
	}
	u.linkFreeAt = start.Add(time.Duration(float64(max(size, LargeBodyBytes)) / u.bytesPerSecond * float64(time.Second)))
	return start, true
}

// Admit waits until a body of the given size in bytes may be transferred. It returns false
// immediately if that would be after latest, and when ctx is done.
func (u *Uploads) Admit(ctx context.Context, size int64, latest time.Time) bool {
	now := time.Now()
	start, ok := u.reserve(now, size, latest)
	if !ok || !start.After(now) {
		return ok
	}
	timer := time.NewTimer(start.Sub(now))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// BeginRead waits until fewer than ConcurrentReads large bodies are being read. It returns false
// at latest, and when ctx is done. The caller must call release when the body has been read.
func (u *Uploads) BeginRead(ctx context.Context, size int64, latest time.Time) (release func(), ok bool) {
	if u.readSlots == nil || !IsLarge(size) {
		return func() {}, true
	}
	timer := time.NewTimer(time.Until(latest))
	defer timer.Stop()
	select {
	case u.readSlots <- struct{}{}:
		return func() { <-u.readSlots }, true
	case <-timer.C:
	case <-ctx.Done():
	}
	return nil, false
}
