// Package wire carries JSON lines between the project's own processes: one pipe
// to each peer, on which asks and receipts are told apart by number. An ask
// that could not be written is Unreached; one that was written and whose
// receipt did not come is ReplyLost. What can't be read is refused with a code,
// counted and logged, and never stops a node.
package rpc

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/ids"
)

// Version is what the messages mean. It grows when a message no longer means to an
// older build what it means to this one; peers of another version are refused.
const Version = 3

// Request is an ask as its handler sees it.
type Request struct {
	context.Context
	Hops int
	body json.RawMessage
}

// Decode unpacks the ask.
func (c *Request) Decode(into any) error {
	if err := json.Unmarshal(c.body, into); err != nil {
		return errcode.New(errcode.BadMessage, "%v", err)
	}
	return nil
}

type Handler func(*Request) (any, error)

// EncodedResponse is a receipt that was encoded before, for all who ask; Sent is called once it
// was written, or was not.
type EncodedResponse struct {
	Body    json.RawMessage
	Release func()
}

// trafficCounter are messages and bytes by kind, both ways.
type trafficCounter struct {
	messages, bytes atomic.Int64
}

// Transport is a node's end of all its pipes.
type Transport struct {
	env         *environment.Environment
	mu          sync.Mutex
	clientConns map[string]*clientConn
	handlers    map[string]Handler
	listener    net.Listener
	openConns   map[net.Conn]bool
	traffic     sync.Map
	// IsSameZone tells whether an address is in this node's zone.
	IsSameZone func(address string) bool
}

func New(r *environment.Environment) *Transport {
	return &Transport{env: r, clientConns: map[string]*clientConn{}, handlers: map[string]Handler{}, openConns: map[net.Conn]bool{}}
}

// Handle names the handler of a kind; all are named before Open.
func (t *Transport) Handle(kind string, handle Handler) { t.handlers[kind] = handle }

// Start starts to listen.
func (t *Transport) Start() error {
	listener, err := t.env.Host.Listen(t.env.Config.WireAddress)
	if err != nil {
		return errcode.New(errcode.BadProps, "wire.address: %v", err)
	}
	t.listener = listener
	t.env.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				if t.env.IsStopping() || !t.env.Sleep(10*time.Millisecond) {
					return
				}
				continue
			}
			if t.trackConn(conn) {
				t.env.Go(func() { t.serveConn(conn) })
			}
		}
	})
	t.env.Go(t.closeIdleConns)
	t.env.Go(func() {
		<-t.env.Done()
		listener.Close()
		t.mu.Lock()
		defer t.mu.Unlock()
		for conn := range t.openConns {
			conn.Close()
		}
	})
	return nil
}

func (t *Transport) trackConn(conn net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.env.IsStopping() {
		conn.Close()
		return false
	}
	t.openConns[conn] = true
	return true
}

func (t *Transport) closeConn(conn net.Conn) {
	conn.Close()
	t.mu.Lock()
	delete(t.openConns, conn)
	t.mu.Unlock()
}

func (t *Transport) recordSent(kind, address string, bytes int) {
	if t.IsSameZone != nil && !t.IsSameZone(address) {
		kind += " between"
	}
	found, ok := t.traffic.Load(kind)
	if !ok {
		found, _ = t.traffic.LoadOrStore(kind, &trafficCounter{})
	}
	found.(*trafficCounter).messages.Add(1)
	found.(*trafficCounter).bytes.Add(int64(bytes))
}

// Traffic is messages and bytes sent, by kind; " between" marks what went to
// another zone.
func (t *Transport) Traffic() map[string][2]int64 {
	view := map[string][2]int64{}
	t.traffic.Range(func(kind, c any) bool {
		view[kind.(string)] = [2]int64{c.(*trafficCounter).messages.Load(), c.(*trafficCounter).bytes.Load()}
		return true
	})
	return view
}

// RecordSent adds what other packages send themselves.
func (t *Transport) RecordSent(kind, address string, bytes int) { t.recordSent(kind, address, bytes) }

// serveConn reads asks from one incoming pipe and answers each in a task.
func (t *Transport) serveConn(conn net.Conn) {
	defer t.closeConn(conn)
	ctx, end := context.WithCancel(t.env)
	defer end()
	writing := environment.NewChanMutex()
	reader := bufio.NewReaderSize(conn, 16<<10)
	for {
		line, err := readLine(reader, t.env.Config.WireLine)
		if err != nil {
			if errcode.Is(err, errcode.LineTooLong) {
				t.env.Events.Say(eventlog.MessageRefused, "code", errcode.LineTooLong.No, "from", conn.RemoteAddr().String())
			}
			return
		}
		var frame Frame
		if err := json.Unmarshal(line, &frame); err != nil {
			t.env.Events.Say(eventlog.MessageRefused, "code", errcode.BadMessage.No, "from", conn.RemoteAddr().String())
			return
		}
		received := time.Now()
		t.env.Go(func() {
			response, release := t.dispatch(ctx, &frame, received)
			if release != nil {
				defer release()
			}
			if ctx.Err() != nil {
				return
			}
			raw, err := encodeFrame(response)
			if err != nil {
				return
			}
			t.recordSent(frame.Kind+".receipt", conn.RemoteAddr().String(), raw.size())
			writing.Lock()
			defer writing.Unlock()
			conn.SetWriteDeadline(time.Now().Add(10 * time.Second))
			if raw.write(conn) != nil {
				conn.Close()
			}
		})
	}
}

