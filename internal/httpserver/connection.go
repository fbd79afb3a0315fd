package httpserver

import (
	"net"
	"sync"
	"time"
)

// backgroundReadSize is the length of the reads by which net/http notices, while a handler is not
// back yet, that the client has gone. What such a read brings is the first byte of the next request.
const backgroundReadSize = 1

// writeSize is how much is written at once, in bytes, so that a client that takes a long response
// slowly is told from one that takes nothing.
const writeSize = 64 << 10

// past is a deadline that ends a read at once.
func past() time.Time { return time.Now().Add(-time.Second) }

// connection is a client's connection whose wait for the next request can be ended without
// losing a request of which a byte was read.
type connection struct {
	net.Conn
	server     *Server
	acceptedAt time.Time

	client clientWait

	mu        sync.Mutex // guards all that follows
	isWaiting bool       // nothing of the next request was read
	isEnding  bool       // it waits for no other request
	hasEarly  bool       // the first byte of the next request was read before the wait for it
	served    bool       // it has had a request
	// readDeadline is the one that net/http set last. While the wait is ended another one
	// is in force.
	readDeadline time.Time
}

// Read reads what the client sent. The first bytes of a request end the wait for it, also where
// they come before the wait.
func (c *connection) Read(buffer []byte) (int, error) {
	if len(buffer) != backgroundReadSize {
		c.client.begin()
		defer c.client.end()
	}
	n, err := c.Conn.Read(buffer)
	if n > 0 {
		c.noteEarly(len(buffer))
		c.beginRequest()
	}
	return n, err
}

// Write writes a part of a response.
func (c *connection) Write(data []byte) (written int, err error) {
	for {
		n, err := c.writePart(data[written:min(written+writeSize, len(data))])
		written += n
		if err != nil || written == len(data) {
			return written, err
		}
	}
}

// writePart waits until the client takes a few bytes.
func (c *connection) writePart(data []byte) (int, error) {
	c.client.begin()
	defer c.client.end()
	return c.Conn.Write(data)
}

// Close closes the connection. The server waits for it no more.
func (c *connection) Close() error {
	err := c.Conn.Close()
	c.server.forget(c)
	return err
}

// noteEarly notes a byte that was read while a request is being served.
func (c *connection) noteEarly(size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isWaiting && size == backgroundReadSize {
		c.hasEarly = true
	}
}

// beginRequest ends the wait for a request, for there is one.
func (c *connection) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isWaiting {
		return
	}
	c.isWaiting, c.served = false, true
	if c.isEnding {
		c.Conn.SetReadDeadline(c.readDeadline)
	}
}

// awaitRequest begins the wait for the next request, unless that has begun already. If the
// connection is ending, nothing of it is read any more.
func (c *connection) awaitRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hasEarly {
		c.hasEarly = false
		return
	}
	c.isWaiting = true
	if c.isEnding {
		c.Conn.SetReadDeadline(past())
	}
}

// end has the connection closed as soon as no request is being served on it.
func (c *connection) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isEnding {
		return
	}
	c.isEnding = true
	if c.isWaiting {
		c.Conn.SetReadDeadline(past())
	}
}

// hasServed tells whether the connection has had a request.
func (c *connection) hasServed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.served
}

// SetReadDeadline sets the deadline for reads, unless the wait for a request is ended.
func (c *connection) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = deadline
	if c.isEnding && c.isWaiting {
		return nil
	}
	return c.Conn.SetReadDeadline(deadline)
}

// SetDeadline sets the deadlines for reads and writes.
func (c *connection) SetDeadline(deadline time.Time) error {
	if err := c.SetReadDeadline(deadline); err != nil {
		return err
	}
	return c.Conn.SetWriteDeadline(deadline)
}

// CloseWrite ends the sending side, if the connection has two sides.
func (c *connection) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return net.ErrClosed
}
