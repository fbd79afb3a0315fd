package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/checker"
	"github.com/sumactrestle/sumactrestle/internal/proxy"
)

// Headers of opaque services and clients. There the seal means nothing to a proxy: only the
// client can check it. The client names each attempt, each response names its request, and a
// server says in a header that it did not execute one.
const (
	HeaderNotRun           = "Sumac-Not-Run"
	HeaderExpectedInstance = "Sumac-Instance"

	// HeaderActingEpoch and HeaderActingProxy are the simulator's own: the epoch under which
	// a proxy forwarded the request, and the proxy's address.
	HeaderActingEpoch = "X-Acts-On"
	HeaderActingProxy = "X-Acts-As"
)

// earlyLinger is how long the connection of an early rejection stays open.
const earlyLinger = 5 * time.Second

// reject answers a request that is not to be executed here: it is meant for another
// instance, or the server is overloaded.
func (s *Server) reject(w http.ResponseWriter, r *http.Request, misbehavior string) bool {
	var status int
	switch {
	case r.Header.Get(HeaderExpectedInstance) != s.Instance:
		status = http.StatusMisdirectedRequest
	case misbehavior == Overloaded:
		status = http.StatusServiceUnavailable
		w.Header().Set(HeaderNotRun, "1")
	default:
		return false
	}
	requestID := s.recordRejection(r, status)
	w.Header().Set(proxy.HeaderRequestID, requestID)
	w.WriteHeader(status)
	return true
}

// rejectEarly answers while the body is still on its way, and leaves the connection open
// without reading on.
func (s *Server) rejectEarly(w http.ResponseWriter, r *http.Request) {
	requestID := s.recordRejection(r, http.StatusServiceUnavailable)
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n%s: %s\r\n%s: 1\r\n\r\n", proxy.HeaderRequestID, requestID, HeaderNotRun)
	time.Sleep(earlyLinger)
	conn.Close()
}

func (s *Server) recordRejection(r *http.Request, status int) (requestID string) {
	record := s.recordOf(r, checker.RequestRejected)
	record.Status = status
	s.History.Add(record)
	return record.RequestID
}

// opaqueOutcome returns how an opaque client's request ended, by the response alone. A
// refusal that can't be read has neither outcome nor code.
func opaqueOutcome(status int, body []byte) (outcome string, code int) {
	if status == http.StatusOK {
		return checker.OutcomeRan, 0
	}
	var problem struct {
		Code    int    `json:"code"`
		Outcome string `json:"outcome"`
	}
	if err := json.Unmarshal(body, &problem); err != nil {
		return "", 0
	}
	return problem.Outcome, problem.Code
}
