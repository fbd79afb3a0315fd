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

// Traffic kinds of the byte counters of attempts.
const (
	trafficKind          = "gate.try"
	trafficKindOtherZone = trafficKind + rpc.OtherZoneSuffix
)

// attemptResult is the result of an attempt. If wrote is set and there is no response with a
// valid seal, it is unknown whether the request ran, unless it was withheld. A response together
// with an error means that the target reports that it did not run the request.
type attemptResult struct {
	response *upstream.Response
	wrote    bool // at least one byte may have been written
	withheld bool // all of the request, or all but its head, was intentionally not written
	err      error
}

// isFinal reports whether the target ran the request and responded without a server error, so
// that no other target could give a better response.
func (a attemptResult) isFinal() bool { return a.err == nil && a.response.HTTP.StatusCode < 500 }

// mayHaveRun reports whether the target may have run the request although it sent no valid
// response.
func (a attemptResult) mayHaveRun() bool { return a.wrote && a.response == nil && !a.withheld }

// attempt writes the request to one target, at most once, and awaits the response. index is the
// zero-based number of the attempt.
func (p *Proxy) attempt(ctx context.Context, plan *requestPlan, r *http.Request, ep *endpoint.Endpoint, openBody func() io.Reader, index int) attemptResult {
	ep.BeginAttempt(time.Now())
	awaiting := false
	defer func() {
		if !awaiting {
			ep.EndAttempt()
		}
	}()
	target := ep.Target
	connection, err := p.connections.Get(ctx, ep.Key, target.Address, plan.connectTimeout(p.environment.Config.ProxyConnectTimeout))
	if err != nil {
		ep.RecordFailure(time.Now(), true)
		return attemptResult{err: err}
	}
	snapshot, err := p.snapshotFor(plan, r, ep)
	if err != nil {
		p.connections.Put(ep.Key, connection)
		return attemptResult{err: err}
	}
	request := p.upstreamRequest(plan, r, target, snapshot.Epoch, openBody(), index)
	responses, ok := connection.Begin(request, p.environment.Config.ProxyMaxResponseBytes)
	if !ok {
		return attemptResult{err: errcode.New(errcode.NotWritten, "%s: connection closed before the request was written", target.Address)}
	}
	connection.SetDeadline(plan.deadline)
	connection.SetUserTimeout(upstream.UnackedTimeout)
	writer := p.newRequestWriter(plan, r, ep, connection, snapshot, index)
	sentAt := time.Now()
	defer plan.addUpstreamTime(sentAt)
	// Unblock a write to a slow target when all requests in flight are aborted.
	stopWriting := context.AfterFunc(p.lifecycle.forwardContext, func() { connection.SetDeadline(time.Now()) })
	err = writer.writeRequest(ctx, request)
	stopWriting()
	if err != nil {
		select {
		case response := <-responses:
			// The target responded before it had read the whole request.
			if response.Err == nil && p.verifySeal(plan, target, &response) == nil {
				connection.Abort()
				return p.classify(plan, ep, &response, sentAt)
			}
		default:
		}
		connection.Abort()
		if writer.isWithheld() {
			return p.withheld(writer, ep)
		}
		ep.RecordFailure(time.Now(), true)
		return attemptResult{wrote: writer.written > 0 || request.ContentLength != 0, err: writeError(request, writer.written, err)}
	}
	connection.RequestWritten()
	awaiting = true
	return p.awaitResponse(ctx, plan, r, &sentAttempt{endpoint: ep, connection: connection, responses: responses, sentAt: sentAt, writer: writer}, openBody, index)
}

// newRequestWriter returns a writer of a request to a target, under the snapshot's epoch.
func (p *Proxy) newRequestWriter(plan *requestPlan, r *http.Request, ep *endpoint.Endpoint, connection *upstream.Connection, snapshot *distribution.Snapshot, index int) *requestWriter {
	return &requestWriter{
		connection: connection,
		check: func() error {
			if _, err := p.snapshotFor(plan, r, ep); err != nil {
				return err
			}
			if !p.configuration.IsFresh(snapshot, plan.service.Name) {
				return errcode.New(errcode.NotFresh, "epoch %d", snapshot.Epoch)
			}
			return nil
		},
		onFirstWrite: func() {
			p.retryBudget.RecordRequest(plan.service.Name, p.retryLimits(plan), plan.keyHash, plan.isClientRepeat || index > 0)
			plan.recordWrittenEpoch(snapshot.Epoch)
		},
	}
}

// withheld returns the result of an attempt whose request was withheld, wholly or except for its
// head.
func (p *Proxy) withheld(writer *requestWriter, ep *endpoint.Endpoint) attemptResult {
	if errors.Is(writer.withheldErr, upstream.ErrContinueTimeout) {
		ep.RecordFailure(time.Now(), true)
	}
	return attemptResult{wrote: writer.written > 0, withheld: true, err: p.withheldError(writer, ep.Target.Instance)}
}

// sentAttempt is an attempt whose request was written and whose response is awaited.
type sentAttempt struct {
	endpoint   *endpoint.Endpoint
	connection *upstream.Connection
	responses  <-chan upstream.Response
	sentAt     time.Time
	writer     *requestWriter
	overdue    bool // included in the endpoint's count of overdue requests
}

