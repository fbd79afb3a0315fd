// A try is one write of a request to one target, at most. What it may end in is
// told apart here: nothing written, an answer with a right seal, or something
// else after the first byte, of which only "unknown" can be said.
package proxy

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/proxy/upstream"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// requestBody reads small bodies, so that they can be sent again; others stream. Where
// targets can't be asked whether they want a body, it is read whole in any case.
func (p *Proxy) requestBody(ctx context.Context, plan *requestPlan, r *http.Request) (func() io.Reader, bool, error) {
	maxBytes := int64(p.environment.Config.GateRequest)
	if limits := plan.snapshot.ClientLimits; limits != nil && limits.BodyBytes > 0 {
		maxBytes = min(maxBytes, limits.BodyBytes)
	}
	if r.ContentLength > maxBytes {
		return nil, false, errcode.New(errcode.RequestTooLarge, "%d bytes", r.ContentLength)
	}
	if r.ContentLength == 0 {
		return func() io.Reader { return nil }, true, nil
	}
	uploadDeadline := plan.uploadDeadline(time.Now())
	if !p.uploads.AwaitTurn(ctx, r.ContentLength, uploadDeadline) {
		return nil, false, errcode.New(errcode.Overload, "the link has no place for %d bytes in time", r.ContentLength)
	}
	release, ok := p.uploads.BeginRead(r.ContentLength, uploadDeadline)
	if !ok {
		return nil, false, errcode.New(errcode.Overload, "too many large bodies at once")
	}
	defer release()
	plan.bodyRead = true
	if r.ContentLength > 0 && (r.ContentLength <= maxReplayableBody || p.opaqueSeals) {
		buffered := make([]byte, r.ContentLength)
		if _, err := io.ReadFull(r.Body, buffered); err != nil {
			return nil, false, errcode.New(errcode.BadRequest, "the body ended early; nothing was handed over")
		}
		return func() io.Reader { return bytes.NewReader(buffered) }, true, nil
	}
	if p.opaqueSeals {
		buffered, err := io.ReadAll(io.LimitReader(r.Body, maxBytes+1))
		if err != nil {
			return nil, false, errcode.New(errcode.BadRequest, "the body ended early; nothing was handed over")
		}
		if int64(len(buffered)) > maxBytes {
			return nil, false, errcode.New(errcode.RequestTooLarge, "over %d bytes", maxBytes)
		}
		r.ContentLength = int64(len(buffered))
		return func() io.Reader { return bytes.NewReader(buffered) }, true, nil
	}
	stream := &streamedBody{source: r.Body, remaining: maxBytes}
	return func() io.Reader { return stream }, false, nil
}

// streamedBody is a caller's body on its way; it remembers how it ended. Before the
// first of it is read, begin waits for the server's word.
type streamedBody struct {
	source          io.Reader
	remaining       int64
	err             error
	beforeFirstRead func() error
}

func (s *streamedBody) Read(buffer []byte) (int, error) {
	if s.beforeFirstRead != nil {
		if err := s.beforeFirstRead(); err != nil {
			return 0, err
		}
		s.beforeFirstRead = nil
	}
	n, err := s.source.Read(buffer)
	if s.remaining -= int64(n); s.remaining < 0 {
		err = errors.New("the body is too large")
	}
	if err != nil && err != io.EOF {
		s.err = err
	}
	return n, err
}

// attempt is one write of the request to one target, at most. An answer beside a
// problem is a target's word that it did not run the request.
func (p *Proxy) attempt(ctx context.Context, plan *requestPlan, r *http.Request, endpoint *Endpoint, body func() io.Reader, index int) (*upstream.Response, bool, error) {
	endpoint.BeginAttempt(time.Now())
	awaiting := false
	defer func() {
		if !awaiting {
			endpoint.EndAttempt()
		}
	}()
	target := endpoint.Target
	connection, err := p.connections.Get(ctx, endpoint.Key, target.Address, plan.connectTimeout(p.environment.Config.GateConnect))
	if err != nil {
		endpoint.RecordFailure(time.Now(), true)
		return nil, false, err
	}
	request := p.upstreamRequest(plan, r, target, body(), index)
	responses, ok := connection.Begin(request, p.environment.Config.GateBody)
	if !ok {
		return nil, false, errcode.New(errcode.NotWritten, "%s: the pipe died", target.Address)
	}
	if view := p.current.Load(); !view.addresses[endpoint.Key] || !p.configuration.IsFresh(view.snapshot, plan.service.Name) {
		connection.Abort()
		return nil, false, errcode.New(errcode.NotFresh, "epoch %d", view.snapshot.Epoch)
	}
	if view := p.current.Load(); view.snapshot != plan.snapshot {
		if route := view.match(r); route == nil || route != plan.route && !reflect.DeepEqual(route, plan.route) {
			connection.Abort()
			return nil, false, errcode.New(errcode.NotFresh, "the mapping changed in epoch %d", view.snapshot.Epoch)
		}
	}
	connection.SetDeadline(plan.deadline)
	connection.SetUserTimeout(upstream.UnackedTimeout)
	p.retryBudget.RecordRequest(plan.service.Name, p.retryLimits(plan), plan.orderKey, plan.clientRetry || index > 0)
	writer := &countingWriter{writer: connection}
	sent := time.Now()
	defer plan.addUpstreamTime(sent)
	if err := p.writeRequest(ctx, connection, request, writer); err != nil {
		select {
		case response := <-responses:
			// The server answered before it had read everything.
			if response.Err == nil && p.verifySeal(plan, target, &response) == nil {
				connection.Abort()
				return p.classify(plan, endpoint, &response, sent)
			}
		default:
		}
		connection.Abort()
		endpoint.RecordFailure(time.Now(), true)
		return nil, writer.written > 0 || request.ContentLength != 0, writeFailure(request, writer.written, err)
	}
	connection.RequestWritten()
	awaiting = true
	return p.awaitResponse(ctx, plan, r, &sentAttempt{endpoint: endpoint, connection: connection, responses: responses, sentAt: sent, writer: writer}, body, index)
}

