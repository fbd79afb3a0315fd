// Package upstream holds the proxy's connections to targets. It speaks HTTP/1.1 on them
// itself, without net/http's Transport, because the proxy must know of each request whether
// a first byte of it was written, and nothing may ever write a request a second time.
//
// Where the framing of a response leaves room (RFC 9112, sections 6 and 9.3), the strict
// reading is taken: a response that is not complete is none, a connection on which anything
// unasked was received is not used again, and a response that names another request goes to
// nobody.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	readBufferSize = 8 << 10

	// maxKeepAlive is the longest timeout, in seconds, that a Keep-Alive field is heeded with.
	maxKeepAlive = 86400
)

// ErrContinueTimeout is returned where a server did not take the head of a request in time
// (no 100 Continue, RFC 9110, section 10.1.1). Nothing ran then, for the body was not sent.
var ErrContinueTimeout = errors.New("the server did not take the head in time")

// Connection is one HTTP/1.1 connection to a target. It carries one request at a time:
// Begin, Write, RequestWritten, and the response on the channel that Begin returned. Its
// goroutine, owned by the environment of the pool, waits for a byte at all times: one that
// comes while no request is pending, or the end of the connection, marks it dead. So only a
// connection that is known to be idle is used again.
type Connection struct {
	conn net.Conn
	// correlationHeader is the header field by which a response names its request; empty if
	// there is none.
	correlationHeader string

	// The fields up to mu belong to whoever holds the connection: the pool or one attempt.
	idleSince   time.Time
	idleTimeout time.Duration // how long it may be idle
	idledFor    time.Duration // how long it was idle before its request; zero for a new one
	userTimeout time.Duration // as last set by SetUserTimeout

	mu        sync.Mutex    // guards all that follows
	request   *http.Request // pending; nil while the connection is idle
	maxBody   int           // of the response, in bytes
	responses chan Response
	continued chan struct{} // closed when the server wants the body, or has responded
	// writing is set while the request is being written. A response that comes before it is
	// out ends the connection: the server may never read the rest, and the next request
	// would be taken for it.
	writing bool
	dead    bool
}

// readLoop reads the responses until the connection ends.
func (c *Connection) readLoop() {
	defer c.Abort()
	reader := bufio.NewReaderSize(c.conn, readBufferSize)
	for {
		_, err := reader.Peek(1)
		c.mu.Lock()
		request, maxBody, responses, continued := c.request, c.maxBody, c.responses, c.continued
		if request == nil {
			c.dead = true
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
		if err != nil {
			close(continued)
			responses <- Response{Err: err}
			return
		}
		response := readResponse(reader, request, maxBody, continued, c.correlationHeader)
		c.mu.Lock()
		last := response.Err != nil || response.HTTP.Close || reader.Buffered() > 0 || c.writing
		c.request = nil
		c.dead = last
		c.mu.Unlock()
		responses <- response
		if last {
			return
		}
	}
}

// Begin makes a request the pending one, and returns the channel on which its one response
// will come. The body of the response may have maxBody bytes. It returns false if the
// connection has died meanwhile; then nothing may be written.
func (c *Connection) Begin(request *http.Request, maxBody int) (<-chan Response, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dead {
		return nil, false
	}
	c.request, c.maxBody, c.responses, c.continued = request, maxBody, make(chan Response, 1), make(chan struct{})
	c.writing = true
	return c.responses, true
}

// Write writes a part of the pending request.
func (c *Connection) Write(data []byte) (int, error) { return c.conn.Write(data) }

// RequestWritten marks the pending request as written completely.
func (c *Connection) RequestWritten() {
	c.mu.Lock()
	c.writing = false
	c.mu.Unlock()
}

// AwaitContinue waits until the server wants the body of the pending request, for
// UnackedTimeout at most. From then on what is sent may stay unacknowledged for longer.
func (c *Connection) AwaitContinue(ctx context.Context) error {
	c.mu.Lock()
	continued := c.continued
	c.mu.Unlock()
	wakeup := time.NewTimer(UnackedTimeout)
	defer wakeup.Stop()
	select {
	case <-continued:
		c.SetUserTimeout(UnackedStreamTimeout)
		return nil
	case <-wakeup.C:
		return ErrContinueTimeout
	case <-ctx.Done():
		return ctx.Err()
	}
}

// SetDeadline bounds reads and writes, as net.Conn does; the zero time is no bound.
func (c *Connection) SetDeadline(deadline time.Time) { c.conn.SetDeadline(deadline) }

// SetUserTimeout bounds how long sent bytes may stay unacknowledged before the operating
// system gives the connection up.
func (c *Connection) SetUserTimeout(timeout time.Duration) {
	if c.userTimeout != timeout {
		c.userTimeout = timeout
		setUserTimeout(c.conn, timeout)
	}
}

// ApplyKeepAlive heeds the timeout parameter of a response's Keep-Alive field (RFC 2068,
// section 19.7.1.1) by a tenth less, so that the server is never the first to close.
func (c *Connection) ApplyKeepAlive(header string) {
	_, value, ok := strings.Cut(header, "timeout=")
	if !ok {
		return
	}
	value, _, _ = strings.Cut(value, ",")
	if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && seconds >= 0 && seconds < maxKeepAlive {
		c.idleTimeout = min(c.idleTimeout, time.Duration(seconds)*time.Second*9/10)
	}
}

// IdledFor is how long the connection was idle before its request; zero for a new one.
func (c *Connection) IdledFor() time.Duration { return c.idledFor }

// isIdle reports whether the connection is alive and has no pending request.
func (c *Connection) isIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.dead && c.request == nil
}

// Abort ends the connection; what was written but not sent yet is thrown away.
func (c *Connection) Abort() {
	c.mu.Lock()
	c.dead = true
	c.mu.Unlock()
	closeAbruptly(c.conn)
}
