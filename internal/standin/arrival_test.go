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

// The rest of the request arrives later, which must not change the time of receipt.
func TestTimeSinceReceipt_CountsFromFirstBytesOfRequest(t *testing.T) {
	const bodyDelay = 150 * time.Millisecond
	stop, err := StartTimestamps()
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ages := make(chan time.Duration, 1)
	server := &http.Server{
		ConnContext: withConnection,
		ConnState:   handleConnState,
		Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			io.Copy(io.Discard, r.Body)
			ages <- timeSinceReceipt(r.Context())
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
		sentAt := time.Now()
		io.WriteString(client, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\na")
		<-time.After(bodyDelay)
		io.WriteString(client, "b")
		if age, sinceSent := <-ages, time.Since(sentAt); age < bodyDelay || age > sinceSent {
			t.Errorf("received %s ago, sent %s ago", age, sinceSent)
		}
		if _, err := http.ReadResponse(reader, nil); err != nil {
			t.Fatal(err)
		}
	}
	if age := timeSinceReceipt(context.Background()); age != 0 {
		t.Error("without a connection:", age)
	}
}
