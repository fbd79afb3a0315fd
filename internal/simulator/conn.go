// Connections of the simulated network: two half-streams, each with its delay,
// that stand still while their way is cut and end when a process is killed.

package simulator

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

const maxQueuedBytes = 1 << 20

type segment struct {
	deliverAt time.Time
	expiresAt time.Time // when the sender's system gives it up; zero for never
	data      []byte
}

type stream struct {
	mu       sync.Mutex
	segments []segment
	size     int
	closed   bool // the writer closed it; what is queued can still be read
	closedAt time.Time
	broken   bool
	changed  chan struct{}
}

func (h *stream) broadcast() {
	close(h.changed)
	h.changed = make(chan struct{})
}

type conn struct {
	network                     *Network
	localHost, remoteHost       string
	localAddress, remoteAddress string
	inbound, outbound           *stream
	mu                          sync.Mutex
	closed                      bool
	readDeadline                time.Time
	writeDeadline               time.Time
	deadlineChanged             chan struct{}
	userTimeout                 time.Duration
	discardOnClose              bool
}

// SetUserTimeout bounds how long what was sent may stay on its way.
func (c *conn) SetUserTimeout(d time.Duration) { c.mu.Lock(); c.userTimeout = d; c.mu.Unlock() }

// SetLinger, as zero, throws away at the close what has not arrived.
func (c *conn) SetLinger(int) error { c.mu.Lock(); c.discardOnClose = true; c.mu.Unlock(); return nil }

func newConnPair(w *Network, here, there string) (*conn, *conn) {
	one, two := &stream{changed: make(chan struct{})}, &stream{changed: make(chan struct{})}
	a := &conn{network: w, localHost: hostOf(here), remoteHost: hostOf(there), localAddress: here, remoteAddress: there, inbound: one, outbound: two, deadlineChanged: make(chan struct{})}
	b := &conn{network: w, localHost: hostOf(there), remoteHost: hostOf(here), localAddress: there, remoteAddress: here, inbound: two, outbound: one, deadlineChanged: make(chan struct{})}
	return a, b
}

// reset ends the connection with its process. Of a killed process the peer
// still gets what was sent, or sometimes a reset; of a machine without power it
// hears nothing.
func (c *conn) reset(isOwn, peerNotified, isHard bool) {
	if isOwn {
		c.mu.Lock()
		c.closed = true
		close(c.deadlineChanged)
		c.deadlineChanged = make(chan struct{})
		c.mu.Unlock()
		return
	}
	if !peerNotified {
		return
	}
	c.inbound.mu.Lock()
	if !c.inbound.closed {
		c.inbound.closed, c.inbound.broken = true, isHard
		c.inbound.closedAt = time.Now().Add(time.Millisecond)
		if n := len(c.inbound.segments); n > 0 && c.inbound.closedAt.Before(c.inbound.segments[n-1].deliverAt) {
			c.inbound.closedAt = c.inbound.segments[n-1].deliverAt
		}
	}
	c.inbound.broadcast()
	c.inbound.mu.Unlock()
	c.outbound.mu.Lock()
	c.outbound.broken = true
	c.outbound.broadcast()
	c.outbound.mu.Unlock()
}

func (c *conn) status() (isClosed bool, readBy, writeBy time.Time, deadline chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed, c.readDeadline, c.writeDeadline, c.deadlineChanged
}

// waitForEvent blocks until one of the changes, a moment, or the deadline.
func waitForEvent(by time.Time, due time.Time, changes ...chan struct{}) {
	var wakeups [2]<-chan time.Time
	for i, at := range []time.Time{by, due} {
		if !at.IsZero() {
			left := time.Until(at)
			if left <= 0 {
				return
			}
			t := time.NewTimer(left)
			defer t.Stop()
			wakeups[i] = t.C
		}
	}
	for len(changes) < 3 {
		changes = append(changes, nil)
	}
	select {
	case <-wakeups[0]:
	case <-wakeups[1]:
	case <-changes[0]:
	case <-changes[1]:
	case <-changes[2]:
	}
}

