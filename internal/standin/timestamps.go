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
	// timestampTimeout is how long StartTimestamps waits for the kernel's first timestamp.
	timestampTimeout = 2 * time.Second
	// timestampProbeInterval is the time between two probes.
	timestampProbeInterval = time.Millisecond
)

// errNoTimestamps is returned by StartTimestamps if no probe was timestamped.
var errNoTimestamps = errors.New("the kernel does not timestamp received data")

// StartTimestamps makes the kernel timestamp received data and waits until it does. The kernel
// starts to timestamp some time after the first socket enables it; data received earlier has no
// timestamp. It continues for as long as any socket has timestamps enabled, which one socket does
// until stop is called.
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
	if err := waitForTimestamp(sender, conn.(*net.TCPConn)); err != nil {
		conn.Close()
		return nil, err
	}
	return func() { conn.Close() }, nil
}

// waitForTimestamp sends single bytes to receiver until one arrives with a timestamp.
func waitForTimestamp(sender net.Conn, receiver *net.TCPConn) error {
	raw, err := receiver.SyscallConn()
	if err != nil {
		return err
	}
	if err := enableTimestamps(raw); err != nil {
		return err
	}
	startedAt := time.Now()
	for time.Since(startedAt) < timestampTimeout {
		if _, err := sender.Write([]byte{0}); err != nil {
			return err
		}
		_, control, err := receive(raw, make([]byte, 1))
		if err != nil {
			return err
		}
		if _, isKnown := receiptAge(control); isKnown {
			return nil
		}
		<-time.After(timestampProbeInterval)
	}
	return errNoTimestamps
}

// enableTimestamps makes the kernel return a receive timestamp with a socket's data.
func enableTimestamps(raw syscall.RawConn) error {
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_TIMESTAMPNS, 1)
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}

// receive waits for data and returns its size and control messages. An error of the system call
// is a syscall.Errno.
func receive(raw syscall.RawConn, buffer []byte) (n int, control []byte, err error) {
	control = make([]byte, unix.CmsgSpace(int(unsafe.Sizeof(unix.Timespec{}))))
	var controlSize int
	readErr := raw.Read(func(fd uintptr) bool {
		n, controlSize, _, _, err = unix.Recvmsg(int(fd), buffer, control, 0)
		return err != unix.EAGAIN && err != unix.EINTR
	})
	if readErr != nil {
		return 0, nil, readErr
	}
	return n, control[:controlSize], err
}

// receiptAge returns how long ago the kernel received the data that came with these control
// messages. It returns false if they contain no timestamp.
func receiptAge(control []byte) (time.Duration, bool) {
	messages, err := unix.ParseSocketControlMessage(control)
	if err != nil {
		return 0, false
	}
	for _, m := range messages {
		isTimestamp := m.Header.Level == unix.SOL_SOCKET && m.Header.Type == unix.SO_TIMESTAMPNS
		if !isTimestamp || len(m.Data) < int(unsafe.Sizeof(unix.Timespec{})) {
			continue
		}
		receivedAt := (*unix.Timespec)(unsafe.Pointer(&m.Data[0]))
		var now unix.Timespec
		if unix.ClockGettime(unix.CLOCK_REALTIME, &now) != nil {
			return 0, false
		}
		return time.Duration(now.Nano() - receivedAt.Nano()), true
	}
	return 0, false
}
