package endpoint

import (
	"math/rand/v2"
	"time"
)

// crossZoneBodyUnit is the size of a body, in bytes, that makes another zone twice as
// expensive.
const crossZoneBodyUnit = 4096

// Selection is what Select needs to know of a request.
type Selection struct {
	Tried         []*Endpoint   // not to be selected again
	LatencyTarget time.Duration // of the request
	BodySize      int64         // in bytes
	Proxies       int           // that share the endpoints of this zone
	// CrossZonePercent is by how many hundredths of the latency target an endpoint in
	// another zone must be better.
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

// Select returns the usable endpoint whose response is expected first, among those not tried
// yet. If none is usable, it returns the least bad one; nil if there is none at all.
// Expectations are blurred a little, so that proxies that know the same don't all choose
// the same.
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
