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
	namesRequestHeader = "Names-Request"
	awaitedID          = "r1"
	maxBodyBytes       = 64
)

func readBytes(raw []byte, method, correlationHeader string) (Response, *bufio.Reader, chan struct{}) {
	request, _ := http.NewRequest(method, "http://server.example/x", nil)
	request.Header.Set(namesRequestHeader, awaitedID)
	reader, continued := bufio.NewReader(bytes.NewReader(raw)), make(chan struct{})
	return readResponse(reader, request, maxBodyBytes, continued, correlationHeader), reader, continued
}

func rawResponse(id string, length int, body string) string {
	return "HTTP/1.1 200 OK\r\n" + namesRequestHeader + ": " + id + "\r\nContent-Length: " + strconv.Itoa(length) + "\r\n\r\n" + body
}

// FuzzReadResponse checks that readResponse terminates on any input, with an error or with a
// complete body within the limit, and that a stray response before the awaited one does not
// change the result.
func FuzzReadResponse(f *testing.F) {
	for _, text := range []string{
		rawResponse(awaitedID, 2, "ok"), rawResponse(awaitedID, 9, "short"), rawResponse("r0", 4, "late") + rawResponse(awaitedID, 2, "ok"), rawResponse(awaitedID, 99, strings.Repeat("x", 99)),
		"HTTP/1.1 100 Continue\r\n\r\n" + rawResponse(awaitedID, 2, "ok"),
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + namesRequestHeader + ": r1\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + namesRequestHeader + ": r1\r\n\r\n2\r\nok\r\n",
		"HTTP/1.1 101 Switching Protocols\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\nto the end", "HTTP/1.1 204 No Content\r\n" + namesRequestHeader + ": r1\r\n\r\n",
		rawResponse("r0", 0, "") + rawResponse("r0", 0, "") + rawResponse("r0", 0, "") + rawResponse("r0", 0, "") + rawResponse(awaitedID, 0, ""),
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
		got, _, continued := readBytes(raw, method, namesRequestHeader)
		select {
		case <-continued:
		default:
			t.Fatal("continued is not closed")
		}
		if got.Err != nil {
			if got.HTTP != nil || got.Body != nil {
				t.Fatal("both an error and a response were returned")
			}
			return
		}
		if got.HTTP.StatusCode < 200 {
			t.Fatalf("status %d is not final", got.HTTP.StatusCode)
		}
		if len(got.Body) > maxBodyBytes {
			t.Fatalf("body of %d bytes exceeds the limit of %d", len(got.Body), maxBodyBytes)
		}
		if n := got.HTTP.ContentLength; n >= 0 && !isHead && int64(len(got.Body)) != n {
			t.Fatalf("body of %d bytes returned as complete, content length %d", len(got.Body), n)
		}
		// A preceding response that names another request must not change the result.
		if got.HTTP.Header.Get(namesRequestHeader) != awaitedID {
			return
		}
		stray := rawResponse("r0", 4, "late")
		if isHead {
			stray = rawResponse("r0", 4, "")
		}
		second, _, _ := readBytes(append([]byte(stray), raw...), method, namesRequestHeader)
		if second.Err != nil || second.HTTP.Header.Get(namesRequestHeader) != awaitedID || !bytes.Equal(second.Body, got.Body) {
			if countStrays(raw, method) < maxStrayResponses {
				t.Fatalf("after a stray response: error %v, body %q", second.Err, second.Body)
			}
		}
	})
}

// countStrays returns the number of final responses before the awaited one.
func countStrays(raw []byte, method string) (n int) {
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
		if response.Header.Get(namesRequestHeader) == awaitedID {
			return n
		}
		n++
	}
}

// TestReadResponse_StrayResponses checks that responses to other requests are skipped, and that
// incomplete and too large responses are errors.
func TestReadResponse_StrayResponses(t *testing.T) {
	for name, test := range map[string]struct {
		raw, correlationHeader, body string
		wantErr                      bool
	}{
		"awaited response":                {rawResponse(awaitedID, 2, "ok"), namesRequestHeader, "ok", false},
		"one stray response first":        {rawResponse("r0", 4, "late") + rawResponse(awaitedID, 2, "ok"), namesRequestHeader, "ok", false},
		"incomplete stray response first": {rawResponse("r0", 9, "late") + rawResponse(awaitedID, 2, "ok"), namesRequestHeader, "", true},
		"three stray responses first":     {strings.Repeat(rawResponse("r0", 0, ""), 3) + rawResponse(awaitedID, 2, "ok"), namesRequestHeader, "ok", false},
		"only a stray response":           {rawResponse("r0", 4, "late"), namesRequestHeader, "", true},
		"no correlation header":           {rawResponse("r0", 4, "late") + rawResponse(awaitedID, 2, "ok"), "", "late", false},
		"incomplete":                      {rawResponse(awaitedID, 9, "short"), namesRequestHeader, "", true},
		"too large":                       {rawResponse(awaitedID, maxBodyBytes+1, strings.Repeat("x", maxBodyBytes+1)), namesRequestHeader, "", true},
		"too large, chunked":              {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + namesRequestHeader + ": r1\r\n\r\n42\r\n" + strings.Repeat("x", maxBodyBytes+2) + "\r\n0\r\n\r\n", namesRequestHeader, "", true},
		"as large as allowed":             {rawResponse(awaitedID, maxBodyBytes, strings.Repeat("x", maxBodyBytes)), namesRequestHeader, strings.Repeat("x", maxBodyBytes), false},
		"incomplete, chunked":             {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + namesRequestHeader + ": r1\r\n\r\n2\r\nok\r\n", namesRequestHeader, "", true},
	} {
		t.Run(name, func(t *testing.T) {
			got, _, _ := readBytes([]byte(test.raw), http.MethodGet, test.correlationHeader)
			if (got.Err != nil) != test.wantErr || string(got.Body) != test.body {
				t.Errorf("got body %q, error %v", got.Body, got.Err)
			}
		})
	}
}
