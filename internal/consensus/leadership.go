package consensus

import (
	"context"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
	"github.com/sumactrestle/sumactrestle/internal/storage"
)

// leadership is what a replica knows as the leader; it begins anew with each election won.
type leadership struct {
	isLeader bool
	// isServing says that the first entry of the term is committed, and with it
	// everything that earlier leaders committed.
	isServing    bool
	servingSince time.Time
	// isTransferring says that no proposals are taken any more: the next leader must have the
	// whole log.
	isTransferring bool
	firstIndex     ids.Index // the first entry of the leader's own term
	// ctx ends with the leadership, and with it the streams to the members.
	ctx      context.Context
	cancel   context.CancelFunc
	progress map[rpc.Peer]*progress
}

// progressOf returns a member's progress, zero at first.
func (l *leadership) progressOf(peer rpc.Peer) *progress {
	p := l.progress[peer]
	if p == nil {
		p = &progress{}
		l.progress[peer] = p
	}
	return p
}

// quorumMatch is the last entry that a quorum of the voters has synced.
func (l *leadership) quorumMatch(voters Voters) ids.Index {
	return ids.Index(voters.QuorumValue(func(peer rpc.Peer) int64 { return int64(l.progressOf(peer).matchIndex) }))
}

// progress is how far one member follows, as its leader knows it. Learners have one too.
type progress struct {
	matchIndex    ids.Index // the last entry that is known to be synced on the member
	lastAck       time.Time // when the latest message was sent by whose answer it confirmed the term
	lastAdvance   time.Time // when it last took something new, entries or a part of a snapshot
	isReplicating bool      // it has a stream, until this is unset
}

// becomeLeader makes this member the leader. It serves once its first entry, an empty one
// of its own term, is committed. granted voted for it as of the moment sent.
func (r *Replica) becomeLeader(batch *storage.Batch, sent time.Time, granted []rpc.Peer) {
	l := &r.leadership
	l.isLeader, l.isServing, l.isTransferring = true, false, false
	l.ctx, l.cancel = context.WithCancel(r.node.env)
	l.progress = map[rpc.Peer]*progress{}
	for _, peer := range granted {
		l.progressOf(peer).lastAck = sent
	}
	last, _ := r.log.last()
	l.firstIndex = last + 1
	r.appendAsLeader(batch, rpc.Entry{Kind: entryEmpty})
	r.replicateToAll()
	r.node.kickAllHeartbeats()
}

// stepDown ends the leadership, if there is one; those who wait for a write are left unsure.
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
func (r *Replica) stepDownForTerm(term, higher ids.Term) {
	r.election.highestTermNumber = max(r.election.highestTermNumber, higher.Number)
	if r.currentTerm == term {
		r.stepDown("a member has the higher term " + higher.String())
	}
}

// reportCorruption is for what the protocol rules out: it is logged, and this member steps
// down rather than write to the log.
func (r *Replica) reportCorruption(cause string, fields ...any) {
	r.logEvent(eventlog.ReplicasDiverged, append([]any{"term", r.currentTerm.String(), "cause", cause}, fields...)...)
	r.stepDown("replicas contradict one another")
}

// resign steps down for a cause outside of the replica.
func (r *Replica) resign(cause string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stepDown(cause)
}

// checkQuorum steps down if no quorum has confirmed the term for twice consensus.election_timeout.
func (r *Replica) checkQuorum() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leadership.isLeader && r.node.env.Since(r.confirmedAt()) > 2*r.node.env.Config.ConsensusElectionTimeout {
		r.stepDown("no quorum in reach")
	}
}
