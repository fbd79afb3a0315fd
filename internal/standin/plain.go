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
	HeaderUnrun  = "Sumac-Not-Run"
	HeaderExpect = "Sumac-Instance"

	// ActsOnHeader and ActsAsHeader are the simulator's own: the epoch by which a
	// proxy acted when it wrote the request, and its address.
	ActsOnHeader = "X-Acts-On"
	ActsAsHeader = "X-Acts-As"
)

// record is what a server sees of a request.
func (s *Server) record(r *http.Request, kind string) checker.Record {
	rec := checker.Record{Kind: kind, Call: r.Header.Get(CallHeader), Request: r.Header.Get(proxy.HeaderRequestID), Proxy: r.Header.Get(proxy.HeaderProxy), Service: r.Header.Get(proxy.HeaderService), Owner: s.Service, Instance: s.Instance, Address: s.Address, Mapping: r.URL.Path, Repeatable: r.Method == http.MethodGet, IsTry: s.IsPlain}
	epoch := r.Header.Get(proxy.HeaderEpoch)
	if s.IsPlain {
		rec.Service, rec.Proxy, epoch = s.Service, r.Header.Get(ActsAsHeader), r.Header.Get(ActsOnHeader)
	}
	rec.Epoch, _ = strconv.ParseUint(epoch, 10, 64)
	return rec
}

// turnsAway answers what is not to be run here.
func (s *Server) turnsAway(w http.ResponseWriter, r *http.Request, way string) bool {
	status := 0
	switch {
	case r.Header.Get(HeaderExpect) != s.Instance:
		status = http.StatusMisdirectedRequest
	case way == Full:
		status = http.StatusServiceUnavailable
		w.Header().Set(HeaderUnrun, "1")
	}
	if status == 0 {
		return false
	}
	rec := s.record(r, checker.Reached)
	rec.Status = status
	s.H.Add(rec)
	w.Header().Set(proxy.HeaderRequestID, rec.Request)
	w.WriteHeader(status)
	return true
}

// turnAwayEarly answers that a request was not run while its body is still on the way,
// and leaves the connection open without reading on.
func (s *Server) turnAwayEarly(w http.ResponseWriter, r *http.Request) {
	rec := s.record(r, checker.Reached)
	rec.Status = http.StatusServiceUnavailable
	s.H.Add(rec)
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n%s: %s\r\n%s: 1\r\n\r\n", proxy.HeaderRequestID, rec.Request, HeaderUnrun)
	time.Sleep(5 * time.Second)
	conn.Close()
}

// whole is a success as it goes over the wire.
func whole(request, seal, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%s: %s\r\n%s: %s\r\n\r\n%s", len(body), proxy.HeaderRequestID, request, proxy.HeaderSeal, seal, body)
}

// told is how a call ended, by the answer alone.
func told(status int, raw []byte) (outcome string, code int) {
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
