package upstream

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"sync"
)

// maxStrayResponses is how many responses to other requests are read past before the one
// that is awaited.
const maxStrayResponses = 3

// Errors of responses that are not usable.
var (
	ErrTooLarge          = errors.New("response too large")
	ErrSwitchedProtocols = errors.New("the server switched protocols")
)

// Response is a complete response, or why there is none: either HTTP and Body are set, or
// Err is.
type Response struct {
	HTTP *http.Response // its Body has been read and closed
	Body []byte
	Err  error
}

// readResponse reads the final response to a request. Interim responses (RFC 9110, section
// 15.2) are read past; continued is closed at the first 100 Continue, and in any case when
// readResponse returns. A complete response whose correlationHeader names another request is
// a stray one that came late: it goes to nobody, and the next one is read.
func readResponse(reader *bufio.Reader, request *http.Request, maxBody int, continued chan struct{}, correlationHeader string) Response {
	announce := sync.OnceFunc(func() { close(continued) })
	defer announce()
	for strays := 0; ; {
		response, err := http.ReadResponse(reader, request)
		if err != nil {
			return Response{Err: err}
		}
		if response.StatusCode < 200 {
			if response.StatusCode == http.StatusSwitchingProtocols {
				return Response{Err: ErrSwitchedProtocols}
			}
			if response.StatusCode == http.StatusContinue {
				announce()
			}
			continue
		}
		body, err := readBody(response, maxBody)
		if err != nil {
			return Response{Err: err}
		}
		response.Body.Close()
		if named := response.Header.Get(correlationHeader); correlationHeader != "" && named != "" && named != request.Header.Get(correlationHeader) && strays < maxStrayResponses && !response.Close {
			strays++
			continue
		}
		return Response{HTTP: response, Body: body}
	}
}

// readBody reads the complete body of a response, of maxBody bytes at most.
func readBody(response *http.Response, maxBody int) ([]byte, error) {
	if length := response.ContentLength; length >= 0 {
		if length > int64(maxBody) {
			return nil, ErrTooLarge
		}
		if response.Request != nil && response.Request.Method == http.MethodHead {
			return nil, nil
		}
		body := make([]byte, length)
		_, err := io.ReadFull(response.Body, body)
		if err == io.EOF && length == 0 {
			err = nil
		}
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, int64(maxBody)+1))
	if err == nil && len(body) > maxBody {
		err = ErrTooLarge
	}
	return body, err
}
