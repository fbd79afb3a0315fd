package proxy

import (
	"sync/atomic"

	"github.com/sumactrestle/sumactrestle/internal/distribution"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/proxy/idempotency"
	"github.com/sumactrestle/sumactrestle/internal/proxy/retry"
)

// admit checks a request against this proxy's share of the service's quota and, if it has an
// idempotency key, against the state of that key. The caller must call release when an
// admitted request ends.
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
		if err := p.checkLossCoverage(plan); err != nil {
			release()
			return nil, err
		}
	}
	state := p.keyed.tracker.Begin(plan.keyHash, plan.recordName != "")
	plan.isClientRepeat = state != idempotency.Unrecorded
	if plan.isClientRepeat && plan.recordName != "" {
		release()
		return nil, idempotency.Conflict(state, "this proxy handed it over")
	}
	if plan.isClientRepeat && !p.withdrawRetry(plan) {
		p.keyed.tracker.End(plan.keyHash, idempotency.Unrecorded)
		release()
		return nil, errcode.New(errcode.BudgetExhausted, "%s: repeat of a request with a known idempotency key", plan.service.Name)
	}
	return release, nil
}

// checkLossCoverage rejects a request with a key if the repeat of a lost request could go
// unrecognized without being charged. A loss is charged to the retry budget of the proxy that
// lost it unless every proxy that the epoch lists received the report, so the epoch must list
// this proxy. The budget must also cover the repeats of this proxy's losses that may go
// unrecognized.
func (p *Proxy) checkLossCoverage(plan *requestPlan) error {
	if _, ok := plan.snapshot.Shares[p.environment.Name]; !ok {
		return errcode.New(errcode.Overload, "epoch %d does not list this proxy yet", plan.snapshot.Epoch)
	}
	if !p.retryBudget.CoversLosses(plan.service.Name, p.retryLimits(plan)) {
		return errcode.New(errcode.Overload, "%s: not all proxies have received the reports of lost requests yet", plan.service.Name)
	}
	return nil
}

// quotaShare returns this proxy's share, at least one, of a limit for all proxies together. It
// is proportional to the proxy's strength. A proxy that the epoch doesn't list gets the limit
// divided by the number of listed proxies plus one.
func (p *Proxy) quotaShare(snapshot *distribution.Snapshot, limit int) int64 {
	total := 0
	for _, strength := range snapshot.Shares {
		total += strength
	}
	ownStrength := snapshot.Shares[p.environment.Name]
	if total == 0 || ownStrength == 0 {
		ownStrength, total = 1, len(snapshot.Shares)+1
	}
	return max(1, int64(limit)*int64(ownStrength)/int64(total))
}

// serviceInFlight returns the counter of the service's requests in flight.
func (p *Proxy) serviceInFlight(service string) *atomic.Int64 {
	if counter, ok := p.counts.byService.Load(service); ok {
		return counter.(*atomic.Int64)
	}
	counter, _ := p.counts.byService.LoadOrStore(service, new(atomic.Int64))
	return counter.(*atomic.Int64)
}

// retryLimits returns the lower of the settings' and the service's limits.
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

// withdrawRetry withdraws one extra request from the service's retry budget and reports
// whether the budget sufficed.
func (p *Proxy) withdrawRetry(plan *requestPlan) bool {
	return p.retryBudget.Withdraw(plan.service.Name, p.retryLimits(plan))
}
