package proxy

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
)

// An idempotent request without a body whose response is overdue is hedged: it is also sent to a
// second target, charged to the retry budget, and the first final response is used (Dean and
// Barroso, "The Tail at Scale", 2013). The other attempt is not canceled, so that its connection
// can be reused and its latency is recorded.

// unresponsiveFactor is the multiple of the typical latency after which a target that has not
// responded counts as unresponsive.
const unresponsiveFactor = 5

// hedgeDelay returns the time after sending a request at which its response is overdue. It is
// long enough that most responses have arrived, and short enough that a hedge can still respond
// within the latency target. It depends on the service's typical latency, so that hedges don't
// add load to a service that is slow as a whole. If the latency target leaves no time for a
// hedge, the response is overdue after three times the typical latency.
func hedgeDelay(typical, target time.Duration) time.Duration {
	delay := min(typical*5/2, target-typical)
	if delay < typical*3/2 {
		return 3 * typical
	}
	return delay
}

// awaitResponse awaits the response of an attempt, and that of its hedge if one is sent.
func (p *Proxy) awaitResponse(ctx context.Context, plan *requestPlan, r *http.Request, sent *sentAttempt, openBody func() io.Reader, index int) attemptResult {
	var overdue <-chan time.Time
	typical := plan.endpoints.TypicalLatency()
	mayHedge := p.environment.Config.ProxyHedgePercent > 0 && index == 0 && plan.maxAttempts > 1 && plan.idempotent && r.ContentLength == 0
	if typical > 0 {
		delay := unresponsiveFactor * typical
		if mayHedge {
			delay = hedgeDelay(typical, plan.latencyTarget)
		}
		timer := time.NewTimer(delay)
		defer timer.Stop()
		overdue = timer.C
	}
	var hedgeResults <-chan attemptResult
	var hedgeResult attemptResult // result of a hedge that ended without a final response
	for {
		select {
		case response := <-sent.responses:
			result := p.finishAttempt(plan, sent, &response)
			sent.end()
			if hedgeResults != nil && !result.isFinal() {
				hedgeResult = <-hedgeResults
			}
			if hedgeResult.outcomeRank() > result.outcomeRank() {
				result = hedgeResult
			}
			return attemptResult{response: result.response, wrote: true, err: result.err}
		case <-overdue:
			if !plan.endpoints.NearBaseline() {
				break
			}
			sent.endpoint.AddOverdue(1)
			sent.overdue = true
			if mayHedge {
				hedgeResults = p.hedge(plan, r, openBody, index+1)
			} else {
				p.outliers.Report(sent.endpoint)
			}
		case result := <-hedgeResults:
			hedgeResults = nil
			if result.isFinal() {
				p.environment.Go(func() { p.awaitSuperseded(plan, sent, typical) })
				return attemptResult{response: result.response, wrote: true}
			}
			hedgeResult = result
		case <-ctx.Done():
			sent.connection.Abort()
			sent.end()
			if r.Context().Err() != nil {
				return attemptResult{wrote: true, err: errcode.New(errcode.ClientGone, "%s", sent.endpoint.Target.Instance)}
			}
			if p.lifecycle.isAborted() {
				return attemptResult{wrote: true, err: errcode.New(errcode.ResponseLost, "%s: the proxy is stopping", sent.endpoint.Target.Instance)}
			}
			sent.endpoint.RecordFailure(time.Now(), false)
			return attemptResult{wrote: true, err: errcode.New(errcode.DeadlinePassed, "%s", sent.endpoint.Target.Instance)}
		}
	}
}

// hedge sends the request to a second target in a background task, which ends by the plan's
// deadline. It returns nil if there is no usable target, hedge allowance or retry budget.
func (p *Proxy) hedge(plan *requestPlan, r *http.Request, openBody func() io.Reader, index int) <-chan attemptResult {
	candidate := p.selectEndpoint(plan, r.ContentLength)
	if candidate == nil || !candidate.Usable(time.Now()) || !plan.endpoints.TakeHedge() || !p.withdrawRetry(plan) {
		return nil
	}
	plan.tried = append(plan.tried, candidate)
	plan.hedges++
	results := make(chan attemptResult, 1)
	p.environment.Go(func() {
		ctx, cancel := context.WithDeadline(p.lifecycle.forwardContext, plan.deadline)
		defer cancel()
		results <- p.attempt(ctx, plan, r, candidate, openBody, index)
	})
	return results
}

// awaitSuperseded awaits the response of an attempt whose hedge has already responded, to record
// its result and reuse the connection. It ends by the connection's deadline.
func (p *Proxy) awaitSuperseded(plan *requestPlan, sent *sentAttempt, typical time.Duration) {
	defer sent.end()
	unresponsive := time.NewTimer(time.Until(sent.sentAt.Add(unresponsiveFactor * typical)))
	defer unresponsive.Stop()
	for {
		select {
		case response := <-sent.responses:
			p.finishAttempt(plan, sent, &response)
			return
		case <-unresponsive.C:
			if plan.endpoints.NearBaseline() {
				p.outliers.Report(sent.endpoint)
			}
		case <-p.environment.Done():
			sent.connection.Abort()
			return
		}
	}
}

// outcomeRank ranks the results of a request that was sent to two targets; the higher one is
// returned. From the highest: a final response, another response of a target that ran the
// request, a target that may have run it, a target that reports that it did not run it, and an
// attempt that certainly did not run it.
func (a attemptResult) outcomeRank() int {
	switch {
	case a.response != nil && a.isFinal():
		return 4
	case a.response != nil && a.err == nil:
		return 3
	case a.mayHaveRun():
		return 2
	case a.response != nil:
		return 1
	}
	return 0
}
