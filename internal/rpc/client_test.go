package rpc

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
)

const peerAddress = "10.0.0.1:1"

// peerDialer returns a dial function that connects to a simulated peer. For each request the
// peer writes the response that answer returns, unless that is nil, and closes the
// connection unless keepOpen.
func peerDialer(answer func(request *Frame) (response *Frame, keepOpen bool)) func(context.Context) (net.Conn, error) {
	return func(context.Context) (net.Conn, error) {
		local, remote := net.Pipe()
		go func() {
			defer remote.Close()
			reader := bufio.NewReader(remote)
			for {
				line, err := readLine(reader, 1<<20)
				if err != nil {
					return
				}
				request := &Frame{}
				if json.Unmarshal(line, request) != nil {
					return
				}
				response, keepOpen := answer(request)
				if response != nil {
					response.ID = request.ID
					if encoded, err := encodeFrame(response); err != nil || encoded.writeTo(remote) != nil {
						return
					}
				}
				if !keepOpen {
					return
				}
			}
		}()
		return local, nil
	}
}

func TestCall_ReturnsErrorCodeOfFailure(t *testing.T) {
	refused := func(context.Context) (net.Conn, error) { return nil, errors.New("refused") }
	for _, test := range []struct {
		name string
		dial func(context.Context) (net.Conn, error)
		want errcode.Code
	}{
		{"dial refused", refused, errcode.Unreachable},
		{"closed without a response", peerDialer(func(*Frame) (*Frame, bool) { return nil, false }), errcode.ReplyLost},
		{"timeout without a response", peerDialer(func(*Frame) (*Frame, bool) { return nil, true }), errcode.ReplyLost},
		{"response with another version", peerDialer(func(*Frame) (*Frame, bool) { return &Frame{Version: Version + 1, Body: json.RawMessage(`1`)}, true }), errcode.ReplyLost},
		{"response of the wrong type", peerDialer(func(*Frame) (*Frame, bool) { return &Frame{Version: Version, Body: json.RawMessage(`"one"`)}, true }), errcode.InvalidMessage},
		{"response with a code", peerDialer(func(*Frame) (*Frame, bool) { return &Frame{Version: Version, Code: errcode.NoLeader.Number}, true }), errcode.NoLeader},
		{"response with an unknown code", peerDialer(func(*Frame) (*Frame, bool) { return &Frame{Version: Version, Code: 999_999}, true }), errcode.Internal},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				transport, env, _ := newTestTransport(t, test.dial)
				defer env.Shutdown()
				go func() { <-env.Done(); transport.closeAllConns() }()
				ctx, cancel := context.WithTimeout(env, 3*time.Second)
				defer cancel()
				var response int
				if err := transport.Call(ctx, peerAddress, "kind", struct{}{}, &response); !errors.Is(err, test.want) {
					t.Errorf("%v, want code %d", err, test.want.Number)
				}
			})
		})
	}
}

func TestCall_TimeoutClosesOnlyUnresponsiveConnection(t *testing.T) {
	for _, test := range []struct {
		name      string
		isBusy    bool
		wantDials int64
	}{
		{"no bytes received", false, 2},
		{"another response received", true, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				peer := peerDialer(func(request *Frame) (*Frame, bool) {
					if request.Kind == "unanswered" {
						return nil, true
					}
					return &Frame{Version: Version}, true
				})
				transport, env, dialCount := newTestTransport(t, peer)
				defer env.Shutdown()
				go func() { <-env.Done(); transport.closeAllConns() }()
				timeout := 2 * env.Config.PeerSilenceTimeout
				call := func(kind string) error {
					ctx, cancel := context.WithTimeout(env, timeout)
					defer cancel()
					return transport.Call(ctx, peerAddress, kind, struct{}{}, nil)
				}
				if test.isBusy {
					go func() {
						time.Sleep(timeout / 2)
						call("answered")
					}()
				}
				if err := call("unanswered"); !errors.Is(err, errcode.ReplyLost) {
					t.Error(err)
				}
				if err := call("answered"); err != nil || dialCount.Load() != test.wantDials {
					t.Errorf("%d dials, want %d; %v", dialCount.Load(), test.wantDials, err)
				}
			})
		})
	}
}
