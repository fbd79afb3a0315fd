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

const (
	// requestWriteTimeout bounds the writing of one request.
	requestWriteTimeout = 5 * time.Second
	// dialAttempts is how many dials are begun for one connection. The system repeats an
	// unanswered SYN only after a second, so a peer that was down at the first is asked anew.
	dialAttempts = 3
)

// clientConn is the calling end of a connection to a peer. It is dialled when it is first
// needed, shared by all calls to that peer, and closed at the first failure, upon which
// every pending call fails with errcode.ReplyLost.
type clientConn struct {
	transport *Transport
	address   string

	// ready is closed after the dial; dialError and conn are set before and not changed.
	ready     chan struct{}
	dialError error
	conn      net.Conn

	writeLock environment.ChanMutex // held while a frame is written

	// mu guards all below.
	mu         sync.Mutex
	lastID     uint64
	pending    map[uint64]chan *Frame // calls by the ID of their frame; closed when the response is lost
	closed     bool
	closedIdle bool
	lastRead   time.Time // when a byte last came
	lastUsed   time.Time // when a call last began or ended
}

// clientConn returns the connection to an address, dialling it if there is none.
func (t *Transport) clientConn(ctx context.Context, address string) (*clientConn, error) {
	t.mu.Lock()
	conn, ok := t.clientConns[address]
	if !ok {
		if t.env.IsStopping() {
			t.mu.Unlock()
			return nil, errcode.New(errcode.Unreachable, "%s: stopping", address)
		}
		conn = &clientConn{
			transport: t,
			address:   address,
			ready:     make(chan struct{}),
			writeLock: environment.NewChanMutex(),
			pending:   map[uint64]chan *Frame{},
		}
		t.clientConns[address] = conn
		t.env.Go(conn.run)
	}
	t.mu.Unlock()
	select {
	case <-conn.ready:
		return conn, conn.dialError
	case <-ctx.Done():
		return nil, errcode.New(errcode.Unreachable, "%s: %v", address, ctx.Err())
	}
}

// run dials, and then reads responses until the connection fails.
func (c *clientConn) run() {
	if c.dialError = c.connect(); c.dialError != nil {
		c.unregister()
		close(c.ready)
		return
	}
	c.mu.Lock()
	c.lastUsed = time.Now()
	c.mu.Unlock()
	close(c.ready)
	c.readResponses()
	c.close()
}

func (c *clientConn) connect() error {
	conn, err := c.dial()
	if err != nil {
		return errcode.New(errcode.Unreachable, "%s: %v", c.address, err)
	}
	if !c.transport.trackConn(conn) {
		return errcode.New(errcode.Unreachable, "%s: stopping", c.address)
	}
	c.conn = conn
	return nil
}

// dial opens a connection within the setting peer.dial_timeout. As long as none is open and none
// was refused, another dial is begun beside it after a part of that time; the first to end
// decides.
func (c *clientConn) dial() (net.Conn, error) {
	env := c.transport.env
	ctx, cancel := context.WithTimeout(env, env.Config.PeerDialTimeout)
	defer cancel()
	type result struct {
		conn net.Conn
		err  error
	}
	results := make(chan result, dialAttempts)
	begin := func() {
		env.Go(func() {
			conn, err := env.Host.Dial(ctx, c.address)
			results <- result{conn, err}
		})
	}
	again := time.NewTicker(env.Config.PeerDialTimeout / dialAttempts)
	defer again.Stop()
	begin()
	begun := 1
	for {
		select {
		case first := <-results:
			left := begun - 1
			env.Go(func() {
				for range left {
					if late := <-results; late.conn != nil {
						late.conn.Close()
					}
				}
			})
			return first.conn, first.err
		case <-again.C:
			if begun < dialAttempts {
				begin()
				begun++
			}
		}
	}
}

// readResponses hands each response to the call that waits for it. It returns at the first
// thing that is no response.
func (c *clientConn) readResponses() {
	reader := bufio.NewReaderSize(activityReader{c}, readBufferSize)
	for {
		line, err := readLine(reader, c.transport.env.Config.PeerMaxMessageBytes)
		if err != nil {
			return
		}
		response := &Frame{}
		if err := json.Unmarshal(line, response); err != nil {
			return
		}
		c.mu.Lock()
		c.lastUsed = time.Now()
		call := c.pending[response.ID]
		delete(c.pending, response.ID)
		c.mu.Unlock()
		if call != nil {
			call <- response
		}
	}
}

// activityReader reads from the connection and notes when bytes last came.
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

// roundTrip sends a request and waits for its response until ctx ends.
func (c *clientConn) roundTrip(ctx context.Context, request *Frame) (*Frame, error) {
	call, err := c.register(request)
	if err != nil {
		return nil, err
	}
	encoded, err := encodeFrame(request)
	if err != nil {
		return nil, errcode.New(errcode.Internal, "%v", err)
	}
	sent := time.Now()
	c.transport.RecordSent(request.Kind, c.address, encoded.size())
	if err := c.write(encoded); err != nil {
		c.close()
		return nil, errcode.New(errcode.ReplyLost, "%s: %v", c.address, err)
	}
	select {
	case response, ok := <-call:
		if !ok {
			return nil, errcode.New(errcode.ReplyLost, "%s: connection closed", c.address)
		}
		return response, nil
	case <-ctx.Done():
		if c.abandon(request.ID, sent) {
			c.close()
		}
		return nil, errcode.New(errcode.ReplyLost, "%s %s: %v", c.address, request.Kind, ctx.Err())
	}
}

// register gives the request its ID and returns the channel on which its response comes.
func (c *clientConn) register(request *Frame) (chan *Frame, error) {
	c.mu.Lock()
	if c.closedIdle {
		c.mu.Unlock()
		c.unregister()
		return nil, errClosedIdle
	}
	defer c.mu.Unlock()
	if c.closed {
		return nil, errcode.New(errcode.Unreachable, "%s: connection closed", c.address)
	}
	call := make(chan *Frame, 1)
	c.lastID++
	request.ID = c.lastID
	c.pending[request.ID] = call
	c.lastUsed = time.Now()
	return call, nil
}

func (c *clientConn) write(frame encodedFrame) error {
	c.writeLock.Lock()
	defer c.writeLock.Unlock()
	c.conn.SetWriteDeadline(time.Now().Add(requestWriteTimeout))
	return frame.writeTo(c.conn)
}

// abandon forgets a call that ran out of time. It reports whether the connection is dead: no
// byte came since the call was sent, for longer than the setting peer.silence_timeout. A
// connection that lived through a partition may otherwise stay silent for as long as TCP's
// growing retransmission pauses last. One that is in the midst of a long response is not dead:
// to begin that anew would fill the link that made it late.
func (c *clientConn) abandon(id uint64, sent time.Time) (dead bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
	return c.lastRead.Before(sent) && time.Since(sent) > c.transport.env.Config.PeerSilenceTimeout
}

// unregister has the next call to this address dial anew.
func (c *clientConn) unregister() {
	c.transport.mu.Lock()
	defer c.transport.mu.Unlock()
	if c.transport.clientConns[c.address] == c {
		delete(c.transport.clientConns, c.address)
	}
}

// close closes the connection; every pending call has lost its response.
func (c *clientConn) close() {
	c.unregister()
	c.transport.closeConn(c.conn)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for id, call := range c.pending {
		delete(c.pending, id)
		close(call)
	}
}
