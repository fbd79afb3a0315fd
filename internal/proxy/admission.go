// The lane of large bodies: a bucket of the bytes that a narrow link has for them. On
// such a link what is large would hold up all that is small, word of a new epoch
// included: so a large body gets its place before any of it is read, is read when its
// place has come, and goes out right after, so that one bucket bounds both directions.
// One whose place would come too late is refused at once, and left unread: reading it
// would take as much of the link as serving it.
package proxy

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"time"
)

// LargeBody is from how many bytes on a body takes the lane.
const LargeBody = 16 << 10

// halfCloseTime is how long a connection whose body was left unread stays half closed, so
// that the answer is read before the reset.
const halfCloseTime = 500 * time.Millisecond

type Uploads struct {
	rate    float64 // bytes a second; zero is no bound
	readers chan struct{}
	mu      sync.Mutex
	freeAt  time.Time
}

func NewUploads(kilobytes, readers int) *Uploads {
	uploads := &Uploads{rate: float64(kilobytes) * 1000}
	if readers > 0 {
		uploads.readers = make(chan struct{}, readers)
	}
	return uploads
}

// IsLarge tells whether a body of that size takes the lane; one of unknown size does.
func IsLarge(size int64) bool { return size < 0 || size >= LargeBody }

// reserve takes the next place for a body of that size, if it comes by the limit; the
// lane is taken for as long as the body needs.
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

// AwaitTurn waits for the place of a body; false if it comes too late.
func (u *Uploads) AwaitTurn(ctx context.Context, size int64, latest time.Time) bool {
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

// BeginRead takes a place among the bodies that are read; the verb gives it back.
func (u *Uploads) BeginRead(size int64, latest time.Time) (end func(), ok bool) {
	if u.readers == nil || !IsLarge(size) {
		return func() {}, true
	}
	wakeup := time.NewTimer(time.Until(latest))
	defer wakeup.Stop()
	select {
	case u.readers <- struct{}{}:
		return func() { <-u.readers }, true
	case <-wakeup.C:
		return nil, false
	}
}

// uploadDeadline is until when the place of a body may come: one that would start later than it
// should have ended is refused.
func (rp *requestPlan) uploadDeadline(now time.Time) time.Time {
	limit := now.Add(rp.latencyTarget)
	if rp.deadline.Before(limit) {
		return rp.deadline
	}
	return limit
}

// rejectUnread answers and ends the connection with the body unread: the server would read it
// before it answers and after, so the connection is taken from it. False if it can't be.
func (p *Proxy) rejectUnread(w http.ResponseWriter, status int, body []byte) bool {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	header := w.Header()
	header.Set("Connection", "close")
	response := &http.Response{StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Header: header, ContentLength: int64(len(body)), Body: io.NopCloser(bytes.NewReader(body))}
	buffer := &bytes.Buffer{}
	response.Write(buffer)
	conn.SetWriteDeadline(time.Now().Add(halfCloseTime))
	_, err = conn.Write(buffer.Bytes())
	half, canHalf := conn.(interface{ CloseWrite() error })
	if err != nil || !canHalf || half.CloseWrite() != nil {
		conn.Close()
		return true
	}
	p.environment.Go(func() {
		p.environment.Sleep(halfCloseTime)
		conn.Close()
	})
	return true
}
