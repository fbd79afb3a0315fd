// Pipes on which nothing is asked are closed; no ask is lost by it.
package rpc

import (
	"context"
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

// socket is the one listener of a network in memory.
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

func TestAnIdlePipeIsClosedAndNoAskIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, end := context.WithCancel(t.Context())
		defer end()
		far := &socket{conns: make(chan net.Conn), over: make(chan struct{})}
		dialled := 0
		node := func(address string, listen *socket) *Transport {
			settings, err := config.Load("", map[string]string{"name": "n", "zone": "a", "wire.address": address, "api.address": "10.0.0.1:2", "gate.address": "10.0.0.1:3"})
			if err != nil {
				t.Fatal(err)
			}
			w := New(environment.New(ctx, settings, eventlog.New(t.Output(), "error", "n"), environment.Host{
				Listen: func(string) (net.Listener, error) { return listen, nil },
				Dial: func(context.Context, string) (net.Conn, error) {
					dialled++
					mine, its := net.Pipe()
					far.conns <- its
					return mine, nil
				},
			}))
			w.Handle("now", func(c *Request) (any, error) { return 1, nil })
			w.Handle("held", func(c *Request) (any, error) { time.Sleep(5 * time.Minute); return 1, nil })
			if err := w.Start(); err != nil {
				t.Fatal(err)
			}
			return w
		}
		const its = "10.0.0.2:1"
		node(its, far)
		w := node("10.0.0.1:1", &socket{conns: make(chan net.Conn), over: make(chan struct{})})
		idle := w.env.Config.WireIdle
		open := func() int { w.mu.Lock(); defer w.mu.Unlock(); return len(w.clientConns) }
		ask := func(kind string) {
			t.Helper()
			if err := w.Call(ctx, its, kind, struct{}{}, nil); err != nil {
				t.Fatal(err)
			}
		}
		for range 20 {
			ask("now")
			time.Sleep(idle / 2)
		}
		if dialled != 1 || open() != 1 {
			t.Fatalf("%d dialled, %d open while in use", dialled, open())
		}
		ask("held")
		if dialled != 1 {
			t.Fatal("closed while an ask was held")
		}
		time.Sleep(2 * idle)
		if open() != 0 {
			t.Fatal("still open")
		}
		ask("now")
		if dialled != 2 {
			t.Fatal("dialled", dialled)
		}
		// Just when it is closed it is used: the ask goes over a new one.
		w.mu.Lock()
		p := w.clientConns[its]
		w.mu.Unlock()
		p.mu.Lock()
		p.lastUsed = p.lastUsed.Add(-idle)
		p.mu.Unlock()
		if !p.markIdle() {
			t.Fatal("not idle")
		}
		ask("now")
		p.close()
		if ask("now"); dialled != 3 || open() != 1 {
			t.Errorf("%d dialled, %d open", dialled, open())
		}
		if err := w.Call(ctx, its, "nothing", struct{}{}, nil); !errcode.Is(err, errcode.UnknownKind) {
			t.Error(err)
		}
	})
}
