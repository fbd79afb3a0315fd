package rpc

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/config"
	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
)

// socket is a listener whose connections come from memory.
type socket struct {
	conns chan net.Conn
	over  chan struct{}
	once  sync.Once
}

func (s *socket) Accept() (net.Conn, error) {
	select {
	case conn := <-s.conns:
		return conn, nil
	case <-s.over:
		return nil, net.ErrClosed
	}
}
func (s *socket) Close() error   { s.once.Do(func() { close(s.over) }); return nil }
func (s *socket) Addr() net.Addr { return &net.TCPAddr{} }

func TestTransport_ClosesIdleConnectionsWithoutLosingCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		far := &socket{conns: make(chan net.Conn), over: make(chan struct{})}
		dialled := 0
		node := func(address string, listen *socket) *Transport {
			settings, err := config.Load("", map[string]string{"name": "n", "zone": "a", "peer.address": address, "api.address": "10.0.0.1:2", "proxy.address": "10.0.0.1:3"})
			if err != nil {
				t.Fatal(err)
			}
			transport := New(environment.New(ctx, settings, eventlog.New(t.Output(), "error", "n"), environment.Host{
				Listen: func(string) (net.Listener, error) { return listen, nil },
				Dial: func(context.Context, string) (net.Conn, error) {
					dialled++
					mine, its := net.Pipe()
					far.conns <- its
					return mine, nil
				},
			}))
			transport.Handle("now", func(c *Request) (any, error) { return 1, nil })
			transport.Handle("held", func(c *Request) (any, error) { time.Sleep(5 * time.Minute); return 1, nil })
			if err := transport.Start(); err != nil {
				t.Fatal(err)
			}
			return transport
		}
		const its = "10.0.0.2:1"
		node(its, far)
		caller := node("10.0.0.1:1", &socket{conns: make(chan net.Conn), over: make(chan struct{})})
		idle := caller.env.Config.PeerIdleTimeout
		open := func() int { caller.mu.Lock(); defer caller.mu.Unlock(); return len(caller.clientConns) }
		call := func(kind string) {
			t.Helper()
			if err := caller.Call(ctx, its, kind, struct{}{}, nil); err != nil {
				t.Fatal(err)
			}
		}
		for range 20 {
			call("now")
			time.Sleep(idle / 2)
		}
		if dialled != 1 || open() != 1 {
			t.Fatalf("%d dialled, %d open while in use", dialled, open())
		}
		call("held")
		if dialled != 1 {
			t.Fatal("closed while a call was held")
		}
		time.Sleep(2 * idle)
		if open() != 0 {
			t.Fatal("still open")
		}
		call("now")
		if dialled != 2 {
			t.Fatal("dialled", dialled)
		}
		// A call that finds the connection just marked as idle goes over a new one.
		caller.mu.Lock()
		conn := caller.clientConns[its]
		caller.mu.Unlock()
		conn.mu.Lock()
		conn.lastUsed = conn.lastUsed.Add(-idle)
		conn.mu.Unlock()
		if !conn.retireIfIdle() {
			t.Fatal("not idle")
		}
		call("now")
		conn.close()
		if call("now"); dialled != 3 || open() != 1 {
			t.Errorf("%d dialled, %d open", dialled, open())
		}
		if err := caller.Call(ctx, its, "nothing", struct{}{}, nil); !errors.Is(err, errcode.UnknownKind) {
			t.Error(err)
		}
	})
}
