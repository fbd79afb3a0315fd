package httpserver

import (
	"io"
	"net/http"
	"testing"
	"time"
)

// longResponse is more than the buffers of two sockets hold.
const longResponse = 64 << 20

// A client that takes nothing does not keep the server from its end.
func TestFinish_LeavesAClientThatTakesNothing(t *testing.T) {
	writing := make(chan struct{}, 2)
	server, address := start(t, asItIs, Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			writing <- struct{}{}
			w.Write(make([]byte, longResponse))
		}
	})})
	conn, reader := dial(t, address)
	if _, err := io.WriteString(conn, "GET /long HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-writing
	if left := server.Finish(); left != 1 {
		t.Error(left, "connections are left")
	}
	server.Close()
	if response, err := http.ReadResponse(reader, nil); err == nil {
		if _, err = io.Copy(io.Discard, response.Body); err == nil {
			t.Error("a response that was not taken is whole")
		}
	}
}

// A client that takes its response slowly, but takes it, has all of it, as long as maxFinishPolls
// allow.
func TestFinish_WaitsForAClientThatTakesItsResponse(t *testing.T) {
	writing := make(chan struct{}, 2)
	server, address := start(t, asItIs, Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			writing <- struct{}{}
			w.Write(make([]byte, longResponse))
		}
	})})
	conn, reader := dial(t, address)
	if _, err := io.WriteString(conn, "GET /long HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-writing
	left := make(chan int)
	go func() { left <- server.Finish() }()
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	if n, err := io.Copy(io.Discard, response.Body); n != longResponse || err != nil {
		t.Error("only", n, "bytes came:", err)
	}
	if n := <-left; n != 0 {
		t.Error(n, "connections are left")
	}
}

// A handler that never returns does not keep the server from its end.
func TestFinish_EndsWhateverAHandlerDoes(t *testing.T) {
	release, working := make(chan struct{}), make(chan struct{})
	defer close(release)
	server, address := start(t, asItIs, Config{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/never" {
			close(working)
			<-release
		}
	})})
	conn, _ := dial(t, address)
	if _, err := io.WriteString(conn, "GET /never HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-working
	began := time.Now()
	if left := server.Finish(); left != 1 {
		t.Error(left, "connections are left")
	}
	if took, least := time.Since(began), maxFinishPolls*finishPollInterval; took < least {
		t.Errorf("gave up after %s, before %s", took, least)
	}
}

// A connection that no request came on yet is ended at once.
func TestFinish_EndsConnectionsWithoutARequest(t *testing.T) {
	server, address := start(t, asItIs, greeting)
	conn, reader := dial(t, address)
	if left := server.Finish(); left != 0 {
		t.Error(left, "connections are left")
	}
	if _, err := exchange(conn, reader); err == nil {
		t.Error("the connection is still there")
	}
}

// What counts is how often the server has looked, and not how long it was since the last time.
func TestClientWait_CountsLooksInARow(t *testing.T) {
	var wait clientWait
	if wait.look() != 0 {
		t.Error("a connection that waits for nobody was counted")
	}
	wait.begin()
	for i := range 3 {
		if polls := wait.look(); polls != i+1 {
			t.Errorf("%d looks were counted as %d", i+1, polls)
		}
	}
	wait.end()
	wait.begin()
	if polls := wait.look(); polls != 0 {
		t.Errorf("the client has taken something since, and %d looks were counted", polls)
	}
}
