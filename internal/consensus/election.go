package consensus

import (
	"context"
	"errors"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
	"github.com/sumactrestle/sumactrestle/internal/storage"
)

// voteTimeout bounds the collection of votes in one campaign.
const voteTimeout = 800 * time.Millisecond

// canCampaign reports whether this member is a voter, and neither the leader nor removed.
// Callers check for a planned stop.
func (r *Replica) canCampaign() bool {
	return !r.leadership.isLeader && !r.election.isRemoved && r.voters.Contains(r.node.self)
}

// isElectionDue reports whether this member's election timer has expired. The first live
// voter in election order waits for consensus.election_timeout, and each following one half
// of that longer, so that they don't campaign at the same time.
func (r *Replica) isElectionDue() bool {
	if r.node.IsStopping() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.canCampaign() {
		return false
	}
	timeout := r.node.env.Config.ConsensusElectionTimeout
	if r.election.lastLeaderContact.IsZero() {
		// After a start it is enough to wait for one heartbeat of an active leader; a
		// member that receives one votes for no other candidate.
		timeout = min(timeout, r.node.env.Config.ConsensusHeartbeatPeriod*3/2)
	}
	lastReset := r.election.lastLeaderContact
	if lastReset.Before(r.election.timerStart) {
		lastReset = r.election.timerStart
	}
	if r.node.env.Since(lastReset) <= timeout {
		return false
	}
	rank := 0
	for _, peer := range ElectionOrder(r.shard, r.voters.All()) {
		if peer == r.node.self {
			break
		}
		if r.node.members.IsLive(peer) {
			rank++
		}
	}
	return r.node.env.Since(lastReset) > timeout+time.Duration(rank)*timeout/2
}

// campaign runs for leader under a new term. isTransfer means that the leader requested it,
// so the voters grant their votes in spite of recent contact with that leader.
func (r *Replica) campaign(isTransfer bool) {
	request, ownVote, batch := r.startCampaign(isTransfer)
	if request == nil || batch.Wait() != nil {
		return
	}
	r.trace(TraceEvent{Kind: TraceVoted, Term: request.Term})
	sentAt := r.node.env.Now()
	bestVote, granted := r.collectVotes(request, ownVote)
	if bestVote == nil || !votersFromVote(bestVote).Contains(r.node.self) {
		r.logEvent(eventlog.ElectionFailed, "term", request.Term.String())
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.currentTerm != request.Term || r.node.env.IsStopping() {
		return
	}
	batch = r.node.store.NewBatch()
	if bestVote != ownVote {
		if !r.adoptLog(batch, bestVote) {
			return
		}
	}
	last, _ := r.log.last()
	r.trace(TraceEvent{Kind: TraceElected, Term: request.Term, Index: last, Voters: r.voters, Granted: granted, TermAt: r.log.termAt})
	r.becomeLeader(batch, sentAt, granted)
}

// startCampaign raises the term and returns the vote request, this member's own vote and the
// batch, which must be synced before the request is sent or the vote is counted. The request
// is nil if this member may not campaign.
func (r *Replica) startCampaign(isTransfer bool) (request *rpc.VoteRequest, ownVote *rpc.VoteResponse, batch *storage.Batch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.canCampaign() || r.node.IsStopping() {
		return nil, nil, nil
	}
	term := ids.Term{Number: max(r.currentTerm.Number, r.election.highestTermNumber) + 1, Node: r.node.self.Name}
	batch = r.node.store.NewBatch()
	r.raiseTerm(batch, term)
	r.election.timerStart = r.node.env.Now()
	r.node.store.Submit(batch)
	ownVote = &rpc.VoteResponse{From: r.node.self, Granted: true, Voters: r.voters.Current, OutgoingVoters: r.voters.Outgoing}
	ownVote.LastIndex, ownVote.LastTerm = r.log.last()
	request = &rpc.VoteRequest{
		Shard: r.shard, Term: term, From: r.node.self, Commit: r.log.committed,
		LastIndex: ownVote.LastIndex, LastTerm: ownVote.LastTerm, LeadershipTransfer: isTransfer,
	}
	return request, ownVote, batch
}

// collectVotes requests votes until those granted are a quorum of the voters in the most
// advanced log among them. It returns the vote with that log and the members that voted, or
// nil if there is no quorum within voteTimeout. This member's own list of voters may be
// outdated, so each more advanced log adds its voters to those requested.
func (r *Replica) collectVotes(request *rpc.VoteRequest, ownVote *rpc.VoteResponse) (bestVote *rpc.VoteResponse, granted []rpc.Peer) {
	ctx, cancel := context.WithTimeout(r.node.env, voteTimeout)
	defer cancel()
	responses := make(chan *rpc.VoteResponse)
	requested := map[rpc.Peer]bool{r.node.self: true}
	pending := 0
	requestFrom := func(voters Voters) {
		for _, peer := range voters.All() {
			if requested[peer] {
				continue
			}
			requested[peer] = true
			pending++
			r.node.env.Go(func() {
				response := r.requestVote(ctx, request, peer)
				select {
				case responses <- response:
				case <-ctx.Done():
				}
			})
		}
	}
	bestVote, granted = ownVote, []rpc.Peer{r.node.self}
	requestFrom(votersFromVote(bestVote))
	for {
		if votersFromVote(bestVote).HasQuorum(granted) {
			return bestVote, granted
		}
		if pending == 0 {
			return nil, nil
		}
		select {
		case response := <-responses:
			pending--
			if response == nil {
				continue
			}
			granted = append(granted, response.From)
			if isLessAdvanced(bestVote.LastIndex, bestVote.LastTerm, response.LastIndex, response.LastTerm) {
				bestVote = response
				requestFrom(votersFromVote(bestVote))
			}
		case <-ctx.Done():
			return nil, nil
		}
	}
}

// votersFromVote returns the newest voters in the log of the member that voted.
func votersFromVote(vote *rpc.VoteResponse) Voters {
	return Voters{Current: vote.Voters, Outgoing: vote.OutgoingVoters}
}

// requestVote requests the vote of one member. It returns nil if the member can't be reached
// or rejects the request.
func (r *Replica) requestVote(ctx context.Context, request *rpc.VoteRequest, peer rpc.Peer) *rpc.VoteResponse {
	address, ok := r.node.addressOf(peer)
	if !ok {
		return nil
	}
	response := &rpc.VoteResponse{}
	if err := r.node.transport.Call(ctx, address, kindVote, request, response); err != nil || response.From != peer {
		return nil
	}
	if response.Granted {
		return response
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if response.NotMember {
		r.markRemoved()
	}
	r.election.highestTermNumber = max(r.election.highestTermNumber, response.CurrentTerm.Number)
	return nil
}

// adoptLog replaces the uncommitted part of this log by the log attached to a vote, and
// reports whether it succeeded.
func (r *Replica) adoptLog(batch *storage.Batch, vote *rpc.VoteResponse) bool {
	if vote.Snapshot != nil && vote.Snapshot.Index > r.log.committed {
		if err := r.installSnapshot(batch, vote.Snapshot); err != nil {
			return false
		}
	}
	if last, _ := r.log.last(); last > vote.LastIndex {
		r.log.truncateAfter(batch, max(vote.LastIndex, r.log.committed))
	}
	if err := r.mergeEntries(batch, vote.Entries); err != nil {
		r.logEvent(eventlog.ElectionFailed, "cause", err.Error())
		if conflict := (*committedConflictError)(nil); errors.As(err, &conflict) {
			r.reportCorruption(err.Error(), "from", string(vote.From.Name))
		}
		r.node.store.Submit(batch)
		return false
	}
	return true
}
