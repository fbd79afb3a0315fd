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

// responseWriteTimeout is the timeout for writing one response.
const responseWriteTimeout = 10 * time.Second

// Request is a received request. As a context it is done when the caller's deadline passes,
// the connection is closed or the node stops.
type Request struct {
	context.Context
	Hops int // number of times it was forwarded
	body json.RawMessage
}

// Decode unmarshals the body. It fails with errcode.InvalidMessage.
func (r *Request) Decode(into any) error {
	if err := json.Unmarshal(r.body, into); err != nil {
		return errcode.New(errcode.InvalidMessage, "%v", err)
	}
	return nil
}

// Handler handles requests of one kind. It is called in a new goroutine for each request.
// Its result is marshalled unless it is an *EncodedResponse.
type Handler func(*Request) (any, error)

// EncodedResponse is an already marshalled response, which can be shared between requests.
// Release, if not nil, is called exactly once, after the response was written or dropped.
type EncodedResponse struct {
	Body    json.RawMessage
	Release func()
}

// Handle registers the handler of a message kind. It must not be called after Start.
func (t *Transport) Handle(kind string, handler Handler) { t.handlers[kind] = handler }

// Handle registers the handler of a message kind whose requests have the type Body. Requests
// that cannot be unmarshalled as Body are rejected with errcode.InvalidMessage.
func Handle[Body, Response any](t *Transport, kind string, handler func(context.Context, *Body) (Response, error)) {
	t.Handle(kind, func(request *Request) (any, error) {
		body := new(Body)
		if err := request.Decode(body); err != nil {
			return nil, err
		}
		return handler(request, body)
	})
}

// serveConn reads requests from an incoming connection and handles each in a new goroutine,
// so that a long-polling request delays no other.
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

// dispatch calls the handler of a request and returns the response. The deadline is relative
// to received. A request whose deadline has passed is not executed. If the deadline passes
// during execution, the response has no body, but is still sent to show the caller that the
// connection is alive. The caller must call release, unless it is nil, after writing or
// dropping the response.
func (t *Transport) dispatch(ctx context.Context, request *Frame, received time.Time) (response *Frame, release func()) {
	response = &Frame{Version: Version, ID: request.ID}
	fail := func(err error) (*Frame, func()) {
		failure := errcode.From(err)
		response.Code, response.Note, response.Paths = failure.Code.Number, failure.Note, failure.Paths
		return response, release
	}
	if request.Version != Version {
		t.env.Events.Emit(eventlog.MessageRejected, "code", errcode.WrongVersion.Number, "kind", request.Kind, "version", request.Version)
		return fail(errcode.New(errcode.WrongVersion, "protocol version %d, want %d", request.Version, Version))
	}
	handler, ok := t.handlers[request.Kind]
	if !ok {
		t.env.Events.Emit(eventlog.MessageRejected, "code", errcode.UnknownKind.Number, "kind", request.Kind)
		return fail(errcode.New(errcode.UnknownKind, "%q", request.Kind))
	}
	if request.Deadline > 0 {
		withDeadline, cancel := context.WithDeadline(ctx, received.Add(time.Duration(request.Deadline)*time.Microsecond))
		defer cancel()
		ctx = withDeadline
	}
	if ctx.Err() != nil {
		return fail(errcode.New(errcode.ReplyLost, "%s: not executed, deadline exceeded", request.Kind))
	}
	body, err := handler(&Request{Context: ctx, Hops: request.Hops, body: request.Body})
	encoded, isEncoded := body.(*EncodedResponse)
	if isEncoded {
		release = encoded.Release
	}
	if err != nil {
		if failure := errcode.From(err); failure.Code.Number == errcode.InvalidMessage.Number {
			t.env.Events.Emit(eventlog.MessageRejected, "code", failure.Code.Number, "kind", request.Kind, "note", failure.Note)
		}
		return fail(err)
	}
	if ctx.Err() != nil {
		return fail(errcode.New(errcode.ReplyLost, "%s: deadline exceeded", request.Kind))
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
