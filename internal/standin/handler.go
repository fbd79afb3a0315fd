package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/checker"
	"github.com/sumactrestle/sumactrestle/internal/proxy"
)

// HeaderCall is the stand-in clients' own ID of a call, the same in each retry.
const HeaderCall = "X-Call"

const (
	slowness     = 2 * time.Second
	oversizedPad = 64 << 10
)

// Response is the body of a server's response, by which the client checks it.
type Response struct {
	Call    string `json:"call"`
	Service string `json:"service"`
	Bytes   int    `json:"bytes"`
	Digest  string `json:"digest"`
	Pad     string `json:"pad,omitempty"`
}

// sealedResponse is a response and what is sent along with it.
type sealedResponse struct{ requestID, seal, body string }

// wire is the response as a success on the wire.
func (r sealedResponse) wire() string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%s%s", len(r.body), r.headers(), r.body)
}

// unframed is the same without a length.
func (r sealedResponse) unframed() string {
	return "HTTP/1.1 200 OK\r\n" + r.headers() + r.body
}

func (r sealedResponse) headers() string {
	return fmt.Sprintf("%s: %s\r\n%s: %s\r\n\r\n", proxy.HeaderRequestID, r.requestID, proxy.HeaderSeal, r.seal)
}

// ServeHTTP executes a request and answers it, or misbehaves.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrival, queued := s.History.Now(), queuedFor(r.Context())
	misbehavior := WellBehaved
	if n := s.requestCount.Add(1); s.Misbehavior != nil {
		misbehavior = s.Misbehavior(n)
	}
	if misbehavior == RejectedEarly && s.Opaque {
		s.rejectEarly(w, r)
		return
	}
	if !s.Opaque && s.rejectSuperseded(w, r) {
		return
	}
	if s.HeadDelay > 0 {
		time.Sleep(s.HeadDelay)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if s.Opaque && s.reject(w, r, misbehavior) {
		return
	}
	if !s.work(r) {
		return
	}
	if misbehavior == RejectedLate {
		s.rejectSealed(w, r, RejectedLate)
		return
	}
	if misbehavior == Slow {
		time.Sleep(slowness)
	}
	run := s.recordOf(r, checker.RequestExecuted)
	run.Start, run.Digest = arrival, Digest(body)
	if queued > 0 {
		run.Received = arrival - queued
	}
	s.History.Add(run)
	s.respond(w, s.responseTo(run, len(body), misbehavior), misbehavior)
}

// work takes the time of a request, and returns false if it was left off.
func (s *Server) work(r *http.Request) bool {
	if !s.CancelsOnDisconnect {
		if s.ServiceTime > 0 {
			time.Sleep(s.ServiceTime)
		}
		return true
	}
	select {
	case <-time.After(s.ServiceTime):
		return true
	case <-r.Context().Done():
		s.Cancelled.Add(1)
		return false
	}
}

// recordOf returns what a server sees of a request.
func (s *Server) recordOf(r *http.Request, kind checker.Kind) checker.Record {
	record := checker.Record{
		Kind:          kind,
		CallID:        r.Header.Get(HeaderCall),
		RequestID:     r.Header.Get(proxy.HeaderRequestID),
		Proxy:         r.Header.Get(proxy.HeaderProxy),
		Service:       r.Header.Get(proxy.HeaderService),
		ServerService: s.Service,
		Instance:      s.Instance,
		Address:       s.Address,
		Path:          r.URL.Path,
		Idempotent:    r.Method == http.MethodGet,
		PerAttempt:    s.Opaque,
	}
	epoch := r.Header.Get(proxy.HeaderEpoch)
	if s.Opaque {
		record.Service, record.Proxy, epoch = s.Service, r.Header.Get(HeaderActingProxy), r.Header.Get(HeaderActingEpoch)
	}
	record.Epoch, _ = strconv.ParseUint(epoch, 10, 64) // zero if there is none
	return record
}

// responseTo makes the sealed response to a request that was executed.
func (s *Server) responseTo(run checker.Record, bodyBytes int, misbehavior string) sealedResponse {
	response := Response{Call: run.CallID, Service: s.Service, Bytes: bodyBytes, Digest: run.Digest}
	if misbehavior == OversizedResponse {
		response.Pad = strings.Repeat("x", oversizedPad)
	}
	body, _ := json.Marshal(response) // strings and numbers can't fail
	seal := proxy.Seal(s.SealKey, run.RequestID, s.Service, s.Instance, statusOf(misbehavior), body)
	return sealedResponse{run.RequestID, seal, string(body)}
}

func statusOf(misbehavior string) int {
	if misbehavior == Failing {
		return http.StatusInternalServerError
	}
	return http.StatusOK
}

// respond writes a response, or what the misbehaviour makes of it.
func (s *Server) respond(w http.ResponseWriter, response sealedResponse, misbehavior string) {
	previous := s.previous.Load()
	switch wire := response.wire(); misbehavior {
	case CloseUnanswered:
		writeRaw(w, "")
		return
	case Garbage:
		writeRaw(w, "\x00\x01 what is this\r\n\r\n")
		return
	case TruncatedHeader:
		writeRaw(w, wire[:25])
		return
	case TruncatedBody:
		missing := (len(response.body) + 1) / 2
		writeRaw(w, wire[:len(wire)-missing])
		return
	case UnframedResponse:
		writeRaw(w, response.unframed())
		return
	case DuplicateResponse:
		writeRaw(w, wire+wire)
		return
	case SurplusResponse:
		if previous != nil {
			writeRaw(w, previous.wire()+wire)
			return
		}
	case SwappedResponse:
		if previous != nil {
			s.writeResponse(w, *previous, misbehavior)
			return
		}
	}
	s.previous.Store(&response)
	s.writeResponse(w, response, misbehavior)
}

// writeResponse writes a response as HTTP has it.
func (s *Server) writeResponse(w http.ResponseWriter, response sealedResponse, misbehavior string) {
	if s.Opaque {
		w.Header().Set(proxy.HeaderRequestID, response.requestID)
	}
	if misbehavior == ContradictoryNotRun {
		w.Header().Set(HeaderNotRun, "1")
	}
	if misbehavior != Unsealed {
		w.Header().Set(proxy.HeaderSeal, response.seal)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(statusOf(misbehavior))
	io.WriteString(w, response.body)
}

// writeRaw takes the connection over, writes just these bytes and closes it.
func writeRaw(w http.ResponseWriter, text string) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	io.WriteString(conn, text)
	conn.Close()
}