// sentAttempt is a try that was written, and whose answer is awaited.
type sentAttempt struct {
	endpoint   *Endpoint
	connection *upstream.Connection
	responses  <-chan upstream.Response
	sentAt     time.Time
	writer     *countingWriter
	// overdue is set once the answer is overdue.
	overdue bool
}

// onStaleConnection tells whether the target seems to have forgotten the pipe: it had idled,
// and ended sooner than a target could have worked. What was sent may have run all the
// same; it says nothing on how well the target is.
func (sent *sentAttempt) onStaleConnection(now time.Time, typical time.Duration, err error) bool {
	timeout, ok := err.(interface{ Timeout() bool })
	return sent.connection.IdledFor() >= upstream.MinIdleLimit && !(ok && timeout.Timeout()) && now.Sub(sent.sentAt) < typical/2
}

// finishAttempt takes what a written try came to: an answer with a right seal, or a problem.
func (p *Proxy) finishAttempt(plan *requestPlan, sent *sentAttempt, response *upstream.Response) (*upstream.Response, bool, error) {
	target := sent.endpoint.Target
	if response.Err != nil {
		sent.connection.Abort()
		if now := time.Now(); sent.onStaleConnection(now, plan.endpoints.TypicalLatency(), response.Err) {
			p.connections.RecordStale(sent.connection.IdledFor(), now)
		} else {
			sent.endpoint.RecordFailure(now, false)
			p.reportFailure(sent.endpoint)
		}
		return nil, true, readFailure(response, target.Instance)
	}
	if err := p.verifySeal(plan, target, response); err != nil {
		sent.connection.Abort()
		sent.endpoint.RecordFailure(time.Now(), false)
		p.reportFailure(sent.endpoint)
		return nil, true, err
	}
	p.countTraffic(target, sent.writer.written+len(response.Body))
	sent.connection.SetDeadline(time.Time{})
	sent.connection.ApplyKeepAlive(response.HTTP.Header.Get("Keep-Alive"))
	p.connections.Put(sent.endpoint.Key, sent.connection)
	return p.classify(plan, sent.endpoint, response, sent.sentAt)
}

// classify tells an answer that ran from a target's word that nothing did.
func (p *Proxy) classify(plan *requestPlan, endpoint *Endpoint, response *upstream.Response, sentAt time.Time) (*upstream.Response, bool, error) {
	now, header := time.Now(), response.HTTP.Header
	status := response.HTTP.StatusCode
	notRun := header.Get(p.environment.Config.HeaderUnrun) != "" && status >= 400
	misdirected := status == http.StatusMisdirectedRequest && p.opaqueSeals
	took := now.Sub(sentAt)
	serverError := !notRun && status >= 500
	endpoint.RecordResponse(now, took, !notRun && !misdirected && !serverError, !serverError, header.Get(p.environment.Config.HeaderWeight))
	if serverError && status != http.StatusGatewayTimeout {
		p.reportFailure(endpoint)
	}
	switch {
	case misdirected:
		endpoint.Bar()
		return response, true, errcode.New(errcode.TargetRefused, "%s: another instance has the address", endpoint.Target.Instance)
	case notRun:
		endpoint.RecordRefusal(now, plan.endpoints.TypicalLatency())
		return response, true, errcode.New(errcode.TargetRefused, "%s: %d", endpoint.Target.Instance, status)
	}
	if status < 500 {
		plan.endpoints.RecordLatency(took)
	}
	return response, true, nil
}

