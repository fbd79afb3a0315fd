// Package endpoint selects the target of a request.
//
// For each endpoint the proxy records what it observes itself: response latency, requests in
// flight, the load that the target reported, and failures. It selects the endpoint with the
// lowest expected latency. An endpoint in another zone must be faster by a percentage of the
// request's latency target, and by more for a large body. An unreachable or unresponsive
// endpoint is temporarily unusable on these observations alone, even if the epoch lists it.
//
// Each endpoint also has a failure score, which the proxies of a zone build up together
// (package outlier). It is compared with the average of the endpoint's peers: if all or many
// endpoints of a service fail, none is ejected, because that would only overload the others.
// An outlier is ejected first. As its score decays it becomes usable again at a raised cost,
// so its traffic returns gradually and a few new failures eject it again.
package endpoint

import (
	"strconv"
	"sync"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

const (
	// defaultSlots is the number of concurrent requests of a target that declares no slots.
	defaultSlots = 8

	// An endpoint with requests in flight is unusable once it has sent no response for
	// minUnresponsive and for unresponsiveFactor times its latency.
	minUnresponsive    = 400 * time.Millisecond
	unresponsiveFactor = 6

	// An endpoint that is unreachable, or failed more than toleratedFailures times in a row,
	// is ejected. The ejection time doubles with each further failure.
	toleratedFailures = 2
	firstEjection     = 500 * time.Millisecond
	maxEjection       = 4 * time.Second
	maxEjectionShift  = 4

	// An endpoint that rejected a request is unusable for half the typical latency. The
	// back-off doubles with each further rejection in a row.
	minRejectionBackoff = 10 * time.Millisecond
	maxRejectionBackoff = time.Second
	maxRejectionShift   = 6

	// latencyDivisor is the inverse weight of one response in an endpoint's moving average.
	latencyDivisor = 8

	// latencyLifetime is the time without a response after which a latency above the
	// typical one is averaged with it.
	latencyLifetime = 3 * time.Second

	// loadReportLifetime is how long a load report is used.
	loadReportLifetime = 250 * time.Millisecond

	// slowStartFactor multiplies the expected latency of an endpoint in slow start.
	slowStartFactor = 2
)

// Endpoint is one target of a service with this proxy's observations of it. It is safe for
// concurrent use, and is kept across epochs as long as each of them lists the target.
type Endpoint struct {
	Key      string // identifies the endpoint within this proxy
	ReportID string // identifies the endpoint in reports between proxies
	Target   rpc.Target
	SameZone bool // whether the target is in this proxy's zone

	mu                    sync.Mutex    // guards the fields below
	inFlight              int           // requests from this proxy
	overdue               int           // requests in flight whose responses are overdue
	latency               time.Duration // moving average; zero before the first response
	lastResponse          time.Time
	unresponsiveSince     time.Time // last response, or first request in flight if later
	ejectedUntil          time.Time
	barred                bool // another instance has the address
	consecutiveFailures   int
	rejectingUntil        time.Time
	consecutiveRejections int
	slowStartUntil        time.Time
	load                  loadReport
	failures              float64 // the failure score as of failuresAt; see failureScore
	failuresAt            time.Time
}

// loadReport is the load that a target reported with a response.
type loadReport struct {
	requests   int // running and waiting at the target
	inFlight   int // in flight from this proxy when the report arrived
	reportedAt time.Time
}

// Key returns the identifier of an endpoint within this proxy.
func Key(service, instance, address string) string {
	return service + "\n" + instance + "\n" + address
}

// reportID returns the identifier of an endpoint in reports between proxies.
func reportID(key string) string { return strconv.FormatUint(ids.Hash(key), 36) }

// expectedLatency returns the expected latency of a response and whether the endpoint is
// usable. It returns zero and false for a barred endpoint, which may not be used even as a
// fallback. typical is the latency of the service, proxies the number of proxies that share
// the endpoint, and totalScore the sum of the failure scores of the endpoint and its peers.
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
	if e.load.reportedAt != (time.Time{}) && now.Sub(e.load.reportedAt) < loadReportLifetime {
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
	usable = now.After(e.ejectedUntil) && now.After(e.rejectingUntil) && excess < 1
	if e.overdue > 0 || e.inFlight > 0 && now.Sub(e.unresponsiveSince) > max(minUnresponsive, unresponsiveFactor*latency) {
		usable = false
	}
	return time.Duration(expected), usable
}

// Usable reports whether the endpoint is neither barred, ejected, backing off after
// a rejection, nor unresponsive.
func (e *Endpoint) Usable(now time.Time) bool {
	_, ok := e.expectedLatency(now, time.Second, 1, 0, 1)
	return ok
}

// BeginAttempt records that a request to the endpoint is in flight.
func (e *Endpoint) BeginAttempt(now time.Time) {
	e.mu.Lock()
	if e.inFlight == 0 {
		e.unresponsiveSince = now
	}
	e.inFlight++
	e.mu.Unlock()
}

// EndAttempt records that a request is no longer in flight, whatever its outcome.
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

// RecordResponse records a response. Only the response of a request that ran updates the
// latency, because a rejection or a failure may arrive much faster. A healthy response ends an
// ejection. load is the load report of the response, empty if it has none.
func (e *Endpoint) RecordResponse(now time.Time, took time.Duration, ran, healthy bool, load string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastResponse, e.unresponsiveSince = now, now
	if healthy {
		e.consecutiveFailures, e.ejectedUntil = 0, time.Time{}
	}
	if ran {
		e.consecutiveRejections = 0
		if e.latency == 0 {
			e.latency = took
		}
		e.latency += (took - e.latency) / latencyDivisor
	}
	if running, waiting, ok := parseLoad(load); ok {
		e.load = loadReport{requests: running + waiting, inFlight: e.inFlight, reportedAt: now}
	}
}

// RecordRejection records that the target rejected a request without running it.
func (e *Endpoint) RecordRejection(now time.Time, typical time.Duration) {
	e.mu.Lock()
	e.rejectingUntil = now.Add(min(max(typical/2, minRejectionBackoff)<<min(e.consecutiveRejections, maxRejectionShift), maxRejectionBackoff))
	e.consecutiveRejections++
	e.mu.Unlock()
}

// RecordFailure records a failed attempt. It ejects an unreachable endpoint immediately, and
// any other endpoint after more than toleratedFailures failures in a row.
func (e *Endpoint) RecordFailure(now time.Time, unreachable bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.consecutiveFailures++
	if unreachable || e.consecutiveFailures > toleratedFailures {
		e.ejectedUntil = now.Add(min(firstEjection<<min(e.consecutiveFailures-1, maxEjectionShift), maxEjection))
	}
}

// Bar excludes the endpoint permanently, because another instance has its address.
func (e *Endpoint) Bar() {
	e.mu.Lock()
	e.barred = true
	e.mu.Unlock()
}

// Status is the availability of an endpoint.
type Status int

// The statuses.
const (
	Available Status = iota
	Ejected          // temporarily, after failures
	Barred           // permanently, see Endpoint.Bar
)

// Status returns the endpoint's availability, without regard to its failure score.
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
