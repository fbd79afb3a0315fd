package endpoint

import (
	"math/rand/v2"
	"time"
)

// crossZoneBodyUnit is the body size, in bytes, that doubles the cost of another zone.
const crossZoneBodyUnit = 4096

// Selection holds the properties of a request that Select uses.
type Selection struct {
	Tried         []*Endpoint   // excluded from the selection
	LatencyTarget time.Duration // latency target of the request
	BodySize      int64         // in bytes
	Proxies       int           // number of proxies that share the endpoints of this zone
	// CrossZonePercent is the latency advantage, in percent of the latency target, that an
	// endpoint in another zone must have.
	CrossZonePercent int
}

func (s *Selection) hasTried(endpoint *Endpoint) bool {
	for _, tried := range s.Tried {
		if tried == endpoint {
			return true
		}
	}
	return false
}

// Select returns the usable endpoint with the lowest expected latency among those not tried
// yet. If none is usable, it returns the unusable one with the lowest; nil if there is none
// or all are barred. Costs are randomized by up to 5 %, so that proxies with the same
// observations don't all select the same endpoint.
func (p *Pool) Select(selection Selection) *Endpoint {
	now := time.Now()
	typical := p.TypicalLatency()
	if typical == 0 {
		typical = max(selection.LatencyTarget/4, time.Millisecond)
	}
	crossZoneCost := time.Duration(float64(selection.LatencyTarget) * float64(selection.CrossZonePercent) / 100 * (1 + float64(selection.BodySize)/crossZoneBodyUnit))
	totalScore := p.totalFailureScore(now)
	var best, fallback *Endpoint
	var bestCost, fallbackCost time.Duration
	for _, candidate := range p.Endpoints {
		if selection.hasTried(candidate) {
			continue
		}
		cost, usable := candidate.expectedLatency(now, typical, selection.Proxies, totalScore, len(p.Endpoints)-1)
		if cost == 0 && !usable {
			continue
		}
		if !candidate.SameZone {
			cost += crossZoneCost
		}
		cost = time.Duration(float64(cost) * (0.95 + 0.1*rand.Float64()))
		if usable && (best == nil || cost < bestCost) {
			best, bestCost = candidate, cost
		}
		if !usable && (fallback == nil || cost < fallbackCost) {
			fallback, fallbackCost = candidate, cost
		}
	}
	if best == nil {
		return fallback
	}
	return best
}
