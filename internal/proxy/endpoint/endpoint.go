// Package endpoint chooses the target for a request.
//
// Of each endpoint the proxy keeps what it saw itself: how long responses take, what is in
// flight, the load that the target reported, and whether it failed. The endpoint whose
// response is expected first is selected; one in another zone must be better by a part of
// the request's latency target, more so for a large body. An endpoint that can't be reached
// or stays silent is ejected for a while on this evidence alone, whatever the epoch says.
//
// Beside that each endpoint has a failure score, to which the proxies of a zone contribute
// together (package outlier). Being an outlier is relative: where all endpoints of a service
// fail alike, or a large part of them, none is ejected, for nothing is gained by crowding
// the rest. An outlier is ejected at first, and merely expensive later, so that it comes
// back slowly and is ejected again by the first few failures.
package endpoint

import (
	"strconv"
	"sync"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

const (
	// defaultSlots is how many requests a target serves at once, if it doesn't say.
	defaultSlots = 8

	// An endpoint with requests in flight from which nothing came for minUnresponsive, and for
	// unresponsiveFactor times its latency, is not usable.
	minUnresponsive    = 400 * time.Millisecond
	unresponsiveFactor = 6

	// An endpoint that can't be reached, or failed more than toleratedFailures times in a
	// row, is ejected, each time for twice as long.
	toleratedFailures = 2
	firstEjection     = 500 * time.Millisecond
	maxEjection       = 4 * time.Second
	maxEjectionShift  = 4

	// An endpoint that refused a request is left alone for half the typical latency, each
	// time for twice as long.
	minRefusalBackoff = 10 * time.Millisecond
	maxRefusalBackoff = time.Second
	maxRefusalShift   = 6

	// latencyWeight is the divisor by which one response counts in an endpoint's latency.
	latencyWeight = 8

	// latencyLifetime is after how long without a response an endpoint's own latency counts
	// only half, if it is above the typical one.
	latencyLifetime = 3 * time.Second

	// loadReportLifetime is how long a reported load counts.
	loadReportLifetime = 250 * time.Millisecond

	// slowStartFactor is by how much an endpoint is more expensive while it starts slowly.
	slowStartFactor = 2
)

// Endpoint is one target of a service as this proxy knows it. It is safe for concurrent use,
// and outlives the epoch that it came with as long as later ones name it too.
type Endpoint struct {
	Key      string // names it within this proxy
	ReportID string // names it among proxies
	Target   rpc.Target
	SameZone bool // as this proxy

	mu                  sync.Mutex    // guards all that follows
	inFlight            int           // requests from here
	overdue             int           // those of them whose responses are overdue
	latency             time.Duration // moving average over responses; zero before the first
	lastResponse        time.Time
	unresponsiveSince   time.Time // since when requests are in flight without any response
	ejectedUntil        time.Time
	barred              bool // another instance has its address
	consecutiveFailures int
	refusingUntil       time.Time
	consecutiveRefusals int
	slowStartUntil      time.Time
	load                loadReport
	failures            float64 // the failure score as of failuresAt; see failureScore
	failuresAt          time.Time
}

// loadReport is the load that a target reported with a response.
type loadReport struct {
	requests int // running and waiting there
	inFlight int // of them from here
	at       time.Time
}

// Key names an endpoint within this proxy.
func Key(service, instance, address string) string {
	return service + "\n" + instance + "\n" + address
}

// reportID names an endpoint among proxies.
func reportID(key string) string { return strconv.FormatUint(ids.Hash(key), 36) }

// expectedLatency is how long a response should take, and whether the endpoint is usable.
// Zero and false is an endpoint that may not be used at all. typical is the latency of the
// service, proxies how many share the endpoint, totalScore the sum of the failure scores of
// the endpoint and its peers.
func (e *Endpoint) expectedLatency(now time.Time, typical time.Duration, proxies int, totalScore float64, peers int) (expectation time.Duration, usable bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.barred {
		return 0, false
	}
	latency := e.latency
	switch age := now.Sub(e.lastResponse); {
	case latency == 0:
		latency = typical
	case age > latencyLifetime && latency > typical:
		latency = (latency + typical) / 2
	}
	slots := e.Target.Slots
	if slots <= 0 {
		slots = defaultSlots
	}
	capacity := max(1, float64(slots)/float64(proxies)) * float64(e.Target.Weight) / 100
	expected := float64(latency) * (1 + float64(e.inFlight)/capacity)
	if e.load.at != (time.Time{}) && now.Sub(e.load.at) < loadReportLifetime {
		reported := float64(e.load.requests + e.inFlight - e.load.inFlight)
		if waiting := reported + 1 - float64(slots); waiting > 0 {
			expected = max(expected, float64(latency)*(1+waiting/float64(slots)))
		}
	}
	if now.Before(e.slowStartUntil) {
		expected *= slowStartFactor
	}
	excess := e.excessScore(now, totalScore, peers)
	expected *= 1 + 2*excess
	usable = now.After(e.ejectedUntil) && now.After(e.refusingUntil) && excess < 1
	if e.overdue > 0 || e.inFlight > 0 && now.Sub(e.unresponsiveSince) > max(minUnresponsive, unresponsiveFactor*latency) {
		usable = false
	}
	return time.Duration(expected), usable
}

// Usable reports whether the endpoint is neither ejected nor refusing nor silent.
func (e *Endpoint) Usable(now time.Time) bool {
	_, ok := e.expectedLatency(now, time.Second, 1, 0, 1)
	return ok
}

// BeginAttempt records that a request is sent to the endpoint.
func (e *Endpoint) BeginAttempt(now time.Time) {
	e.mu.Lock()
	if e.inFlight == 0 {
		e.unresponsiveSince = now
	}
	e.inFlight++
	e.mu.Unlock()
}

// EndAttempt records that a request is not in flight any more, however it ended.
func (e *Endpoint) EndAttempt() {
	e.mu.Lock()
	e.inFlight--
	e.mu.Unlock()
}

// AddOverdue changes the number of requests in flight whose responses are overdue.
func (e *Endpoint) AddOverdue(delta int) {
	e.mu.Lock()
	e.overdue += delta
	e.mu.Unlock()
}

// RecordResponse records a response. Only one of a request that ran says anything of the
// latency (ran): a refusal or a failure may come sooner than any other response. A healthy
// one ends an ejection. load is the load report that came with it, empty if none did.
func (e *Endpoint) RecordResponse(now time.Time, took time.Duration, ran, healthy bool, load string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastResponse, e.unresponsiveSince = now, now
	if healthy {
		e.consecutiveFailures, e.ejectedUntil = 0, time.Time{}
	}
	if ran {
		e.consecutiveRefusals = 0
		if e.latency == 0 {
			e.latency = took
		}
		e.latency += (took - e.latency) / latencyWeight
	}
	if running, waiting, ok := parseLoad(load); ok {
		e.load = loadReport{requests: running + waiting, inFlight: e.inFlight, at: now}
	}
}

// RecordRefusal records that the target refused a request.
func (e *Endpoint) RecordRefusal(now time.Time, typical time.Duration) {
	e.mu.Lock()
	e.refusingUntil = now.Add(min(max(typical/2, minRefusalBackoff)<<min(e.consecutiveRefusals, maxRefusalShift), maxRefusalBackoff))
	e.consecutiveRefusals++
	e.mu.Unlock()
}

// RecordFailure records a failed attempt. An endpoint that can't be reached is ejected at
// once, others after a few failures in a row.
func (e *Endpoint) RecordFailure(now time.Time, unreachable bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.consecutiveFailures++
	if unreachable || e.consecutiveFailures > toleratedFailures {
		e.ejectedUntil = now.Add(min(firstEjection<<min(e.consecutiveFailures-1, maxEjectionShift), maxEjection))
	}
}

// Bar ejects the endpoint for good: its address belongs to another instance.
func (e *Endpoint) Bar() {
	e.mu.Lock()
	e.barred = true
	e.mu.Unlock()
}

// Status is whether requests may be sent to an endpoint.
type Status int

// The statuses.
const (
	Available Status = iota
	Ejected
	Barred
)

// Status is whether requests may be sent to the endpoint, its failure score aside.
func (e *Endpoint) Status(now time.Time) Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.barred:
		return Barred
	case now.Before(e.ejectedUntil):
		return Ejected
	}
	return Available
}
