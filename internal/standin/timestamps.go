package standin

import (
	"errors"
	"net"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

const (
	// timestampTimeout bounds the wait for the kernel's first time of a receipt.
	timestampTimeout = 2 * time.Second
	// timestampProbeInterval is the pause between two probes.
	timestampProbeInterval = time.Millisecond
)

// errNoTimestamps means that the kernel tells no times of receipts.
var errNoTimestamps = errors.New("the kernel notes no times of receipts")

// StartTimestamps has the kernel note when data comes, and returns when it does: it begins some
// time after the first socket asks for it, and what comes before has no time. It goes on for as
// long as any socket asks; the function that is returned ends this one's asking.
func StartTimestamps() (stop func(), err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer listener.Close()
	sender, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		return nil, err
	}
	defer sender.Close()
	conn, err := listener.Accept()
	if err != nil {
		return nil, err
	}
	if err := awaitTimestamp(sender, conn.(*net.TCPConn)); err != nil {
		conn.Close()
		return nil, err
	}
	return func() { conn.Close() }, nil
}

// awaitTimestamp sends bytes to a receiver until one comes with its time.
func awaitTimestamp(sender net.Conn, receiver *net.TCPConn) error {
	raw, err := receiver.SyscallConn()
	if err != nil {
		return err
	}
	if err := enableTimestamps(raw); err != nil {
		return err
	}
	began := time.Now()
	for time.Since(began) < timestampTimeout {
		if _, err := sender.Write([]byte{0}); err != nil {
			return err
		}
		_, control, err := receive(raw, make([]byte, 1))
		if err != nil {
			return err
		}
		if _, isKnown := kernelAge(control); isKnown {
			return nil
		}
		<-time.After(timestampProbeInterval)
	}
	return errNoTimestamps
}

// enableTimestamps has the kernel tell with a socket's data when it came.
func enableTimestamps(raw syscall.RawConn) error {
	var err error
	failed := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_TIMESTAMPNS, 1)
	})
	if failed != nil {
		return failed
	}
	return err
}

// receive waits for data, and returns its size and the control messages that came with it. An
// error of the system call is a syscall.Errno.
func receive(raw syscall.RawConn, buffer []byte) (n int, control []byte, err error) {
	control = make([]byte, unix.CmsgSpace(int(unsafe.Sizeof(unix.Timespec{}))))
	var controlSize int
	failed := raw.Read(func(fd uintptr) bool {
		n, controlSize, _, _, err = unix.Recvmsg(int(fd), buffer, control, 0)
		return err != unix.EAGAIN && err != unix.EINTR
	})
	if failed != nil {
		return 0, nil, failed
	}
	return n, control[:controlSize], err
}

// kernelAge reads from the control messages that came beside data how long ago the kernel received
// it; false if they don't tell.
func kernelAge(control []byte) (time.Duration, bool) {
	messages, err := unix.ParseSocketControlMessage(control)
	if err != nil {
		return 0, false
	}
	for _, m := range messages {
		isTime := m.Header.Level == unix.SOL_SOCKET && m.Header.Type == unix.SO_TIMESTAMPNS
		if !isTime || len(m.Data) < int(unsafe.Sizeof(unix.Timespec{})) {
			continue
		}
		received := (*unix.Timespec)(unsafe.Pointer(&m.Data[0]))
		var now unix.Timespec
		if unix.ClockGettime(unix.CLOCK_REALTIME, &now) != nil {
			return 0, false
		}
		return time.Duration(now.Nano() - received.Nano()), true
	}
	return 0, false
}
