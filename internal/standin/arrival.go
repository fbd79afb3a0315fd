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

// timestampedListener hands out connections that know when the kernel received the first bytes of
// each request.
type timestampedListener struct{ *net.TCPListener }

// withTimestamps has the kernel note when data comes. A listener of another kind, such as the
// simulator's, is returned as it is.
func withTimestamps(listener net.Listener) net.Listener {
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		return listener
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return listener
	}
	// Connections inherit it from their listener.
	if err := enableTimestamps(raw); err != nil {
		return listener
	}
	return timestampedListener{tcp}
}

// Accept waits for the next connection.
func (l timestampedListener) Accept() (net.Conn, error) {
	conn, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return conn, nil
	}
	// One that came before its listener had the option has inherited nothing.
	if err := enableTimestamps(raw); err != nil {
		return conn, nil
	}
	return &timestampedConn{TCPConn: conn, raw: raw, isAwaiting: true}, nil
}

// timestampedConn is a connection whose reads ask the kernel when the data came. A process that
// the machine holds up notes a request when it runs again, and not when it came.
type timestampedConn struct {
	*net.TCPConn
	raw syscall.RawConn

	mu         sync.Mutex // guards all that follows
	isAwaiting bool       // nothing of the next request was read
	receivedAt time.Time  // the first bytes of the last request; zero if the kernel did not tell
}

// Read reads data, and with the first of a request the kernel's time of it. Where more than one
// packet is read, that is the time of the last.
func (c *timestampedConn) Read(buffer []byte) (int, error) {
	if len(buffer) == 0 {
		return 0, nil
	}
	n, control, err := receive(c.raw, buffer)
	var number syscall.Errno
	switch {
	case errors.As(err, &number):
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("recvmsg", number)}
	case err != nil:
		return 0, err
	case n == 0:
		return 0, io.EOF
	}
	c.noteReceived(kernelAge(control))
	return n, nil
}

// noteReceived notes how long ago data was received that was just read, if that is known.
func (c *timestampedConn) noteReceived(age time.Duration, isKnown bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isAwaiting {
		return
	}
	c.isAwaiting, c.receivedAt = false, time.Time{}
	if isKnown {
		c.receivedAt = time.Now().Add(-age)
	}
}

// awaitRequest has the next bytes be the first of a request.
func (c *timestampedConn) awaitRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isAwaiting = true
}

// followIdle tells a connection when its next request is awaited.
func followIdle(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*timestampedConn); ok && state == http.StateIdle {
		c.awaitRequest()
	}
}

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

func withConnection(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

// queuedFor is for how long the first bytes of a request that is being taken have been on this
// machine; zero if its connection does not tell.
func queuedFor(ctx context.Context) time.Duration {
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
