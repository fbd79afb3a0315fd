package proxy

import (
	"sync/atomic"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/metrics"
	"github.com/sumactrestle/sumactrestle/internal/proxy/endpoint"
)

// recordDuration records the duration of a request. Without a service it is recorded under the
// empty name.
func (p *Proxy) recordDuration(plan *requestPlan, startedAt time.Time, err error) {
	elapsed := time.Since(startedAt)
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

// VisitOutcomes calls visit for each outcome, "ran" or the name of an error code, with the
// number of requests.
func (p *Proxy) VisitOutcomes(visit func(name string, count int64)) {
	p.counts.outcomes.Range(func(name, count any) bool {
		visit(name.(string), count.(*atomic.Int64).Load())
		return true
	})
}

// EndpointCounts holds the number of endpoints of one service in the current epoch, by status.
type EndpointCounts struct {
	Service                    string
	Available, Ejected, Barred int
}

// EndpointCounts returns the endpoint counts of each service in the current epoch.
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

// IdleConnections returns the number of idle connections to targets.
func (p *Proxy) IdleConnections() int { return p.connections.Idle() }

// VisitRetryBudgets calls visit for each service with the tokens and debt of its retry budget as
// of its last use.
func (p *Proxy) VisitRetryBudgets(visit func(service string, tokens, debt float64)) {
	p.retryBudget.Visit(visit)
}