// end records at the endpoint that the attempt is no longer in flight.
func (s *sentAttempt) end() {
	if s.overdue {
		s.endpoint.AddOverdue(-1)
	}
	s.endpoint.EndAttempt()
}

// usedStaleConnection reports whether the target probably closed the connection while it was
// idle, because it failed faster than a request usually takes. The request may have run all the
// same, but the failure doesn't indicate an unhealthy target.
func (s *sentAttempt) usedStaleConnection(now time.Time, typical time.Duration, err error) bool {
	return s.connection.IdledFor() >= upstream.MinIdleLimit && !isTimeout(err) && now.Sub(s.sentAt) < typical/2
}

// finishAttempt evaluates the response to an attempt, or the error of reading it, and returns the
// connection to the pool or aborts it.
func (p *Proxy) finishAttempt(plan *requestPlan, sent *sentAttempt, response *upstream.Response) attemptResult {
	target := sent.endpoint.Target
	if response.Err != nil {
		sent.connection.Abort()
		if now := time.Now(); sent.usedStaleConnection(now, plan.endpoints.TypicalLatency(), response.Err) {
			p.connections.RecordStale(sent.connection.IdledFor(), now)
		} else {
			sent.endpoint.RecordFailure(now, false)
			p.outliers.Report(sent.endpoint)
		}
		return attemptResult{wrote: true, err: readError(response, target.Instance)}
	}
	if err := p.verifySeal(plan, target, response); err != nil {
		sent.connection.Abort()
		sent.endpoint.RecordFailure(time.Now(), false)
		p.outliers.Report(sent.endpoint)
		return attemptResult{wrote: true, err: err}
	}
	p.countTraffic(target, sent.writer.written+len(response.Body))
	sent.connection.SetDeadline(time.Time{})
	sent.connection.ApplyKeepAlive(response.HTTP.Header.Get("Keep-Alive"))
	p.connections.Put(sent.endpoint.Key, sent.connection)
	return p.classify(plan, sent.endpoint, response, sent.sentAt)
}

// classify distinguishes responses of requests that ran from rejections, with which a target
// reports that it did not run the request: an error status with the header field set by
// header.not_executed or, with opaque seals, 421 Misdirected Request (RFC 9110, section 15.5.20),
// which means that another instance has the address.
func (p *Proxy) classify(plan *requestPlan, ep *endpoint.Endpoint, response *upstream.Response, sentAt time.Time) attemptResult {
	now, header := time.Now(), response.HTTP.Header
	status := response.HTTP.StatusCode
	notRun := header.Get(p.environment.Config.HeaderNotExecuted) != "" && status >= 400
	misdirected := status == http.StatusMisdirectedRequest && p.opaqueSeals
	latency := now.Sub(sentAt)
	serverError := !notRun && status >= 500
	ep.RecordResponse(now, latency, !notRun && !misdirected && !serverError, !serverError, header.Get(p.environment.Config.HeaderLoad))
	if serverError && status != http.StatusGatewayTimeout {
		p.outliers.Report(ep)
	}
	switch {
	case misdirected:
		ep.Bar()
		return attemptResult{response: response, wrote: true, err: errcode.New(errcode.TargetRejected, "%s: another instance has the address", ep.Target.Instance)}
	case notRun && header.Get(p.environment.Config.HeaderNotExecuted) == NotRunSuperseded:
		return attemptResult{response: response, wrote: true, err: errcode.New(errcode.NotFresh, "%s: the target rejected the epoch", ep.Target.Instance)}
	case notRun:
		ep.RecordRejection(now, plan.endpoints.TypicalLatency())
		return attemptResult{response: response, wrote: true, err: errcode.New(errcode.TargetRejected, "%s: %d", ep.Target.Instance, status)}
	}
	if status < 500 {
		plan.endpoints.RecordLatency(latency)
	}
	return attemptResult{response: response, wrote: true}
}

// countTraffic counts the bytes of an attempt, excluding the response's head.
func (p *Proxy) countTraffic(target rpc.Target, bytes int) {
	kind := trafficKind
	if target.Zone != p.environment.Config.Zone {
		kind = trafficKindOtherZone
	}
	p.rpc.RecordSent(kind, "", bytes)
}

// writeError returns the error of a request whose writing failed: BodyTruncated if the client's
// body couldn't be read, NotWritten if certainly nothing was written, else ResponseLost.
func writeError(request *http.Request, written int, err error) error {
	if stream := streamOf(request); stream != nil && stream.sourceErr != nil {
		return errcode.New(errcode.BodyTruncated, "%v", stream.sourceErr)
	}
	if written == 0 && request.ContentLength == 0 {
		return errcode.New(errcode.NotWritten, "%v", err)
	}
	return errcode.New(errcode.ResponseLost, "%v", err)
}

// readError returns the error of a request that was written but received no complete response.
func readError(response *upstream.Response, instance string) error {
	if errors.Is(response.Err, upstream.ErrTooLarge) {
		return errcode.New(errcode.ResponseTooLarge, "")
	}
	if isTimeout(response.Err) {
		return errcode.New(errcode.DeadlinePassed, "%s", instance)
	}
	return errcode.New(errcode.ResponseLost, "%v", response.Err)
}

// isTimeout reports whether err itself is a timeout, such as those of net.Conn. Wrapped errors
// are not inspected.
func isTimeout(err error) bool {
	timeout, ok := err.(interface{ Timeout() bool })
	return ok && timeout.Timeout()
}
