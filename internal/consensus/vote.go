package consensus

import (
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
	"github.com/sumactrestle/sumactrestle/internal/storage"
)

const (
	// maxVoteBytes is how much of a log comes with a vote at most.
	maxVoteBytes = 64 << 10
	// maxTermJump is how far a term may be above the one known here. Term numbers rise by
	// one with each election, so one beyond that is damaged; if it was accepted, it would
	// leave no room for later ones.
	maxTermJump = 1 << 32
)

// checkTerm rejects a term that no election can have come to.
func (r *Replica) checkTerm(term ids.Term, from rpc.Peer) error {
	if term.Number <= r.currentTerm.Number || term.Number-r.currentTerm.Number <= maxTermJump {
		return nil
	}
	err := invalidMessageError(r.shard, "term %s is out of all order after %s", term, r.currentTerm)
	r.logEvent(eventlog.MessageRejected, "code", errcode.InvalidMessage.Number, "from", string(from.Name), "cause", err.Error())
	return err
}

// handleVote answers a candidate. A vote is synced before it is answered.
func (r *Replica) handleVote(request *rpc.VoteRequest) (*rpc.VoteResponse, error) {
	response, batch, err := r.vote(request)
	if err != nil || batch == nil {
		return response, err
	}
	if err := batch.Wait(); err != nil {
		return nil, err
	}
	r.trace(TraceEvent{Kind: TraceVoted, Term: request.Term})
	return response, nil
}

// vote decides on a candidate. The batch bears the vote and is submitted; none means that
// the vote is not granted.
func (r *Replica) vote(request *rpc.VoteRequest) (*rpc.VoteResponse, *storage.Batch, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.checkTerm(request.Term, request.From); err != nil {
		return nil, nil, err
	}
	response := &rpc.VoteResponse{From: r.node.self, CurrentTerm: r.currentTerm}
	if response.NotMember = r.isRemovedCandidate(request); response.NotMember {
		return response, nil, nil
	}
	if r.isFarAheadOf(request) {
		// The candidate has voted for its own term, so only a higher one passes there.
		r.election.highestTermNumber = max(r.election.highestTermNumber, request.Term.Number)
		r.node.runUnlessBusy(r.shard, func() { r.campaign(false) })
		return response, nil, nil
	}
	if !r.currentTerm.Less(request.Term) || !request.LeadershipTransfer && r.knowsWorkingLeader() {
		return response, nil, nil
	}
	r.stepDown("a candidate has a higher term")
	batch := r.node.store.NewBatch()
	r.raiseTerm(batch, request.Term)
	r.election.timerStart = r.node.env.Now()
	r.node.store.Submit(batch)
	response.Granted, response.CurrentTerm = true, request.Term
	r.attachLog(request, response)
	return response, batch, nil
}

// attachLog adds to a vote where this log ends, the voters that it names, and what the
// candidate lacks of it.
func (r *Replica) attachLog(request *rpc.VoteRequest, response *rpc.VoteResponse) {
	response.LastIndex, response.LastTerm = r.log.last()
	response.Voters, response.OutgoingVoters = r.voters.Current, r.voters.Outgoing
	if request.Commit < r.log.snapshot.Index {
		snapshot := r.log.snapshot
		response.Snapshot = &snapshot
	}
	if from := r.commonIndex(request); from < response.LastIndex {
		response.Entries = r.log.entriesAfter(from)
	}
}

// hasLeaderContact tells whether a leader was heard of late.
func (r *Replica) hasLeaderContact() bool {
	last := r.election.lastLeaderContact
	return !last.IsZero() && r.node.env.Since(last) < r.node.env.Config.ConsensusElectionTimeout*3/4
}

// knowsWorkingLeader tells whether this member heard a leader of late, or leads itself and
// was confirmed by a quorum of late.
func (r *Replica) knowsWorkingLeader() bool {
	return r.hasLeaderContact() || r.leadership.isLeader && r.node.env.Since(r.confirmedAt()) < r.node.env.Config.ConsensusElectionTimeout*3/4
}

// isRemovedCandidate tells whether a candidate has no vote among voters that are known to
// be committed, and lacks the entry that says so. The votes for it would count for
// nothing, and its term would only depose a leader.
func (r *Replica) isRemovedCandidate(request *rpc.VoteRequest) bool {
	last, lastTerm := r.log.last()
	isAhead := isLessAdvanced(last, lastTerm, request.LastIndex, request.LastTerm)
	return !isAhead && r.hasCommittedVoters() && !r.voters.Contains(request.From)
}

// isFarAheadOf tells whether a candidate lacks more of this log than can come with a vote:
// a snapshot, or many entries. This member campaigns itself then, if it can lead.
func (r *Replica) isFarAheadOf(request *rpc.VoteRequest) bool {
	if !r.voters.Contains(r.node.self) || r.election.isRemoved || r.node.IsStopping() {
		return false
	}
	last, lastTerm := r.log.last()
	if !isLessAdvanced(request.LastIndex, request.LastTerm, last, lastTerm) {
		return false
	}
	return request.LastIndex < r.log.snapshot.Index || bodyBytes(r.log.entriesAfter(r.commonIndex(request))) > maxVoteBytes
}

// commonIndex is up to where a candidate surely has the entries of this log: all of its own
// if this log runs through its last one, otherwise what it knows to be committed.
func (r *Replica) commonIndex(request *rpc.VoteRequest) ids.Index {
	if r.log.contains(request.LastIndex, request.LastTerm) {
		return request.LastIndex
	}
	return request.Commit
}

// markRemoved has this member rest until a leader sends it entries again: it was told that
// it has no vote any more. Its log stays as it is.
func (r *Replica) markRemoved() {
	if !r.election.isRemoved {
		r.election.isRemoved = true
		r.logEvent(eventlog.MemberRemoved, "last_members", r.voters.String())
	}
}
