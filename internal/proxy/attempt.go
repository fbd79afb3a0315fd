package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/distribution"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/proxy/endpoint"
	"github.com/sumactrestle/sumactrestle/internal/proxy/upstream"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// The kinds under which the bytes of attempts are counted.
const (
	trafficKind          = "gate.try"
	trafficKindOtherZone = trafficKind + rpc.OtherZoneSuffix
)

// attemptResult is what an attempt came to. Either nothing was written, or there is a
// response with a right seal, or what came after the first byte is something else, and then
// it is unknown whether the request ran, unless it was withheld. A response beside an error is a target's word that
// it did not run the request.
type attemptResult struct {
	response *upstream.Response
	wrote    bool // a first byte may have been written
	withheld bool // nothing was written, or nothing but the head of a request with a body
	err      error
}

// isFinal reports whether no other target could do better.
func (a attemptResult) isFinal() bool { return a.err == nil && a.response.HTTP.StatusCode < 500 }

// mayHaveRun reports whether a target may have run the request and nobody says so.
func (a attemptResult) mayHaveRun() bool { return a.wrote && a.response == nil && !a.withheld }

// attempt writes the request to one target, once at most, and awaits the response. index is
// the number of the attempt, from zero.
func (p *Proxy) attempt(ctx context.Context, plan *requestPlan, r *http.Request, to *endpoint.Endpoint, openBody func() io.Reader, index int) attemptResult {
	to.BeginAttempt(time.Now())
	awaiting := false
	defer func() {
		if !awaiting {
			to.EndAttempt()
		}
	}()
	target := to.Target
	connection, err := p.connections.Get(ctx, to.Key, target.Address, plan.connectTimeout(p.environment.Config.ProxyConnectTimeout))
	if err != nil {
		to.RecordFailure(time.Now(), true)
		return attemptResult{err: err}
	}
	snapshot, err := p.snapshotFor(plan, r, to)
	if err != nil {
		p.connections.Put(to.Key, connection)
		return attemptResult{err: err}
	}
	request := p.upstreamRequest(plan, r, target, snapshot.Epoch, openBody(), index)
	responses, ok := connection.Begin(request, p.environment.Config.ProxyMaxResponseBytes)
	if !ok {
		return attemptResult{err: errcode.New(errcode.NotWritten, "%s: the connection died", target.Address)}
	}
	connection.SetDeadline(plan.deadline)
	connection.SetUserTimeout(upstream.UnackedTimeout)
	writer := p.newHandOver(plan, r, to, connection, snapshot, index)
	sentAt := time.Now()
	defer plan.addUpstreamTime(sentAt)
	// A write that the target holds up ends when everything in flight is given up.
	stopWriting := context.AfterFunc(p.lifecycle.forwards, func() { connection.SetDeadline(time.Now()) })
	err = writer.writeRequest(ctx, request)
	stopWriting()
	if err != nil {
		select {
		case response := <-responses:
			// The server responded before it had read everything.
			if response.Err == nil && p.verifySeal(plan, target, &response) == nil {
				connection.Abort()
				return p.classify(plan, to, &response, sentAt)
			}
		default:
		}
		connection.Abort()
		if writer.isWithheld() {
			return p.withheld(writer, to)
		}
		to.RecordFailure(time.Now(), true)
		return attemptResult{wrote: writer.written > 0 || request.ContentLength != 0, err: writeError(request, writer.written, err)}
	}
	connection.RequestWritten()
	awaiting = true
	return p.awaitResponse(ctx, plan, r, &sentAttempt{to: to, connection: connection, responses: responses, sentAt: sentAt, writer: writer}, openBody, index)
}

// newHandOver returns the hand-over of a request to a target under an epoch.
func (p *Proxy) newHandOver(plan *requestPlan, r *http.Request, to *endpoint.Endpoint, connection *upstream.Connection, snapshot *distribution.Snapshot, index int) *handOver {
	return &handOver{
		connection: connection,
		check: func() error {
			if _, err := p.snapshotFor(plan, r, to); err != nil {
				return err
			}
			if !p.configuration.IsFresh(snapshot, plan.service.Name) {
				return errcode.New(errcode.NotFresh, "epoch %d", snapshot.Epoch)
			}
			return nil
		},
		onBegin: func() {
			p.retryBudget.RecordRequest(plan.service.Name, p.retryLimits(plan), plan.keyHash, plan.clientRetry || index > 0)
			plan.noteHandOver(snapshot.Epoch)
		},
	}
}

// withheld is what an attempt came to whose request was held back, wholly or but for its head.
func (p *Proxy) withheld(writer *handOver, to *endpoint.Endpoint) attemptResult {
	if errors.Is(writer.err, upstream.ErrContinueTimeout) {
		to.RecordFailure(time.Now(), true)
	}
	return attemptResult{wrote: writer.written > 0, withheld: true, err: p.withheldError(writer, to.Target.Instance)}
}

// sentAttempt is an attempt that was written, and whose response is awaited.
type sentAttempt struct {
	to         *endpoint.Endpoint
	connection *upstream.Connection
	responses  <-chan upstream.Response
	sentAt     time.Time
	writer     *handOver
	overdue    bool // counted as such at the endpoint
}

