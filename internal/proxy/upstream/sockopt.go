package upstream

import (
	"net"
	"syscall"
	"time"
)

// A request that was written but not taken by the other side must not arrive much later: a
// network partition or a stalled link would deliver it under a configuration that is long
// past. So the operating system is told to give a connection up when sent bytes stay
// unacknowledged (TCP_USER_TIMEOUT, RFC 5482), and to throw away what was not sent yet when
// a connection is aborted (SO_LINGER of zero).
const (
	// UnackedTimeout holds for a request whose head, and body if any, is sent at once.
	UnackedTimeout = time.Second

	// UnackedStreamTimeout holds for a body that streams, once the server has taken the head.
	UnackedStreamTimeout = 10 * time.Second

	tcpUserTimeout = 18 // TCP_USER_TIMEOUT of Linux, in milliseconds
)

// setUserTimeout bounds how long sent bytes may stay unacknowledged. Connections that are
// neither TCP nor the simulator's are left as they are.
func setUserTimeout(conn net.Conn, timeout time.Duration) {
	switch c := conn.(type) {
	case *net.TCPConn:
		if raw, err := c.SyscallConn(); err == nil {
			raw.Control(func(fd uintptr) {
				syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(timeout.Milliseconds()))
			})
		}
	case interface{ SetUserTimeout(time.Duration) }:
		c.SetUserTimeout(timeout)
	}
}

// closeAbruptly closes a connection without sending what is still buffered.
func closeAbruptly(conn net.Conn) {
	if c, ok := conn.(interface{ SetLinger(int) error }); ok {
		c.SetLinger(0)
	}
	conn.Close()
}
