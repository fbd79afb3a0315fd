package proxy

import (
	"bytes"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/proxy/admission"
	"github.com/sumactrestle/sumactrestle/internal/proxy/idempotency"
	"github.com/sumactrestle/sumactrestle/internal/proxy/upstream"
)

const (
	// staleRetryAfterFactor multiplies a Retry-After below one second if the proxy has no fresh
	// configuration, because regaining that takes longer than regaining capacity.
	staleRetryAfterFactor = 5

	// halfCloseDuration is how long a connection with an unread request body stays half-closed,
	// so that the client can read the response before the connection is reset.
	halfCloseDuration = 500 * time.Millisecond

	// statusClientClosedRequest marks requests whose client has disconnected. It is not a status
	// of RFC 9110 and is never sent.
	statusClientClosedRequest = 499
)

// writeResponse writes a target's response to the client. The response is fully buffered, so it
// is sent with a Content-Length, except where RFC 9110, section 8.6, excludes it.
func (p *Proxy) writeResponse(w http.ResponseWriter, plan *requestPlan, response *upstream.Response) {
	header := w.Header()
	for name, values := range response.HTTP.Header {
		header[name] = values
	}
	removeHopByHop(header, response.HTTP.Header.Get("Connection"))
	if p.lifecycle.draining.Load() {
		header.Set("Connection", "close")
	}
	if !p.opaqueSeals {
		header.Set(p.environment.Config.HeaderRequestID, plan.requestID)
		header.Set(HeaderOutcome, "ran")
		header.Set(HeaderEpoch, strconv.FormatUint(uint64(plan.epoch()), 10))
	}
	if response.HTTP.StatusCode != http.StatusNoContent && response.HTTP.StatusCode != http.StatusNotModified && response.HTTP.Request.Method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(len(response.Body)))
	}
	p.countOutcome("ran")
	w.WriteHeader(response.HTTP.StatusCode)
	w.Write(response.Body)
}

// countOutcome counts a request by its outcome: "ran" or the name of an error code.
func (p *Proxy) countOutcome(outcome string) {
	counter, ok := p.counts.outcomes.Load(outcome)
	if !ok {
		counter, _ = p.counts.outcomes.LoadOrStore(outcome, new(atomic.Int64))
	}
	counter.(*atomic.Int64).Add(1)
}

// rejection is the JSON body of an error response of the proxy.
type rejection struct {
	Code    int    `json:"code"`
	Name    string `json:"name"`
	Note    string `json:"note"`
	Outcome string `json:"outcome"`
	Text    string `json:"text"`
}

// reject writes the error response of a request that received no response from a target. If this
// proxy knows the request's idempotency key, the error states the outcome of all attempts under
// that key, not only of this one.
func (p *Proxy) reject(w http.ResponseWriter, r *http.Request, plan *requestPlan, err error) {
	problem := errcode.From(err)
	if hash := idempotency.HashOf(r); hash != 0 {
		problem = idempotency.Rejection(p.keyed.tracker.State(hash), problem)
	}
	p.countOutcome(problem.Code.Name)
	header := w.Header()
	header.Set("Content-Type", "application/json")
	if !p.opaqueSeals {
		header.Set(HeaderCode, strconv.Itoa(problem.Code.Number))
		header.Set(HeaderOutcome, problem.Code.Outcome)
	}
	if problem.Code.Status >= 500 || problem.Code.Status == http.StatusTooManyRequests || problem.Code.Status == http.StatusConflict {
		delay := p.environment.Config.ProxyRetryAfter
		if problem.Code.Number == errcode.NotFresh.Number && delay < time.Second {
			delay *= staleRetryAfterFactor
		}
		header.Set("Retry-After", retryAfter(delay))
	}
	status := problem.Code.Status
	if status == statusClientClosedRequest {
		status = http.StatusBadGateway
	}
	body, _ := json.Marshal(rejection{Code: problem.Code.Number, Name: problem.Code.Name, Note: problem.Note, Outcome: problem.Code.Outcome, Text: problem.Code.Text})
	body = append(body, '\n')
	bodyUnread := r.ContentLength != 0 && admission.IsLarge(r.ContentLength) && (plan == nil || !plan.bodyRead)
	if bodyUnread && p.uploads.IsBounded() && p.rejectUnread(w, status, body) {
		return
	}
	w.WriteHeader(status)
	w.Write(body)
}

// retryAfter returns the value of a Retry-After field (RFC 9110, section 10.2.3): a random value
// of one to three times the minimum, so that clients don't all retry at the same time. A minimum
// below one second, which a setting allows, gives a fraction. The RFC allows only whole seconds.
func retryAfter(minimum time.Duration) string {
	if minimum >= time.Second {
		return strconv.Itoa(int(minimum/time.Second) * (1 + rand.IntN(3)))
	}
	spread := minimum + time.Duration(rand.Int64N(int64(2*minimum)+1))
	return strconv.FormatFloat(spread.Seconds(), 'f', 3, 64)
}

// rejectUnread writes the response and closes the connection without reading the request's body
// (RFC 9112, section 9.6, describes the half-close that lets the client read the response). It
// hijacks the connection, because net/http would read the body before and after it responds. It
// returns false, with nothing written, if the connection can't be hijacked.
func (p *Proxy) rejectUnread(w http.ResponseWriter, status int, body []byte) bool {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	header := w.Header()
	header.Set("Connection", "close")
	response := &http.Response{StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Header: header, ContentLength: int64(len(body)), Body: io.NopCloser(bytes.NewReader(body))}
	buffer := &bytes.Buffer{}
	response.Write(buffer)
	conn.SetWriteDeadline(time.Now().Add(halfCloseDuration))
	_, err = conn.Write(buffer.Bytes())
	halfCloser, canHalfClose := conn.(interface{ CloseWrite() error })
	if err != nil || !canHalfClose || halfCloser.CloseWrite() != nil {
		conn.Close()
		return true
	}
	p.environment.Go(func() {
		p.environment.Sleep(halfCloseDuration)
		conn.Close()
	})
	return true
}
