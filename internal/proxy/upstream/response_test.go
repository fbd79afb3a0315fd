package upstream

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
)

const (
	namer = "Names-Request"
	asked = "r1"
	limit = 64
)

func readBytes(raw []byte, method, names string) (Response, *bufio.Reader, chan struct{}) {
	request, _ := http.NewRequest(method, "http://server.example/x", nil)
	request.Header.Set(namer, asked)
	reader, more := bufio.NewReader(bytes.NewReader(raw)), make(chan struct{})
	return readResponse(reader, request, limit, more, names), reader, more
}

func reply(id string, length int, body string) string {
	return "HTTP/1.1 200 OK\r\n" + namer + ": " + id + "\r\nContent-Length: " + strconv.Itoa(length) + "\r\n\r\n" + body
}

// FuzzReadResponse holds that reading a response ends, whatever a target sends: with an error,
// or with a complete body that is no longer than the limit and belongs to the request, unless
// nothing that belongs to it follows.
func FuzzReadResponse(f *testing.F) {
	for _, text := range []string{
		reply(asked, 2, "ok"), reply(asked, 9, "short"), reply("r0", 4, "late") + reply(asked, 2, "ok"), reply(asked, 99, strings.Repeat("x", 99)),
		"HTTP/1.1 100 Continue\r\n\r\n" + reply(asked, 2, "ok"),
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + namer + ": r1\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + namer + ": r1\r\n\r\n2\r\nok\r\n",
		"HTTP/1.1 101 Switching Protocols\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\nto the end", "HTTP/1.1 204 No Content\r\n" + namer + ": r1\r\n\r\n",
		reply("r0", 0, "") + reply("r0", 0, "") + reply("r0", 0, "") + reply("r0", 0, "") + reply(asked, 0, ""),
		"\x00\x01 what is this\r\n\r\n", "",
	} {
		f.Add([]byte(text), false)
		f.Add([]byte(text), true)
	}
	f.Fuzz(func(t *testing.T, raw []byte, isHead bool) {
		method := http.MethodGet
		if isHead {
			method = http.MethodHead
		}
		got, _, more := readBytes(raw, method, namer)
		select {
		case <-more:
		default:
			t.Fatal("whoever waits for the server's word waits on")
		}
		if got.Err != nil {
			if got.HTTP != nil || got.Body != nil {
				t.Fatal("a problem came with an answer")
			}
			return
		}
		if got.HTTP.StatusCode < 200 {
			t.Fatalf("%d is no last answer", got.HTTP.StatusCode)
		}
		if len(got.Body) > limit {
			t.Fatalf("%d bytes are more than %d", len(got.Body), limit)
		}
		if n := got.HTTP.ContentLength; n >= 0 && !isHead && int64(len(got.Body)) != n {
			t.Fatalf("%d bytes of %d pass for whole", len(got.Body), n)
		}
		// An answer in front that names another request leaves the right one in its place.
		if got.HTTP.Header.Get(namer) != asked {
			return
		}
		front := reply("r0", 4, "late")
		if isHead {
			front = reply("r0", 4, "")
		}
		after, _, _ := readBytes(append([]byte(front), raw...), method, namer)
		if after.Err != nil || after.HTTP.Header.Get(namer) != asked || !bytes.Equal(after.Body, got.Body) {
			if straysIn(raw, method) < maxStrayResponses {
				t.Fatalf("behind a surplus answer: %v %q", after.Err, after.Body)
			}
		}
	})
}

// straysIn counts the responses before the one asked for.
func straysIn(raw []byte, method string) (n int) {
	request := &http.Request{Method: method}
	reader := bufio.NewReader(bytes.NewReader(raw))
	for {
		response, err := http.ReadResponse(reader, request)
		if err != nil {
			return n
		}
		if response.StatusCode < 200 {
			continue
		}
		io.Copy(io.Discard, response.Body)
		if response.Header.Get(namer) == asked {
			return n
		}
		n++
	}
}

// TestReadResponse_StrayResponses holds what is read past, and that each answer is told by the
// request it names.
func TestReadResponse_StrayResponses(t *testing.T) {
	for name, c := range map[string]struct {
		raw, names, body string
		isFailed         bool
	}{
		"its own":                         {reply(asked, 2, "ok"), namer, "ok", false},
		"one before it":                   {reply("r0", 4, "late") + reply(asked, 2, "ok"), namer, "ok", false},
		"one before it, that ends early":  {reply("r0", 9, "late") + reply(asked, 2, "ok"), namer, "", true},
		"three before it":                 {strings.Repeat(reply("r0", 0, ""), 3) + reply(asked, 2, "ok"), namer, "ok", false},
		"only another's":                  {reply("r0", 4, "late"), namer, "", true},
		"another's, where none are named": {reply("r0", 4, "late") + reply(asked, 2, "ok"), "", "late", false},
		"short":                           {reply(asked, 9, "short"), namer, "", true},
		"too long":                        {reply(asked, limit+1, strings.Repeat("x", limit+1)), namer, "", true},
		"too long, in chunks":             {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + namer + ": r1\r\n\r\n42\r\n" + strings.Repeat("x", limit+2) + "\r\n0\r\n\r\n", namer, "", true},
		"as long as may be":               {reply(asked, limit, strings.Repeat("x", limit)), namer, strings.Repeat("x", limit), false},
		"chunks that are cut off":         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + namer + ": r1\r\n\r\n2\r\nok\r\n", namer, "", true},
	} {
		t.Run(name, func(t *testing.T) {
			got, _, _ := readBytes([]byte(c.raw), http.MethodGet, c.names)
			if (got.Err != nil) != c.isFailed || string(got.Body) != c.body {
				t.Errorf("%q, %v", got.Body, got.Err)
			}
		})
	}
}
