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
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return closeUnknown
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return closeUnknown
	}
	for deadline := time.Now().Add(resetWait); ; time.Sleep(resetPollInterval) {
		var info *unix.TCPInfo
		failed := raw.Control(func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
		switch {
		case failed != nil || err != nil:
			return closeUnknown
		case info.State == unix.BPF_TCP_CLOSE:
			return closeUnread
		case time.Now().After(deadline):
			return closeRead
		}
	}
}
