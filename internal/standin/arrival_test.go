package standin

import (
	"io"
	"net"
	"testing"
	"time"
)

func TestQueuedFor_CountsFromTheLastBytes(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	server, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	ctx := withConnection(t.Context(), server)
	for range 2 {
		io.WriteString(client, "x")
		sent := time.Now()
		<-time.After(150 * time.Millisecond)
		queued, since := queuedFor(ctx), time.Since(sent)
		if queued < 130*time.Millisecond || queued > since+20*time.Millisecond {
			t.Errorf("queued for %s, sent %s ago", queued, since)
		}
	}
	if queued := queuedFor(t.Context()); queued != 0 {
		t.Error("without a connection:", queued)
	}
}
