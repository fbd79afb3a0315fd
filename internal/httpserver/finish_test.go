package httpserver

import (
	"io"
	"net/http"
	"testing"
	"time"
)

// longResponse is the size in bytes of a response that does not fit into the socket buffers.
const longResponse = 64 << 20

// A client that does not read its response must not block Finish.
func TestFinish_GivesUpOnClientThatReadsNothing(t *testing.T) {
	handlerStarted := make(chan struct{}, 2)
	server, address := startServer(t, unwrapped, Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			handlerStarted <- struct{}{}
			w.Write(make([]byte, longResponse))
		}
	})})
	conn, reader := dial(t, address)
	if _, err := io.WriteString(conn, "GET /long HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-handlerStarted
	if remaining := server.Finish(); remaining != 1 {
		t.Error(remaining, "connections remain")
	}
	server.Close()
	if response, err := http.ReadResponse(reader, nil); err == nil {
		if _, err = io.Copy(io.Discard, response.Body); err == nil {
			t.Error("a response that the client did not read in time arrived complete")
		}
	}
}

// A client that keeps reading receives its whole response, within the limit of maxFinishPolls.
func TestFinish_WaitsForClientThatReadsItsResponse(t *testing.T) {
	handlerStarted := make(chan struct{}, 2)
	server, address := startServer(t, unwrapped, Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			handlerStarted <- struct{}{}
			w.Write(make([]byte, longResponse))
		}
	})})
	conn, reader := dial(t, address)
	if _, err := io.WriteString(conn, "GET /long HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-handlerStarted
	remaining := make(chan int)
	go func() { remaining <- server.Finish() }()
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	if n, err := io.Copy(io.Discard, response.Body); n != longResponse || err != nil {
		t.Error("received only", n, "bytes:", err)
	}
	if n := <-remaining; n != 0 {
		t.Error(n, "connections remain")
	}
}

// A handler that never returns must not block Finish beyond maxFinishPolls.
func TestFinish_ReturnsIfHandlerNeverReturns(t *testing.T) {
	release, handlerStarted := make(chan struct{}), make(chan struct{})
	defer close(release)
	server, address := startServer(t, unwrapped, Config{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/never" {
			close(handlerStarted)
			<-release
		}
	})})
	conn, _ := dial(t, address)
	if _, err := io.WriteString(conn, "GET /never HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-handlerStarted
	start := time.Now()
	if remaining := server.Finish(); remaining != 1 {
		t.Error(remaining, "connections remain")
	}
	if elapsed, minimum := time.Since(start), maxFinishPolls*finishPollInterval; elapsed < minimum {
		t.Errorf("Finish returned after %s, want at least %s", elapsed, minimum)
	}
}

// A connection that is not serving a request is closed without waiting.
func TestFinish_ClosesIdleConnections(t *testing.T) {
	server, address := startServer(t, unwrapped, helloConfig)
	conn, reader := dial(t, address)
	if remaining := server.Finish(); remaining != 0 {
		t.Error(remaining, "connections remain")
	}
	if _, err := exchange(conn, reader); err == nil {
		t.Error("the connection is still open")
	}
}

// The wait for a client is counted in polls, not in elapsed time.
func TestClientWait_CountsConsecutiveStalledPolls(t *testing.T) {
	var wait clientWait
	if wait.poll() != 0 {
		t.Error("a poll was counted without a read or write in progress")
	}
	wait.begin()
	for i := range 3 {
		if stalledPolls := wait.poll(); stalledPolls != i+1 {
			t.Errorf("%d polls were counted as %d", i+1, stalledPolls)
		}
	}
	wait.end()
	wait.begin()
	if stalledPolls := wait.poll(); stalledPolls != 0 {
		t.Errorf("%d polls were counted although a write completed", stalledPolls)
	}
}
