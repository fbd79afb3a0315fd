package proxy

import (
	"sync/atomic"

	"github.com/sumactrestle/sumactrestle/internal/distribution"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/proxy/idempotency"
	"github.com/sumactrestle/sumactrestle/internal/proxy/retry"
)

// admit checks a request against this proxy's share of the service's quota and, if it has an
// idempotency key, against what is known of that key. The caller ends an admitted request
// with release.
func (p *Proxy) admit(plan *requestPlan) (release func(), err error) {
	inFlight := p.serviceInFlight(plan.service.Name)
	count := inFlight.Add(1)
	release = func() { inFlight.Add(-1) }
	if limit := plan.snapshot.Limits[plan.service.Name].MaxInFlight; limit > 0 {
		if share := p.quotaShare(plan.snapshot, limit); count > share {
			release()
			return nil, errcode.New(errcode.Overload, "%s: the quota share of this proxy is %d", plan.service.Name, share)
		}
	}
	if plan.keyHash != 0 && plan.recordName == "" && !plan.idempotent {
		if err := p.checkLossCover(plan); err != nil {
			release()
			return nil, err
		}
	}
	state := p.keyed.tracker.Begin(plan.keyHash, plan.recordName != "")
	plan.clientRetry = state != idempotency.Unrecorded
	if plan.clientRetry && plan.recordName != "" {
		release()
		return nil, idempotency.Conflict(state, "this proxy handed it over")
	}
	if plan.clientRetry && !p.withdrawRetry(plan) {
		p.keyed.tracker.End(plan.keyHash, idempotency.Unrecorded)
		release()
		return nil, errcode.New(errcode.BudgetExhausted, "%s: a repeat of a request", plan.service.Name)
	}
	return release, nil
}

// checkLossCover checks whether a request with a key may be forwarded although it may get no
// response, and its repeat come to a proxy that has not been told of that. Proxies tell
// those that the epoch names, so it must name this one, and the retry budget must be able to
// pay for the repeats.
func (p *Proxy) checkLossCover(plan *requestPlan) error {
	if _, ok := plan.snapshot.Shares[p.environment.Name]; !ok {
		return errcode.New(errcode.Overload, "epoch %d does not name this proxy yet", plan.snapshot.Epoch)
	}
	if !p.retryBudget.CoversLosses(plan.service.Name, p.retryLimits(plan)) {
		return errcode.New(errcode.Overload, "%s: lost requests are not known to all proxies yet", plan.service.Name)
	}
	return nil
}

// quotaShare is this proxy's share of a limit for all proxies together, by their strengths;
// at least one. A proxy that the epoch does not name counts as one more of strength one.
func (p *Proxy) quotaShare(snapshot *distribution.Snapshot, limit int) int64 {
	total := 0
	for _, strength := range snapshot.Shares {
		total += strength
	}
	mine := snapshot.Shares[p.environment.Name]
	if total == 0 || mine == 0 {
		mine, total = 1, len(snapshot.Shares)+1
	}
	return max(1, int64(limit)*int64(mine)/int64(total))
}

// serviceInFlight is the number of the service's requests in flight.
func (p *Proxy) serviceInFlight(service string) *atomic.Int64 {
	if found, ok := p.counts.byService.Load(service); ok {
		return found.(*atomic.Int64)
	}
	found, _ := p.counts.byService.LoadOrStore(service, new(atomic.Int64))
	return found.(*atomic.Int64)
}

// retryLimits is the limits of the settings, or the service's where these are lower.
func (p *Proxy) retryLimits(plan *requestPlan) retry.Limits {
	limits := retry.Limits{Percent: p.environment.Config.RetryBudgetPercent, Base: p.environment.Config.RetryBudgetBase}
	quota := plan.snapshot.Limits[plan.service.Name]
	if quota.RetryPercent != nil {
		limits.Percent = min(limits.Percent, *quota.RetryPercent)
	}
	if quota.RetryBase != nil {
		limits.Base = min(limits.Base, *quota.RetryBase)
	}
	return limits
}

// withdrawRetry takes one extra request out of the service's retry budget.
func (p *Proxy) withdrawRetry(plan *requestPlan) bool {
	return p.retryBudget.Withdraw(plan.service.Name, p.retryLimits(plan))
}
