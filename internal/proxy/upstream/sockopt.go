package upstream

import (
	"net"
	"syscall"
	"time"
)

// A request that was written but not yet received by the target must not arrive much later:
// after a network partition or a stalled link it would run under an outdated configuration.
// Therefore the operating system drops a connection whose sent bytes stay unacknowledged
// (TCP_USER_TIMEOUT, RFC 5482), and discards unsent data when a connection is aborted
// (SO_LINGER of zero).
const (
	// UnackedTimeout applies to a request that is sent at once: a head, or a head and a body.
	UnackedTimeout = time.Second

	// UnackedStreamTimeout applies to a streamed body, after the target has accepted the head.
	UnackedStreamTimeout = 10 * time.Second

	tcpUserTimeout = 18 // Linux's TCP_USER_TIMEOUT; its value is in milliseconds
)

// setUserTimeout sets how long sent bytes may stay unacknowledged. It has no effect on
// connections that are neither TCP connections nor the simulator's.
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

// closeAbruptly closes a connection without sending data that is still buffered.
func closeAbruptly(conn net.Conn) {
	if c, ok := conn.(interface{ SetLinger(int) error }); ok {
		c.SetLinger(0)
	}
	conn.Close()
}
