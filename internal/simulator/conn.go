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

const halfMost = 1 << 20

type chunk struct {
	due  time.Time
	late time.Time // when the sender's system gives it up; zero for never
	data []byte
}

type half struct {
	mu       sync.Mutex
	chunks   []chunk
	size     int
	isShut   bool // the writer closed it; what is queued can still be read
	shutDue  time.Time
	isBroken bool
	change   chan struct{}
}

func (h *half) stir() {
	close(h.change)
	h.change = make(chan struct{})
}

type conn struct {
	w             *World
	local, remote string
	here, there   string
	in, out       *half
	mu            sync.Mutex
	isClosed      bool
	readBy        time.Time
	writeBy       time.Time
	deadline      chan struct{}
	patience      time.Duration
	isHasty       bool
}

// SetUserTimeout bounds how long what was sent may stay on its way.
func (c *conn) SetUserTimeout(d time.Duration) { c.mu.Lock(); c.patience = d; c.mu.Unlock() }

// SetLinger, as zero, throws away at the close what has not arrived.
func (c *conn) SetLinger(int) error { c.mu.Lock(); c.isHasty = true; c.mu.Unlock(); return nil }

func pair(w *World, here, there string) (*conn, *conn) {
	one, two := &half{change: make(chan struct{})}, &half{change: make(chan struct{})}
	a := &conn{w: w, local: host(here), remote: host(there), here: here, there: there, in: one, out: two, deadline: make(chan struct{})}
	b := &conn{w: w, local: host(there), remote: host(here), here: there, there: here, in: two, out: one, deadline: make(chan struct{})}
	return a, b
}

// reset ends the connection with its process. Of a killed process the peer
// still gets what was sent, or sometimes a reset; of a machine without power it
// hears nothing.
func (c *conn) reset(isOwn, isTold, isHard bool) {
	if isOwn {
		c.mu.Lock()
		c.isClosed = true
		close(c.deadline)
		c.deadline = make(chan struct{})
		c.mu.Unlock()
		return
	}
	if !isTold {
		return
	}
	c.in.mu.Lock()
	if !c.in.isShut {
		c.in.isShut, c.in.isBroken = true, isHard
		c.in.shutDue = time.Now().Add(time.Millisecond)
		if n := len(c.in.chunks); n > 0 && c.in.shutDue.Before(c.in.chunks[n-1].due) {
			c.in.shutDue = c.in.chunks[n-1].due
		}
	}
	c.in.stir()
	c.in.mu.Unlock()
	c.out.mu.Lock()
	c.out.isBroken = true
	c.out.stir()
	c.out.mu.Unlock()
}

func (c *conn) state() (isClosed bool, readBy, writeBy time.Time, deadline chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isClosed, c.readBy, c.writeBy, c.deadline
}

// wait blocks until one of the changes, a moment, or the deadline.
func wait(by time.Time, due time.Time, changes ...chan struct{}) {
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
		isClosed, by, _, deadline := c.state()
		if isClosed {
			return 0, net.ErrClosed
		}
		if !by.IsZero() && !time.Now().Before(by) {
			return 0, os.ErrDeadlineExceeded
		}
		c.w.mu.Lock()
		isBlocked, topology := c.w.blocked(c.remote, c.local), c.w.change
		c.w.mu.Unlock()
		c.in.mu.Lock()
		h := c.in
		change := h.change
		var due time.Time
		switch {
		case h.isBroken:
			h.mu.Unlock()
			return 0, syscall.ECONNRESET
		case isBlocked:
		case len(h.chunks) > 0:
			first := &h.chunks[0]
			if !first.late.IsZero() && time.Now().After(first.late) {
				h.isBroken = true
				h.stir()
				h.mu.Unlock()
				return 0, syscall.ECONNRESET
			}
			if !time.Now().Before(first.due) {
				n := copy(p, first.data)
				if first.data = first.data[n:]; len(first.data) == 0 {
					h.chunks = h.chunks[1:]
				}
				h.size -= n
				h.stir()
				h.mu.Unlock()
				return n, nil
			}
			due = first.due
		case h.isShut:
			if !time.Now().Before(h.shutDue) {
				h.mu.Unlock()
				return 0, io.EOF
			}
			due = h.shutDue
		}
		h.mu.Unlock()
		wait(by, due, change, topology, deadline)
	}
}

func (c *conn) Write(p []byte) (int, error) {
	for {
		isClosed, _, by, deadline := c.state()
		if isClosed {
			return 0, net.ErrClosed
		}
		if !by.IsZero() && !time.Now().Before(by) {
			return 0, os.ErrDeadlineExceeded
		}
		c.mu.Lock()
		patience := c.patience
		c.mu.Unlock()
		h := c.out
		h.mu.Lock()
		isOver, isFull, change := h.isBroken || h.isShut, h.size >= halfMost, h.change
		h.mu.Unlock()
		switch {
		case isOver:
			return 0, syscall.EPIPE
		case isFull:
			wait(by, time.Time{}, change, deadline)
			continue
		}
		pieces := c.cut(p)
		h.mu.Lock()
		for _, one := range pieces {
			if n := len(h.chunks); n > 0 && one.due.Before(h.chunks[n-1].due) {
				one.due = h.chunks[n-1].due
			}
			if patience > 0 {
				one.late = one.due.Add(patience)
			}
			h.chunks = append(h.chunks, one)
		}
		h.size += len(p)
		h.stir()
		h.mu.Unlock()
		return len(p), nil
	}
}

