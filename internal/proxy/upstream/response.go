package upstream

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"sync"
)

// maxStrayResponses is the largest number of responses to other requests that are skipped
// before the awaited one.
const maxStrayResponses = 3

// Errors of unusable responses.
var (
	ErrTooLarge          = errors.New("response too large")
	ErrSwitchedProtocols = errors.New("the target switched protocols")
)

// Response is a complete response or an error: either HTTP and Body are set, or Err is.
type Response struct {
	HTTP *http.Response // HTTP.Body has been read and closed
	Body []byte
	Err  error
}

// readResponse reads the final response to a request. It skips interim responses (RFC 9110,
// section 15.2). It closes continued at the first 100 Continue, at the latest when it returns.
// A complete response whose correlationHeader names another request is a late stray one: it
// is skipped, and the next response is read.
func readResponse(reader *bufio.Reader, request *http.Request, maxBody int, continued chan struct{}, correlationHeader string) Response {
	closeContinued := sync.OnceFunc(func() { close(continued) })
	defer closeContinued()
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
				closeContinued()
			}
			continue
		}
		body, err := readBody(response, maxBody)
		if err != nil {
			return Response{Err: err}
		}
		response.Body.Close()
		if requestID := response.Header.Get(correlationHeader); correlationHeader != "" && requestID != "" && requestID != request.Header.Get(correlationHeader) && strays < maxStrayResponses && !response.Close {
			strays++
			continue
		}
		return Response{HTTP: response, Body: body}
	}
}

// readBody reads the complete body of a response, which may have at most maxBody bytes.
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
