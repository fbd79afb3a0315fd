package rpc

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"net"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
)

// responseWriteTimeout bounds the writing of one response.
const responseWriteTimeout = 10 * time.Second

// Request is a received request as its handler sees it. As a context it ends when the
// caller's deadline passes, the connection is closed or the node stops.
type Request struct {
	context.Context
	Hops int // how often it was forwarded before it came here
	body json.RawMessage
}

// Decode unmarshals the body; the error is an errcode.InvalidMessage.
func (r *Request) Decode(into any) error {
	if err := json.Unmarshal(r.body, into); err != nil {
		return errcode.New(errcode.InvalidMessage, "%v", err)
	}
	return nil
}

// Handler answers requests of one kind. What it returns is marshalled, unless it is an
// *EncodedResponse. It runs in a goroutine of its own for each request.
type Handler func(*Request) (any, error)

// EncodedResponse is a response that was marshalled before, once for all who ask for it.
// Release, if set, is called exactly once, after the response was written or given up.
type EncodedResponse struct {
	Body    json.RawMessage
	Release func()
}

// Handle registers the handler of a message kind. It must not be called after Start.
func (t *Transport) Handle(kind string, handler Handler) { t.handlers[kind] = handler }

// Handle registers a handler of a message kind whose requests have the type Body. Requests
// that are no Body are refused with errcode.InvalidMessage.
func Handle[Body, Response any](t *Transport, kind string, handler func(context.Context, *Body) (Response, error)) {
	t.Handle(kind, func(request *Request) (any, error) {
		body := new(Body)
		if err := request.Decode(body); err != nil {
			return nil, err
		}
		return handler(request, body)
	})
}

// serveConn reads requests from one incoming connection and answers each in a goroutine of
// its own, so that a request that is held delays no other.
func (t *Transport) serveConn(conn net.Conn) {
	defer t.closeConn(conn)
	ctx, cancel := context.WithCancel(t.env)
	defer cancel()
	peer := conn.RemoteAddr().String()
	writeLock := environment.NewChanMutex()
	reader := bufio.NewReaderSize(conn, readBufferSize)
	for {
		line, err := readLine(reader, t.env.Config.PeerMaxMessageBytes)
		if err != nil {
			if errors.Is(err, errcode.MessageTooLong) {
				t.env.Events.Emit(eventlog.MessageRejected, "code", errcode.MessageTooLong.Number, "from", peer)
			}
			return
		}
		var request Frame
		if err := json.Unmarshal(line, &request); err != nil {
			t.env.Events.Emit(eventlog.MessageRejected, "code", errcode.InvalidMessage.Number, "from", peer)
			return
		}
		received := time.Now()
		t.env.Go(func() {
			response, release := t.dispatch(ctx, &request, received)
			if release != nil {
				defer release()
			}
			if ctx.Err() != nil {
				return
			}
			encoded, err := encodeFrame(response)
			if err != nil {
				return
			}
			t.RecordSent(request.Kind+responseSuffix, peer, encoded.size())
			writeLock.Lock()
			defer writeLock.Unlock()
			conn.SetWriteDeadline(time.Now().Add(responseWriteTimeout))
			if encoded.writeTo(conn) != nil {
				conn.Close()
			}
		})
	}
}

// dispatch has a request handled. Its deadline counts from when it was received: a request
// whose caller has given up is not begun, and a response that comes too late goes out
// without its body, as a sign of life. The caller must call release, unless it is nil, when
// it is done with the response.
func (t *Transport) dispatch(ctx context.Context, request *Frame, received time.Time) (response *Frame, release func()) {
	response = &Frame{Version: Version, ID: request.ID}
	fail := func(err error) (*Frame, func()) {
		problem := errcode.From(err)
		response.Code, response.Note, response.Paths = problem.Code.Number, problem.Note, problem.Paths
		return response, release
	}
	if request.Version != Version {
		t.env.Events.Emit(eventlog.MessageRejected, "code", errcode.WrongVersion.Number, "kind", request.Kind, "version", request.Version)
		return fail(errcode.New(errcode.WrongVersion, "%d, not %d", request.Version, Version))
	}
	handler, ok := t.handlers[request.Kind]
	if !ok {
		t.env.Events.Emit(eventlog.MessageRejected, "code", errcode.UnknownKind.Number, "kind", request.Kind)
		return fail(errcode.New(errcode.UnknownKind, "%q", request.Kind))
	}
	if request.Deadline > 0 {
		limited, cancel := context.WithDeadline(ctx, received.Add(time.Duration(request.Deadline)*time.Microsecond))
		defer cancel()
		ctx = limited
	}
	if ctx.Err() != nil {
		return fail(errcode.New(errcode.ReplyLost, "%s: not begun, its time is over", request.Kind))
	}
	body, err := handler(&Request{Context: ctx, Hops: request.Hops, body: request.Body})
	encoded, isEncoded := body.(*EncodedResponse)
	if isEncoded {
		release = encoded.Release
	}
	if err != nil {
		if problem := errcode.From(err); problem.Code.Number == errcode.InvalidMessage.Number {
			t.env.Events.Emit(eventlog.MessageRejected, "code", problem.Code.Number, "kind", request.Kind, "note", problem.Note)
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
	if response.Body, err = json.Marshal(body); err != nil {
		return fail(errcode.New(errcode.Internal, "%v", err))
	}
	return response, release
}