// cut makes of what is written the pieces in which it arrives: one, unless a link on the
// way is narrow.
func (c *conn) cut(p []byte) (pieces []chunk) {
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	c.w.count(c.local, c.remote, len(p)+40)
	most := len(p)
	if c.w.isNarrow(c.local, c.remote) {
		most = packetMost
	}
	now := time.Now()
	for {
		n := min(len(p), most)
		pieces = append(pieces, chunk{due: c.w.arrival(c.local, c.remote, now, n+40), data: append([]byte(nil), p[:n]...)})
		if p = p[n:]; len(p) == 0 {
			return pieces
		}
	}
}

func (c *conn) Close() error {
	c.w.mu.Lock()
	delete(c.w.conns, c)
	c.w.mu.Unlock()
	c.mu.Lock()
	if c.isClosed {
		c.mu.Unlock()
		return nil
	}
	c.isClosed = true
	isHasty := c.isHasty
	close(c.deadline)
	c.deadline = make(chan struct{})
	c.mu.Unlock()
	c.out.mu.Lock()
	if isHasty {
		c.out.chunks, c.out.size, c.out.isBroken = nil, 0, true
	}
	c.out.isShut = true
	c.out.shutDue = time.Now().Add(time.Millisecond)
	if n := len(c.out.chunks); n > 0 && c.out.shutDue.Before(c.out.chunks[n-1].due) {
		c.out.shutDue = c.out.chunks[n-1].due
	}
	c.out.stir()
	c.out.mu.Unlock()
	c.in.mu.Lock()
	c.in.isShut = true
	c.in.stir()
	c.in.mu.Unlock()
	return nil
}

func (c *conn) LocalAddr() net.Addr  { return addr(c.here) }
func (c *conn) RemoteAddr() net.Addr { return addr(c.there) }

func (c *conn) set(change func()) error {
	c.mu.Lock()
	change()
	close(c.deadline)
	c.deadline = make(chan struct{})
	c.mu.Unlock()
	return nil
}

func (c *conn) SetDeadline(t time.Time) error {
	return c.set(func() { c.readBy, c.writeBy = t, t })
}
func (c *conn) SetReadDeadline(t time.Time) error  { return c.set(func() { c.readBy = t }) }
func (c *conn) SetWriteDeadline(t time.Time) error { return c.set(func() { c.writeBy = t }) }

type listener struct {
	w       *World
	address string
	queue   chan *conn
	closed  chan struct{}
	once    sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) close() { l.once.Do(func() { close(l.closed) }) }

func (l *listener) Close() error {
	l.close()
	l.w.mu.Lock()
	if l.w.listeners[l.address] == l {
		delete(l.w.listeners, l.address)
	}
	l.w.mu.Unlock()
	return nil
}

func (l *listener) Addr() net.Addr { return addr(l.address) }

type packet struct {
	due  time.Time
	from string
	data []byte
}

type packetConn struct {
	w       *World
	address string
	queue   chan packet
	closed  chan struct{}
	once    sync.Once
}

func (p *packetConn) ReadFrom(b []byte) (int, net.Addr, error) {
	for {
		select {
		case got := <-p.queue:
			if d := time.Until(got.due); d > 0 {
				wait(time.Time{}, got.due, p.closed)
			}
			p.w.mu.Lock()
			isBlocked := p.w.blocked(host(got.from), host(p.address))
			p.w.mu.Unlock()
			if isBlocked {
				continue
			}
			return copy(b, got.data), addr(got.from), nil
		case <-p.closed:
			return 0, nil, net.ErrClosed
		}
	}
}

func (p *packetConn) WriteTo(b []byte, to net.Addr) (int, error) {
	select {
	case <-p.closed:
		return 0, net.ErrClosed
	default:
	}
	w, from := p.w, host(p.address)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.count(from, host(to.String()), len(b)+28)
	target := w.packets[to.String()]
	if target == nil || w.blocked(from, host(to.String())) || w.rand.Float64() < w.loss {
		return len(b), nil
	}
	due := w.arrival(from, host(to.String()), time.Now(), len(b)+28)
	if time.Until(due) > queueMost {
		return len(b), nil
	}
	select {
	case target.queue <- packet{due, p.address, append([]byte(nil), b...)}:
	default:
	}
	return len(b), nil
}

func (p *packetConn) shut() { p.once.Do(func() { close(p.closed) }) }

func (p *packetConn) Close() error {
	p.shut()
	p.w.mu.Lock()
	if p.w.packets[p.address] == p {
		delete(p.w.packets, p.address)
	}
	p.w.mu.Unlock()
	return nil
}

func (p *packetConn) LocalAddr() net.Addr                { return addr(p.address) }
func (p *packetConn) SetDeadline(t time.Time) error      { return nil }
func (p *packetConn) SetReadDeadline(t time.Time) error  { return nil }
func (p *packetConn) SetWriteDeadline(t time.Time) error { return nil }
