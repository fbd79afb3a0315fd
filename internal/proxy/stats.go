package proxy

import (
	"sync/atomic"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/metrics"
	"github.com/sumactrestle/sumactrestle/internal/proxy/endpoint"
)

// recordDuration records how long a request took. One that found no service counts under
// the empty name.
func (p *Proxy) recordDuration(plan *requestPlan, started time.Time, err error) {
	elapsed := time.Since(started)
	outcome := metrics.OutcomeRan
	if err != nil {
		outcome = metrics.ParseOutcome(errcode.From(err).Code.Outcome)
	}
	switch {
	case plan == nil:
		p.environment.Latencies.Service("").Observe(outcome, elapsed)
	case plan.endpoints == nil:
		p.environment.Latencies.Service(plan.service.Name).Observe(outcome, elapsed)
	default:
		plan.endpoints.Durations.Observe(outcome, elapsed)
	}
	if err == nil {
		p.environment.Latencies.ProxyOverhead.Observe(elapsed - time.Duration(plan.upstreamTime.Load()))
	}
}

// VisitOutcomes calls visit with how often requests ended as "ran" or with the named error
// code.
func (p *Proxy) VisitOutcomes(visit func(name string, count int64)) {
	p.counts.outcomes.Range(func(name, count any) bool {
		visit(name.(string), count.(*atomic.Int64).Load())
		return true
	})
}

// EndpointCounts counts the endpoints of one service in the epoch in use.
type EndpointCounts struct {
	Service                    string
	Available, Ejected, Barred int
}

// EndpointCounts counts the endpoints of each service in the epoch in use.
func (p *Proxy) EndpointCounts() (list []EndpointCounts) {
	view := p.epoch.Load()
	if view == nil {
		return nil
	}
	now := time.Now()
	for service, pool := range view.pools {
		counts := EndpointCounts{Service: service}
		for _, member := range pool.Endpoints {
			switch member.Status(now) {
			case endpoint.Barred:
				counts.Barred++
			case endpoint.Ejected:
				counts.Ejected++
			default:
				counts.Available++
			}
		}
		list = append(list, counts)
	}
	return list
}

// IdleConnections is how many idle connections to targets there are.
func (p *Proxy) IdleConnections() int { return p.connections.Idle() }

// VisitRetryBudgets calls visit for each service with what its retry budget held when it was
// last used.
func (p *Proxy) VisitRetryBudgets(visit func(service string, tokens, debt float64)) {
	p.retryBudget.Visit(visit)
}
