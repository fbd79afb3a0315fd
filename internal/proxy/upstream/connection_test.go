package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

const namedBy = "X-Id"

// ending is what a target does with the first request that comes on a connection. Whatever it
// is, a response goes to the request that it names or to nobody, one that is not complete is
// none, and behind a request whose body was not read nothing else is written.
type ending struct {
	name string
	act  func(conn net.Conn, in *bufio.Reader)
	want string // the body that the client gets; none if it must fail
	// isKept tells that the connection serves the next request as well.
	isKept bool
}

func framed(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", namedBy, id, len(body), body)
}

// takeRequest reads one complete request and returns its id; no id if it broke off.
func takeRequest(in *bufio.Reader) string {
	request, err := http.ReadRequest(in)
	if err != nil {
		return ""
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return ""
	}
	return request.Header.Get(namedBy)
}

func answering(text string) func(net.Conn, *bufio.Reader) {
	return func(conn net.Conn, in *bufio.Reader) {
		takeRequest(in)
		time.Sleep(time.Millisecond) // so that the request is out before the answer comes
		io.WriteString(conn, text)
	}
}

func closing(text string) func(net.Conn, *bufio.Reader) {
	return func(conn net.Conn, in *bufio.Reader) {
		takeRequest(in)
		io.WriteString(conn, text)
		conn.Close()
	}
}

// readingHead reads a request's head and as much of its body as came with it.
func readingHead(conn net.Conn, in *bufio.Reader) {
	for {
		line, err := in.ReadString('\n')
		if err != nil || line == "\r\n" {
			return
		}
	}
}

var endings = []ending{
	{"an answer", answering(framed("one", "right")), "right", true},
	{"silence", func(conn net.Conn, in *bufio.Reader) { takeRequest(in) }, "", false},
	{"closed before the request", func(conn net.Conn, in *bufio.Reader) { conn.Close() }, "", false},
	{"closed within the request", func(conn net.Conn, in *bufio.Reader) { readingHead(conn, in); conn.Close() }, "", false},
	{"closed after the request", closing(""), "", false},
	{"closed within the head", closing(framed("one", "right")[:20]), "", false},
	{"closed within the body", closing(strings.TrimSuffix(framed("one", "right"), "ht")), "", false},
	{"no length", closing("HTTP/1.1 200 OK\r\nX-Id: one\r\n\r\nright"), "right", false},
	{"chunks that break off", closing("HTTP/1.1 200 OK\r\nX-Id: one\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nright\r\n"), "", false},
	{"chunks", answering("HTTP/1.1 200 OK\r\nX-Id: one\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nright\r\n0\r\n\r\n"), "right", true},
	{"no answer at all", closing("\x00\x01 what is this\r\n\r\n"), "", false},
	{"twice", answering(framed("one", "right") + framed("one", "wrong")), "right", false},
	{"another's before its own", answering(framed("zero", "wrong") + framed("one", "right")), "right", true},
	{"another's alone", answering(framed("zero", "wrong")), "", false},
	{"bytes behind the answer", answering(framed("one", "right") + "more"), "right", false},
	{"early, the body unread", func(conn net.Conn, in *bufio.Reader) {
		readingHead(conn, in)
		io.WriteString(conn, framed("one", "right"))
	}, "right", false},
	{"early, the body read later", func(conn net.Conn, in *bufio.Reader) {
		readingHead(conn, in)
		io.WriteString(conn, framed("one", "right"))
		time.Sleep(time.Second)
		io.CopyN(io.Discard, in, int64(bodySize))
	}, "right", false},
	{"two interim answers", answering("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n" + framed("one", "right")), "right", true},
	{"switched protocols", answering("HTTP/1.1 101 Switching Protocols\r\n\r\n" + framed("one", "right")), "", false},
	{"unasked before the request", func(conn net.Conn, in *bufio.Reader) { io.WriteString(conn, framed("zero", "wrong")) }, "", false},
	{"close named", answering("HTTP/1.1 200 OK\r\nX-Id: one\r\nConnection: close\r\nContent-Length: 5\r\n\r\nright"), "right", false},
	{"two lengths", answering("HTTP/1.1 200 OK\r\nX-Id: one\r\nContent-Length: 5\r\nContent-Length: 3\r\n\r\nright"), "", false},
}

const bodySize = 300 << 10

// exchange sends one request on a connection, as an attempt does.
func exchange(p *Connection, id string) (string, error) {
	request, _ := http.NewRequest(http.MethodPost, "http://t/", bytes.NewReader(make([]byte, bodySize)))
	request.Header.Set(namedBy, id)
	out, ok := p.Begin(request, 1<<20)
	if !ok {
		return "", errors.New("the connection is dead")
	}
	p.conn.SetDeadline(time.Now().Add(5 * time.Second))
	err := request.Write(p.conn)
	if err == nil {
		p.RequestWritten()
	}
	select {
	case got := <-out:
		if got.Err != nil {
			return "", got.Err
		}
		if got.HTTP.Header.Get(namedBy) != id {
			return "", fmt.Errorf("the answer to %s", got.HTTP.Header.Get(namedBy))
		}
		return string(got.Body), nil
	case <-time.After(6 * time.Second):
		return "", fmt.Errorf("no answer; writing came to %v", err)
	}
}

func TestConnection_EveryEnding(t *testing.T) {
	for _, e := range endings {
		t.Run(e.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				near, far := net.Pipe()
				p := &Connection{conn: near, idleTimeout: time.Minute, correlationHeader: namedBy}
				go p.readLoop()
				runs := make(chan string, 9)
				go func() {
					in := bufio.NewReader(far)
					e.act(far, in)
					for {
						id := takeRequest(in)
						if id == "" {
							break
						}
						runs <- id
						time.Sleep(time.Millisecond)
						io.WriteString(far, framed(id, "next"))
					}
					close(runs)
				}()
				synctest.Wait()
				began := time.Now()
				got, err := exchange(p, "one")
				if got != e.want || (err == nil) != (e.want != "") {
					t.Errorf("got %q, %v", got, err)
				}
				if took := time.Since(began); e.want != "" && took > 100*time.Millisecond {
					t.Errorf("the answer was held back for %s", took)
				}
				synctest.Wait()
				if p.isIdle() != e.isKept {
					t.Errorf("the connection is kept: %v", p.isIdle())
				}
				next, err := exchange(p, "two")
				if (err == nil) != e.isKept || e.isKept && next != "next" {
					t.Errorf("the next request got %q, %v", next, err)
				}
				p.Abort()
				far.Close()
				n := 0
				for id := range runs {
					if n++; id != "two" || n > 1 || !e.isKept {
						t.Errorf("request %q ran behind the first", id)
					}
				}
			})
		})
	}
}
