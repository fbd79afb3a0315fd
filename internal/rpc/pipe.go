// A pipe is the asking end of one connection to a peer. It is dialled when
// first needed, shared by all who ask that peer, and dropped at the first
// failure, upon which all who wait on it learn that their receipt is lost.
package rpc

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
)

type clientConn struct {
	transport *Transport
	address   string
	ready     chan struct{}
	dialError error
	conn      net.Conn

	mu         sync.Mutex
	writeLock  environment.ChanMutex
	lastID     uint64
	pending    map[uint64]chan *Frame
	closed     bool
	closedIdle bool
	lastRead   time.Time
	lastUsed   time.Time
}

// activityReader notes each byte that comes. A pipe on which none came for the length of an ask
// that ran out of time is dropped: a connection that lived through a cut may otherwise
// stay silent for as long as TCP's own growing pauses last. One that is in the midst of
// a long receipt is not: that would begin anew, and fill the link that made it late.
type activityReader struct{ conn *clientConn }

func (r activityReader) Read(buffer []byte) (int, error) {
	n, err := r.conn.conn.Read(buffer)
	if n > 0 {
		r.conn.mu.Lock()
		r.conn.lastRead = time.Now()
		r.conn.mu.Unlock()
	}
	return n, err
}

func (t *Transport) clientConn(ctx context.Context, address string) (*clientConn, error) {
	t.mu.Lock()
	conn, ok := t.clientConns[address]
	if !ok {
		if t.env.IsStopping() {
			t.mu.Unlock()
			return nil, errcode.New(errcode.Unreached, "%s: stopping", address)
		}
		conn = &clientConn{transport: t, address: address, ready: make(chan struct{}), pending: map[uint64]chan *Frame{}, writeLock: environment.NewChanMutex()}
		t.clientConns[address] = conn
		t.env.Go(conn.run)
	}
	t.mu.Unlock()
	select {
	case <-conn.ready:
		return conn, conn.dialError
	case <-ctx.Done():
		return nil, errcode.New(errcode.Unreached, "%s: %v", address, ctx.Err())
	}
}

func (c *clientConn) run() {
	conn, err := c.dial()
	if err != nil {
		c.dialError = errcode.New(errcode.Unreached, "%s: %v", c.address, err)
		c.unregister()
		close(c.ready)
		return
	}
	c.conn = conn
	if !c.transport.trackConn(conn) {
		c.dialError = errcode.New(errcode.Unreached, "%s: stopping", c.address)
		c.unregister()
		close(c.ready)
		return
	}
	c.mu.Lock()
	c.lastUsed = time.Now()
	c.mu.Unlock()
	close(c.ready)
	reader := bufio.NewReaderSize(activityReader{c}, 16<<10)
	for {
		line, err := readLine(reader, c.transport.env.Config.WireLine)
		if err != nil {
			break
		}
		response := &Frame{}
		if err := json.Unmarshal(line, response); err != nil {
			break
		}
		c.mu.Lock()
		c.lastUsed = time.Now()
		waiter := c.pending[response.ID]
		delete(c.pending, response.ID)
		c.mu.Unlock()
		if waiter != nil {
			waiter <- response
		}
	}
	c.close()
}

// dialAttempts is how many connections are tried for one pipe: a machine that was down when
// the first was asked for is asked again by the system only after a second.
const dialAttempts = 3

// dial opens a connection. While none is there and none was refused, another is tried
// beside it after a part of the time; the first that opens is the pipe's.
func (c *clientConn) dial() (net.Conn, error) {
	ctx, end := context.WithTimeout(c.transport.env, c.transport.env.Config.WireDial)
	defer end()
	type opened struct {
		conn net.Conn
		err  error
	}
	results := make(chan opened, dialAttempts)
	begin := func() {
		c.transport.env.Go(func() {
			conn, err := c.transport.env.Host.Dial(ctx, c.address)
			results <- opened{conn, err}
		})
	}
	again := time.NewTicker(c.transport.env.Config.WireDial / dialAttempts)
	defer again.Stop()
	begin()
	begun := 1
	for {
		select {
		case got := <-results:
			left := begun - 1
			c.transport.env.Go(func() {
				for range left {
					if late := <-results; late.conn != nil {
						late.conn.Close()
					}
				}
			})
			return got.conn, got.err
		case <-again.C:
			if begun < dialAttempts {
				begin()
				begun++
			}
		}
	}
}

func (c *clientConn) unregister() {
	c.transport.mu.Lock()
	if c.transport.clientConns[c.address] == c {
		delete(c.transport.clientConns, c.address)
	}
	c.transport.mu.Unlock()
}

func (c *clientConn) close() {
	c.unregister()
	c.transport.closeConn(c.conn)
	c.mu.Lock()
	c.closed = true
	for id, waiter := range c.pending {
		delete(c.pending, id)
		close(waiter)
	}
	c.mu.Unlock()
}

func (c *clientConn) roundTrip(ctx context.Context, frame *Frame) (*Frame, error) {
	waiter := make(chan *Frame, 1)
	c.mu.Lock()
	if c.closedIdle {
		c.mu.Unlock()
		c.unregister()
		return nil, errClosedIdle
	}
	if c.closed {
		c.mu.Unlock()
		return nil, errcode.New(errcode.Unreached, "%s: pipe closed", c.address)
	}
	c.lastID++
	frame.ID = c.lastID
	c.pending[frame.ID] = waiter
	c.lastUsed = time.Now()
	c.mu.Unlock()
	encoded, err := encodeFrame(frame)
	if err != nil {
		return nil, errcode.New(errcode.Internal, "%v", err)
	}
	sent := time.Now()
	c.transport.recordSent(frame.Kind, c.address, encoded.size())
	c.writeLock.Lock()
	c.conn.SetWriteDeadline(time.Now().Add(5 * time.Second))
	err = encoded.write(c.conn)
	c.writeLock.Unlock()
	if err != nil {
		c.close()
		return nil, errcode.New(errcode.ReplyLost, "%s: %v", c.address, err)
	}
	select {
	case response, ok := <-waiter:
		if !ok {
			return nil, errcode.New(errcode.ReplyLost, "%s: pipe closed", c.address)
		}
		return response, nil
	case <-ctx.Done():
		c.mu.Lock()
		delete(c.pending, frame.ID)
		unresponsive := c.lastRead.Before(sent) && time.Since(sent) > c.transport.env.Config.WireDeaf
		c.mu.Unlock()
		if unresponsive {
			c.close()
		}
		return nil, errcode.New(errcode.ReplyLost, "%s %s: %v", c.address, frame.Kind, ctx.Err())
	}
}
