package endpoint

import (
	"sync"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/metrics"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

const (
	// Divisors by which one response counts in the service's latency, and that latency in
	// the baseline where it is above it.
	typicalWeight  = 32
	baselineWeight = 512

	// baselinePercent is how much of the baseline the latency may reach in calm times.
	baselinePercent = 140

	// maxHedgeAllowance is how many requests of a service may be hedged at once.
	maxHedgeAllowance = 3
)

// Config describes the pool of one service in one epoch.
type Config struct {
	Service      string
	Zone         string                  // of this proxy
	Targets      []rpc.Target            // as the epoch names them
	HedgePercent int                     // of the idempotent requests, that may be hedged
	Durations    *metrics.ServiceLatency // where the durations of requests are counted
	// Previous is the pool of the epoch before, whose knowledge is taken over; nil if none.
	Previous *Pool
}

// Pool is the endpoints of one service in one epoch, with what is known of the service as a
// whole. It is safe for concurrent use.
type Pool struct {
	Endpoints []*Endpoint             // not changed after NewPool
	Durations *metrics.ServiceLatency // not changed after NewPool

	hedgeRatio float64 // allowance that each response adds

	mu             sync.Mutex    // guards all that follows; an endpoint's is taken inside it
	latency        time.Duration // moving average over responses of all endpoints
	baseline       time.Duration // the latency of calm times
	totalScore     float64       // see totalFailureScore
	totalScoreAt   time.Time
	hedgeAllowance float64 // requests that may be hedged now
}

// NewPool returns the pool for an epoch. Targets of weight zero get no requests. One that is
// new in an epoch other than the first starts slowly, if it says so.
func NewPool(config Config, now time.Time) *Pool {
	p := &Pool{Durations: config.Durations, hedgeRatio: float64(config.HedgePercent) / 100}
	known := map[string]*Endpoint{}
	if previous := config.Previous; previous != nil {
		p.latency, p.baseline, p.hedgeAllowance = previous.inherited()
		for _, endpoint := range previous.Endpoints {
			known[endpoint.Key] = endpoint
		}
	}
	for _, target := range config.Targets {
		if target.Weight <= 0 {
			continue
		}
		key := Key(config.Service, target.Instance, target.Address)
		endpoint := known[key]
		if endpoint == nil {
			endpoint = &Endpoint{Key: key, ReportID: reportID(key), Target: target, SameZone: target.Zone == config.Zone}
			if target.SlowStartMillis > 0 && config.Previous != nil {
				endpoint.slowStartUntil = now.Add(time.Duration(target.SlowStartMillis) * time.Millisecond)
			}
		}
		p.Endpoints = append(p.Endpoints, endpoint)
	}
	return p
}

// inherited is what the pool of the next epoch takes over.
func (p *Pool) inherited() (latency, baseline time.Duration, hedgeAllowance float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.latency, p.baseline, p.hedgeAllowance
}

// TypicalLatency is how long responses of the service take; zero before the first.
func (p *Pool) TypicalLatency() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.latency
}

// NearBaseline reports whether responses take about as long as in calm times. If not, that
// one of them is overdue says little about its endpoint.
func (p *Pool) NearBaseline() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.latency <= p.baseline*baselinePercent/100
}

// RecordLatency records how long the response of a request took that ran.
func (p *Pool) RecordLatency(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.latency == 0 {
		p.latency = took
	}
	p.latency += (took - p.latency) / typicalWeight
	switch {
	case p.baseline == 0 || p.latency < p.baseline:
		p.baseline = p.latency
	default:
		p.baseline += (p.latency - p.baseline) / baselineWeight
	}
	p.hedgeAllowance = min(p.hedgeAllowance+p.hedgeRatio, maxHedgeAllowance)
}

// TakeHedge takes one hedged request out of the allowance, which is a part of the requests:
// where all endpoints are slow, hedging would make them slower.
func (p *Pool) TakeHedge() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.hedgeAllowance < 1 {
		return false
	}
	p.hedgeAllowance--
	return true
}
