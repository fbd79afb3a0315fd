package rpc

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
)

// MaxHops is how often a request may be forwarded from node to node.
const MaxHops = 4

// Call sends a request and waits for its response, which it unmarshals into response
// unless that is nil. The deadline of ctx travels with the request.
func (t *Transport) Call(ctx context.Context, address, kind string, request, response any) error {
	return t.Forward(ctx, address, kind, 0, request, response)
}

// Forward is Call for a request that has made so many hops already.
func (t *Transport) Forward(ctx context.Context, address, kind string, hops int, request, response any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return errcode.New(errcode.Internal, "%v", err)
	}
	frame := &Frame{Version: Version, Kind: kind, Hops: hops, Body: body}
	if deadline, ok := ctx.Deadline(); ok {
		left := time.Until(deadline)
		if left <= 0 {
			return errcode.New(errcode.Unreachable, "%s: no time left", address)
		}
		frame.Deadline = left.Microseconds() + 1 // at least 1, as 0 is no deadline
	}
	answer, err := t.roundTrip(ctx, address, frame)
	if err != nil {
		return err
	}
	if answer.Version != Version {
		return errcode.New(errcode.ReplyLost, "%s %s: answered in version %d of the wire, not %d", address, kind, answer.Version, Version)
	}
	if answer.Code != 0 {
		return answer.problem()
	}
	if response != nil {
		if err := json.Unmarshal(answer.Body, response); err != nil {
			return errcode.New(errcode.InvalidMessage, "%s from %s: %v", kind, address, err)
		}
	}
	return nil
}

// problem returns the error that a response carries. A code that this build does not know
// is an errcode.Internal.
func (f *Frame) problem() error {
	code, ok := errcode.Codes[f.Code]
	if !ok {
		code = errcode.Internal
	}
	problem := errcode.New(code, "%s", f.Note)
	errcode.From(problem).Paths = f.Paths
	return problem
}

// roundTrip sends a frame over the connection to an address, and over a new one if that was
// closed as idle just then.
func (t *Transport) roundTrip(ctx context.Context, address string, frame *Frame) (*Frame, error) {
	for {
		conn, err := t.clientConn(ctx, address)
		if err != nil {
			return nil, err
		}
		if response, err := conn.roundTrip(ctx, frame); !errors.Is(err, errClosedIdle) {
			return response, err
		}
	}
}
