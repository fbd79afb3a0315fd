package httpserver

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// gatedListener accepts connections on which the first successful read after watchNextRead blocks
// until gate is closed.
type gatedListener struct {
	net.Listener
	isWatching atomic.Bool
	hasRead    chan struct{} // receives a value at that read; buffered, so that the send does not block
	gate       chan struct{} // closed to let the read return
}

func newGatedListener() *gatedListener {
	return &gatedListener{hasRead: make(chan struct{}, 1), gate: make(chan struct{})}
}

// wrap sets the underlying listener.
func (l *gatedListener) wrap(listener net.Listener) net.Listener {
	l.Listener = listener
	return l
}

// watchNextRead selects the next read that returns data. Call it before sending the data.
func (l *gatedListener) watchNextRead() { l.isWatching.Store(true) }

func (l *gatedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return gatedConn{conn, l}, err
}

type gatedConn struct {
	net.Conn
	listener *gatedListener
}

func (c gatedConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n > 0 && c.listener.isWatching.CompareAndSwap(true, false) {
		c.listener.hasRead <- struct{}{}
		<-c.listener.gate
	}
	return n, err
}

// startServer runs a server on a loopback address until the test ends, and returns that address.
func startServer(t *testing.T, wrap func(net.Listener) net.Listener, config Config) (*Server, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	config.ReadHeaderTimeout, config.IdleTimeout, config.BaseContext = 5*time.Second, 5*time.Second, t.Context()
	server := New(wrap(listener), config)
	served := make(chan error, 1)
	go func() { served <- server.Serve() }()
	t.Cleanup(func() {
		server.Close()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	return server, listener.Addr().String()
}

func unwrapped(l net.Listener) net.Listener { return l }

func writeHello(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "hello") }

var helloConfig = Config{Handler: http.HandlerFunc(writeHello)}

// exchange sends a request and reads its response.
func exchange(conn net.Conn, reader *bufio.Reader) (*http.Response, error) {
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response, err
}

// dial opens a connection and completes one request on it.
func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	reader := bufio.NewReader(conn)
	if _, err := exchange(conn, reader); err != nil {
		t.Fatal(err)
	}
	return conn, reader
}

// A request that the server has read, but whose header it has not parsed yet, is answered.
// net/http considers such a connection idle, so its own Shutdown closes it and the client gets
// EOF instead of a response. On a busy machine this happened when a proxy stopped.
func TestShutdown_AnswersRequestReadButNotParsed(t *testing.T) {
	gated := newGatedListener()
	server, address := startServer(t, gated.wrap, helloConfig)
	conn, reader := dial(t, address)
	gated.watchNextRead()
	answered := make(chan error, 1)
	var response *http.Response
	go func() {
		var err error
		response, err = exchange(conn, reader)
		answered <- err
	}()
	<-gated.hasRead
	stopped := make(chan struct{})
	go func() {
		server.Shutdown(t.Context())
		close(stopped)
	}()
	// Shutdown has begun once the server accepts no new connections.
	for isListening(address) {
	}
	close(gated.gate)
	if err := <-answered; err != nil {
		t.Fatal("a request that was read got no response:", err)
	}
	if !response.Close {
		t.Error("the response does not announce that its connection is closed")
	}
	<-stopped
}

