package proxy

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
)

// An idempotent request whose response is overdue is hedged: sent to a second target too,
// paid for from the retry budget, and the first final response is taken (Dean and Barroso,
// "The Tail at Scale", 2013). The other attempt goes on by itself to its end: a target at
// work is not broken off, its connection is used again, and how long it took is learnt.

// unresponsiveFactor is after how many times the typical latency a target that has not responded
// counts as silent.
const unresponsiveFactor = 5

// hedgeDelay is how long after a request was sent its response is overdue. It follows from
// what the service usually takes and from the latency target, so that a service which is
// slow as a whole is not given more to do: late enough that most responses have come, early
// enough that a second one may still come within the target. Where the target leaves no time
// for a second one, only silence counts.
func hedgeDelay(typical, target time.Duration) time.Duration {
	delay := min(typical*5/2, target-typical)
	if delay < typical*3/2 {
		return 3 * typical
	}
	return delay
}

// awaitResponse awaits the response of an attempt, and that of its hedge once it is overdue.
func (p *Proxy) awaitResponse(ctx context.Context, plan *requestPlan, r *http.Request, sent *sentAttempt, openBody func() io.Reader, index int) attemptResult {
	var overdue <-chan time.Time
	typical := plan.endpoints.TypicalLatency()
	mayHedge := p.environment.Config.ProxyHedgePercent > 0 && index == 0 && plan.maxAttempts > 1 && plan.idempotent && r.ContentLength == 0
	if typical > 0 {
		delay := unresponsiveFactor * typical
		if mayHedge {
			delay = hedgeDelay(typical, plan.latencyTarget)
		}
		wakeup := time.NewTimer(delay)
		defer wakeup.Stop()
		overdue = wakeup.C
	}
	var hedge <-chan attemptResult
	var hedged attemptResult // what the hedge came to, once it has ended without a final response
	for {
		select {
		case response := <-sent.responses:
			first := p.finishAttempt(plan, sent, &response)
			sent.end()
			if hedge != nil && !first.isFinal() {
				hedged = <-hedge
			}
			if hedged.says() > first.says() {
				first = hedged
			}
			return attemptResult{response: first.response, wrote: true, err: first.err}
		case <-overdue:
			if !plan.endpoints.NearBaseline() {
				break
			}
			sent.to.AddOverdue(1)
			sent.overdue = true
			if mayHedge {
				hedge = p.hedge(plan, r, openBody, index+1)
			} else {
				p.outliers.Report(sent.to)
			}
		case second := <-hedge:
			hedge = nil
			if second.isFinal() {
				p.environment.Go(func() { p.awaitAbandoned(plan, sent, typical) })
				return attemptResult{response: second.response, wrote: true}
			}
			hedged = second
		case <-ctx.Done():
			sent.connection.Abort()
			sent.end()
			if r.Context().Err() != nil {
				return attemptResult{wrote: true, err: errcode.New(errcode.ClientGone, "%s", sent.to.Target.Instance)}
			}
			if p.lifecycle.isOver() {
				return attemptResult{wrote: true, err: errcode.New(errcode.ResponseLost, "%s: the proxy stops", sent.to.Target.Instance)}
			}
			sent.to.RecordFailure(time.Now(), false)
			return attemptResult{wrote: true, err: errcode.New(errcode.DeadlinePassed, "%s", sent.to.Target.Instance)}
		}
	}
}

// hedge sends the request to a second target, from a task of the environment that ends with
// the plan's deadline. It returns nil if there is no usable target, or no budget.
func (p *Proxy) hedge(plan *requestPlan, r *http.Request, openBody func() io.Reader, index int) <-chan attemptResult {
	candidate := p.selectEndpoint(plan, r.ContentLength)
	if candidate == nil || !candidate.Usable(time.Now()) || !plan.endpoints.TakeHedge() || !p.withdrawRetry(plan) {
		return nil
	}
	plan.tried = append(plan.tried, candidate)
	plan.hedges++
	results := make(chan attemptResult, 1)
	p.environment.Go(func() {
		ctx, cancel := context.WithDeadline(p.lifecycle.forwards, plan.deadline)
		defer cancel()
		results <- p.attempt(ctx, plan, r, candidate, openBody, index)
	})
	return results
}

// awaitAbandoned awaits a response that nobody needs any more, to learn from it and to use
// the connection again. The connection's deadline bounds it.
func (p *Proxy) awaitAbandoned(plan *requestPlan, sent *sentAttempt, typical time.Duration) {
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
				p.outliers.Report(sent.to)
			}
		case <-p.environment.Done():
			sent.connection.Abort()
			return
		}
	}
}

// says ranks what an attempt tells of a request that was sent to two targets: a final response,
// then another response of one that ran it, then that one may have run it; only then a
// refusal, and last an attempt of which nothing can run.
func (a attemptResult) says() int {
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
