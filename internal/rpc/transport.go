package rpc

import (
	"net"
	"sync"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
)

// acceptRetryDelay is the pause after a failed accept, for example when the process has run
// out of file descriptors.
const acceptRetryDelay = 10 * time.Millisecond

// Transport manages a node's connections to its peers. Its handlers and IsSameZone must be
// set before Start and not be changed afterwards.
type Transport struct {
	env      *environment.Environment
	handlers map[string]Handler
	// IsSameZone reports whether an address is in this node's zone. It affects only the
	// traffic counters. If it is nil, all addresses count as in the zone.
	IsSameZone func(address string) bool

	traffic sync.Map // message kind -> *trafficCounter

	// mu guards the fields below.
	mu          sync.Mutex
	clientConns map[string]*clientConn // outgoing, by address
	openConns   map[net.Conn]bool      // incoming and outgoing; closed on shutdown
}

// New returns a transport. It accepts connections only after Start.
func New(env *environment.Environment) *Transport {
	return &Transport{
		env:         env,
		handlers:    map[string]Handler{},
		clientConns: map[string]*clientConn{},
		openConns:   map[net.Conn]bool{},
	}
}

// Start listens on peer.address and accepts connections until the node's environment ends.
func (t *Transport) Start() error {
	listener, err := t.env.Host.Listen(t.env.Config.PeerAddress)
	if err != nil {
		return errcode.New(errcode.InvalidSettings, "peer.address: %v", err)
	}
	t.env.Go(func() { t.acceptConns(listener) })
	t.env.Go(t.closeIdleConns)
	t.env.Go(func() {
		<-t.env.Done()
		listener.Close()
		t.closeAllConns()
	})
	return nil
}

func (t *Transport) acceptConns(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			if t.env.IsStopping() || !t.env.Sleep(acceptRetryDelay) {
				return
			}
			continue
		}
		if t.trackConn(conn) {
			t.env.Go(func() { t.serveConn(conn) })
		}
	}
}

// trackConn registers a connection to be closed on shutdown. If the node is already
// stopping, it closes the connection and returns false.
func (t *Transport) trackConn(conn net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.env.IsStopping() {
		conn.Close()
		return false
	}
	t.openConns[conn] = true
	return true
}

func (t *Transport) closeConn(conn net.Conn) {
	conn.Close()
	t.mu.Lock()
	delete(t.openConns, conn)
	t.mu.Unlock()
}

func (t *Transport) closeAllConns() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for conn := range t.openConns {
		conn.Close()
	}
}
