package standin

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// A request's age counts from its first bytes, whatever comes behind them.
func TestQueuedFor_CountsFromTheFirstBytesOfTheRequest(t *testing.T) {
	const pause = 150 * time.Millisecond
	stop, err := StartTimestamps()
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	queued := make(chan time.Duration, 1)
	server := &http.Server{
		ConnContext: withConnection,
		ConnState:   followIdle,
		Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			io.Copy(io.Discard, r.Body)
			queued <- queuedFor(r.Context())
		}),
	}
	go server.Serve(withTimestamps(listener))
	defer server.Close()
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	reader := bufio.NewReader(client)
	for range 2 {
		sent := time.Now()
		io.WriteString(client, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\na")
		<-time.After(pause)
		io.WriteString(client, "b")
		if age, since := <-queued, time.Since(sent); age < pause || age > since {
			t.Errorf("queued for %s, sent %s ago", age, since)
		}
		if _, err := http.ReadResponse(reader, nil); err != nil {
			t.Fatal(err)
		}
	}
	if age := queuedFor(context.Background()); age != 0 {
		t.Error("without a connection:", age)
	}
}