func (c *conn) Read(p []byte) (int, error) {
	for {
		thawedAt := c.network.awaitThaw(c.localHost)
		isClosed, by, _, deadline := c.status()
		if isClosed {
			return 0, net.ErrClosed
		}
		if !by.IsZero() && !time.Now().Before(by) {
			return 0, os.ErrDeadlineExceeded
		}
		c.network.mu.Lock()
		isBlocked, topology := c.network.blocked(c.remoteHost, c.localHost), c.network.changed
		c.network.mu.Unlock()
		c.inbound.mu.Lock()
		h := c.inbound
		change := h.changed
		var due time.Time
		switch {
		case h.broken:
			h.mu.Unlock()
			return 0, syscall.ECONNRESET
		case isBlocked:
		case len(h.segments) > 0:
			first := &h.segments[0]
			isAcknowledged := first.deliverAt.Before(thawedAt) // by the system of a process that stood still
			if !first.expiresAt.IsZero() && time.Now().After(first.expiresAt) && !isAcknowledged {
				h.broken = true
				h.broadcast()
				h.mu.Unlock()
				return 0, syscall.ECONNRESET
			}
			if !time.Now().Before(first.deliverAt) {
				n := copy(p, first.data)
				if first.data = first.data[n:]; len(first.data) == 0 {
					h.segments = h.segments[1:]
				}
				h.size -= n
				h.broadcast()
				h.mu.Unlock()
				return n, nil
			}
			due = first.deliverAt
		case h.closed:
			if !time.Now().Before(h.closedAt) {
				h.mu.Unlock()
				return 0, io.EOF
			}
			due = h.closedAt
		}
		h.mu.Unlock()
		waitForEvent(by, due, change, topology, deadline)
	}
}

func (c *conn) Write(p []byte) (int, error) {
	for hasBegun := false; ; {
		isClosed, _, by, deadline := c.status()
		if isClosed {
			return 0, net.ErrClosed
		}
		if !by.IsZero() && !time.Now().Before(by) {
			return 0, os.ErrDeadlineExceeded
		}
		if !hasBegun {
			c.network.beginWrite(c.localHost, c.remoteAddress)
			hasBegun = true
		}
		c.mu.Lock()
		patience := c.userTimeout
		c.mu.Unlock()
		h := c.outbound
		h.mu.Lock()
		isOver, isFull, change := h.broken || h.closed, h.size >= maxQueuedBytes, h.changed
		h.mu.Unlock()
		switch {
		case isOver:
			return 0, syscall.EPIPE
		case isFull:
			waitForEvent(by, time.Time{}, change, deadline)
			continue
		}
		pieces := c.segmentsOf(p)
		h.mu.Lock()
		for _, one := range pieces {
			if n := len(h.segments); n > 0 && one.deliverAt.Before(h.segments[n-1].deliverAt) {
				one.deliverAt = h.segments[n-1].deliverAt
			}
			if patience > 0 {
				one.expiresAt = one.deliverAt.Add(patience)
			}
			h.segments = append(h.segments, one)
		}
		h.size += len(p)
		h.broadcast()
		h.mu.Unlock()
		return len(p), nil
	}
}

// segmentsOf makes of what is written the pieces in which it arrives: one, unless a link on the
// way is narrow.
func (c *conn) segmentsOf(p []byte) (pieces []segment) {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	c.network.countBytes(c.localHost, c.remoteHost, len(p)+40)
	most := len(p)
	if c.network.isLimited(c.localHost, c.remoteHost) {
		most = packetMost
	}
	now := time.Now()
	for {
		n := min(len(p), most)
		pieces = append(pieces, segment{deliverAt: c.network.arrivalTime(c.localHost, c.remoteHost, now, n+40), data: append([]byte(nil), p[:n]...)})
		if p = p[n:]; len(p) == 0 {
			return pieces
		}
	}
}

func (c *conn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil
	}
	c.closed = true
	isHasty := c.discardOnClose
	close(c.deadlineChanged)
	c.deadlineChanged = make(chan struct{})
	c.mu.Unlock()
	c.outbound.mu.Lock()
	if isHasty {
		c.outbound.segments, c.outbound.size, c.outbound.broken = nil, 0, true
	}
	c.outbound.closed = true
	c.outbound.closedAt = time.Now().Add(time.Millisecond)
	if n := len(c.outbound.segments); n > 0 && c.outbound.closedAt.Before(c.outbound.segments[n-1].deliverAt) {
		c.outbound.closedAt = c.outbound.segments[n-1].deliverAt
	}
	c.outbound.broadcast()
	c.outbound.mu.Unlock()
	c.inbound.mu.Lock()
	c.inbound.closed = true
	c.inbound.broadcast()
	c.inbound.mu.Unlock()
	return nil
}

func (c *conn) LocalAddr() net.Addr { return tcpAddr(c.localAddress) }

func (c *conn) RemoteAddr() net.Addr { return tcpAddr(c.remoteAddress) }

func (c *conn) update(change func()) error {
	c.mu.Lock()
	change()
	close(c.deadlineChanged)
	c.deadlineChanged = make(chan struct{})
	c.mu.Unlock()
	return nil
}

func (c *conn) SetDeadline(t time.Time) error {
	return c.update(func() { c.readDeadline, c.writeDeadline = t, t })
}

func (c *conn) SetReadDeadline(t time.Time) error { return c.update(func() { c.readDeadline = t }) }

func (c *conn) SetWriteDeadline(t time.Time) error { return c.update(func() { c.writeDeadline = t }) }
