package consensus

import (
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
	"github.com/sumactrestle/sumactrestle/internal/storage"
)

const (
	// maxVoteBytes limits the size of the log entries attached to a vote.
	maxVoteBytes = 64 << 10
	// maxTermJump limits how far a received term number may be above the current one. Term
	// numbers rise by one per election, so a larger jump is a damaged number; accepting it
	// could use up the range of term numbers.
	maxTermJump = 1 << 32
)

// checkTerm rejects a term more than maxTermJump above the current one.
func (r *Replica) checkTerm(term ids.Term, from rpc.Peer) error {
	if term.Number <= r.currentTerm.Number || term.Number-r.currentTerm.Number <= maxTermJump {
		return nil
	}
	err := invalidMessageError(r.shard, "term %s is implausibly far above the current term %s", term, r.currentTerm)
	r.logEvent(eventlog.MessageRejected, "code", errcode.InvalidMessage.Number, "from", string(from.Name), "cause", err.Error())
	return err
}

// handleVote handles a vote request. A granted vote is synced before the response is sent.
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

// vote decides on a vote request. If the vote is granted, the submitted batch contains it;
// otherwise the batch is nil.
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
	if r.isTooFarAheadOf(request) {
		// The candidate has voted in its own term and grants votes only in higher ones.
		r.election.highestTermNumber = max(r.election.highestTermNumber, request.Term.Number)
		r.node.runUnlessBusy(r.shard, func() { r.campaign(false) })
		return response, nil, nil
	}
	if !r.currentTerm.Less(request.Term) || !request.LeadershipTransfer && r.knowsActiveLeader() {
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

// attachLog adds to a vote the last index and term of this log, its newest voters, and the
// snapshot and entries that the candidate lacks.
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

// hasRecentLeaderContact reports whether this member had contact with a leader within three
// quarters of consensus.election_timeout.
func (r *Replica) hasRecentLeaderContact() bool {
	last := r.election.lastLeaderContact
	return !last.IsZero() && r.node.env.Since(last) < r.node.env.Config.ConsensusElectionTimeout*3/4
}

// knowsActiveLeader reports whether this member had recent contact with a leader, or is the
// leader and was recently confirmed by a quorum.
func (r *Replica) knowsActiveLeader() bool {
	return r.hasRecentLeaderContact() || r.leadership.isLeader && r.node.env.Since(r.confirmedAt()) < r.node.env.Config.ConsensusElectionTimeout*3/4
}

// isRemovedCandidate reports whether a candidate is absent from voters that are known to be
// committed, and its log is not ahead of this one. Such a candidate can't win, and its term
// would only depose the leader.
func (r *Replica) isRemovedCandidate(request *rpc.VoteRequest) bool {
	last, lastTerm := r.log.last()
	isAhead := isLessAdvanced(last, lastTerm, request.LastIndex, request.LastTerm)
	return !isAhead && r.hasCommittedVoters() && !r.voters.Contains(request.From)
}

// isTooFarAheadOf reports whether a candidate lacks more of this log than can be attached to
// a vote, either a snapshot or more than maxVoteBytes of entries, and this member can
// campaign instead.
func (r *Replica) isTooFarAheadOf(request *rpc.VoteRequest) bool {
	if !r.voters.Contains(r.node.self) || r.election.isRemoved || r.node.IsStopping() {
		return false
	}
	last, lastTerm := r.log.last()
	if !isLessAdvanced(request.LastIndex, request.LastTerm, last, lastTerm) {
		return false
	}
	return request.LastIndex < r.log.snapshot.Index || bodyBytes(r.log.entriesAfter(r.commonIndex(request))) > maxVoteBytes
}

// commonIndex returns the last index up to which the candidate's log is known to equal this
// one: the candidate's last index if this log contains that entry, otherwise its commit
// index.
func (r *Replica) commonIndex(request *rpc.VoteRequest) ids.Index {
	if r.log.contains(request.LastIndex, request.LastTerm) {
		return request.LastIndex
	}
	return request.Commit
}

// markRemoved records a voter's response that this member is no longer a voter. The member
// does not campaign until a leader sends it entries again. Its log is unchanged.
func (r *Replica) markRemoved() {
	if !r.election.isRemoved {
		r.election.isRemoved = true
		r.logEvent(eventlog.MemberRemoved, "last_members", r.voters.String())
	}
}
