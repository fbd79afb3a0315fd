// A repeatable request whose answer is overdue is sent to a second target too, paid
// from the budget of extra tries, and the first good answer is taken. The other try
// goes on by itself to its end: a target at work is not broken off, its connection is
// used again, and how long it took is learnt. When an answer is overdue follows from
// what the service usually takes and from the request's aim, so that a service which
// is slow as a whole is not given more to do.
package proxy

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/proxy/upstream"
)

// silenceFactor is after how many times the usual a target that has not answered counts
// as silent.
const silenceFactor = 5

// maxHedgeAllowance is how many requests of a service may be doubled at once.
const maxHedgeAllowance = 3

// attemptResult is what a try came to.
type attemptResult struct {
	response *upstream.Response
	wrote    bool
	err      error
}

// TakeHedge takes a double out of the crew's allowance, a part of the requests: when all
// targets are slow, doubles would make them slower.
func (p *Pool) TakeHedge() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.hedgeAllowance < 1 {
		return false
	}
	p.hedgeAllowance--
	return true
}

// isFinal tells whether nothing better can be had from another target.
func (o attemptResult) isFinal() bool { return o.err == nil && o.response.HTTP.StatusCode < 500 }

// hedgeDelay is how long after a request was sent its answer is overdue: late enough
// that most answers have come, early enough that a second one may still come inside
// the aim. Where the aim leaves no room for a second one, only silence counts.
func hedgeDelay(typical, target time.Duration) time.Duration {
	delay := min(typical*5/2, target-typical)
	if delay < typical*3/2 {
		return 3 * typical
	}
	return delay
}

// awaitResponse waits for the answer of a try, and for that of its double once it is overdue.
func (p *Proxy) awaitResponse(ctx context.Context, plan *requestPlan, r *http.Request, sent *sentAttempt, body func() io.Reader, index int) (*upstream.Response, bool, error) {
	var late <-chan time.Time
	typical := plan.endpoints.TypicalLatency()
	hedged := p.environment.Config.GateDoubles > 0 && index == 0 && plan.maxAttempts > 1 && plan.idempotent && r.ContentLength == 0
	if typical > 0 {
		delay := silenceFactor * typical
		if hedged {
			delay = hedgeDelay(typical, plan.latencyTarget)
		}
		wakeup := time.NewTimer(delay)
		defer wakeup.Stop()
		late = wakeup.C
	}
	var hedge chan attemptResult
	for {
		select {
		case response := <-sent.responses:
			first := attemptResult{}
			first.response, first.wrote, first.err = p.finishAttempt(plan, sent, &response)
			sent.end()
			if hedge != nil && !first.isFinal() {
				if second := <-hedge; second.isFinal() || first.err != nil {
					first = second
				}
			}
			return first.response, true, first.err
		case <-late:
			if !plan.endpoints.NearBaseline() {
				break
			}
			sent.endpoint.AddOverdue(1)
			sent.overdue = true
			if hedged {
				hedge = p.hedge(plan, r, body, index+1)
			} else {
				p.reportFailure(sent.endpoint)
			}
		case second := <-hedge:
			hedge = nil
			if second.isFinal() {
				p.environment.Go(func() { p.awaitAbandoned(plan, sent, typical) })
				return second.response, true, nil
			}
		case <-ctx.Done():
			sent.connection.Abort()
			sent.end()
			if r.Context().Err() != nil {
				return nil, true, errcode.New(errcode.CallerGone, "%s", sent.endpoint.Target.Instance)
			}
			sent.endpoint.RecordFailure(time.Now(), false)
			return nil, true, errcode.New(errcode.DeadlinePassed, "%s", sent.endpoint.Target.Instance)
		}
	}
}

func (sent *sentAttempt) end() {
	if sent.overdue {
		sent.endpoint.AddOverdue(-1)
	}
	sent.endpoint.EndAttempt()
}

// hedge sends the request to a second target; nil if there is none, or no budget.
func (p *Proxy) hedge(plan *requestPlan, r *http.Request, body func() io.Reader, index int) chan attemptResult {
	candidate := p.selectEndpoint(plan, r.ContentLength)
	if candidate == nil || !candidate.Usable(time.Now()) || !plan.endpoints.TakeHedge() || !p.withdrawRetry(plan) {
		return nil
	}
	plan.tried = append(plan.tried, candidate)
	plan.hedges++
	results := make(chan attemptResult, 1)
	p.environment.Go(func() {
		ctx, cancel := context.WithDeadline(p.environment, plan.deadline)
		defer cancel()
		response, wrote, err := p.attempt(ctx, plan, r, candidate, body, index)
		results <- attemptResult{response, wrote, err}
	})
	return results
}

// awaitAbandoned waits for an answer that nobody needs any more; the pipe's deadline bounds it.
func (p *Proxy) awaitAbandoned(plan *requestPlan, sent *sentAttempt, typical time.Duration) {
	defer sent.end()
	silent := time.NewTimer(time.Until(sent.sentAt.Add(silenceFactor * typical)))
	defer silent.Stop()
	for {
		select {
		case response := <-sent.responses:
			p.finishAttempt(plan, sent, &response)
			return
		case <-silent.C:
			if plan.endpoints.NearBaseline() {
				p.reportFailure(sent.endpoint)
			}
		case <-p.environment.Done():
			sent.connection.Abort()
			return
		}
	}
}
