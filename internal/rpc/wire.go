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

// Call is an ask as its handler sees it.
type Call struct {
	context.Context
	Hops int
	body json.RawMessage
}

// Read unpacks the ask.
func (c *Call) Read(into any) error {
	if err := json.Unmarshal(c.body, into); err != nil {
		return errcode.New(errcode.BadMessage, "%v", err)
	}
	return nil
}

type Handler func(*Call) (any, error)

// Raw is a receipt that was encoded before, for all who ask; Sent is called once it
// was written, or was not.
type Raw struct {
	Body json.RawMessage
	Sent func()
}

// Counts are messages and bytes by kind, both ways.
type Counts struct {
	Messages, Bytes atomic.Int64
}

// Wire is a node's end of all its pipes.
type Wire struct {
	r        *environment.Environment
	mu       sync.Mutex
	pipes    map[string]*pipe
	handlers map[string]Handler
	listener net.Listener
	conns    map[net.Conn]bool
	counts   sync.Map
	// IsNear tells whether an address is in this node's zone.
	IsNear func(address string) bool
}

func New(r *environment.Environment) *Wire {
	return &Wire{r: r, pipes: map[string]*pipe{}, handlers: map[string]Handler{}, conns: map[net.Conn]bool{}}
}

// Handle names the handler of a kind; all are named before Open.
func (w *Wire) Handle(kind string, handle Handler) { w.handlers[kind] = handle }

// Open starts to listen.
func (w *Wire) Open() error {
	listener, err := w.r.Host.Listen(w.r.Config.WireAddress)
	if err != nil {
		return errcode.New(errcode.BadProps, "wire.address: %v", err)
	}
	w.listener = listener
	w.r.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				if w.r.IsStopping() || !w.r.Sleep(10*time.Millisecond) {
					return
				}
				continue
			}
			if w.keep(conn) {
				w.r.Go(func() { w.serve(conn) })
			}
		}
	})
	w.r.Go(w.sweep)
	w.r.Go(func() {
		<-w.r.Done()
		listener.Close()
		w.mu.Lock()
		defer w.mu.Unlock()
		for conn := range w.conns {
			conn.Close()
		}
	})
	return nil
}

func (w *Wire) keep(conn net.Conn) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.r.IsStopping() {
		conn.Close()
		return false
	}
	w.conns[conn] = true
	return true
}

func (w *Wire) drop(conn net.Conn) {
	conn.Close()
	w.mu.Lock()
	delete(w.conns, conn)
	w.mu.Unlock()
}

func (w *Wire) count(kind, address string, bytes int) {
	if w.IsNear != nil && !w.IsNear(address) {
		kind += " between"
	}
	found, ok := w.counts.Load(kind)
	if !ok {
		found, _ = w.counts.LoadOrStore(kind, &Counts{})
	}
	found.(*Counts).Messages.Add(1)
	found.(*Counts).Bytes.Add(int64(bytes))
}

// Traffic is messages and bytes sent, by kind; " between" marks what went to
// another zone.
func (w *Wire) Traffic() map[string][2]int64 {
	view := map[string][2]int64{}
	w.counts.Range(func(kind, c any) bool {
		view[kind.(string)] = [2]int64{c.(*Counts).Messages.Load(), c.(*Counts).Bytes.Load()}
		return true
	})
	return view
}

// Count adds what other packages send themselves.
func (w *Wire) Count(kind, address string, bytes int) { w.count(kind, address, bytes) }

// serve reads asks from one incoming pipe and answers each in a task.
func (w *Wire) serve(conn net.Conn) {
	defer w.drop(conn)
	ctx, end := context.WithCancel(w.r)
	defer end()
	writing := environment.NewChanMutex()
	reader := bufio.NewReaderSize(conn, 16<<10)
	for {
		line, err := readLine(reader, w.r.Config.WireLine)
		if err != nil {
			if errcode.Is(err, errcode.LineTooLong) {
				w.r.Events.Say(eventlog.MessageRefused, "code", errcode.LineTooLong.No, "from", conn.RemoteAddr().String())
			}
			return
		}
		var ask Frame
		if err := json.Unmarshal(line, &ask); err != nil {
			w.r.Events.Say(eventlog.MessageRefused, "code", errcode.BadMessage.No, "from", conn.RemoteAddr().String())
			return
		}
		got := time.Now()
		w.r.Go(func() {
			receipt, sent := w.answer(ctx, &ask, got)
			if sent != nil {
				defer sent()
			}
			if ctx.Err() != nil {
				return
			}
			raw, err := pack(receipt)
			if err != nil {
				return
			}
			w.count(ask.Kind+".receipt", conn.RemoteAddr().String(), raw.size())
			writing.Lock()
			defer writing.Unlock()
			conn.SetWriteDeadline(time.Now().Add(10 * time.Second))
			if raw.write(conn) != nil {
				conn.Close()
			}
		})
	}
}

