// Assigning a request to a target. Of each target this proxy keeps what it saw
// itself: how long answers take, what is under way, what the target told of its
// weight, and whether it failed. The target whose answer is expected first takes
// the request; one in another zone must be better by a part of the request's aim,
// more so for a large body. A target that can't be reached or stays silent is out
// for a while on this evidence alone, whatever the epoch says.
package proxy

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/distribution"
	"github.com/sumactrestle/sumactrestle/internal/membership"
	"github.com/sumactrestle/sumactrestle/internal/metrics"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

const (
	defaultSlots       = 8
	minSilence         = 400 * time.Millisecond
	firstEjection      = 500 * time.Millisecond
	maxEjection        = 4 * time.Second
	maxRefusalBackoff  = time.Second
	loadReportLifetime = 250 * time.Millisecond
	latencyLifetime    = 3 * time.Second
	crossZoneBodyUnit  = 4096
	baselinePercent    = 140
)

// Endpoint is one target as this proxy knows it.
type Endpoint struct {
	Key      string
	ReportID string // by what proxies name it to one another
	Target   rpc.Target
	SameZone bool

	mu                  sync.Mutex
	inFlight            int           // requests under way from here
	overdue             int           // those of them whose answers are overdue
	latency             time.Duration // how long an answer takes, smoothed
	lastResponse        time.Time     // when anything last came from it
	silentSince         time.Time     // since when something is under way without a word
	ejectedUntil        time.Time
	barred              bool // another instance has its address
	consecutiveFailures int
	refusingUntil       time.Time // until when it is held for full
	consecutiveRefusals int       // refusals since the last answer that ran
	warmUpUntil         time.Time
	reportedLoad        int // running and waiting there, as it last told
	loadReportedAt      time.Time
	inFlightAtReport    int     // what was under way from here then
	failures            float64 // failures seen here or told of, fading
	failuresAt          time.Time
}

// Pool is the posts of one service in an epoch.
type Pool struct {
	Endpoints []*Endpoint
	mu        sync.Mutex
	latency   time.Duration
	baseline  time.Duration // the pace of calmer times

	totalScore   float64 // of all posts
	totalScoreAt time.Time

	hedgeAllowance float64 // of doubles
	hedgeRatio     float64 // how large a part of the requests may be doubled
	Durations      *metrics.Service
}

// EndpointKey names an endpoint within this proxy.
func EndpointKey(service, instance, address string) string {
	return service + "\n" + instance + "\n" + address
}

func (p *Proxy) newPool(service string, targets []rpc.Target, previous *Pool, now time.Time) *Pool {
	pool := &Pool{hedgeRatio: float64(p.environment.Config.GateDoubles) / 100}
	known := map[string]*Endpoint{}
	if previous != nil {
		pool.latency, pool.baseline, pool.hedgeAllowance = previous.inherited()
		for _, candidate := range previous.Endpoints {
			known[candidate.Key] = candidate
		}
	}
	for _, target := range targets {
		if target.Weight <= 0 {
			continue
		}
		key := EndpointKey(service, target.Instance, target.Address)
		candidate := known[key]
		if candidate == nil {
			candidate = &Endpoint{Key: key, ReportID: reportID(key), Target: target, SameZone: target.Zone == p.environment.Config.Zone}
			if target.SlowStartMillis > 0 && previous != nil {
				candidate.warmUpUntil = now.Add(time.Duration(target.SlowStartMillis) * time.Millisecond)
			}
		}
		pool.Endpoints = append(pool.Endpoints, candidate)
	}
	return pool
}

func (p *Pool) TypicalLatency() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.latency
}

// NearBaseline tells whether answers take about as long as in calmer times. If not, that one
// of them is long in coming says little about its target.
func (p *Pool) NearBaseline() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.latency <= p.baseline*baselinePercent/100
}

// inherited is what the crew of the next epoch takes over.
func (p *Pool) inherited() (latency, baseline time.Duration, hedgeAllowance float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.latency, p.baseline, p.hedgeAllowance
}

// RecordLatency folds how long one answer took into what the service usually takes.
func (p *Pool) RecordLatency(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.latency == 0 {
		p.latency = took
	}
	p.latency += (took - p.latency) / 32
	switch {
	case p.baseline == 0 || p.latency < p.baseline:
		p.baseline = p.latency
	default:
		p.baseline += (p.latency - p.baseline) / 512
	}
	p.hedgeAllowance = min(p.hedgeAllowance+p.hedgeRatio, maxHedgeAllowance)
}

// zoneProxies counts the proxies that share the targets of this zone.
func (p *Proxy) zoneProxies(snapshot *distribution.Snapshot) int {
	count := 0
	for name, member := range p.membership.View() {
		if _, named := snapshot.Shares[name]; named && member.Zone == p.environment.Config.Zone && (member.State == membership.StateAlive || member.State == membership.StateSuspect) {
			count++
		}
	}
	return max(count, 1)
}

