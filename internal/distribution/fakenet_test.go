package distribution

import (
	"context"
	"net"
	"sync"
	"testing"

	"github.com/sumactrestle/sumactrestle/internal/config"
	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
)

// fakeNetwork is an in-memory network of listeners by address.
type fakeNetwork struct {
	mu        sync.Mutex
	listeners map[string]*fakeListener
}

type fakeListener struct {
	address string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (l *fakeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}
func (l *fakeListener) Close() error   { l.once.Do(func() { close(l.closed) }); return nil }
func (l *fakeListener) Addr() net.Addr { return &net.TCPAddr{} }

func newFakeNetwork() *fakeNetwork { return &fakeNetwork{listeners: map[string]*fakeListener{}} }

func (n *fakeNetwork) host() environment.Host {
	return environment.Host{
		Listen: func(address string) (net.Listener, error) {
			l := &fakeListener{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
			n.mu.Lock()
			n.listeners[address] = l
			n.mu.Unlock()
			return l, nil
		},
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			n.mu.Lock()
			l := n.listeners[address]
			n.mu.Unlock()
			if l == nil {
				return nil, net.ErrClosed
			}
			clientConn, serverConn := net.Pipe()
			select {
			case l.conns <- serverConn:
				return clientConn, nil
			case <-l.closed:
			case <-ctx.Done():
			}
			return nil, net.ErrClosed
		},
	}
}

func (n *fakeNetwork) environment(t *testing.T, ctx context.Context, name, address string) *environment.Environment {
	t.Helper()
	settings, err := config.Load("", map[string]string{"name": name, "zone": "a", "peer.address": address, "api.address": "10.0.0.9:1", "proxy.address": "10.0.0.9:2", "distribution.max_concurrent_fetches": "2"})
	if err != nil {
		t.Fatal(err)
	}
	return environment.New(ctx, settings, eventlog.New(t.Output(), "error", name), n.host())
}
