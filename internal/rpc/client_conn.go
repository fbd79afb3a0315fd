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
	// requestWriteTimeout is the timeout for writing one request.
	requestWriteTimeout = 5 * time.Second
	// dialAttempts is the maximum number of dials per connection. The kernel retransmits an
	// unanswered SYN only after a second; additional dials connect sooner to a peer that
	// was down during the first.
	dialAttempts = 3
)

// clientConn is an outgoing connection to a peer. It is shared by all calls to that peer and
// closed on the first failure; every pending call then fails with errcode.ReplyLost.
type clientConn struct {
	transport *Transport
	address   string

	// ready is closed after the dial. dialErr and conn are set before that and not changed
	// afterwards.
	ready   chan struct{}
	dialErr error
	conn    net.Conn

	writeLock environment.ChanMutex // held while writing a frame

	// mu guards the fields below.
	mu         sync.Mutex
	lastID     uint64
	pending    map[uint64]chan *Frame // by frame ID; closed when the response is lost
	closed     bool
	closedIdle bool
	lastRead   time.Time // when bytes were last received
	lastUsed   time.Time // when a call last started or ended
}

// clientConn returns the connection to an address. It dials if there is none.
func (t *Transport) clientConn(ctx context.Context, address string) (*clientConn, error) {
	t.mu.Lock()
	conn, ok := t.clientConns[address]
	if !ok {
		if t.env.IsStopping() {
			t.mu.Unlock()
			return nil, errcode.New(errcode.Unreachable, "%s: this node is stopping", address)
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
		return conn, conn.dialErr
	case <-ctx.Done():
		return nil, errcode.New(errcode.Unreachable, "%s: %v", address, ctx.Err())
	}
}

// run dials and then reads responses until the connection fails.
func (c *clientConn) run() {
	if c.dialErr = c.connect(); c.dialErr != nil {
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
		return errcode.New(errcode.Unreachable, "%s: this node is stopping", c.address)
	}
	c.conn = conn
	return nil
}

// dial opens a connection within peer.dial_timeout. While no dial has finished, it starts
// up to dialAttempts concurrent dials, evenly spaced over the timeout. The first to finish
// determines the result, whether it succeeds or fails.
func (c *clientConn) dial() (net.Conn, error) {
	env := c.transport.env
	ctx, cancel := context.WithTimeout(env, env.Config.PeerDialTimeout)
	defer cancel()
	type dialResult struct {
		conn net.Conn
		err  error
	}
	results := make(chan dialResult, dialAttempts)
	startDial := func() {
		env.Go(func() {
			conn, err := env.Host.Dial(ctx, c.address)
			results <- dialResult{conn, err}
		})
	}
	ticker := time.NewTicker(env.Config.PeerDialTimeout / dialAttempts)
	defer ticker.Stop()
	startDial()
	started := 1
	for {
		select {
		case first := <-results:
			remaining := started - 1
			env.Go(func() {
				for range remaining {
					if other := <-results; other.conn != nil {
						other.conn.Close()
					}
				}
			})
			return first.conn, first.err
		case <-ticker.C:
			if started < dialAttempts {
				startDial()
				started++
			}
		}
	}
}

// readResponses delivers each response to its pending call. It returns on the first read
// error or malformed response.
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

// activityReader reads from the connection and sets its lastRead.
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

// roundTrip sends a request and waits for its response or the end of ctx.
func (c *clientConn) roundTrip(ctx context.Context, request *Frame) (*Frame, error) {
	call, err := c.register(request)
	if err != nil {
		return nil, err
	}
	encoded, err := encodeFrame(request)
	if err != nil {
		return nil, errcode.New(errcode.Internal, "%v", err)
	}
	sentAt := time.Now()
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
		if c.abandon(request.ID, sentAt) {
			c.close()
		}
		return nil, errcode.New(errcode.ReplyLost, "%s %s: %v", c.address, request.Kind, ctx.Err())
	}
}

// register assigns the request an ID and returns the channel that receives its response.
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

// abandon removes a call that timed out. It reports whether the connection is dead: no byte
// was received since the call was sent, which is more than peer.silence_timeout ago.
// Without this check, a connection that outlives a partition could stall for as long as
// TCP's retransmission backoff lasts. A connection that is receiving a long response is not
// dead; repeating that response would only add load to a slow link.
func (c *clientConn) abandon(id uint64, sentAt time.Time) (isDead bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
	return c.lastRead.Before(sentAt) && time.Since(sentAt) > c.transport.env.Config.PeerSilenceTimeout
}

// unregister removes the connection from the transport, so that the next call to its
// address dials a new one.
func (c *clientConn) unregister() {
	c.transport.mu.Lock()
	defer c.transport.mu.Unlock()
	if c.transport.clientConns[c.address] == c {
		delete(c.transport.clientConns, c.address)
	}
}

// close closes the connection and fails every pending call.
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
