package rpc

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
)

// MaxHops is the maximum number of times a request may be forwarded between nodes.
const MaxHops = 4

// Call sends a request and waits for its response, which it unmarshals into response
// unless that is nil. The request includes the deadline of ctx.
func (t *Transport) Call(ctx context.Context, address, kind string, request, response any) error {
	return t.Forward(ctx, address, kind, 0, request, response)
}

// Forward is like Call, for a request that was already forwarded hops times.
func (t *Transport) Forward(ctx context.Context, address, kind string, hops int, request, response any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return errcode.New(errcode.Internal, "%v", err)
	}
	frame := &Frame{Version: Version, Kind: kind, Hops: hops, Body: body}
	if deadline, ok := ctx.Deadline(); ok {
		remaining := time.Until(deadline)
		if remaining <= 0 {
			return errcode.New(errcode.Unreachable, "%s: deadline exceeded", address)
		}
		frame.Deadline = remaining.Microseconds() + 1 // at least 1, since 0 means no deadline
	}
	reply, err := t.roundTrip(ctx, address, frame)
	if err != nil {
		return err
	}
	if reply.Version != Version {
		return errcode.New(errcode.ReplyLost, "%s %s: response has protocol version %d, want %d", address, kind, reply.Version, Version)
	}
	if reply.Code != 0 {
		return reply.responseError()
	}
	if response != nil {
		if err := json.Unmarshal(reply.Body, response); err != nil {
			return errcode.New(errcode.InvalidMessage, "%s from %s: %v", kind, address, err)
		}
	}
	return nil
}

// responseError returns the error in a response. A code that is unknown to this build
// becomes errcode.Internal.
func (f *Frame) responseError() error {
	code, ok := errcode.Codes[f.Code]
	if !ok {
		code = errcode.Internal
	}
	result := errcode.New(code, "%s", f.Note)
	errcode.From(result).Paths = f.Paths
	return result
}

// roundTrip sends a request over the connection to an address and waits for its response.
// If the connection was just closed as idle, it uses a new one.
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
