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
)

func TestLargeBodiesTakeTheLaneInTurn(t *testing.T) {
	l, now := NewUploads(100, 1), time.Now()
	late := now.Add(time.Hour)
	reserve := func(at time.Time, size int64) time.Duration {
		got, ok := l.reserve(at, size, late)
		if !ok {
			t.Error("no place for", size)
		}
		return got.Sub(at)
	}
	if d := reserve(now, 50_000); d != 0 {
		t.Error("the first waits", d)
	}
	if d := reserve(now, 50_000); d != 500*time.Millisecond {
		t.Error("the second goes after", d)
	}
	if d := reserve(now, 400); d != 0 {
		t.Error("a small one waits", d)
	}
	if _, ok := l.reserve(now, 50_000, now.Add(999*time.Millisecond)); ok {
		t.Error("one that comes too late got a place")
	}
	if d := reserve(now, 50_000); d != time.Second {
		t.Error("the refused one took a place: the next goes after", d)
	}
	if d := reserve(now.Add(2*time.Second), 50_000); d != 0 {
		t.Error("an empty lane holds one up", d)
	}
	end, ok := l.BeginRead(50_000, now.Add(time.Hour))
	if !ok {
		t.Fatal("the first is not read")
	}
	if _, ok := l.BeginRead(50_000, now); ok {
		t.Error("a second is read beside the first")
	}
	if _, ok := l.BeginRead(400, now); !ok {
		t.Error("a small one is not read")
	}
	end()
	if _, ok := l.BeginRead(-1, now.Add(time.Hour)); !ok {
		t.Error("the place was not given back")
	}
	free := NewUploads(0, 0)
	if _, ok := free.BeginRead(1<<20, now); !ok {
		t.Error("a lane without bounds bounds")
	}
	if at, ok := free.reserve(now, 1<<20, now); !ok || at != now {
		t.Error("a lane without bounds holds up")
	}
}

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

// A refused upload must cost the link next to nothing: its answer comes before its
// body, and its body is left unread.
func TestARefusedUploadIsLeftUnread(t *testing.T) {
	r := environment.New(t.Context(), &config.Props{GateReturn: time.Second}, eventlog.New(io.Discard, "info", "n"), environment.Host{})
	g := &Proxy{environment: r, uploads: NewUploads(100, 1)}
	n := &atomic.Int64{}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		g.reject(w, q, nil, errcode.New(errcode.Overload, "no place"))
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
