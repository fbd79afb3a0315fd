package endpoint

import (
	"time"
)

const (
	// scoreHalfLife is the time in which a failure score decays to half.
	scoreHalfLife = 5 * time.Second
	maxScore      = 8

	// A score is tolerated up to toleratedScore plus toleratedFactor times the average score
	// of the endpoint's peers.
	toleratedScore  = 1.5
	toleratedFactor = 2

	// totalScoreLifetime is how long the sum of all scores is cached.
	totalScoreLifetime = 50 * time.Millisecond
)

// failureScore returns the number of failures, decayed by age: by half in each scoreHalfLife,
// linearly within one. The caller holds e.mu.
func (e *Endpoint) failureScore(now time.Time) float64 {
	if e.failures == 0 {
		return 0
	}
	age := now.Sub(e.failuresAt)
	if age > 8*scoreHalfLife {
		e.failures = 0
		return 0
	}
	score := e.failures
	for ; age >= scoreHalfLife; age -= scoreHalfLife {
		score /= 2
	}
	return score * (1 - float64(age)/float64(2*scoreHalfLife))
}

// AddToFailureScore adds failures that this proxy observed or another proxy reported.
func (e *Endpoint) AddToFailureScore(now time.Time, count float64) {
	e.mu.Lock()
	e.failures = min(e.failureScore(now)+count, maxScore)
	e.failuresAt = now
	e.mu.Unlock()
}

// excessScore returns the part of the score above the tolerated one; totalScore is the sum of
// the scores of the endpoint and its peers. From one on the endpoint is an outlier. The caller
// holds e.mu.
func (e *Endpoint) excessScore(now time.Time, totalScore float64, peers int) float64 {
	score := e.failureScore(now)
	if score <= toleratedScore {
		return 0
	}
	return max(0, score-toleratedScore-toleratedFactor*max(0, totalScore-score)/float64(max(peers, 1)))
}

// totalFailureScore returns the sum of the scores of all endpoints, which is at most
// totalScoreLifetime old.
func (p *Pool) totalFailureScore(now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.totalScoreAt) < totalScoreLifetime {
		return p.totalScore
	}
	p.totalScore, p.totalScoreAt = 0, now
	for _, endpoint := range p.Endpoints {
		endpoint.mu.Lock()
		p.totalScore += endpoint.failureScore(now)
		endpoint.mu.Unlock()
	}
	return p.totalScore
}
