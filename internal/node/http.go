package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/api"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/httpserver"
)

const (
	// maxAPIBody is the size limit of API request bodies, in bytes.
	maxAPIBody = 32 << 20

	headerTimeout = 10 * time.Second
	idleTimeout   = 60 * time.Second

	proxyAddressKey = "proxy.address"
)

// serve serves HTTP on an address until the environment ends. key is the setting that names
// the address. It returns an errcode.InvalidSettings if it can't listen on the address.
func (n *Node) serve(address, key string, handler http.Handler) error {
	listener, err := n.Env.Host.Listen(address)
	if err != nil {
		return errcode.New(errcode.InvalidSettings, "%s: %v", key, err)
	}
	server := httpserver.New(listener, httpserver.Config{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		BaseContext:       n.Env,
		PrepareConnection: n.prepareConnection(key),
	})
	n.mu.Lock()
	n.servers = append(n.servers, nodeServer{server, key})
	n.mu.Unlock()
	n.Env.Go(func() {
		if err := server.Serve(); err != nil && !n.Env.IsStopping() {
			n.Env.Events.Emit(eventlog.MessageRejected, "cause", err.Error())
		}
	})
	n.Env.Go(func() {
		<-n.Env.Done()
		server.Close()
	})
	return nil
}

// prepareConnection returns a function that sets the receive buffer of client connections to
// proxy.receive_buffer_bytes. It returns nil for other addresses and if that is not set.
func (n *Node) prepareConnection(key string) func(net.Conn) {
	size := n.Env.Config.ProxyReceiveBufferBytes
	if key != proxyAddressKey || size == 0 {
		return nil
	}
	return func(conn net.Conn) {
		if buffered, ok := conn.(interface{ SetReadBuffer(int) error }); ok {
			_ = buffered.SetReadBuffer(size) // on failure the system's default size applies
		}
	}
}

// nodeServer is an HTTP server of a node.
type nodeServer struct {
	*httpserver.Server
	key string // setting that names its address
}

// serveAPI serves the API and the metrics.
func (n *Node) serveAPI() error {
	server, err := api.NewServer(&apiHandler{n}, api.WithErrorHandler(writeInvalidCall), api.WithNotFound(writeNotFound))
	if err != nil {
		return errcode.New(errcode.Internal, "%v", err)
	}
	return n.serve(n.Env.Config.APIAddress, "api.address", http.MaxBytesHandler(n.withMetrics(server), maxAPIBody))
}

// shutdownServers waits for requests in flight and closes all connections. The proxy's server
// waits until proxyCtx ends and the requests aborted then have got a response; the others wait
// until otherCtx ends. It returns the number of client connections whose requests got no response.
func (n *Node) shutdownServers(proxyCtx, otherCtx context.Context) (unanswered int) {
	n.mu.Lock()
	servers := n.servers
	n.mu.Unlock()
	var shutdowns sync.WaitGroup
	for _, server := range servers {
		shutdowns.Add(1)
		n.Env.Go(func() {
			defer shutdowns.Done()
			if server.key != proxyAddressKey {
				server.Shutdown(otherCtx)
				return
			}
			server.Shutdown(proxyCtx)
			unanswered = server.Finish() // no data race: at most one server is the proxy's
		})
	}
	shutdowns.Wait()
	return unanswered
}
