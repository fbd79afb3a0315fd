package proxy

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/proxy/endpoint"
	"github.com/sumactrestle/sumactrestle/internal/proxy/upstream"
)

// forward sends a request to one target after another until one responds.
//
// An attempt that surely ran nothing may be followed by another; one that may have run
// something only if the request is idempotent (RFC 9110, section 9.2.2). Each target beyond
// the first that the request was sent to is paid for from the retry budget. A server error
// in response to an idempotent request is handed on only if no other target does better.
func (p *Proxy) forward(plan *requestPlan, r *http.Request) (*upstream.Response, error) {
	ctx, cancel := context.WithDeadline(p.lifecycle.forwards, plan.deadline)
	defer cancel()
	if plan.idempotent {
		// A target works for nobody once the client has gone; what is not idempotent
		// is left to end, for it may have run.
		defer context.AfterFunc(r.Context(), cancel)()
	}
	body, replayable, err := p.requestBody(ctx, plan, r)
	if err != nil {
		return nil, err
	}
	var lastErr error
	var failed *upstream.Response
	sent, misses := 0, 0
	written := false
	for sent < plan.maxAttempts && misses < defaultMaxAttempts {
		if r.Context().Err() != nil {
			if !written {
				lastErr = errcode.New(errcode.NotWritten, "%s: the client has gone", plan.service.Name)
			}
			break
		}
		if p.lifecycle.isOver() {
			if !written {
				lastErr = errcode.New(errcode.Stopping, "%s", plan.service.Name)
			}
			break
		}
		if len(plan.tried) > 0 && !p.uploads.Admit(ctx, r.ContentLength, plan.deadline) {
			break
		}
		candidate := p.selectEndpoint(plan, r.ContentLength)
		if candidate == nil || sent > 0 && (time.Now().After(plan.deadline) || !p.withdrawRetry(plan)) {
			break
		}
		plan.tried = append(plan.tried, candidate)
		result := p.attempt(ctx, plan, r, candidate, body, sent)
		sent, plan.hedges = sent+plan.hedges, 0
		if result.err == nil {
			if result.response.HTTP.StatusCode < 500 || !plan.idempotent || !replayable {
				return result.response, nil
			}
			failed = result.response
			sent++
			continue
		}
		mayHaveRun := result.mayHaveRun()
		written = written || mayHaveRun
		if result.wrote {
			sent++
		} else {
			misses++
		}
		p.environment.Events.Emit(eventlog.AttemptFailed, "request", plan.requestID, "service", plan.service.Name, "instance", candidate.Target.Instance, "wrote", result.wrote, "cause", result.err.Error())
		if !written || mayHaveRun {
			lastErr = result.err
		}
		if mayHaveRun && !plan.idempotent || result.wrote && !replayable && !result.withheld || errors.Is(result.err, errcode.NotFresh) && result.response == nil || errors.Is(result.err, errcode.BodyCut) {
			break
		}
	}
	if failed != nil {
		return failed, nil
	}
	if lastErr == nil {
		lastErr = errcode.New(errcode.NotWritten, "%s", plan.service.Name)
	}
	return nil, lastErr
}

// selectEndpoint selects the endpoint for the next attempt; nil if there is none left.
func (p *Proxy) selectEndpoint(plan *requestPlan, bodySize int64) *endpoint.Endpoint {
	return plan.endpoints.Select(endpoint.Selection{
		Tried:            plan.tried,
		LatencyTarget:    plan.latencyTarget,
		BodySize:         bodySize,
		Proxies:          plan.zoneProxies,
		CrossZonePercent: p.environment.Config.ProxyZoneSpillPercent,
	})
}