// While a handler that has flushed its whole response is still running, net/http reads the first
// byte of the next request in the background. Shutdown must not consider such a connection idle:
// the client would get "connection reset by peer" for a request of which a byte was read.
func TestShutdown_AnswersRequestReadBeforePreviousHandlerReturned(t *testing.T) {
	for _, stopsBeforeReturn := range []bool{true, false} {
		gated := newGatedListener()
		close(gated.gate)
		release := make(chan struct{})
		finished := make(chan struct{}, 2)
		server, address := startServer(t, gated.wrap, Config{
			Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Content-Length", "5")
				writeHello(w, r)
				http.NewResponseController(w).Flush()
				<-release
				finished <- struct{}{}
			}),
		})
		conn, reader := dial(t, address)
		const request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
		gated.watchNextRead()
		if _, err := io.WriteString(conn, request[:1]); err != nil {
			t.Fatal(err)
		}
		<-gated.hasRead
		stopped := make(chan struct{})
		stop := func() {
			go func() {
				server.Shutdown(t.Context())
				close(stopped)
			}()
			for isListening(address) {
			}
		}
		if stopsBeforeReturn {
			stop()
		}
		close(release)
		<-finished
		if !stopsBeforeReturn {
			stop()
		}
		if _, err := io.WriteString(conn, request[1:]); err != nil {
			t.Fatal(err)
		}
		if response, err := http.ReadResponse(reader, nil); err != nil || !response.Close {
			t.Errorf("shutdown before the handler returned: %v: a request of which a byte was read got no response: %v %v", stopsBeforeReturn, response, err)
		}
		<-stopped
	}
}

func isListening(address string) bool {
	conn, err := net.Dial("tcp", address)
	if err == nil {
		conn.Close()
	}
	return err == nil
}

func TestShutdown_ClosesIdleConnectionsImmediately(t *testing.T) {
	server, address := startServer(t, unwrapped, helloConfig)
	conn, _ := dial(t, address)
	start := time.Now()
	server.Shutdown(t.Context())
	if elapsed := time.Since(start); elapsed > time.Second {
		t.Error("Shutdown took", elapsed)
	}
	if _, err := conn.Read(make([]byte, 1)); err != io.EOF {
		t.Error("the connection was not closed:", err)
	}
}

func TestShutdown_WaitsForInflightRequestUntilContextIsDone(t *testing.T) {
	release := make(chan struct{})
	handlerStarted := make(chan struct{}, 2)
	server, address := startServer(t, unwrapped, Config{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/" {
			return
		}
		handlerStarted <- struct{}{}
		<-release
	})})
	conn, reader := dial(t, address)
	if _, err := io.WriteString(conn, "GET /long HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-handlerStarted
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	server.Shutdown(ctx)
	close(release)
	server.Shutdown(t.Context())
	if response, err := http.ReadResponse(reader, nil); err != nil || !response.Close {
		t.Error(response, err)
	}
}

func TestShutdown_ServesFirstRequestOfNewConnection(t *testing.T) {
	accepted := make(chan struct{})
	// isListening opens connections too, so PrepareConnection is called more than once.
	accept := sync.OnceFunc(func() { close(accepted) })
	server, address := startServer(t, unwrapped, Config{
		Handler:           helloConfig.Handler,
		PrepareConnection: func(net.Conn) { accept() },
	})
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	<-accepted
	stopped := make(chan struct{})
	go func() {
		server.Shutdown(t.Context())
		close(stopped)
	}()
	for isListening(address) {
	}
	if response, err := exchange(conn, bufio.NewReader(conn)); err != nil || !response.Close {
		t.Error(response, err)
	}
	<-stopped
}

// Each request sent while its connection is being closed is either answered or never executed.
func TestShutdown_AnswersEveryExecutedRequest(t *testing.T) {
	const rounds, clients = 60, 8
	for range rounds {
		var executed, answered atomic.Int64
		server, address := startServer(t, unwrapped, Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			executed.Add(1)
			writeHello(w, r)
		})})
		var clientTasks sync.WaitGroup
		begin := make(chan struct{})
		for range clients {
			conn, reader := dial(t, address)
			clientTasks.Go(func() {
				<-begin
				conn.SetReadDeadline(time.Now().Add(5 * time.Second))
				for {
					response, err := exchange(conn, reader)
					if errors.Is(err, os.ErrDeadlineExceeded) {
						t.Error("a request got neither a response nor a closed connection")
					}
					if err != nil {
						return
					}
					answered.Add(1)
					if response.Close {
						return
					}
				}
			})
		}
		close(begin)
		server.Shutdown(t.Context())
		clientTasks.Wait()
		if executedCount, answeredCount := executed.Load(), answered.Load()+clients; executedCount != answeredCount {
			t.Fatalf("%d requests were executed, but %d were answered", executedCount, answeredCount)
		}
	}
}
