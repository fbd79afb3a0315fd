// The plain manner of speaking: a success bears a seal that only the caller can
// judge, every answer names its request, and a server says in words of its own that
// it did not run one: another instance was asked for, or it is full.
package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/checker"
	"github.com/sumactrestle/sumactrestle/internal/proxy"
)

const (
	HeaderNotRun           = "Sumac-Not-Run"
	HeaderExpectedInstance = "Sumac-Instance"

	// HeaderActingEpoch and HeaderActingProxy are the simulator's own: the epoch by which a
	// proxy acted when it wrote the request, and its address.
	HeaderActingEpoch = "X-Acts-On"
	HeaderActingProxy = "X-Acts-As"
)

// record is what a server sees of a request.
func (s *Server) record(r *http.Request, kind checker.Kind) checker.Record {
	rec := checker.Record{Kind: kind, CallID: r.Header.Get(HeaderCall), RequestID: r.Header.Get(proxy.HeaderRequestID), Proxy: r.Header.Get(proxy.HeaderProxy), Service: r.Header.Get(proxy.HeaderService), ServerService: s.Service, Instance: s.Instance, Address: s.Address, Path: r.URL.Path, Idempotent: r.Method == http.MethodGet, PerAttempt: s.Opaque}
	epoch := r.Header.Get(proxy.HeaderEpoch)
	if s.Opaque {
		rec.Service, rec.Proxy, epoch = s.Service, r.Header.Get(HeaderActingProxy), r.Header.Get(HeaderActingEpoch)
	}
	rec.Epoch, _ = strconv.ParseUint(epoch, 10, 64)
	return rec
}

// reject answers what is not to be run here.
func (s *Server) reject(w http.ResponseWriter, r *http.Request, way string) bool {
	status := 0
	switch {
	case r.Header.Get(HeaderExpectedInstance) != s.Instance:
		status = http.StatusMisdirectedRequest
	case way == Overloaded:
		status = http.StatusServiceUnavailable
		w.Header().Set(HeaderNotRun, "1")
	}
	if status == 0 {
		return false
	}
	rec := s.record(r, checker.RequestRejected)
	rec.Status = status
	s.History.Add(rec)
	w.Header().Set(proxy.HeaderRequestID, rec.RequestID)
	w.WriteHeader(status)
	return true
}

// rejectEarly answers that a request was not run while its body is still on the way,
// and leaves the connection open without reading on.
func (s *Server) rejectEarly(w http.ResponseWriter, r *http.Request) {
	rec := s.record(r, checker.RequestRejected)
	rec.Status = http.StatusServiceUnavailable
	s.History.Add(rec)
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n%s: %s\r\n%s: 1\r\n\r\n", proxy.HeaderRequestID, rec.RequestID, HeaderNotRun)
	time.Sleep(5 * time.Second)
	conn.Close()
}

// completeResponse is a success as it goes over the wire.
func completeResponse(request, seal, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%s: %s\r\n%s: %s\r\n\r\n%s", len(body), proxy.HeaderRequestID, request, proxy.HeaderSeal, seal, body)
}

// opaqueOutcome is how a call ended, by the answer alone.
func opaqueOutcome(status int, raw []byte) (outcome string, code int) {
	if status == http.StatusOK {
		return "ran", 0
	}
	var problem struct {
		Code    int    `json:"code"`
		Outcome string `json:"outcome"`
	}
	json.Unmarshal(raw, &problem)
	return problem.Outcome, problem.Code
}
