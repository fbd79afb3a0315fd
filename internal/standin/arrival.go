package standin

import (
	"context"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

func withConnection(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

// queuedFor is for how long the last bytes of a request's connection have been on this machine
// without being read: a process that the machine holds up notes a request when it runs again,
// and not when it came. Connections that are not TCP, such as the simulator's, tell nothing.
func queuedFor(ctx context.Context) time.Duration {
	conn, ok := ctx.Value(connectionKey{}).(*net.TCPConn)
	if !ok {
		return 0
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0
	}
	queued := time.Duration(0)
	err = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			queued = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	if err != nil {
		return 0
	}
	return queued
}