// end records that the attempt is not in flight any more.
func (s *sentAttempt) end() {
	if s.overdue {
		s.to.AddOverdue(-1)
	}
	s.to.EndAttempt()
}

// onStaleConnection reports whether the target seems to have dropped the connection while it
// was idle: it ended sooner than the target could have worked on the request. What was sent
// may have run all the same; but it says nothing of the target's health.
func (s *sentAttempt) onStaleConnection(now time.Time, typical time.Duration, err error) bool {
	return s.connection.IdledFor() >= upstream.MinIdleLimit && !isTimeout(err) && now.Sub(s.sentAt) < typical/2
}

// finishAttempt takes what came in response to an attempt that was written.
func (p *Proxy) finishAttempt(plan *requestPlan, sent *sentAttempt, response *upstream.Response) attemptResult {
	target := sent.to.Target
	if response.Err != nil {
		sent.connection.Abort()
		if now := time.Now(); sent.onStaleConnection(now, plan.endpoints.TypicalLatency(), response.Err) {
			p.connections.RecordStale(sent.connection.IdledFor(), now)
		} else {
			sent.to.RecordFailure(now, false)
			p.outliers.Report(sent.to)
		}
		return attemptResult{wrote: true, err: readError(response, target.Instance)}
	}
	if err := p.verifySeal(plan, target, response); err != nil {
		sent.connection.Abort()
		sent.to.RecordFailure(time.Now(), false)
		p.outliers.Report(sent.to)
		return attemptResult{wrote: true, err: err}
	}
	p.countTraffic(target, sent.writer.written+len(response.Body))
	sent.connection.SetDeadline(time.Time{})
	sent.connection.ApplyKeepAlive(response.HTTP.Header.Get("Keep-Alive"))
	p.connections.Put(sent.to.Key, sent.connection)
	return p.classify(plan, sent.to, response, sent.sentAt)
}

// classify tells a response to a request that ran from a target's word that it did not run:
// a field of the settings beside an error status or, where another instance has the address,
// 421 Misdirected Request (RFC 9110, section 15.5.20).
func (p *Proxy) classify(plan *requestPlan, to *endpoint.Endpoint, response *upstream.Response, sentAt time.Time) attemptResult {
	now, header := time.Now(), response.HTTP.Header
	status := response.HTTP.StatusCode
	notRun := header.Get(p.environment.Config.HeaderNotExecuted) != "" && status >= 400
	misdirected := status == http.StatusMisdirectedRequest && p.opaqueSeals
	took := now.Sub(sentAt)
	serverError := !notRun && status >= 500
	to.RecordResponse(now, took, !notRun && !misdirected && !serverError, !serverError, header.Get(p.environment.Config.HeaderLoad))
	if serverError && status != http.StatusGatewayTimeout {
		p.outliers.Report(to)
	}
	switch {
	case misdirected:
		to.Bar()
		return attemptResult{response: response, wrote: true, err: errcode.New(errcode.TargetRejected, "%s: another instance has the address", to.Target.Instance)}
	case notRun && header.Get(p.environment.Config.HeaderNotExecuted) == NotRunSuperseded:
		return attemptResult{response: response, wrote: true, err: errcode.New(errcode.NotFresh, "%s: the target refuses the epoch", to.Target.Instance)}
	case notRun:
		to.RecordRefusal(now, plan.endpoints.TypicalLatency())
		return attemptResult{response: response, wrote: true, err: errcode.New(errcode.TargetRejected, "%s: %d", to.Target.Instance, status)}
	}
	if status < 500 {
		plan.endpoints.RecordLatency(took)
	}
	return attemptResult{response: response, wrote: true}
}

// countTraffic counts the bytes of an attempt, without the response's head.
func (p *Proxy) countTraffic(target rpc.Target, bytes int) {
	kind := trafficKind
	if target.Zone != p.environment.Config.Zone {
		kind = trafficKindOtherZone
	}
	p.rpc.RecordSent(kind, "", bytes)
}

// writeError is the error of a request whose writing failed: the client's, if its body broke
// off, or the target's, and then whether anything may have arrived.
func writeError(request *http.Request, written int, err error) error {
	if stream := streamOf(request); stream != nil && stream.err != nil {
		return errcode.New(errcode.BodyCut, "%v", stream.err)
	}
	if written == 0 && request.ContentLength == 0 {
		return errcode.New(errcode.NotWritten, "%v", err)
	}
	return errcode.New(errcode.ResponseLost, "%v", err)
}

// readError is the error of a request that was written and got no complete response.
func readError(response *upstream.Response, instance string) error {
	if errors.Is(response.Err, upstream.ErrTooLarge) {
		return errcode.New(errcode.ResponseTooLarge, "")
	}
	if isTimeout(response.Err) {
		return errcode.New(errcode.DeadlinePassed, "%s", instance)
	}
	return errcode.New(errcode.ResponseLost, "%v", response.Err)
}

// isTimeout reports whether the error itself is a timeout, as those of net.Conn are.
func isTimeout(err error) bool {
	timeout, ok := err.(interface{ Timeout() bool })
	return ok && timeout.Timeout()
}