// expectedLatency is how long an answer from the post should take, if it can be had.
func (e *Endpoint) expectedLatency(now time.Time, typical time.Duration, proxies int, totalScore float64, peers int) (time.Duration, bool) {
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
	weight := e.Target.Weight
	own := float64(e.inFlight)
	capacity := max(1, float64(slots)/float64(proxies)) * float64(weight) / 100
	expected := float64(latency) * (1 + own/capacity)
	if e.loadReportedAt != (time.Time{}) && now.Sub(e.loadReportedAt) < loadReportLifetime {
		reported := float64(e.reportedLoad + e.inFlight - e.inFlightAtReport)
		if waiting := reported + 1 - float64(slots); waiting > 0 {
			expected = max(expected, float64(latency)*(1+waiting/float64(slots)))
		}
	}
	if now.Before(e.warmUpUntil) {
		expected *= 2
	}
	excess := e.excessScore(now, totalScore, peers)
	expected *= 1 + 2*excess
	usable := now.After(e.ejectedUntil) && now.After(e.refusingUntil) && excess < 1
	if e.overdue > 0 || e.inFlight > 0 && now.Sub(e.silentSince) > max(minSilence, 6*latency) {
		usable = false
	}
	return time.Duration(expected), usable
}

// selectEndpoint picks the post for the next try of a course: of those not tried yet, the
// one whose answer is expected first. If none is usable, the least bad is taken.
func (p *Proxy) selectEndpoint(plan *requestPlan, bodySize int64) *Endpoint {
	now := time.Now()
	typical := plan.endpoints.TypicalLatency()
	if typical == 0 {
		typical = max(plan.latencyTarget/4, time.Millisecond)
	}
	crossZoneCost := time.Duration(float64(plan.latencyTarget) * float64(p.environment.Config.GateSpill) / 100 * (1 + float64(bodySize)/crossZoneBodyUnit))
	totalScore := plan.endpoints.totalFailureScore(now)
	var best, fallback *Endpoint
	var bestCost, fallbackCost time.Duration
	for _, candidate := range plan.endpoints.Endpoints {
		if plan.hasTried(candidate) {
			continue
		}
		cost, usable := candidate.expectedLatency(now, typical, plan.zoneProxies, totalScore, len(plan.endpoints.Endpoints)-1)
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

func (rp *requestPlan) hasTried(candidate *Endpoint) bool {
	for _, tried := range rp.tried {
		if tried == candidate {
			return true
		}
	}
	return false
}

// Usable tells whether the post is neither out nor full.
func (e *Endpoint) Usable(now time.Time) bool {
	_, ok := e.expectedLatency(now, time.Second, 1, 0, 1)
	return ok
}

// BeginAttempt and the verbs after it note what becomes of a try.
func (e *Endpoint) BeginAttempt(now time.Time) {
	e.mu.Lock()
	if e.inFlight == 0 {
		e.silentSince = now
	}
	e.inFlight++
	e.mu.Unlock()
}

// AddOverdue notes that an answer is overdue, or no longer.
func (e *Endpoint) AddOverdue(delta int) {
	e.mu.Lock()
	e.overdue += delta
	e.mu.Unlock()
}

func (e *Endpoint) EndAttempt() {
	e.mu.Lock()
	e.inFlight--
	e.mu.Unlock()
}

// RecordResponse notes an answer and how long it took; a refusal says nothing on pace, nor
// does a failure, which may come sooner than any answer.
func (e *Endpoint) RecordResponse(now time.Time, took time.Duration, ran, healthy bool, loadReport string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastResponse, e.silentSince = now, now
	if healthy {
		e.consecutiveFailures, e.ejectedUntil = 0, time.Time{}
	}
	if ran {
		e.consecutiveRefusals = 0
		if e.latency == 0 {
			e.latency = took
		}
		e.latency += (took - e.latency) / 8
	}
	if running, waiting, ok := parseLoad(loadReport); ok {
		e.reportedLoad, e.loadReportedAt, e.inFlightAtReport = running+waiting, now, e.inFlight
	}
}

// RecordRefusal notes that the target turned a request away; one that does so again and again
// is asked ever less often.
func (e *Endpoint) RecordRefusal(now time.Time, typical time.Duration) {
	e.mu.Lock()
	e.refusingUntil = now.Add(min(max(typical/2, 10*time.Millisecond)<<min(e.consecutiveRefusals, 6), maxRefusalBackoff))
	e.consecutiveRefusals++
	e.mu.Unlock()
}

// Bar keeps the post out for good: its address belongs to another instance.
func (e *Endpoint) Bar() {
	e.mu.Lock()
	e.barred = true
	e.mu.Unlock()
}

// RecordFailure notes a failure; a hard one, where the target can't be reached, puts it
// out at once, others when they come together.
func (e *Endpoint) RecordFailure(now time.Time, unreachable bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.consecutiveFailures++
	if unreachable || e.consecutiveFailures > 2 {
		e.ejectedUntil = now.Add(min(firstEjection<<min(e.consecutiveFailures-1, 4), maxEjection))
	}
}

// parseLoad reads what a target tells: running, waiting, slots.
func parseLoad(header string) (running, waiting int, ok bool) {
	if header == "" {
		return 0, 0, false
	}
	fields := strings.Split(header, ",")
	if len(fields) != 3 {
		return 0, 0, false
	}
	running, runningErr := strconv.Atoi(strings.TrimSpace(fields[0]))
	waiting, waitingErr := strconv.Atoi(strings.TrimSpace(fields[1]))
	return running, waiting, runningErr == nil && waitingErr == nil && running >= 0 && waiting >= 0
}
