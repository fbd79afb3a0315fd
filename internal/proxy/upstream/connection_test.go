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

const idHeader = "X-Id"

// targetBehavior is a target's reaction to the first request on a connection. With any of them
// a response is delivered only to the request that it names, an incomplete response is an
// error, and no other request is written after one whose body was not read.
type targetBehavior struct {
	name string
	act  func(conn net.Conn, in *bufio.Reader)
	want string // expected response body; empty if the request must fail
	// isReusable states whether the connection must serve the next request as well.
	isReusable bool
}

func okResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", idHeader, id, len(body), body)
}

// readRequest reads one complete request and returns its ID; an empty ID if it is incomplete.
func readRequest(in *bufio.Reader) string {
	request, err := http.ReadRequest(in)
	if err != nil {
		return ""
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return ""
	}
	return request.Header.Get(idHeader)
}

func respondWith(text string) func(net.Conn, *bufio.Reader) {
	return func(conn net.Conn, in *bufio.Reader) {
		readRequest(in)
		time.Sleep(time.Millisecond) // so that the request is written before the response arrives
		io.WriteString(conn, text)
	}
}

func respondAndClose(text string) func(net.Conn, *bufio.Reader) {
	return func(conn net.Conn, in *bufio.Reader) {
		readRequest(in)
		io.WriteString(conn, text)
		conn.Close()
	}
}

// readHead reads a request's head. The reader may buffer the beginning of the body.
func readHead(conn net.Conn, in *bufio.Reader) {
	for {
		line, err := in.ReadString('\n')
		if err != nil || line == "\r\n" {
			return
		}
	}
}

var targetBehaviors = []targetBehavior{
	{"complete response", respondWith(okResponse("one", "right")), "right", true},
	{"no response", func(conn net.Conn, in *bufio.Reader) { readRequest(in) }, "", false},
	{"closed before the request", func(conn net.Conn, in *bufio.Reader) { conn.Close() }, "", false},
	{"closed within the request body", func(conn net.Conn, in *bufio.Reader) { readHead(conn, in); conn.Close() }, "", false},
	{"closed after the request", respondAndClose(""), "", false},
	{"closed within the response head", respondAndClose(okResponse("one", "right")[:20]), "", false},
	{"closed within the response body", respondAndClose(strings.TrimSuffix(okResponse("one", "right"), "ht")), "", false},
	{"no content length", respondAndClose("HTTP/1.1 200 OK\r\nX-Id: one\r\n\r\nright"), "right", false},
	{"incomplete chunked body", respondAndClose("HTTP/1.1 200 OK\r\nX-Id: one\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nright\r\n"), "", false},
	{"chunked body", respondWith("HTTP/1.1 200 OK\r\nX-Id: one\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nright\r\n0\r\n\r\n"), "right", true},
	{"not HTTP", respondAndClose("\x00\x01 what is this\r\n\r\n"), "", false},
	{"response sent twice", respondWith(okResponse("one", "right") + okResponse("one", "wrong")), "right", false},
	{"stray response first", respondWith(okResponse("zero", "wrong") + okResponse("one", "right")), "right", true},
	{"only a stray response", respondWith(okResponse("zero", "wrong")), "", false},
	{"bytes after the response", respondWith(okResponse("one", "right") + "more"), "right", false},
	{"early response, request body not read", func(conn net.Conn, in *bufio.Reader) {
		readHead(conn, in)
		io.WriteString(conn, okResponse("one", "right"))
	}, "right", false},
	{"early response, request body read later", func(conn net.Conn, in *bufio.Reader) {
		readHead(conn, in)
		io.WriteString(conn, okResponse("one", "right"))
		time.Sleep(time.Second)
		io.CopyN(io.Discard, in, int64(bodySize))
	}, "right", false},
	{"two interim responses", respondWith("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n" + okResponse("one", "right")), "right", true},
	{"switched protocols", respondWith("HTTP/1.1 101 Switching Protocols\r\n\r\n" + okResponse("one", "right")), "", false},
	{"unsolicited response before the request", func(conn net.Conn, in *bufio.Reader) { io.WriteString(conn, okResponse("zero", "wrong")) }, "", false},
	{"connection: close", respondWith("HTTP/1.1 200 OK\r\nX-Id: one\r\nConnection: close\r\nContent-Length: 5\r\n\r\nright"), "right", false},
	{"two content lengths", respondWith("HTTP/1.1 200 OK\r\nX-Id: one\r\nContent-Length: 5\r\nContent-Length: 3\r\n\r\nright"), "", false},
}

const bodySize = 300 << 10

// exchange sends one request on a connection like an attempt, and returns the response body.
func exchange(connection *Connection, id string) (string, error) {
	request, _ := http.NewRequest(http.MethodPost, "http://t/", bytes.NewReader(make([]byte, bodySize)))
	request.Header.Set(idHeader, id)
	responses, ok := connection.Begin(request, 1<<20)
	if !ok {
		return "", errors.New("the connection is dead")
	}
	connection.conn.SetDeadline(time.Now().Add(5 * time.Second))
	err := request.Write(connection.conn)
	if err == nil {
		connection.RequestWritten()
	}
	select {
	case got := <-responses:
		if got.Err != nil {
			return "", got.Err
		}
		if got.HTTP.Header.Get(idHeader) != id {
			return "", fmt.Errorf("received the response to request %q", got.HTTP.Header.Get(idHeader))
		}
		return string(got.Body), nil
	case <-time.After(6 * time.Second):
		return "", fmt.Errorf("no response; write error: %v", err)
	}
}

func TestConnection_TargetBehaviors(t *testing.T) {
	for _, test := range targetBehaviors {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clientSide, targetSide := net.Pipe()
				connection := &Connection{conn: clientSide, idleTimeout: time.Minute, correlationHeader: idHeader}
				go connection.readLoop()
				requestIDs := make(chan string, 9)
				go func() {
					in := bufio.NewReader(targetSide)
					test.act(targetSide, in)
					for {
						id := readRequest(in)
						if id == "" {
							break
						}
						requestIDs <- id
						time.Sleep(time.Millisecond)
						io.WriteString(targetSide, okResponse(id, "next"))
					}
					close(requestIDs)
				}()
				synctest.Wait()
				began := time.Now()
				got, err := exchange(connection, "one")
				if got != test.want || (err == nil) != (test.want != "") {
					t.Errorf("got body %q and error %v", got, err)
				}
				if took := time.Since(began); test.want != "" && took > 100*time.Millisecond {
					t.Errorf("the response took %s", took)
				}
				synctest.Wait()
				if connection.isIdle() != test.isReusable {
					t.Errorf("connection idle after the first request: %v", connection.isIdle())
				}
				next, err := exchange(connection, "two")
				if (err == nil) != test.isReusable || test.isReusable && next != "next" {
					t.Errorf("the next request got body %q and error %v", next, err)
				}
				connection.Abort()
				targetSide.Close()
				n := 0
				for id := range requestIDs {
					if n++; id != "two" || n > 1 || !test.isReusable {
						t.Errorf("unexpected request %q after the first", id)
					}
				}
			})
		})
	}
}
