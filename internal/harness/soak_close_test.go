package harness

import (
	"io"
	"net"
	"testing"
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
