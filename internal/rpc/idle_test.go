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

// memoryListener is a listener that accepts in-memory connections.
type memoryListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}
func (l *memoryListener) Close() error   { l.once.Do(func() { close(l.closed) }); return nil }
func (l *memoryListener) Addr() net.Addr { return &net.TCPAddr{} }

func TestTransport_ClosesIdleConnectionsWithoutLosingCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		remoteListener := &memoryListener{conns: make(chan net.Conn), closed: make(chan struct{})}
		dials := 0
		startTransport := func(address string, listener *memoryListener) *Transport {
			settings, err := config.Load("", map[string]string{"name": "n", "zone": "a", "peer.address": address, "api.address": "10.0.0.1:2", "proxy.address": "10.0.0.1:3"})
			if err != nil {
				t.Fatal(err)
			}
			transport := New(environment.New(ctx, settings, eventlog.New(t.Output(), "error", "n"), environment.Host{
				Listen: func(string) (net.Listener, error) { return listener, nil },
				Dial: func(context.Context, string) (net.Conn, error) {
					dials++
					clientEnd, serverEnd := net.Pipe()
					remoteListener.conns <- serverEnd
					return clientEnd, nil
				},
			}))
			transport.Handle("quick", func(request *Request) (any, error) { return 1, nil })
			transport.Handle("slow", func(request *Request) (any, error) { time.Sleep(5 * time.Minute); return 1, nil })
			if err := transport.Start(); err != nil {
				t.Fatal(err)
			}
			return transport
		}
		const remoteAddress = "10.0.0.2:1"
		startTransport(remoteAddress, remoteListener)
		caller := startTransport("10.0.0.1:1", &memoryListener{conns: make(chan net.Conn), closed: make(chan struct{})})
		idleTimeout := caller.env.Config.PeerIdleTimeout
		openConns := func() int { caller.mu.Lock(); defer caller.mu.Unlock(); return len(caller.clientConns) }
		call := func(kind string) {
			t.Helper()
			if err := caller.Call(ctx, remoteAddress, kind, struct{}{}, nil); err != nil {
				t.Fatal(err)
			}
		}
		for range 20 {
			call("quick")
			time.Sleep(idleTimeout / 2)
		}
		if dials != 1 || openConns() != 1 {
			t.Fatalf("%d dials, %d open connections while in use", dials, openConns())
		}
		call("slow")
		if dials != 1 {
			t.Fatal("connection closed during a call")
		}
		time.Sleep(2 * idleTimeout)
		if openConns() != 0 {
			t.Fatal("connection still open after the idle timeout")
		}
		call("quick")
		if dials != 2 {
			t.Fatal(dials, "dials, want 2")
		}
		// A call on a connection that was just marked as idle must use a new one.
		caller.mu.Lock()
		conn := caller.clientConns[remoteAddress]
		caller.mu.Unlock()
		conn.mu.Lock()
		conn.lastUsed = conn.lastUsed.Add(-idleTimeout)
		conn.mu.Unlock()
		if !conn.markClosedIfIdle() {
			t.Fatal("connection not idle")
		}
		call("quick")
		conn.close()
		if call("quick"); dials != 3 || openConns() != 1 {
			t.Errorf("%d dials, %d open connections", dials, openConns())
		}
		if err := caller.Call(ctx, remoteAddress, "unregistered", struct{}{}, nil); !errors.Is(err, errcode.UnknownKind) {
			t.Error(err)
		}
	})
}
