package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/checker"
	"github.com/sumactrestle/sumactrestle/internal/proxy"
)

// Headers of opaque services and clients. Their seal can be checked only by the client, not by
// the proxy. The client assigns an ID to each attempt, each response contains the ID of its
// request, and a server that did not execute a request says so in a header.
const (
	HeaderNotRun           = "Sumac-Not-Run"
	HeaderExpectedInstance = "Sumac-Instance"

	// HeaderActingEpoch and HeaderActingProxy are added by the simulator only: the epoch under
	// which a proxy forwarded the request, and the proxy's address.
	HeaderActingEpoch = "X-Acts-On"
	HeaderActingProxy = "X-Acts-As"
)

// earlyRejectionCloseDelay is how long the connection stays open after an early rejection.
const earlyRejectionCloseDelay = 5 * time.Second

// reject rejects a request that is addressed to another instance or that misbehavior makes the
// server reject as overloaded. It reports whether it did.
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

// rejectEarly responds without reading the body and leaves the connection open for
// earlyRejectionCloseDelay without reading from it.
func (s *Server) rejectEarly(w http.ResponseWriter, r *http.Request) {
	requestID := s.recordRejection(r, http.StatusServiceUnavailable)
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n%s: %s\r\n%s: 1\r\n\r\n", proxy.HeaderRequestID, requestID, HeaderNotRun)
	time.Sleep(earlyRejectionCloseDelay)
	conn.Close()
}

func (s *Server) recordRejection(r *http.Request, status int) (requestID string) {
	record := s.newRecord(r, checker.RequestRejected)
	record.Status = status
	s.History.Add(record)
	return record.RequestID
}

// opaqueOutcome returns the outcome and the numbered code of an opaque client's request, derived
// from the response's status and body. Both are zero if an error response can't be decoded.
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
