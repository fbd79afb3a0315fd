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

// countingConn counts the bytes read from a connection.
type countingConn struct {
	net.Conn
	bytesRead *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytesRead.Add(int64(n))
	return n, err
}

type countingListener struct {
	net.Listener
	bytesRead *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{conn, l.bytesRead}, err
}

// A rejected upload must use almost none of the link's bandwidth: the response is sent before the
// body arrives, and the body is not read.
func TestProxy_RejectedUploadBodyIsNotRead(t *testing.T) {
	env := environment.New(t.Context(), &config.Settings{ProxyRetryAfter: time.Second}, eventlog.New(io.Discard, "info", "n"), environment.Host{})
	p := &Proxy{environment: env, uploads: admission.New(admission.Config{KilobytesPerSecond: 100, ConcurrentReads: 1})}
	bytesRead := &atomic.Int64{}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.reject(w, r, nil, errcode.New(errcode.Overload, "no capacity"))
	}))
	server.Listener = countingListener{server.Listener, bytesRead}
	server.Start()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		io.WriteString(conn, "POST /upload HTTP/1.1\r\nHost: a.example\r\nContent-Length: 200000\r\n\r\n")
		conn.Write(make([]byte, 200_000))
	}()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" || !response.Close {
		t.Error("unexpected rejection:", response.Status, response.Header)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil || int64(len(body)) != response.ContentLength {
		t.Error("the response body is incomplete:", err)
	}
	conn.Close()
	env.Shutdown()
	server.Close()
	if read := bytesRead.Load(); read > 8192 {
		t.Error("rejected upload:", read, "bytes were read from the connection")
	}
}
