package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/api"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
)

const (
	// maxAPIBody is the largest body of an API request, in bytes.
	maxAPIBody = 32 << 20

	headerTimeout = 10 * time.Second
	idleTimeout   = 60 * time.Second

	proxyAddressKey = "proxy.address"
)

// serve serves HTTP on the address that a setting names, until the environment ends. An
// address that can't be taken is an errcode.InvalidSettings.
func (n *Node) serve(address, key string, handler http.Handler) error {
	listener, err := n.Env.Host.Listen(address)
	if err != nil {
		return errcode.New(errcode.InvalidSettings, "%s: %v", key, err)
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		BaseContext:       func(net.Listener) context.Context { return n.Env },
	}
	if size := n.Env.Config.ProxyReceiveBufferBytes; key == proxyAddressKey && size > 0 {
		server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
			if c, ok := conn.(interface{ SetReadBuffer(int) error }); ok {
				_ = c.SetReadBuffer(size) // else the system's own size serves
			}
			return ctx
		}
	}
	n.mu.Lock()
	n.servers = append(n.servers, server)
	n.mu.Unlock()
	n.Env.Go(func() {
		if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) && !n.Env.IsStopping() {
			n.Env.Events.Emit(eventlog.MessageRejected, "cause", err.Error())
		}
	})
	n.Env.Go(func() {
		<-n.Env.Done()
		server.Close()
	})
	return nil
}

// serveAPI serves the API, and the metrics beside it.
func (n *Node) serveAPI() error {
	server, err := api.NewServer(&apiHandler{n}, api.WithErrorHandler(writeInvalidCall), api.WithNotFound(writeNotFound))
	if err != nil {
		return errcode.New(errcode.Internal, "%v", err)
	}
	return n.serve(n.Env.Config.APIAddress, "api.address", http.MaxBytesHandler(n.withMetrics(server), maxAPIBody))
}

// shutdownServers finishes the requests in flight and closes every server, until the
// context ends.
func (n *Node) shutdownServers(ctx context.Context) {
	n.mu.Lock()
	servers := n.servers
	n.mu.Unlock()
	var all sync.WaitGroup
	for _, server := range servers {
		all.Add(1)
		n.Env.Go(func() { defer all.Done(); server.Shutdown(ctx) })
	}
	all.Wait()
}
