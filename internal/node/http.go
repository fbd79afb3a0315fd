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

// prepareConnection sets the receive buffer of clients' connections, where the settings name
// one; nil for nothing to do.
func (n *Node) prepareConnection(key string) func(net.Conn) {
	size := n.Env.Config.ProxyReceiveBufferBytes
	if key != proxyAddressKey || size == 0 {
		return nil
	}
	return func(conn net.Conn) {
		if c, ok := conn.(interface{ SetReadBuffer(int) error }); ok {
			_ = c.SetReadBuffer(size) // else the system's own size serves
		}
	}
}

// nodeServer is one of a node's servers.
type nodeServer struct {
	*httpserver.Server
	key string // the setting that names its address
}

// serveAPI serves the API, and the metrics beside it.
func (n *Node) serveAPI() error {
	server, err := api.NewServer(&apiHandler{n}, api.WithErrorHandler(writeInvalidCall), api.WithNotFound(writeNotFound))
	if err != nil {
		return errcode.New(errcode.Internal, "%v", err)
	}
	return n.serve(n.Env.Config.APIAddress, "api.address", http.MaxBytesHandler(n.withMetrics(server), maxAPIBody))
}

// shutdownServers finishes the requests in flight and ends every connection. Those of the proxy's
// clients end once everything is given up and answered, the others with their context. It returns
// how many clients' connections are left, with requests that get no answer.
func (n *Node) shutdownServers(givenUp, others context.Context) (unanswered int) {
	n.mu.Lock()
	servers := n.servers
	n.mu.Unlock()
	var all sync.WaitGroup
	for _, server := range servers {
		all.Add(1)
		n.Env.Go(func() {
			defer all.Done()
			if server.key != proxyAddressKey {
				server.Shutdown(others)
				return
			}
			server.Shutdown(givenUp)
			unanswered = server.Finish() // one server at most is the proxy's
		})
	}
	all.Wait()
	return unanswered
}