// writeRequest writes the request, once. A body that streams follows its head only when
// the server has said that it wants it (100 Continue): a head that a cut holds back
// is given up within the short patience, and without its body nothing runs.
func (p *Proxy) writeRequest(ctx context.Context, connection *upstream.Connection, request *http.Request, writer io.Writer) error {
	if body, ok := request.Body.(uncloseableBody); ok {
		if stream, ok := body.Reader.(*streamedBody); ok {
			buffer := bufio.NewWriter(writer)
			stream.beforeFirstRead = func() error {
				if err := buffer.Flush(); err != nil {
					return err
				}
				return connection.AwaitContinue(ctx)
			}
			request.Header.Set("Expect", "100-continue")
			if err := request.Write(buffer); err != nil {
				return err
			}
			return buffer.Flush()
		}
	}
	return request.Write(writer)
}

// countTraffic notes the bytes of a try, without the answer's head.
func (p *Proxy) countTraffic(target rpc.Target, bytes int) {
	kind := "gate.try"
	if target.Zone != p.environment.Config.Zone {
		kind += " between"
	}
	p.rpc.RecordSent(kind, "", bytes)
}

// countingWriter knows whether a first byte was written.
type countingWriter struct {
	writer  io.Writer
	written int
}

func (w *countingWriter) Write(data []byte) (int, error) {
	n, err := w.writer.Write(data)
	w.written += n
	return n, err
}

// writeFailure sorts out a write that failed.
func writeFailure(request *http.Request, written int, err error) error {
	if s, ok := request.Body.(uncloseableBody); ok {
		if stream, ok := s.Reader.(*streamedBody); ok && stream.err != nil {
			return errcode.New(errcode.BodyCut, "%v", stream.err)
		}
	}
	if written == 0 && request.ContentLength == 0 {
		return errcode.New(errcode.NotWritten, "%v", err)
	}
	return errcode.New(errcode.AnswerLost, "%v", err)
}

// uncloseableBody is a body that a failed write may close without harm.
type uncloseableBody struct{ io.Reader }

func (uncloseableBody) Close() error { return nil }

func readFailure(response *upstream.Response, instance string) error {
	if errors.Is(response.Err, upstream.ErrTooLarge) {
		return errcode.New(errcode.AnswerTooLarge, "")
	}
	if timeout, ok := response.Err.(interface{ Timeout() bool }); ok && timeout.Timeout() {
		return errcode.New(errcode.DeadlinePassed, "%s", instance)
	}
	return errcode.New(errcode.AnswerLost, "%v", response.Err)
}

func (p *Proxy) upstreamRequest(plan *requestPlan, r *http.Request, target rpc.Target, body io.Reader, index int) *http.Request {
	out := &http.Request{Method: r.Method, URL: r.URL, Host: r.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: r.Header.Clone(), ContentLength: r.ContentLength}
	removeHopByHop(out.Header, r.Header.Get("Connection"))
	for name := range out.Header {
		if strings.HasPrefix(name, "Sumac-") {
			out.Header.Del(name)
		}
	}
	if p.opaqueSeals {
		out.URL = &url.URL{Opaque: r.RequestURI, Host: r.Host}
		if out.Header.Get("User-Agent") == "" {
			out.Header["User-Agent"] = []string{""}
		}
	} else {
		out.Header.Set(HeaderAttempt, strconv.Itoa(index+1))
		out.Header.Set(HeaderService, plan.service.Name)
		out.Header.Set(HeaderEpoch, strconv.FormatUint(uint64(plan.snapshot.Epoch), 10))
		out.Header.Set(HeaderProxy, string(p.environment.Name))
	}
	if remaining := time.Until(plan.deadline).Milliseconds(); p.opaqueSeals || r.Header.Get(p.environment.Config.HeaderDeadline) != "" {
		out.Header.Set(p.environment.Config.HeaderDeadline, strconv.FormatInt(max(remaining, 0), 10))
	}
	if plan.requestID != "" {
		out.Header.Set(p.environment.Config.HeaderRequest, plan.requestID)
	}
	out.Header.Set(p.environment.Config.HeaderExpect, target.Instance)
	if body != nil {
		out.Body = uncloseableBody{body}
	}
	return out
}

// verifySeal holds an answer against the server's seal. An opaque one can only be
// seen to be there; then the answer must name its request, and its length.
func (p *Proxy) verifySeal(plan *requestPlan, target rpc.Target, response *upstream.Response) error {
	header := response.HTTP.Header
	seal := header.Get(p.environment.Config.HeaderSeal)
	sealed := false
	if p.opaqueSeals {
		success := response.HTTP.StatusCode < 300
		sealed = header.Get(p.environment.Config.HeaderRequest) == plan.requestID && (!success || seal != "") && (response.HTTP.ContentLength >= 0 || len(response.HTTP.TransferEncoding) > 0)
	} else {
		sealed = VerifySeal(seal, plan.service.Key, plan.requestID, plan.service.Name, target.Instance, response.HTTP.StatusCode, response.Body)
	}
	if !sealed {
		p.environment.Events.Say(eventlog.SealRefused, "request", plan.requestID, "service", plan.service.Name, "instance", target.Instance, "address", target.Address, "status", response.HTTP.StatusCode)
		return errcode.New(errcode.SealBroken, "%s", target.Instance)
	}
	return nil
}
