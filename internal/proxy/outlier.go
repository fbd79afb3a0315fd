// Targets that fail, though they beat and say that they are well. What counts is what
// became of requests: each failure (an answer that it failed, one that was lost or is no
// answer, a long silence) adds to the target's illness, which fades. A proxy sees few
// requests of each target, so proxies of a zone tell one another of failures, a few
// times a second at most. How much counts as ill follows from the service as a whole:
// where all targets fail alike, or a large part of them, none of them is ill, for
// nothing is gained by crowding the rest. An ill one is out at first, then it is merely
// dear, so that it comes back slowly, and goes out again by the first few failures.
package proxy

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/membership"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

const (
	scoreHalfLife      = 5 * time.Second // an illness is half of what it was
	maxScore           = 8
	toleratedScore     = 1.5 // failures of a post that count for nothing
	toleratedFactor    = 2   // and how many times what the others have on average does so too
	totalScoreLifetime = 50 * time.Millisecond

	outlierReportInterval = 250 * time.Millisecond
	outlierReportTimeout  = 500 * time.Millisecond
	maxReportedEndpoints  = 64
)

// failureScore is the failures of the post, as they have faded by now; its lock is held.
func (e *Endpoint) failureScore(now time.Time) float64 {
	if e.failures == 0 {
		return 0
	}
	age := now.Sub(e.failuresAt)
	if age > 8*scoreHalfLife {
		e.failures = 0
		return 0
	}
	// The half of each whole time, and a straight line between.
	score := e.failures
	for ; age >= scoreHalfLife; age -= scoreHalfLife {
		score /= 2
	}
	return score * (1 - float64(age)/float64(2*scoreHalfLife))
}

// AddToFailureScore adds failures.
func (e *Endpoint) AddToFailureScore(now time.Time, count float64) {
	e.mu.Lock()
	e.failures = min(e.failureScore(now)+count, maxScore)
	e.failuresAt = now
	e.mu.Unlock()
}

// excessScore is by how much the post is more ill than counts for nothing, where all posts'
// illness together is ills, and it has so many peers; its lock is held.
func (e *Endpoint) excessScore(now time.Time, totalScore float64, peers int) float64 {
	score := e.failureScore(now)
	if score <= toleratedScore {
		return 0
	}
	return max(0, score-toleratedScore-toleratedFactor*max(0, totalScore-score)/float64(max(peers, 1)))
}

// totalFailureScore is the sum of all posts' illness, not older than a moment.
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

// outlierReporter gathers the failures seen here, and takes those that others tell of.
type outlierReporter struct {
	proxy    *Proxy
	mu       sync.Mutex
	failures map[string]int
	wake     chan struct{}
}

func newOutlierReporter(proxy *Proxy) *outlierReporter {
	reporter := &outlierReporter{proxy: proxy, failures: map[string]int{}, wake: make(chan struct{}, 1)}
	proxy.rpc.Handle("gate.ill", func(call *rpc.Request) (any, error) {
		var request rpc.FailureReport
		if err := call.Decode(&request); err != nil {
			return nil, err
		}
		reporter.applyReport(request.Failures)
		return struct{}{}, nil
	})
	proxy.environment.Go(reporter.run)
	return reporter
}

// reportFailure notes a failure of a target, here and for the others.
func (p *Proxy) reportFailure(failed *Endpoint) {
	failed.AddToFailureScore(time.Now(), 1)
	reporter := p.outliers
	reporter.mu.Lock()
	if len(reporter.failures) < maxReportedEndpoints {
		reporter.failures[failed.ReportID]++
	}
	reporter.mu.Unlock()
	select {
	case reporter.wake <- struct{}{}:
	default:
	}
}

// reportID is by what proxies name a target to one another.
func reportID(key string) string { return strconv.FormatUint(ids.Hash(key), 36) }

func (r *outlierReporter) applyReport(failures map[string]int) {
	view := r.proxy.current.Load()
	if view == nil {
		return
	}
	now := time.Now()
	for id, count := range failures {
		if endpoint := view.byReportID[id]; endpoint != nil && count > 0 {
			endpoint.AddToFailureScore(now, float64(count))
		}
	}
}

// run tells the first failure at once, and those that follow a little later.
func (r *outlierReporter) run() {
	for {
		select {
		case <-r.proxy.environment.Done():
			return
		case <-r.wake:
		}
		r.mu.Lock()
		failures := r.failures
		r.failures = map[string]int{}
		r.mu.Unlock()
		r.send(failures)
		if !r.proxy.environment.Sleep(outlierReportInterval) {
			return
		}
	}
}

// send tells the proxies of the zone; nobody waits for it.
func (r *outlierReporter) send(failures map[string]int) {
	if len(failures) == 0 {
		return
	}
	for name, member := range r.proxy.membership.View() {
		if name == r.proxy.environment.Name || member.ProxyAddress == "" || member.Zone != r.proxy.environment.Config.Zone || member.State != membership.StateAlive {
			continue
		}
		r.proxy.environment.Go(func() {
			ctx, cancel := context.WithTimeout(r.proxy.environment, outlierReportTimeout)
			defer cancel()
			r.proxy.rpc.Call(ctx, member.RPCAddress, "gate.ill", &rpc.FailureReport{Failures: failures}, nil)
		})
	}
}
