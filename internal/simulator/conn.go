// Connections of the simulated network. Each consists of two streams, one per direction, with
// delayed delivery. A stream delivers nothing while its direction is blocked, and ends when
// either process is killed.

package simulator

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// maxQueuedBytes is the number of undelivered bytes in a stream at which a write blocks.
const maxQueuedBytes = 1 << 20

type segment struct {
	deliverAt time.Time
	expiresAt time.Time // when the sender's kernel gives up retransmitting; zero for never
	data      []byte
}

type stream struct {
	mu          sync.Mutex
	segments    []segment
	queuedBytes int
	closed      bool // no more writes; queued segments can still be read
	closedAt    time.Time
	broken      bool // reads fail with ECONNRESET, writes with EPIPE
	changed     chan struct{}
}

func (s *stream) broadcast() {
	close(s.changed)
	s.changed = make(chan struct{})
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

// SetUserTimeout limits how long sent data may remain unacknowledged before the connection is
// reset.
func (c *conn) SetUserTimeout(d time.Duration) { c.mu.Lock(); c.userTimeout = d; c.mu.Unlock() }

// SetLinger makes Close discard data that has not arrived, whatever its argument.
func (c *conn) SetLinger(int) error { c.mu.Lock(); c.discardOnClose = true; c.mu.Unlock(); return nil }

func newConnPair(n *Network, dialerAddress, listenerAddress string) (*conn, *conn) {
	toDialer, toListener := &stream{changed: make(chan struct{})}, &stream{changed: make(chan struct{})}
	dialer := &conn{network: n, localHost: hostOf(dialerAddress), remoteHost: hostOf(listenerAddress), localAddress: dialerAddress, remoteAddress: listenerAddress, inbound: toDialer, outbound: toListener, deadlineChanged: make(chan struct{})}
	accepted := &conn{network: n, localHost: hostOf(listenerAddress), remoteHost: hostOf(dialerAddress), localAddress: listenerAddress, remoteAddress: dialerAddress, inbound: toListener, outbound: toDialer, deadlineChanged: make(chan struct{})}
	return dialer, accepted
}

// reset updates one end of a connection after a process was killed. The killed process's own end
// is closed. The peer's end is unaffected if peerNotified is false, as after a power loss.
// Otherwise its writes fail with EPIPE, and its reads fail with ECONNRESET at once if sendsReset is
// set, or else return the data sent so far and then EOF.
func (c *conn) reset(isLocalEnd, peerNotified, sendsReset bool) {
	if isLocalEnd {
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
		c.inbound.closed, c.inbound.broken = true, sendsReset
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

func (c *conn) status() (isClosed bool, readDeadline, writeDeadline time.Time, deadlineChanged chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed, c.readDeadline, c.writeDeadline, c.deadlineChanged
}

// waitForEvent blocks until a channel in changes is closed, or until deadline or deliverAt. A zero
// time is ignored. At most three channels are allowed.
func waitForEvent(deadline time.Time, deliverAt time.Time, changes ...chan struct{}) {
	var timers [2]<-chan time.Time
	for i, wakeTime := range []time.Time{deadline, deliverAt} {
		if !wakeTime.IsZero() {
			remaining := time.Until(wakeTime)
			if remaining <= 0 {
				return
			}
			t := time.NewTimer(remaining)
			defer t.Stop()
			timers[i] = t.C
		}
	}
	for len(changes) < 3 {
		changes = append(changes, nil)
	}
	select {
	case <-timers[0]:
	case <-timers[1]:
	case <-changes[0]:
	case <-changes[1]:
	case <-changes[2]:
	}
}

func (c *conn) Read(p []byte) (int, error) {
	for {
		unfrozenAt := c.network.awaitUnfrozen(c.localHost)
		isClosed, readDeadline, _, deadlineChanged := c.status()
		if isClosed {
			return 0, net.ErrClosed
		}
		if !readDeadline.IsZero() && !time.Now().Before(readDeadline) {
			return 0, os.ErrDeadlineExceeded
		}
		c.network.mu.Lock()
		isBlocked, networkChanged := c.network.blocked(c.remoteHost, c.localHost), c.network.changed
		c.network.mu.Unlock()
		c.inbound.mu.Lock()
		s := c.inbound
		streamChanged := s.changed
		var wakeAt time.Time
		switch {
		case s.broken:
			s.mu.Unlock()
			return 0, syscall.ECONNRESET
		case isBlocked:
		case len(s.segments) > 0:
			first := &s.segments[0]
			isAcknowledged := first.deliverAt.Before(unfrozenAt) // by the kernel of a frozen process
			if !first.expiresAt.IsZero() && time.Now().After(first.expiresAt) && !isAcknowledged {
				s.broken = true
				s.broadcast()
				s.mu.Unlock()
				return 0, syscall.ECONNRESET
			}
			if !time.Now().Before(first.deliverAt) {
				n := copy(p, first.data)
				if first.data = first.data[n:]; len(first.data) == 0 {
					s.segments = s.segments[1:]
				}
				s.queuedBytes -= n
				s.broadcast()
				s.mu.Unlock()
				return n, nil
			}
			wakeAt = first.deliverAt
		case s.closed:
			if !time.Now().Before(s.closedAt) {
				s.mu.Unlock()
				return 0, io.EOF
			}
			wakeAt = s.closedAt
		}
		s.mu.Unlock()
		waitForEvent(readDeadline, wakeAt, streamChanged, networkChanged, deadlineChanged)
	}
}

func (c *conn) Write(p []byte) (int, error) {
	for hasStarted := false; ; {
		isClosed, _, writeDeadline, deadlineChanged := c.status()
		if isClosed {
			return 0, net.ErrClosed
		}
		if !writeDeadline.IsZero() && !time.Now().Before(writeDeadline) {
			return 0, os.ErrDeadlineExceeded
		}
		if !hasStarted {
			c.network.beginWrite(c.localHost, c.remoteAddress)
			hasStarted = true
		}
		c.mu.Lock()
		userTimeout := c.userTimeout
		c.mu.Unlock()
		s := c.outbound
		s.mu.Lock()
		isEnded, isFull, streamChanged := s.broken || s.closed, s.queuedBytes >= maxQueuedBytes, s.changed
		s.mu.Unlock()
		switch {
		case isEnded:
			return 0, syscall.EPIPE
		case isFull:
			waitForEvent(writeDeadline, time.Time{}, streamChanged, deadlineChanged)
			continue
		}
		segments := c.splitIntoSegments(p)
		s.mu.Lock()
		for _, next := range segments {
			if n := len(s.segments); n > 0 && next.deliverAt.Before(s.segments[n-1].deliverAt) {
				next.deliverAt = s.segments[n-1].deliverAt
			}
			if userTimeout > 0 {
				next.expiresAt = next.deliverAt.Add(userTimeout)
			}
			s.segments = append(s.segments, next)
		}
		s.queuedBytes += len(p)
		s.broadcast()
		s.mu.Unlock()
		return len(p), nil
	}
}

// splitIntoSegments splits written data into segments with their delivery times: a single
// segment, unless a link on the path has limited bandwidth. Each segment uses bandwidth for 40 more
// bytes of IP and TCP headers.
func (c *conn) splitIntoSegments(p []byte) (segments []segment) {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	c.network.countBytes(c.localHost, c.remoteHost, len(p)+40)
	maxBytes := len(p)
	if c.network.isLimited(c.localHost, c.remoteHost) {
		maxBytes = maxSegmentBytes
	}
	now := time.Now()
	for {
		n := min(len(p), maxBytes)
		segments = append(segments, segment{deliverAt: c.network.arrivalTime(c.localHost, c.remoteHost, now, n+40), data: append([]byte(nil), p[:n]...)})
		if p = p[n:]; len(p) == 0 {
			return segments
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
	discards := c.discardOnClose
	close(c.deadlineChanged)
	c.deadlineChanged = make(chan struct{})
	c.mu.Unlock()
	c.outbound.mu.Lock()
	if discards {
		c.outbound.segments, c.outbound.queuedBytes, c.outbound.broken = nil, 0, true
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

func (c *conn) updateDeadlines(set func()) error {
	c.mu.Lock()
	set()
	close(c.deadlineChanged)
	c.deadlineChanged = make(chan struct{})
	c.mu.Unlock()
	return nil
}

func (c *conn) SetDeadline(t time.Time) error {
	return c.updateDeadlines(func() { c.readDeadline, c.writeDeadline = t, t })
}

func (c *conn) SetReadDeadline(t time.Time) error {
	return c.updateDeadlines(func() { c.readDeadline = t })
}

func (c *conn) SetWriteDeadline(t time.Time) error {
	return c.updateDeadlines(func() { c.writeDeadline = t })
}
