package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/config"
	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/proxy/admission"
)

// counting counts what is read from a connection.
type counting struct {
	net.Conn
	n *atomic.Int64
}

func (c counting) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.n.Add(int64(n))
	return n, err
}

type countingListener struct {
	net.Listener
	n *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return counting{conn, l.n}, err
}

// A rejected upload must cost the link next to nothing: its response comes before its body,
// and its body is left unread.
func TestProxy_RejectedUploadIsLeftUnread(t *testing.T) {
	r := environment.New(t.Context(), &config.Settings{ProxyRetryAfter: time.Second}, eventlog.New(io.Discard, "info", "n"), environment.Host{})
	p := &Proxy{environment: r, uploads: admission.New(admission.Config{KilobytesPerSecond: 100, ConcurrentReads: 1})}
	n := &atomic.Int64{}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		p.reject(w, q, nil, errcode.New(errcode.Overload, "no place"))
	}))
	server.Listener = countingListener{server.Listener, n}
	server.Start()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		io.WriteString(conn, "POST /upload HTTP/1.1\r\nHost: a.example\r\nContent-Length: 200000\r\n\r\n")
		conn.Write(make([]byte, 200_000))
	}()
	got, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	if got.StatusCode != http.StatusServiceUnavailable || got.Header.Get("Retry-After") == "" || !got.Close {
		t.Error("refused with", got.Status, got.Header)
	}
	body, err := io.ReadAll(got.Body)
	if err != nil || int64(len(body)) != got.ContentLength {
		t.Error("the answer is not whole", err)
	}
	conn.Close()
	r.Shutdown()
	server.Close()
	if read := n.Load(); read > 8192 {
		t.Error("of the refused body", read, "bytes were read")
	}
}
