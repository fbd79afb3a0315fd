package httpserver

import (
	"net"
	"sync"
	"time"
)

// backgroundReadSize is the buffer length, in bytes, of the reads with which net/http detects,
// while a handler runs, that the client has disconnected. A byte that such a read returns is the
// first one of the next request.
const backgroundReadSize = 1

// writeSize is the maximum number of bytes per write. Writing a long response in parts
// distinguishes a client that reads slowly from one that does not read.
const writeSize = 64 << 10

// pastDeadline returns a deadline that makes a read fail immediately.
func pastDeadline() time.Time { return time.Now().Add(-time.Second) }

// connection is a client connection that can be closed while it waits for the next request,
// without losing a request of which a byte was read.
type connection struct {
	net.Conn
	server     *Server
	acceptedAt time.Time

	client clientWait

	mu                sync.Mutex // guards the fields below
	isAwaitingRequest bool       // no byte of the next request has been read
	closesWhenIdle    bool       // closed instead of waiting for another request
	hasEarlyByte      bool       // the first byte of the next request was read while one was being served
	receivedRequest   bool       // a request has been received
	// readDeadline is the deadline that net/http set last. While closesWhenIdle and
	// isAwaitingRequest are set, a past deadline is in force instead.
	readDeadline time.Time
}

// Read reads from the client and notes when the first byte of the next request arrives, also if
// that is before the response to the previous request is finished.
func (c *connection) Read(buffer []byte) (int, error) {
	if len(buffer) != backgroundReadSize {
		c.client.begin()
		defer c.client.end()
	}
	n, err := c.Conn.Read(buffer)
	if n > 0 {
		c.noteEarlyByte(len(buffer))
		c.beginRequest()
	}
	return n, err
}

// Write writes data in parts of at most writeSize bytes.
func (c *connection) Write(data []byte) (written int, err error) {
	for {
		n, err := c.writePart(data[written:min(written+writeSize, len(data))])
		written += n
		if err != nil || written == len(data) {
			return written, err
		}
	}
}

// writePart writes one part; while it blocks, the connection counts as waiting for its client.
func (c *connection) writePart(data []byte) (int, error) {
	c.client.begin()
	defer c.client.end()
	return c.Conn.Write(data)
}

// Close closes the connection and removes it from the server's connections.
func (c *connection) Close() error {
	err := c.Conn.Close()
	c.server.remove(c)
	return err
}

// noteEarlyByte records that a background read returned the first byte of the next request while
// a request is being served. size is the length of the read's buffer.
func (c *connection) noteEarlyByte(size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isAwaitingRequest && size == backgroundReadSize {
		c.hasEarlyByte = true
	}
}

// beginRequest records that a request has begun to arrive. If a past deadline is in force, it is
// replaced by the one that net/http set.
func (c *connection) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isAwaitingRequest {
		return
	}
	c.isAwaitingRequest, c.receivedRequest = false, true
	if c.closesWhenIdle {
		c.Conn.SetReadDeadline(c.readDeadline)
	}
}

// awaitRequest records that the connection waits for its next request, unless the first byte of
// that request has already been read. If closesWhenIdle is set, the wait ends immediately.
func (c *connection) awaitRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hasEarlyByte {
		c.hasEarlyByte = false
		return
	}
	c.isAwaitingRequest = true
	if c.closesWhenIdle {
		c.Conn.SetReadDeadline(pastDeadline())
	}
}

// closeWhenIdle makes the connection close as soon as no request is being served on it.
func (c *connection) closeWhenIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closesWhenIdle {
		return
	}
	c.closesWhenIdle = true
	if c.isAwaitingRequest {
		c.Conn.SetReadDeadline(pastDeadline())
	}
}

// hasReceivedRequest reports whether a request has arrived on the connection.
func (c *connection) hasReceivedRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.receivedRequest
}

// SetReadDeadline sets the deadline for reads. It only records the deadline while the wait for a
// request is being ended by a past one.
func (c *connection) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = deadline
	if c.closesWhenIdle && c.isAwaitingRequest {
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

// CloseWrite closes the writing side of the connection. It returns net.ErrClosed if the underlying
// connection does not support that.
func (c *connection) CloseWrite() error {
	if halfCloser, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return halfCloser.CloseWrite()
	}
	return net.ErrClosed
}
