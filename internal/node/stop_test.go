package node

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/config"
	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
)

// pipeListener is an in-memory listener that works in a synctest bubble.
type pipeListener struct {
	net.Listener
	conns  chan net.Conn
	closed chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	select {
	case <-l.closed:
	default:
		close(l.closed)
	}
	return nil
}

// dial opens a connection to the listener.
func (l *pipeListener) dial() net.Conn {
	client, server := net.Pipe()
	l.conns <- server
	return client
}

// serveClients returns a node that serves clients on the listener.
func serveClients(t *testing.T, listener *pipeListener, handler http.HandlerFunc) *Node {
	t.Helper()
	host := environment.Host{Listen: func(string) (net.Listener, error) { return listener, nil }}
	n := &Node{Env: environment.New(t.Context(), &config.Settings{}, eventlog.New(io.Discard, "info", "n"), host)}
	if err := n.serve("", proxyAddressKey, handler); err != nil {
		t.Fatal(err)
	}
	return n
}

const testRequest = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"

// A proxy that is starved of processor time (up to 9.2 s in a soak run) must still respond to its
// aborted requests before it ends. It used to end half a second after it had aborted the last
// one, even if the goroutine that writes the response had not run by then.
func TestShutdownServers_AnswersAbortedRequestsWhenTasksRunLate(t *testing.T) {
	// Delays before a request is aborted, and from then until its response is written.
	for _, delay := range []struct{ before, after time.Duration }{{time.Hour, 0}, {0, time.Second}} {
		synctest.Test(t, func(t *testing.T) {
			listener := newPipeListener()
			proxyCtx, abort := context.WithCancel(t.Context())
			n := serveClients(t, listener, func(w http.ResponseWriter, _ *http.Request) {
				<-proxyCtx.Done()
				time.Sleep(delay.after)
				w.WriteHeader(http.StatusServiceUnavailable)
			})
			conn := listener.dial()
			defer conn.Close()
			if _, err := io.WriteString(conn, testRequest); err != nil {
				t.Fatal(err)
			}
			go func() {
				n.shutdownServers(proxyCtx, n.Env)
				n.Env.Shutdown()
			}()
			go func() {
				time.Sleep(delay.before)
				abort()
			}()
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil || response.StatusCode != http.StatusServiceUnavailable {
				t.Errorf("delays %+v: a request that was read got no response: %v %v", delay, response, err)
			}
			<-n.Env.Done()
			synctest.Wait()
		})
	}
}

func TestShutdownServers_ReturnsWhenClientDoesNotRead(t *testing.T) {
	const timeout = time.Second
	synctest.Test(t, func(t *testing.T) {
		listener := newPipeListener()
		n := serveClients(t, listener, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
		conn := listener.dial()
		defer conn.Close()
		if _, err := io.WriteString(conn, testRequest); err != nil {
			t.Fatal(err)
		}
		proxyCtx, abort := context.WithCancel(t.Context())
		abort()
		began := time.Now()
		unanswered := n.shutdownServers(proxyCtx, n.Env)
		if took := time.Since(began); unanswered != 1 || took > timeout {
			t.Errorf("got %d unanswered clients after %s", unanswered, took)
		}
		n.Env.Shutdown()
	})
}
