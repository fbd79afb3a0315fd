// What a gate shows of itself, folded when it is asked: how long requests took, what
// it holds of its targets, and what each service's budget of further tries holds.
package proxy

import (
	"sync/atomic"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/metrics"
)

// addUpstreamTime notes that a target was left, having been written to then.
func (rp *requestPlan) addUpstreamTime(sent time.Time) { rp.upstreamTime += time.Since(sent) }

// recordDuration notes how long a request took; one that found no service has no name.
func (p *Proxy) recordDuration(plan *requestPlan, started time.Time, err error) {
	elapsed := time.Since(started)
	outcome := metrics.Ran
	if err != nil {
		outcome = metrics.OutcomeOf(errcode.Of(err).Code.Outcome)
	}
	switch {
	case plan == nil:
		p.environment.Latencies.Service("").Take(outcome, elapsed)
	case plan.endpoints == nil:
		p.environment.Latencies.Service(plan.service.Name).Take(outcome, elapsed)
	default:
		plan.endpoints.Durations.Take(outcome, elapsed)
	}
	if err == nil {
		p.environment.Latencies.Added.Take(elapsed - plan.upstreamTime)
	}
}

// VisitOutcomes is how often requests ended in one way: in "ran", or in a code's name.
func (p *Proxy) VisitOutcomes(visit func(name string, count int64)) {
	p.OutcomeCounts.Range(func(name, count any) bool {
		visit(name.(string), count.(*atomic.Int64).Load())
		return true
	})
}

// EndpointCounts counts a service's targets in the epoch in use, as this gate holds them.
type EndpointCounts struct {
	Service                    string
	Available, Ejected, Barred int
}

// EndpointCounts is the targets of every service in the epoch in use.
func (p *Proxy) EndpointCounts() (list []EndpointCounts) {
	view := p.current.Load()
	if view == nil {
		return nil
	}
	now := time.Now()
	for service, pool := range view.pools {
		counts := EndpointCounts{Service: service}
		for _, endpoint := range pool.Endpoints {
			endpoint.mu.Lock()
			switch {
			case endpoint.barred:
				counts.Barred++
			case now.Before(endpoint.ejectedUntil):
				counts.Ejected++
			default:
				counts.Available++
			}
			endpoint.mu.Unlock()
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
