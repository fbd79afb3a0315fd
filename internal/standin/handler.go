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

// HeaderCall contains the ID that a Client assigns to a call. It is the same in each retry.
const HeaderCall = "X-Call"

const (
	slowDelay         = 2 * time.Second
	oversizedPadBytes = 64 << 10
)

// Response is the body of a server's response. The client compares it with the request.
type Response struct {
	Call    string `json:"call"`
	Service string `json:"service"`
	Bytes   int    `json:"bytes"`
	Digest  string `json:"digest"`
	Pad     string `json:"pad,omitempty"`
}

// sealedResponse is a response body with its request ID and seal.
type sealedResponse struct{ requestID, seal, body string }

// encode returns the response as an HTTP message with status 200.
func (r sealedResponse) encode() string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%s%s", len(r.body), r.headers(), r.body)
}

// encodeUnframed is like encode without a Content-Length.
func (r sealedResponse) encodeUnframed() string {
	return "HTTP/1.1 200 OK\r\n" + r.headers() + r.body
}

func (r sealedResponse) headers() string {
	return fmt.Sprintf("%s: %s\r\n%s: %s\r\n\r\n", proxy.HeaderRequestID, r.requestID, proxy.HeaderSeal, r.seal)
}

// ServeHTTP executes a request and responds to it, or misbehaves as configured.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrivedAt, sinceReceipt := s.History.Now(), timeSinceReceipt(r.Context())
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
	if !s.simulateWork(r) {
		return
	}
	if misbehavior == RejectedLate {
		s.rejectSealed(w, r, RejectedLate)
		return
	}
	if misbehavior == Slow {
		time.Sleep(slowDelay)
	}
	record := s.newRecord(r, checker.RequestExecuted)
	record.Start, record.Digest = arrivedAt, Digest(body)
	if sinceReceipt > 0 {
		record.Received = arrivedAt - sinceReceipt
	}
	s.History.Add(record)
	s.respond(w, s.newResponse(record, len(body), misbehavior), misbehavior)
}

// simulateWork waits for the service time. It returns false if the request was canceled because
// its connection closed.
func (s *Server) simulateWork(r *http.Request) bool {
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
		s.Canceled.Add(1)
		return false
	}
}

// newRecord returns a record of a request as the server received it.
func (s *Server) newRecord(r *http.Request, kind checker.Kind) checker.Record {
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
	record.Epoch, _ = strconv.ParseUint(epoch, 10, 64) // zero if missing
	return record
}

// newResponse returns the sealed response to an executed request.
func (s *Server) newResponse(record checker.Record, bodyBytes int, misbehavior string) sealedResponse {
	response := Response{Call: record.CallID, Service: s.Service, Bytes: bodyBytes, Digest: record.Digest}
	if misbehavior == OversizedResponse {
		response.Pad = strings.Repeat("x", oversizedPadBytes)
	}
	body, _ := json.Marshal(response) // strings and numbers can always be marshaled
	seal := proxy.Seal(s.SealKey, record.RequestID, s.Service, s.Instance, statusFor(misbehavior), body)
	return sealedResponse{record.RequestID, seal, string(body)}
}

func statusFor(misbehavior string) int {
	if misbehavior == Failing {
		return http.StatusInternalServerError
	}
	return http.StatusOK
}

// respond writes a response, altered as the misbehavior requires.
func (s *Server) respond(w http.ResponseWriter, response sealedResponse, misbehavior string) {
	previous := s.previousResponse.Load()
	switch encoded := response.encode(); misbehavior {
	case CloseUnanswered:
		writeRaw(w, "")
		return
	case Garbage:
		writeRaw(w, "\x00\x01 what is this\r\n\r\n")
		return
	case TruncatedHeader:
		writeRaw(w, encoded[:25])
		return
	case TruncatedBody:
		missing := (len(response.body) + 1) / 2
		writeRaw(w, encoded[:len(encoded)-missing])
		return
	case UnframedResponse:
		writeRaw(w, response.encodeUnframed())
		return
	case DuplicateResponse:
		writeRaw(w, encoded+encoded)
		return
	case SurplusResponse:
		if previous != nil {
			writeRaw(w, previous.encode()+encoded)
			return
		}
	case SwappedResponse:
		if previous != nil {
			s.writeResponse(w, *previous, misbehavior)
			return
		}
	}
	s.previousResponse.Store(&response)
	s.writeResponse(w, response, misbehavior)
}

// writeResponse writes a response as well-formed HTTP.
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
	w.WriteHeader(statusFor(misbehavior))
	io.WriteString(w, response.body)
}

// writeRaw hijacks the connection, writes text without any framing and closes the connection.
func writeRaw(w http.ResponseWriter, text string) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	io.WriteString(conn, text)
	conn.Close()
}
