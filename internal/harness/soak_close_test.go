package harness

import (
	"bytes"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/checker"
)

func TestCloseKindOf_DistinguishesReadFromUnreadClose(t *testing.T) {
	for want, closePeer := range map[closeKind]func(conn net.Conn){
		closeRead: func(conn net.Conn) {
			io.ReadFull(conn, make([]byte, 2))
			conn.Close()
		},
		closeUnread: func(conn net.Conn) {
			io.ReadFull(conn, make([]byte, 1))
			conn.Close()
		},
	} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		peer, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(conn, "ab")
		closePeer(peer)
		conn.Read(make([]byte, 1))
		if got := closeKindOf(conn); got != want {
			t.Errorf("%s, want %s", got, want)
		}
	}
	near, _ := net.Pipe()
	if got := closeKindOf(near); got != closeUnknown {
		t.Error(got)
	}
}

// The close is observed long after it arrived, as by a delayed soak, with a request that the peer read
// before it and with one that was sent after it.
func TestLastReceiptAge_ReportsWhenTheConnectionWasClosed(t *testing.T) {
	const (
		observationDelay = 400 * time.Millisecond
		accuracy         = 50 * time.Millisecond // of the kernel's timestamps of a connection, with a wide margin
	)
	for name, isSentAfterClose := range map[string]bool{"read before the close": false, "sent after the close": true} {
		conn, far := connectedPair(t)
		if !isSentAfterClose {
			io.WriteString(conn, "a")
			io.ReadFull(far, make([]byte, 1))
		}
		time.Sleep(2 * accuracy) // so that earlier segments are older than the close
		beforeClose := time.Now()
		far.Close()
		afterClose := time.Now()
		if isSentAfterClose {
			time.Sleep(2 * accuracy)
			io.WriteString(conn, "a")
		}
		time.Sleep(observationDelay)
		if _, err := conn.Read(make([]byte, 1)); err == nil {
			t.Fatal("the connection is not closed")
		}
		closedAt := time.Now().Add(-lastReceiptAge(conn))
		if closedAt.Before(beforeClose.Add(-accuracy)) || closedAt.After(afterClose.Add(accuracy)) {
			t.Errorf("%s: reported as closed %s after the close", name, closedAt.Sub(beforeClose))
		}
	}
	near, _ := net.Pipe()
	if got := lastReceiptAge(near); got != 0 {
		t.Error(got)
	}
}

// connectedPair returns both ends of a TCP connection.
func connectedPair(t *testing.T) (near, far net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	if near, err = net.Dial("tcp", listener.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if far, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { near.Close(); far.Close() })
	return near, far
}

// Each close is observed 0.4 s after the request's last byte, as by a delayed soak. Only the time at
// which it arrived decides whether the request raced with it.
func TestRecordBroken_JudgesByWhenTheConnectionWasClosed(t *testing.T) {
	const observedAfter = 400 * time.Millisecond
	for _, c := range []struct {
		name  string
		close func(near, far net.Conn) // also sends the request, and takes less than observedAfter
		fails bool
	}{
		{"the request raced with the close", func(near, far net.Conn) {
			far.Close()
			io.WriteString(near, "a")
		}, false},
		{"the request was read", func(near, far net.Conn) {
			io.WriteString(near, "a")
			io.ReadFull(far, make([]byte, 1))
			far.Close()
		}, true},
		{"the close arrived late", func(near, far net.Conn) {
			io.WriteString(near, "a")
			time.Sleep(observedAfter - 50*time.Millisecond)
			far.(*net.TCPConn).CloseWrite()
		}, true},
	} {
		near, far := connectedPair(t)
		s := &soak{run: &run{Options: Options{Output: io.Discard}, history: checker.NewHistory(nil)}}
		client := &soakClient{soak: s, closeRaceMargin: closeRaceMargin, machine: &Machine{fleet: &Fleet{}}, conn: near}
		began := time.Now()
		c.close(near, far)
		time.Sleep(time.Until(began.Add(observedAfter)))
		near.Read(make([]byte, 1))
		receiptAge := lastReceiptAge(near)
		client.recordBroken(&checker.Record{}, io.EOF, true, time.Since(began), receiptAge, false)
		if hasFailed := len(s.failures) > 0; hasFailed != c.fails {
			t.Errorf("%s: %v", c.name, s.failures)
		}
	}
}

func TestRecordBroken_IgnoresReceiptAgeAfterAReset(t *testing.T) {
	var output bytes.Buffer
	near, _ := net.Pipe()
	s := &soak{run: &run{Options: Options{Output: &output}, history: checker.NewHistory(nil)}}
	client := &soakClient{soak: s, closeRaceMargin: closeRaceMargin, machine: &Machine{fleet: &Fleet{}}, conn: near}
	client.recordBroken(&checker.Record{}, syscall.ECONNRESET, true, 400*time.Millisecond, 390*time.Millisecond, false)
	if !strings.Contains(output.String(), "closed 400ms later") {
		t.Error(output.String())
	}
}
