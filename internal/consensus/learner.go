package consensus

import (
	"sync"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

const (
	// A learner is waited for as long as it comes closer, and given up after so long
	// without progress.
	learnerPollInterval = 50 * time.Millisecond
	learnerStallTimeout = 2 * time.Second
	maxLearnerLag       = 16 // entries that a learner may lack when it becomes a voter
)

// catchUpLearners replicates to all newcomers side by side, and tells which came close behind.
func (r *Replica) catchUpLearners(replacements []voterReplacement) []bool {
	caughtUp := make([]bool, len(replacements))
	var learners sync.WaitGroup
	for i, change := range replacements {
		learners.Add(1)
		r.node.env.Go(func() {
			defer learners.Done()
			caughtUp[i] = r.catchUpLearner(change.added)
		})
	}
	learners.Wait()
	return caughtUp
}

// catchUpLearner replicates to a learner, and tells whether it came close behind.
func (r *Replica) catchUpLearner(peer rpc.Peer) bool {
	r.mu.Lock()
	if !r.leadership.isServing {
		r.mu.Unlock()
		return false
	}
	r.startReplicating(peer)
	r.mu.Unlock()
	for since := r.node.env.Now(); r.node.env.Since(since) < learnerStallTimeout; {
		r.mu.Lock()
		last, _ := r.log.last()
		p, isServing := *r.leadership.progressOf(peer), r.leadership.isServing
		r.mu.Unlock()
		if p.lastAdvance.After(since) {
			since = p.lastAdvance
		}
		switch {
		case !isServing:
			return false
		case p.matchIndex > 0 && p.matchIndex+maxLearnerLag >= last:
			return true
		}
		if !r.node.env.Sleep(learnerPollInterval) {
			return false
		}
	}
	return false
}
