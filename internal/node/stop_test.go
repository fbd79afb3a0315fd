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

// pipeListener is an address within a bubble of virtual time.
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

// dial opens a connection to the address.
func (l *pipeListener) dial() net.Conn {
	ours, theirs := net.Pipe()
	l.conns <- theirs
	return ours
}

// serveClients has a node serve clients at a listener of virtual time.
func serveClients(t *testing.T, listener *pipeListener, handler http.HandlerFunc) *Node {
	t.Helper()
	host := environment.Host{Listen: func(string) (net.Listener, error) { return listener, nil }}
	n := &Node{Env: environment.New(t.Context(), &config.Settings{}, eventlog.New(io.Discard, "info", "n"), host)}
	if err := n.serve("", proxyAddressKey, handler); err != nil {
		t.Fatal(err)
	}
	return n
}

const wholeRequest = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"

// In a soak of 20 proxies beside load the machine withheld the processor for up to 9.2 s, and a proxy
// ended half a second after it had given its last request up, and that one without an answer. The
// time for the answer was counted from then, whether or not whoever wrote it was run.
func TestShutdownServers_AnswersWhatIsGivenUpHoweverLateItsTaskRuns(t *testing.T) {
	// Before a request is given up, and from then to its answer.
	for _, heldUpFor := range []struct{ before, after time.Duration }{{time.Hour, 0}, {0, time.Second}} {
		synctest.Test(t, func(t *testing.T) {
			listener := newPipeListener()
			givenUp, giveUp := context.WithCancel(t.Context())
			n := serveClients(t, listener, func(w http.ResponseWriter, _ *http.Request) {
				<-givenUp.Done()
				time.Sleep(heldUpFor.after)
				w.WriteHeader(http.StatusServiceUnavailable)
			})
			conn := listener.dial()
			defer conn.Close()
			if _, err := io.WriteString(conn, wholeRequest); err != nil {
				t.Fatal(err)
			}
			go func() {
				n.shutdownServers(givenUp, n.Env)
				n.Env.Shutdown()
			}()
			go func() {
				time.Sleep(heldUpFor.before)
				giveUp()
			}()
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil || response.StatusCode != http.StatusServiceUnavailable {
				t.Errorf("held up for %+v: a request that was read got no answer: %v %v", heldUpFor, response, err)
			}
			<-n.Env.Done()
			synctest.Wait()
		})
	}
}

func TestShutdownServers_EndsAlthoughAClientTakesNothing(t *testing.T) {
	const limit = time.Second
	synctest.Test(t, func(t *testing.T) {
		listener := newPipeListener()
		n := serveClients(t, listener, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
		conn := listener.dial()
		defer conn.Close()
		if _, err := io.WriteString(conn, wholeRequest); err != nil {
			t.Fatal(err)
		}
		givenUp, giveUp := context.WithCancel(t.Context())
		giveUp()
		began := time.Now()
		unanswered := n.shutdownServers(givenUp, n.Env)
		if took := time.Since(began); unanswered != 1 || took > limit {
			t.Errorf("%d clients are left after %s", unanswered, took)
		}
		n.Env.Shutdown()
	})
}
