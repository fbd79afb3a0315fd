// Package httpserver provides an HTTP server that shuts down without losing a request that it
// has read.
//
// net/http's Shutdown closes idle connections, and it considers a connection idle until the
// header of its next request has been parsed. A request that was read just before may then be
// executed although its response can no longer be sent. Server instead interrupts the wait for
// the next request: the wait ends either with nothing read, and the connection is closed, or with
// the first bytes of a request, and that request is served.
//
// Invariant: once a byte of a request has been read, its connection is closed only after the
// response has been written, or by Close, which must be called after Finish has returned. The
// invariant does not cover pipelining, where a client sends a request before it has received the
// whole previous response (RFC 9112, section 9.3.2).
package httpserver

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// firstRequestGrace is how long after accepting a connection Shutdown waits for its first request
// before closing it.
const firstRequestGrace = 5 * time.Second

// shutdownPollInterval is the interval at which Shutdown checks whether all connections are closed.
const shutdownPollInterval = 5 * time.Millisecond

// Config describes a Server.
type Config struct {
	Handler           http.Handler
	ReadHeaderTimeout time.Duration // for a request's header, from its first byte
	IdleTimeout       time.Duration // for the first byte of the next request
	BaseContext       context.Context
	// PrepareConnection, if set, is called with each new connection before it is served.
	PrepareConnection func(net.Conn)
}

// Server is an HTTP server. It is safe for concurrent use.
type Server struct {
	config   Config
	server   *http.Server
	listener net.Listener

	mu           sync.Mutex // guards the fields below
	connections  map[*connection]bool
	shuttingDown bool // set by stopAccepting
}

// New returns a server for a listener and takes ownership of the listener.
func New(listener net.Listener, config Config) *Server {
	s := &Server{config: config, listener: listener, connections: map[*connection]bool{}}
	s.server = &http.Server{
		Handler:           s.announceClose(config.Handler),
		ReadHeaderTimeout: config.ReadHeaderTimeout,
		IdleTimeout:       config.IdleTimeout,
		BaseContext:       func(net.Listener) context.Context { return config.BaseContext },
		ConnState:         s.trackState,
	}
	return s
}

// Serve accepts and serves connections. It returns nil after Shutdown, Finish or Close was called,
// otherwise the error that ended it.
func (s *Server) Serve() error {
	err := s.server.Serve(trackingListener{s.listener, s})
	if s.isShuttingDown() {
		return nil
	}
	return err
}

func (s *Server) isShuttingDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shuttingDown
}

// Shutdown stops accepting connections, closes idle ones, and waits until every request that has
// been read is answered and its connection closed, or until the context is done. In the latter
// case, cancel the requests in flight and call Finish. Close must be called in either case.
func (s *Server) Shutdown(ctx context.Context) {
	s.stopAccepting()
	poll := time.NewTicker(shutdownPollInterval)
	defer poll.Stop()
	for s.closeIdle(time.Now()) > 0 {
		select {
		case <-ctx.Done():
			return
		case <-poll.C:
		}
	}
}

// Close closes all connections immediately, including those with requests in flight.
func (s *Server) Close() {
	s.stopAccepting()
	s.server.Close()
}

// stopAccepting closes the listener. Responses written after it announce the close of their
// connections.
func (s *Server) stopAccepting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shuttingDown = true
	s.listener.Close() // closing it again only returns an error
}

// closeIdle marks connections to be closed when idle, except those that are still within
// firstRequestGrace and have received no request. It returns the number of open connections.
func (s *Server) closeIdle(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.connections {
		if c.hasReceivedRequest() || now.Sub(c.acceptedAt) >= firstRequestGrace {
			c.closeWhenIdle()
		}
	}
	return len(s.connections)
}

// trackState updates a connection when net/http changes its state.
func (s *Server) trackState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*connection)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.beginRequest()
	case http.StateIdle:
		c.awaitRequest()
	}
}

// remove removes a closed connection. A connection that a handler has hijacked stays until it is
// closed.
func (s *Server) remove(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.connections, c)
}

// trackingListener adds each accepted connection to the server's connections.
type trackingListener struct {
	net.Listener
	server *Server
}

// Accept waits for the next connection, prepares it and wraps it in a *connection.
func (l trackingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if prepare := l.server.config.PrepareConnection; prepare != nil {
		prepare(conn)
	}
	c := &connection{Conn: conn, server: l.server, acceptedAt: time.Now(), isAwaitingRequest: true}
	l.server.mu.Lock()
	l.server.connections[c] = true
	l.server.mu.Unlock()
	return c, nil
}
