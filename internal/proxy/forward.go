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
// After an attempt that certainly did not run the request, another target is tried. After one
// that may have run it, only idempotent requests are retried (RFC 9110, section 9.2.2). Once the
// request was sent to a target, each further attempt is charged to the retry budget. A server
// error in response to an idempotent request whose body can be resent is returned only if no
// other target gives a better response.
func (p *Proxy) forward(plan *requestPlan, r *http.Request) (*upstream.Response, error) {
	ctx, cancel := context.WithDeadline(p.lifecycle.forwardContext, plan.deadline)
	defer cancel()
	if plan.idempotent {
		// Cancel only idempotent requests when the client disconnects, to save the target
		// useless work. Others may have run, so their outcome is awaited.
		defer context.AfterFunc(r.Context(), cancel)()
	}
	body, replayable, err := p.requestBody(ctx, plan, r)
	if err != nil {
		return nil, err
	}
	var lastErr error
	var serverError *upstream.Response
	sentCount, unsentCount := 0, 0
	anyMayHaveRun := false
	for sentCount < plan.maxAttempts && unsentCount < defaultMaxAttempts {
		if r.Context().Err() != nil {
			if !anyMayHaveRun {
				lastErr = errcode.New(errcode.NotWritten, "%s: client disconnected", plan.service.Name)
			}
			break
		}
		if p.lifecycle.isAborted() {
			if !anyMayHaveRun {
				lastErr = errcode.New(errcode.Stopping, "%s", plan.service.Name)
			}
			break
		}
		if len(plan.tried) > 0 && !p.uploads.Admit(ctx, r.ContentLength, plan.deadline) {
			break
		}
		candidate := p.selectEndpoint(plan, r.ContentLength)
		if candidate == nil || sentCount > 0 && (time.Now().After(plan.deadline) || !p.withdrawRetry(plan)) {
			break
		}
		plan.tried = append(plan.tried, candidate)
		result := p.attempt(ctx, plan, r, candidate, body, sentCount)
		sentCount, plan.hedges = sentCount+plan.hedges, 0
		if result.err == nil {
			if result.response.HTTP.StatusCode < 500 || !plan.idempotent || !replayable {
				return result.response, nil
			}
			serverError = result.response
			sentCount++
			continue
		}
		mayHaveRun := result.mayHaveRun()
		anyMayHaveRun = anyMayHaveRun || mayHaveRun
		if result.wrote {
			sentCount++
		} else {
			unsentCount++
		}
		p.environment.Events.Emit(eventlog.AttemptFailed, "request", plan.requestID, "service", plan.service.Name, "instance", candidate.Target.Instance, "wrote", result.wrote, "cause", result.err.Error())
		if !anyMayHaveRun || mayHaveRun {
			lastErr = result.err
		}
		if mayHaveRun && !plan.idempotent || result.wrote && !replayable && !result.withheld || errors.Is(result.err, errcode.NotFresh) && result.response == nil || errors.Is(result.err, errcode.BodyTruncated) {
			break
		}
	}
	if serverError != nil {
		return serverError, nil
	}
	if lastErr == nil {
		lastErr = errcode.New(errcode.NotWritten, "%s", plan.service.Name)
	}
	return nil, lastErr
}

// selectEndpoint returns the endpoint for the next attempt, or nil if there is none left.
// bodySize is in bytes.
func (p *Proxy) selectEndpoint(plan *requestPlan, bodySize int64) *endpoint.Endpoint {
	return plan.endpoints.Select(endpoint.Selection{
		Tried:            plan.tried,
		LatencyTarget:    plan.latencyTarget,
		BodySize:         bodySize,
		Proxies:          plan.zoneProxies,
		CrossZonePercent: p.environment.Config.ProxyZoneSpillPercent,
	})
}
