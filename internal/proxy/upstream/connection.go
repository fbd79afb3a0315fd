// Package upstream manages the proxy's connections to targets. It speaks HTTP/1.1 without
// net/http's Transport, because the proxy must know for each request whether its first byte
// was written, and nothing may write a request a second time.
//
// Where the framing of a response is ambiguous (RFC 9112, sections 6 and 9.3), it is
// interpreted strictly: an incomplete response is an error, a connection that received
// unsolicited data is not reused, and a response that names another request is not delivered.
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

	// maxKeepAlive bounds the timeout of a Keep-Alive field, in seconds. From this value on the
	// field is ignored.
	maxKeepAlive = 86400
)

// ErrContinueTimeout is returned if a target did not send 100 Continue in time (RFC 9110,
// section 10.1.1). The request did not run, because its body was not sent.
var ErrContinueTimeout = errors.New("the target did not send 100 Continue in time")

// Connection is one HTTP/1.1 connection to a target. It carries one request at a time: the
// caller uses Begin, Write and RequestWritten, and receives the response from the channel that
// Begin returned. A goroutine of the pool's environment reads at all times: data received
// while no request is pending, or the end of the connection, marks the connection dead. A
// connection is therefore reused only if it is known to be idle.
type Connection struct {
	conn net.Conn
	// correlationHeader is the header field in which a response names its request; empty if
	// responses name none.
	correlationHeader string

	// The fields up to mu are accessed only by the current owner: the pool or one attempt.
	idleSince   time.Time
	idleTimeout time.Duration // longest idle time
	idledFor    time.Duration // idle time before the current request; zero for a new connection
	userTimeout time.Duration // last value set by SetUserTimeout

	mu        sync.Mutex    // guards the fields below
	request   *http.Request // pending; nil while the connection is idle
	maxBody   int           // largest response body, in bytes
	responses chan Response
	continued chan struct{} // closed when the target asks for the body, or has responded
	// writing is set while the request is being written. A response that arrives meanwhile ends
	// the connection: the target may not have read the rest of the request, and would take the
	// next request for that rest.
	writing bool
	dead    bool
}

// readLoop reads responses until the connection ends.
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
		isLast := response.Err != nil || response.HTTP.Close || reader.Buffered() > 0 || c.writing
		c.request = nil
		c.dead = isLast
		c.mu.Unlock()
		responses <- response
		if isLast {
			return
		}
	}
}

// Begin makes a request the pending one, and returns the channel that will receive its
// response. maxBody is the largest response body, in bytes. Begin returns false if the
// connection is dead; nothing may be written then.
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

// Write writes part of the pending request.
func (c *Connection) Write(data []byte) (int, error) { return c.conn.Write(data) }

// RequestWritten marks the pending request as written completely.
func (c *Connection) RequestWritten() {
	c.mu.Lock()
	c.writing = false
	c.mu.Unlock()
}

// AwaitContinue waits until the target asks for the body of the pending request, for at most
// UnackedTimeout. It then raises the user timeout to UnackedStreamTimeout.
func (c *Connection) AwaitContinue(ctx context.Context) error {
	c.mu.Lock()
	continued := c.continued
	c.mu.Unlock()
	timer := time.NewTimer(UnackedTimeout)
	defer timer.Stop()
	select {
	case <-continued:
		c.SetUserTimeout(UnackedStreamTimeout)
		return nil
	case <-timer.C:
		return ErrContinueTimeout
	case <-ctx.Done():
		return ctx.Err()
	}
}

// SetDeadline sets the deadline of reads and writes, as in net.Conn; the zero time means none.
func (c *Connection) SetDeadline(deadline time.Time) { c.conn.SetDeadline(deadline) }

// SetUserTimeout sets how long sent bytes may stay unacknowledged before the operating system
// drops the connection.
func (c *Connection) SetUserTimeout(timeout time.Duration) {
	if c.userTimeout != timeout {
		c.userTimeout = timeout
		setUserTimeout(c.conn, timeout)
	}
}

// ApplyKeepAlive limits the idle time to 90 % of the timeout parameter of a response's
// Keep-Alive field (RFC 2068, section 19.7.1.1), so that the target is never the first to close.
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

// IdledFor returns the idle time before the current request; zero for a new connection.
func (c *Connection) IdledFor() time.Duration { return c.idledFor }

// isIdle reports whether the connection is alive and has no pending request.
func (c *Connection) isIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.dead && c.request == nil
}

// Abort closes the connection and discards written data that has not been sent yet.
func (c *Connection) Abort() {
	c.mu.Lock()
	c.dead = true
	c.mu.Unlock()
	closeAbruptly(c.conn)
}
