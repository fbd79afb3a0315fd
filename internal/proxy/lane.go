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

// largeBody is from how many bytes on a body takes the lane.
const largeBody = 16 << 10

// closeTime is how long a connection whose body was left unread stays half closed, so
// that the answer is read before the reset.
const closeTime = 500 * time.Millisecond

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

// isLarge tells whether a body of that size takes the lane; one of unknown size does.
func isLarge(size int64) bool { return size < 0 || size >= largeBody }

// reserve takes the next place for a body of that size, if it comes by the limit; the
// lane is taken for as long as the body needs.
func (l *lane) reserve(now time.Time, size int64, limit time.Time) (at time.Time, ok bool) {
	if l.rate <= 0 || !isLarge(size) {
		return now, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	at = now
	if l.next.After(now) {
		at = l.next
	}
	if at.After(limit) {
		return at, false
	}
	l.next = at.Add(time.Duration(float64(max(size, largeBody)) / l.rate * float64(time.Second)))
	return at, true
}

// await waits for the place of a body; false if it comes too late.
func (l *lane) await(ctx context.Context, size int64, limit time.Time) bool {
	now := time.Now()
	at, ok := l.reserve(now, size, limit)
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

// begin takes a place among the bodies that are read; the verb gives it back.
func (l *lane) begin(size int64, limit time.Time) (end func(), ok bool) {
	if l.reads == nil || !isLarge(size) {
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

// latest is until when the place of a body may come: one that would start later than it
// should have ended is refused.
func (c *course) latest(now time.Time) time.Time {
	limit := now.Add(c.aim)
	if c.deadline.Before(limit) {
		return c.deadline
	}
	return limit
}

// leave answers and ends the connection with the body unread: the server would read it
// before it answers and after, so the connection is taken from it. False if it can't be.
func (g *Gate) leave(w http.ResponseWriter, status int, text []byte) bool {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	header := w.Header()
	header.Set("Connection", "close")
	answer := &http.Response{StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Header: header, ContentLength: int64(len(text)), Body: io.NopCloser(bytes.NewReader(text))}
	out := &bytes.Buffer{}
	answer.Write(out)
	conn.SetWriteDeadline(time.Now().Add(closeTime))
	_, err = conn.Write(out.Bytes())
	half, canHalf := conn.(interface{ CloseWrite() error })
	if err != nil || !canHalf || half.CloseWrite() != nil {
		conn.Close()
		return true
	}
	g.r.Go(func() {
		g.r.Pause(closeTime)
		conn.Close()
	})
	return true
}