// answer has an ask handled. Its time runs from when it was read: one whose asker
// has given up is not begun, and a receipt that comes too late goes out without its
// body, as a sign of life.
func (w *Wire) answer(ctx context.Context, ask *Frame, got time.Time) (receipt *Frame, sent func()) {
	receipt = &Frame{Version: Version, ID: ask.ID}
	fail := func(err error) (*Frame, func()) {
		p := errcode.Of(err)
		receipt.Code, receipt.Note, receipt.Paths = p.Code.No, p.Note, p.Paths
		return receipt, sent
	}
	if ask.Version != Version {
		w.r.Events.Say(eventlog.MessageRefused, "code", errcode.WrongVersion.No, "kind", ask.Kind, "version", ask.Version)
		return fail(errcode.New(errcode.WrongVersion, "%d, not %d", ask.Version, Version))
	}
	handle, ok := w.handlers[ask.Kind]
	if !ok {
		w.r.Events.Say(eventlog.MessageRefused, "code", errcode.UnknownKind.No, "kind", ask.Kind)
		return fail(errcode.New(errcode.UnknownKind, "%q", ask.Kind))
	}
	if ask.Deadline > 0 {
		limited, end := context.WithDeadline(ctx, got.Add(time.Duration(ask.Deadline)*time.Microsecond))
		defer end()
		ctx = limited
	}
	if ctx.Err() != nil {
		return fail(errcode.New(errcode.ReplyLost, "%s: not begun, its time is over", ask.Kind))
	}
	body, err := handle(&Call{Context: ctx, Hops: ask.Hops, body: ask.Body})
	ready, isReady := body.(*Raw)
	if isReady {
		sent = ready.Sent
	}
	if err != nil {
		if p := errcode.Of(err); p.Code.No == errcode.BadMessage.No {
			w.r.Events.Say(eventlog.MessageRefused, "code", p.Code.No, "kind", ask.Kind, "note", p.Note)
		}
		return fail(err)
	}
	if ctx.Err() != nil {
		return fail(errcode.New(errcode.ReplyLost, "%s: its time is over", ask.Kind))
	}
	if isReady {
		receipt.Body = ready.Body
		return receipt, sent
	}
	raw, err := json.Marshal(body)
	if err != nil {
		return fail(errcode.New(errcode.Internal, "%v", err))
	}
	receipt.Body = raw
	return receipt, sent
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

// Hops is how often a call may be passed on.
const Hops = 4

// Ask sends one ask and waits for its receipt until the deadline of ctx.
func (w *Wire) Ask(ctx context.Context, address, kind string, body, into any) error {
	return w.AskHop(ctx, address, kind, 0, body, into)
}

// AskHop is Ask for a call that was passed on already.
func (w *Wire) AskHop(ctx context.Context, address, kind string, hops int, body, into any) error {
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
	receipt, err := w.over(ctx, address, frame)
	if err != nil {
		return err
	}
	if receipt.Version != Version {
		return errcode.New(errcode.ReplyLost, "%s %s: answered in version %d of the wire, not %d", address, kind, receipt.Version, Version)
	}
	if receipt.Code != 0 {
		code, ok := errcode.Codes[receipt.Code]
		if !ok {
			code = errcode.Internal
		}
		problem := errcode.New(code, "%s", receipt.Note)
		errcode.Of(problem).Paths = receipt.Paths
		return problem
	}
	if into != nil {
		if err := json.Unmarshal(receipt.Body, into); err != nil {
			return errcode.New(errcode.BadMessage, "%s from %s: %v", kind, address, err)
		}
	}
	return nil
}

// over asks on the pipe to an address, and on a new one if that was closed as idle.
func (w *Wire) over(ctx context.Context, address string, frame *Frame) (*Frame, error) {
	for {
		p, err := w.pipe(ctx, address)
		if err != nil {
			return nil, err
		}
		if receipt, err := p.ask(ctx, frame); err != errIdle {
			return receipt, err
		}
	}
}

// From is the id of the node that asks, for logs.
func (w *Wire) From() ids.NodeName { return w.r.Name }
