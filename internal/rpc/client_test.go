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

// newPeer returns a dial to a peer that reads requests and writes what answer returns,
// nothing if that is nil; and, if the last result is false, closes the connection.
func newPeer(answer func(request *Frame) (response *Frame, stay bool)) func(context.Context) (net.Conn, error) {
	return func(context.Context) (net.Conn, error) {
		here, there := net.Pipe()
		go func() {
			defer there.Close()
			reader := bufio.NewReader(there)
			for {
				line, err := readLine(reader, 1<<20)
				if err != nil {
					return
				}
				request := &Frame{}
				if json.Unmarshal(line, request) != nil {
					return
				}
				response, stay := answer(request)
				if response != nil {
					response.ID = request.ID
					if encoded, err := encodeFrame(response); err != nil || encoded.writeTo(there) != nil {
						return
					}
				}
				if !stay {
					return
				}
			}
		}()
		return here, nil
	}
}

func TestCall_ErrorSaysWhatBecameOfTheRequest(t *testing.T) {
	refused := func(context.Context) (net.Conn, error) { return nil, errors.New("refused") }
	for _, test := range []struct {
		name string
		dial func(context.Context) (net.Conn, error)
		want errcode.Code
	}{
		{"not dialled", refused, errcode.Unreachable},
		{"closed without a response", newPeer(func(*Frame) (*Frame, bool) { return nil, false }), errcode.ReplyLost},
		{"no response in time", newPeer(func(*Frame) (*Frame, bool) { return nil, true }), errcode.ReplyLost},
		{"response of another version", newPeer(func(*Frame) (*Frame, bool) { return &Frame{Version: Version + 1, Body: json.RawMessage(`1`)}, true }), errcode.ReplyLost},
		{"response of another type", newPeer(func(*Frame) (*Frame, bool) { return &Frame{Version: Version, Body: json.RawMessage(`"one"`)}, true }), errcode.InvalidMessage},
		{"a code", newPeer(func(*Frame) (*Frame, bool) { return &Frame{Version: Version, Code: errcode.NoLeader.Number}, true }), errcode.NoLeader},
		{"an unknown code", newPeer(func(*Frame) (*Frame, bool) { return &Frame{Version: Version, Code: 999_999}, true }), errcode.Internal},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				transport, env, _ := newDialer(t, test.dial)
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

func TestCall_SilentConnectionIsClosedAndABusyOneIsNot(t *testing.T) {
	for _, test := range []struct {
		name      string
		isBusy    bool
		wantDials int64
	}{
		{"silent", false, 2},
		{"busy with another response", true, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				peer := newPeer(func(request *Frame) (*Frame, bool) {
					if request.Kind == "silent" {
						return nil, true
					}
					return &Frame{Version: Version}, true
				})
				transport, env, dials := newDialer(t, peer)
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
				if err := call("silent"); !errors.Is(err, errcode.ReplyLost) {
					t.Error(err)
				}
				if err := call("answered"); err != nil || dials.Load() != test.wantDials {
					t.Errorf("%d dials, want %d; %v", dials.Load(), test.wantDials, err)
				}
			})
		})
	}
}