// dispatch has an ask handled. Its time runs from when it was read: one whose asker
// has given up is not begun, and a receipt that comes too late goes out without its
// body, as a sign of life.
func (t *Transport) dispatch(ctx context.Context, request *Frame, received time.Time) (response *Frame, release func()) {
	response = &Frame{Version: Version, ID: request.ID}
	fail := func(err error) (*Frame, func()) {
		problem := errcode.Of(err)
		response.Code, response.Note, response.Paths = problem.Code.No, problem.Note, problem.Paths
		return response, release
	}
	if request.Version != Version {
		t.env.Events.Say(eventlog.MessageRefused, "code", errcode.WrongVersion.No, "kind", request.Kind, "version", request.Version)
		return fail(errcode.New(errcode.WrongVersion, "%d, not %d", request.Version, Version))
	}
	handle, ok := t.handlers[request.Kind]
	if !ok {
		t.env.Events.Say(eventlog.MessageRefused, "code", errcode.UnknownKind.No, "kind", request.Kind)
		return fail(errcode.New(errcode.UnknownKind, "%q", request.Kind))
	}
	if request.Deadline > 0 {
		limited, end := context.WithDeadline(ctx, received.Add(time.Duration(request.Deadline)*time.Microsecond))
		defer end()
		ctx = limited
	}
	if ctx.Err() != nil {
		return fail(errcode.New(errcode.ReplyLost, "%s: not begun, its time is over", request.Kind))
	}
	body, err := handle(&Request{Context: ctx, Hops: request.Hops, body: request.Body})
	encoded, isEncoded := body.(*EncodedResponse)
	if isEncoded {
		release = encoded.Release
	}
	if err != nil {
		if problem := errcode.Of(err); problem.Code.No == errcode.BadMessage.No {
			t.env.Events.Say(eventlog.MessageRefused, "code", problem.Code.No, "kind", request.Kind, "note", problem.Note)
		}
		return fail(err)
	}
	if ctx.Err() != nil {
		return fail(errcode.New(errcode.ReplyLost, "%s: its time is over", request.Kind))
	}
	if isEncoded {
		response.Body = encoded.Body
		return response, release
	}
	raw, err := json.Marshal(body)
	if err != nil {
		return fail(errcode.New(errcode.Internal, "%v", err))
	}
	response.Body = raw
	return response, release
}

func readLine(reader *bufio.Reader, limit int) ([]byte, error) {
	var line []byte
	for {
		chunk, err := reader.ReadSlice('\n')
		if err == nil && line == nil {
			return chunk, nil
		}
		line = append(line, chunk...)
		if len(line) > limit {
			return nil, errcode.New(errcode.LineTooLong, "over %d bytes", limit)
		}
		if err == nil {
			return line, nil
		}
		if err != bufio.ErrBufferFull {
			return nil, err
		}
	}
}

// MaxHops is how often a call may be passed on.
const MaxHops = 4

// Call sends one ask and waits for its receipt until the deadline of ctx.
func (t *Transport) Call(ctx context.Context, address, kind string, body, into any) error {
	return t.Forward(ctx, address, kind, 0, body, into)
}

// Forward is Ask for a call that was passed on already.
func (t *Transport) Forward(ctx context.Context, address, kind string, hops int, body, into any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return errcode.New(errcode.Internal, "%v", err)
	}
	frame := &Frame{Version: Version, Kind: kind, Hops: hops, Body: raw}
	if end, ok := ctx.Deadline(); ok {
		left := time.Until(end)
		if left <= 0 {
			return errcode.New(errcode.Unreached, "%s: no time left", address)
		}
		frame.Deadline = left.Microseconds() + 1
	}
	response, err := t.roundTrip(ctx, address, frame)
	if err != nil {
		return err
	}
	if response.Version != Version {
		return errcode.New(errcode.ReplyLost, "%s %s: answered in version %d of the wire, not %d", address, kind, response.Version, Version)
	}
	if response.Code != 0 {
		code, ok := errcode.Codes[response.Code]
		if !ok {
			code = errcode.Internal
		}
		problem := errcode.New(code, "%s", response.Note)
		errcode.Of(problem).Paths = response.Paths
		return problem
	}
	if into != nil {
		if err := json.Unmarshal(response.Body, into); err != nil {
			return errcode.New(errcode.BadMessage, "%s from %s: %v", kind, address, err)
		}
	}
	return nil
}

// roundTrip asks on the pipe to an address, and on a new one if that was closed as idle.
func (t *Transport) roundTrip(ctx context.Context, address string, frame *Frame) (*Frame, error) {
	for {
		conn, err := t.clientConn(ctx, address)
		if err != nil {
			return nil, err
		}
		if response, err := conn.roundTrip(ctx, frame); err != errClosedIdle {
			return response, err
		}
	}
}

// From is the id of the node that asks, for logs.
func (t *Transport) From() ids.NodeName { return t.env.Name }
