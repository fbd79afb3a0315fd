// What was written but not taken by the other side must not arrive much later:
// a cut or a standstill on the way would deliver a request under a plan that is
// long past. So the system is told to give a connection up when what was sent
// stays unacknowledged for a second, and to throw away what was not sent yet
// when a pipe is killed.
package proxy

import (
	"net"
	"syscall"
	"time"
)

const (
	unackedTimeout       = time.Second
	unackedStreamTimeout = 10 * time.Second

	tcpUserTimeout = 18 // TCP_USER_TIMEOUT of Linux, in milliseconds
)

// setUserTimeout bounds the time that sent bytes may stay unacknowledged.
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

// closeAbruptly closes a connection without sending what is still waiting.
func closeAbruptly(conn net.Conn) {
	if c, ok := conn.(interface{ SetLinger(int) error }); ok {
		c.SetLinger(0)
	}
	conn.Close()
}
