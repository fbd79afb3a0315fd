package standin

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

// timestampedListener accepts connections that record when the kernel received the first bytes
// of each request.
type timestampedListener struct{ *net.TCPListener }

// withTimestamps enables the kernel's receive timestamps on a TCP listener. Any other listener,
// such as the simulator's, is returned unchanged, as is one on which the kernel rejects the option.
func withTimestamps(listener net.Listener) net.Listener {
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		return listener
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return listener
	}
	// Accepted connections inherit the option.
	if err := enableTimestamps(raw); err != nil {
		return listener
	}
	return timestampedListener{tcp}
}

// Accept waits for the next connection and enables timestamps on it.
func (l timestampedListener) Accept() (net.Conn, error) {
	conn, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return conn, nil
	}
	// A connection established before the listener had the option has not inherited it.
	if err := enableTimestamps(raw); err != nil {
		return conn, nil
	}
	return &timestampedConn{TCPConn: conn, raw: raw, isAwaitingRequest: true}, nil
}

// timestampedConn is a connection whose reads also return the kernel's receive timestamps. They
// are needed because a stalled process reads a request only when it runs again, which may be long
// after the request arrived.
type timestampedConn struct {
	*net.TCPConn
	raw syscall.RawConn

	mu                sync.Mutex // guards the fields below
	isAwaitingRequest bool       // no byte of the next request has been read
	receivedAt        time.Time  // first bytes of the last request; zero if the kernel gave no timestamp
}

// Read reads data and, for the first bytes of a request, records when the kernel received them.
// If one read returns several packets, the timestamp is that of the last one.
func (c *timestampedConn) Read(buffer []byte) (int, error) {
	if len(buffer) == 0 {
		return 0, nil
	}
	n, control, err := receive(c.raw, buffer)
	var errno syscall.Errno
	switch {
	case errors.As(err, &errno):
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("recvmsg", errno)}
	case err != nil:
		return 0, err
	case n == 0:
		return 0, io.EOF
	}
	c.recordReceipt(receiptAge(control))
	return n, nil
}

// recordReceipt records the age of the data just read if it is the first of a request. isKnown is
// false if the kernel gave no timestamp.
func (c *timestampedConn) recordReceipt(age time.Duration, isKnown bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isAwaitingRequest {
		return
	}
	c.isAwaitingRequest, c.receivedAt = false, time.Time{}
	if isKnown {
		c.receivedAt = time.Now().Add(-age)
	}
}

// expectRequest marks the next bytes read as the first of a request.
func (c *timestampedConn) expectRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isAwaitingRequest = true
}

// handleConnState prepares a connection that has become idle for its next request.
func handleConnState(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*timestampedConn); ok && state == http.StateIdle {
		c.expectRequest()
	}
}

// connectionKey is the context key of a request's connection.
type connectionKey struct{}

func withConnection(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

// timeSinceReceipt returns how long ago the kernel received the first bytes of the request with
// this context. It returns zero if that is unknown.
func timeSinceReceipt(ctx context.Context) time.Duration {
	c, ok := ctx.Value(connectionKey{}).(*timestampedConn)
	if !ok {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.receivedAt.IsZero() {
		return 0
	}
	return time.Since(c.receivedAt)
}
