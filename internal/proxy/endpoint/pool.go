package endpoint

import (
	"sync"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/metrics"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

const (
	// Inverse weights of moving averages: of one response in the service's latency, and of
	// that latency in a baseline below it.
	poolLatencyDivisor = 32
	baselineDivisor    = 512

	// baselinePercent is the latency, as a percentage of the baseline, up to which it counts
	// as near the baseline.
	baselinePercent = 140

	// maxHedgeAllowance bounds the unused allowance for hedged requests of a service.
	maxHedgeAllowance = 3
)

// Config describes the pool of one service in one epoch.
type Config struct {
	Service      string
	Zone         string                  // this proxy's zone
	Targets      []rpc.Target            // the service's targets in the epoch
	HedgePercent int                     // allowance for hedged requests, in percent of responses
	Durations    *metrics.ServiceLatency // records the durations of requests
	// Previous is the pool of the previous epoch, whose observations are kept; nil if none.
	Previous *Pool
}

// Pool holds the endpoints of one service in one epoch, and the observations of the service
// as a whole. It is safe for concurrent use.
type Pool struct {
	Endpoints []*Endpoint             // not changed after NewPool
	Durations *metrics.ServiceLatency // not changed after NewPool

	hedgeRatio float64 // added to hedgeAllowance by each response

	mu             sync.Mutex    // guards the fields below; locked before an endpoint's mu
	latency        time.Duration // moving average over all endpoints
	baseline       time.Duration // follows a falling latency at once, a rising one slowly
	totalScore     float64       // see totalFailureScore
	totalScoreAt   time.Time
	hedgeAllowance float64 // hedged requests that may be sent now
}

// NewPool returns the pool for an epoch, without targets of weight zero. A target that is new
// in an epoch other than the first goes through slow start if it declares one.
func NewPool(config Config, now time.Time) *Pool {
	p := &Pool{Durations: config.Durations, hedgeRatio: float64(config.HedgePercent) / 100}
	previousEndpoints := map[string]*Endpoint{}
	if previous := config.Previous; previous != nil {
		p.latency, p.baseline, p.hedgeAllowance = previous.inherited()
		for _, endpoint := range previous.Endpoints {
			previousEndpoints[endpoint.Key] = endpoint
		}
	}
	for _, target := range config.Targets {
		if target.Weight <= 0 {
			continue
		}
		key := Key(config.Service, target.Instance, target.Address)
		endpoint := previousEndpoints[key]
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

// inherited returns the observations that the pool of the next epoch keeps.
func (p *Pool) inherited() (latency, baseline time.Duration, hedgeAllowance float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.latency, p.baseline, p.hedgeAllowance
}

// TypicalLatency returns the moving average of the service's latency; zero before the first
// response.
func (p *Pool) TypicalLatency() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.latency
}

// NearBaseline reports whether the service's latency is close to its baseline. If it is not,
// an overdue response says little about the endpoint.
func (p *Pool) NearBaseline() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.latency <= p.baseline*baselinePercent/100
}

// RecordLatency records the latency of a request that ran.
func (p *Pool) RecordLatency(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.latency == 0 {
		p.latency = took
	}
	p.latency += (took - p.latency) / poolLatencyDivisor
	switch {
	case p.baseline == 0 || p.latency < p.baseline:
		p.baseline = p.latency
	default:
		p.baseline += (p.latency - p.baseline) / baselineDivisor
	}
	p.hedgeAllowance = min(p.hedgeAllowance+p.hedgeRatio, maxHedgeAllowance)
}

// TakeHedge takes one hedged request from the allowance, and reports whether it could. The
// allowance is a percentage of the responses, because hedging slows the endpoints further
// when all of them are slow.
func (p *Pool) TakeHedge() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.hedgeAllowance < 1 {
		return false
	}
	p.hedgeAllowance--
	return true
}
