package consensus

import (
	"context"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
	"github.com/sumactrestle/sumactrestle/internal/storage"
)

// leadership is a replica's state as leader; becomeLeader resets it.
type leadership struct {
	isLeader bool
	// isServing is true once the first entry of the term is committed, which also commits
	// all entries of earlier leaders.
	isServing    bool
	servingSince time.Time
	// isTransferring stops new proposals, so that the next leader can catch up with the
	// whole log.
	isTransferring bool
	firstIndex     ids.Index // the first entry of the leader's own term
	// ctx is cancelled when the leadership ends, which stops the replication streams.
	ctx      context.Context
	cancel   context.CancelFunc
	progress map[rpc.Peer]*progress
}

// progressOf returns a member's progress, and adds a zero one for a new member.
func (l *leadership) progressOf(peer rpc.Peer) *progress {
	p := l.progress[peer]
	if p == nil {
		p = &progress{}
		l.progress[peer] = p
	}
	return p
}

// quorumMatch returns the index of the last entry that a quorum of the voters has synced.
func (l *leadership) quorumMatch(voters Voters) ids.Index {
	return ids.Index(voters.QuorumValue(func(peer rpc.Peer) int64 { return int64(l.progressOf(peer).matchIndex) }))
}

// progress is the leader's view of one member's replication. Learners have one too.
type progress struct {
	matchIndex    ids.Index // the last entry known to be synced on the member
	lastAck       time.Time // when the latest message was sent whose response confirmed the term
	lastAdvance   time.Time // when the member last accepted entries or a snapshot chunk
	isReplicating bool      // its stream runs until this is set to false
}

// becomeLeader makes this member the leader. It starts serving once its first entry, an
// empty one of its own term, is committed. The votes of granted confirm the term as of
// sentAt, when they were requested.
func (r *Replica) becomeLeader(batch *storage.Batch, sentAt time.Time, granted []rpc.Peer) {
	l := &r.leadership
	l.isLeader, l.isServing, l.isTransferring = true, false, false
	l.ctx, l.cancel = context.WithCancel(r.node.env)
	l.progress = map[rpc.Peer]*progress{}
	for _, peer := range granted {
		l.progressOf(peer).lastAck = sentAt
	}
	last, _ := r.log.last()
	l.firstIndex = last + 1
	r.appendAsLeader(batch, rpc.Entry{Kind: entryEmpty})
	r.replicateToAll()
	r.node.triggerAllHeartbeats()
}

// stepDown ends the leadership, if any. The outcome of pending proposals is unknown.
func (r *Replica) stepDown(cause string) {
	l := &r.leadership
	if !l.isLeader {
		return
	}
	l.isLeader, l.isServing = false, false
	l.cancel()
	r.failProposals(0)
	r.election.timerStart = r.node.env.Now()
	r.logEvent(eventlog.LeadershipLost, "term", r.currentTerm.String(), "cause", cause)
	r.notifyChanged()
}

// stepDownForTerm ends the leadership of a term because a member has accepted a higher one.
func (r *Replica) stepDownForTerm(term, higherTerm ids.Term) {
	r.election.highestTermNumber = max(r.election.highestTermNumber, higherTerm.Number)
	if r.currentTerm == term {
		r.stepDown("a member has the higher term " + higherTerm.String())
	}
}

// reportCorruption logs a state that the protocol rules out, and steps down so that this
// member appends no more entries.
func (r *Replica) reportCorruption(cause string, fields ...any) {
	r.logEvent(eventlog.ReplicasDiverged, append([]any{"term", r.currentTerm.String(), "cause", cause}, fields...)...)
	r.stepDown("replicas contradict one another")
}

// resign takes the lock and steps down for a cause outside the replica.
func (r *Replica) resign(cause string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stepDown(cause)
}

// checkQuorum steps down if no quorum has confirmed the term within twice
// consensus.election_timeout.
func (r *Replica) checkQuorum() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leadership.isLeader && r.node.env.Since(r.confirmedAt()) > 2*r.node.env.Config.ConsensusElectionTimeout {
		r.stepDown("no quorum confirmed the term")
	}
}
