// Package httpserver serves HTTP and stops without losing a request that it has read.
//
// net/http's Shutdown closes each connection that it takes for idle, and takes a connection
// for idle until the head of its next request has been parsed. A request that was read a
// moment before is then executed and its response has nowhere to go. Server ends the wait for
// the next request instead: the wait ends either with nothing read, and the connection is
// closed, or with the first bytes of a request, and that request is served.
//
// The invariant: once a byte of a request was read, the connection is closed only after its
// response was written, or by Close. Finish tells when Close may be called. A client that sends a request before it has its predecessor's
// whole response (pipelining) has no such promise (RFC 9112, section 9.3.2).
package httpserver

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// newConnectionTime is how long a connection without a request yet is taken to be about to
// send one. Shutdown does not end it before.
const newConnectionTime = 5 * time.Second

// shutdownPollInterval is between two looks whether all connections have ended.
const shutdownPollInterval = 5 * time.Millisecond

// Config describes a Server.
type Config struct {
	Handler           http.Handler
	ReadHeaderTimeout time.Duration // for the head of a request, from its first byte
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

	mu          sync.Mutex // guards all that follows
	connections map[*connection]bool
	isEnding    bool // no connection is kept for another request
}

// New returns a server for a listener, which it owns from then on.
func New(listener net.Listener, config Config) *Server {
	s := &Server{config: config, listener: listener, connections: map[*connection]bool{}}
	s.server = &http.Server{
		Handler:           s.announceEnd(config.Handler),
		ReadHeaderTimeout: config.ReadHeaderTimeout,
		IdleTimeout:       config.IdleTimeout,
		BaseContext:       func(net.Listener) context.Context { return config.BaseContext },
		ConnState:         s.follow,
	}
	return s
}

// Serve serves until Shutdown or Close, and then returns nil. Any other end is an error.
func (s *Server) Serve() error {
	err := s.server.Serve(trackingListener{s.listener, s})
	if s.hasEnded() {
		return nil
	}
	return err
}

func (s *Server) hasEnded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isEnding
}

// Shutdown takes no new connections, ends the idle ones, and waits until every request that
// was read is answered and its connection closed, or until the context ends. Finish waits for
// what is given up then, and Close must be called after both.
func (s *Server) Shutdown(ctx context.Context) {
	s.end()
	poll := time.NewTicker(shutdownPollInterval)
	defer poll.Stop()
	for s.endIdle(time.Now()) > 0 {
		select {
		case <-ctx.Done():
			return
		case <-poll.C:
		}
	}
}

// Close closes all connections at once, whatever they are used for.
func (s *Server) Close() {
	s.end()
	s.server.Close()
}

// end takes no new connections from now on, and has no connection kept for another request.
func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isEnding = true
	s.listener.Close() // a second time is an error without consequence
}

// endIdle ends the connections that wait for their next request, and those that have waited
// long enough for their first. It returns how many connections are left.
func (s *Server) endIdle(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.connections {
		if c.hasServed() || now.Sub(c.acceptedAt) >= newConnectionTime {
			c.end()
		}
	}
	return len(s.connections)
}

// follow keeps the connections' states as net/http goes through them.
func (s *Server) follow(conn net.Conn, state http.ConnState) {
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

// forget takes a closed connection off. One that a handler took over is kept until then.
func (s *Server) forget(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.connections, c)
}

// trackingListener hands out the connections of a server.
type trackingListener struct {
	net.Listener
	server *Server
}

// Accept waits for the next connection.
func (l trackingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if prepare := l.server.config.PrepareConnection; prepare != nil {
		prepare(conn)
	}
	c := &connection{Conn: conn, server: l.server, acceptedAt: time.Now(), isWaiting: true}
	l.server.mu.Lock()
	l.server.connections[c] = true
	l.server.mu.Unlock()
	return c, nil
}
