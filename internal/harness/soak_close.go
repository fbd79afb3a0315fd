package harness

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// resetWait is how long after a connection's FIN a reset may arrive: the peer may keep receiving
	// for a while after it has closed its sending side.
	resetWait         = time.Second
	resetPollInterval = 20 * time.Millisecond
)

// closeKind is how the peer closed a connection.
type closeKind string

const (
	closeUnknown closeKind = "unknown"
	// closeUnread means that the peer left bytes unread, so that its kernel sent a reset.
	closeUnread closeKind = "unread"
	// closeRead means that the peer had read all that was sent.
	closeRead closeKind = "read"
)

// closeKindOf returns how the peer closed a connection whose end was read. It waits up to resetWait
// for a reset.
func closeKindOf(conn net.Conn) closeKind {
	for deadline := time.Now().Add(resetWait); ; time.Sleep(resetPollInterval) {
		info := tcpInfo(conn)
		switch {
		case info == nil:
			return closeUnknown
		case info.State == unix.BPF_TCP_CLOSE:
			return closeUnread
		case time.Now().After(deadline):
			return closeRead
		}
	}
}

// tcpInfo returns the kernel's TCP_INFO of a connection, or nil if that is not a TCP connection or the
// kernel does not report it.
func tcpInfo(conn net.Conn) *unix.TCPInfo {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil
	}
	var info *unix.TCPInfo
	failed := raw.Control(func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if failed != nil || err != nil {
		return nil
	}
	return info
}

// lastReceiptAge returns the time since the last acknowledgment was received on a connection, or zero
// if the kernel does not report it. Every segment but a reset acknowledges, also a FIN, so that a FIN
// arrived at least this long ago. It may have arrived earlier, as the peer still acknowledges what it
// receives after it.
func lastReceiptAge(conn net.Conn) time.Duration {
	info := tcpInfo(conn)
	if info == nil {
		return 0
	}
	return time.Duration(info.Last_ack_recv) * time.Millisecond
}
