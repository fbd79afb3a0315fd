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

func TestCloseKindOf_TellsWhetherAllWasRead(t *testing.T) {
	for want, close := range map[closeKind]func(conn net.Conn){
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
		far, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(conn, "ab")
		close(far)
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

// An end is seen long after it came, as by a soak that the machine holds up, whether the request
// crossed it or not.
func TestLastReceiptAge_TellsWhenTheEndCame(t *testing.T) {
	const (
		seenLate = 400 * time.Millisecond
		accuracy = 50 * time.Millisecond // of the kernel's clock of a connection, with much to spare
	)
	for name, crosses := range map[string]bool{"read before the close": false, "crossed the close": true} {
		conn, far := connectedPair(t)
		if !crosses {
			io.WriteString(conn, "a")
			io.ReadFull(far, make([]byte, 1))
		}
		time.Sleep(2 * accuracy) // what came before the end is older
		before := time.Now()
		far.Close()
		after := time.Now()
		if crosses {
			time.Sleep(2 * accuracy)
			io.WriteString(conn, "a")
		}
		time.Sleep(seenLate)
		if _, err := conn.Read(make([]byte, 1)); err == nil {
			t.Fatal("the connection goes on")
		}
		came := time.Now().Add(-lastReceiptAge(conn))
		if came.Before(before.Add(-accuracy)) || came.After(after.Add(accuracy)) {
			t.Errorf("%s: the end came %s after the close", name, came.Sub(before))
		}
	}
	near, _ := net.Pipe()
	if got := lastReceiptAge(near); got != 0 {
		t.Error(got)
	}
}

// connectedPair returns both ends of a connection.
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

// Each end is seen 0.4 s after the request's last byte, by a soak that was held up.
func TestRecordBroken_GoesByWhenTheEndCame(t *testing.T) {
	const seenAfter = 400 * time.Millisecond
	for _, c := range []struct {
		name  string
		end   func(near, far net.Conn) // sends the request as well, and takes less than seenAfter
		fails bool
	}{
		{"the request crossed the close", func(near, far net.Conn) {
			far.Close()
			io.WriteString(near, "a")
		}, false},
		{"the request was read", func(near, far net.Conn) {
			io.WriteString(near, "a")
			io.ReadFull(far, make([]byte, 1))
			far.Close()
		}, true},
		{"the end came late", func(near, far net.Conn) {
			io.WriteString(near, "a")
			time.Sleep(seenAfter - 50*time.Millisecond)
			far.(*net.TCPConn).CloseWrite()
		}, true},
	} {
		near, far := connectedPair(t)
		s := &soak{run: &run{Options: Options{Output: io.Discard}, history: checker.NewHistory(nil)}}
		client := &soakClient{soak: s, slack: unreadSlack, machine: &Machine{fleet: &Fleet{}}, conn: near}
		began := time.Now()
		c.end(near, far)
		time.Sleep(time.Until(began.Add(seenAfter)))
		near.Read(make([]byte, 1))
		lateness := lastReceiptAge(near)
		client.recordBroken(&checker.Record{}, io.EOF, true, time.Since(began), lateness, false)
		if hasFailed := len(s.failures) > 0; hasFailed != c.fails {
			t.Errorf("%s: %v", c.name, s.failures)
		}
	}
}

func TestRecordBroken_TakesNoOtherSegmentForAReset(t *testing.T) {
	var output bytes.Buffer
	near, _ := net.Pipe()
	s := &soak{run: &run{Options: Options{Output: &output}, history: checker.NewHistory(nil)}}
	client := &soakClient{soak: s, slack: unreadSlack, machine: &Machine{fleet: &Fleet{}}, conn: near}
	client.recordBroken(&checker.Record{}, syscall.ECONNRESET, true, 400*time.Millisecond, 390*time.Millisecond, false)
	if !strings.Contains(output.String(), "ended 400ms later") {
		t.Error(output.String())
	}
}
