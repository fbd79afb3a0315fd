package endpoint

import (
	"time"
)

const (
	// scoreHalfLife is the time in which a failure score falls to a half.
	scoreHalfLife = 5 * time.Second
	maxScore      = 8

	// A score of toleratedScore counts for nothing, nor does toleratedFactor times the
	// average score of the endpoint's peers.
	toleratedScore  = 1.5
	toleratedFactor = 2

	// totalScoreLifetime is how long the sum of all scores is used before it is taken anew.
	totalScoreLifetime = 50 * time.Millisecond
)

// failureScore is the number of failures, faded by age: by half in each scoreHalfLife, and
// linearly between. e.mu is held.
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

// AddToFailureScore adds failures to the score, seen here or reported by another proxy.
func (e *Endpoint) AddToFailureScore(now time.Time, count float64) {
	e.mu.Lock()
	e.failures = min(e.failureScore(now)+count, maxScore)
	e.failuresAt = now
	e.mu.Unlock()
}

// excessScore is by how much the score exceeds what is tolerated, where the scores of the
// endpoint and its peers have that sum. One or more makes an outlier. e.mu is held.
func (e *Endpoint) excessScore(now time.Time, totalScore float64, peers int) float64 {
	score := e.failureScore(now)
	if score <= toleratedScore {
		return 0
	}
	return max(0, score-toleratedScore-toleratedFactor*max(0, totalScore-score)/float64(max(peers, 1)))
}

// totalFailureScore is the sum of the scores of all endpoints, as of totalScoreLifetime ago
// at most.
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
