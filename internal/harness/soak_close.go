package harness

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// resetWait is how long a reset may come behind the end of a connection: the other side may
	// still take in what comes for a while after it has ended its own sending.
	resetWait         = time.Second
	resetPollInterval = 20 * time.Millisecond
)

// closeKind is how the other side closed a connection.
type closeKind string

const (
	closeUnknown closeKind = "unknown"
	// closeUnread left something unread, for which the kernel of the other side sends a reset.
	closeUnread closeKind = "unread"
	// closeRead had read all that was sent.
	closeRead closeKind = "read"
)

// closeKindOf tells how the other side closed a connection whose end was read. It may wait for
// resetWait.
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

// tcpInfo is what the kernel tells of a connection; nil for one that is not TCP's, or that it tells
// nothing of.
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

// lastReceiptAge is for how long nothing has come on a connection: zero if the kernel does not tell.
// A segment that ends the connection acknowledges, as each segment does but a reset, so that the end
// of a connection that was ended so came no later than that. It may have come before: the other side
// goes on acknowledging what it is sent.
func lastReceiptAge(conn net.Conn) time.Duration {
	info := tcpInfo(conn)
	if info == nil {
		return 0
	}
	return time.Duration(info.Last_ack_recv) * time.Millisecond
}
