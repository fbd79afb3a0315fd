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

// voteTimeout is how long a candidate collects votes.
const voteTimeout = 800 * time.Millisecond

// canCampaign tells whether this member may campaign, other than for a planned stop.
func (r *Replica) canCampaign() bool {
	return !r.leadership.isLeader && !r.election.isRemoved && r.voters.Contains(r.node.self)
}

// isElectionDue tells whether the leader was silent for long enough. The first live member
// in election order campaigns after consensus.election_timeout, each later one half of that after it.
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
		// After a start, one heartbeat of a working leader is waited for; a member that
		// hears one votes for nobody else.
		timeout = min(timeout, r.node.env.Config.ConsensusHeartbeatPeriod*3/2)
	}
	start := r.election.lastLeaderContact
	if start.Before(r.election.timerStart) {
		start = r.election.timerStart
	}
	if r.node.env.Since(start) <= timeout {
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
	return r.node.env.Since(start) > timeout+time.Duration(rank)*timeout/2
}

// campaign runs for leader under a new term. isTransfer says that the leader asked for it,
// so that the members vote although they heard that leader just now.
func (r *Replica) campaign(isTransfer bool) {
	request, own, batch := r.startCampaign(isTransfer)
	if request == nil || batch.Wait() != nil {
		return
	}
	r.trace(TraceEvent{Kind: TraceVoted, Term: request.Term})
	sent := r.node.env.Now()
	best, granted := r.collectVotes(request, own)
	if best == nil || !votersNamedBy(best).Contains(r.node.self) {
		r.logEvent(eventlog.ElectionFailed, "term", request.Term.String())
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.currentTerm != request.Term || r.node.env.IsStopping() {
		return
	}
	batch = r.node.store.NewBatch()
	if best != own {
		if !r.adoptLog(batch, best) {
			return
		}
	}
	last, _ := r.log.last()
	r.trace(TraceEvent{Kind: TraceElected, Term: request.Term, Index: last, Voters: r.voters, Granted: granted, TermAt: r.log.termAt})
	r.becomeLeader(batch, sent, granted)
}

// startCampaign raises the term and returns the request for votes, this member's own vote
// and the batch that must be synced before either counts; no request if this member may
// not campaign.
func (r *Replica) startCampaign(isTransfer bool) (request *rpc.VoteRequest, own *rpc.VoteResponse, batch *storage.Batch) {
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
	own = &rpc.VoteResponse{From: r.node.self, Granted: true, Voters: r.voters.Current, OutgoingVoters: r.voters.Outgoing}
	own.LastIndex, own.LastTerm = r.log.last()
	request = &rpc.VoteRequest{
		Shard: r.shard, Term: term, From: r.node.self, Commit: r.log.committed,
		LastIndex: own.LastIndex, LastTerm: own.LastTerm, LeadershipTransfer: isTransfer,
	}
	return request, own, batch
}

// collectVotes asks for votes until a quorum of the voters that the most advanced log
// among them names has given one, and returns the vote with that log. The voters known
// here may be outdated; only the adopted log tells who has a vote.
func (r *Replica) collectVotes(request *rpc.VoteRequest, own *rpc.VoteResponse) (best *rpc.VoteResponse, granted []rpc.Peer) {
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
	best, granted = own, []rpc.Peer{r.node.self}
	requestFrom(votersNamedBy(best))
	for {
		if votersNamedBy(best).HasQuorum(granted) {
			return best, granted
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
			if isLessAdvanced(best.LastIndex, best.LastTerm, response.LastIndex, response.LastTerm) {
				best = response
				requestFrom(votersNamedBy(best))
			}
		case <-ctx.Done():
			return nil, nil
		}
	}
}

// votersNamedBy returns the voters that the log behind a vote names.
func votersNamedBy(response *rpc.VoteResponse) Voters {
	return Voters{Current: response.Voters, Outgoing: response.OutgoingVoters}
}

// requestVote asks one member for its vote; nil if it can't be reached or rejects.
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

// adoptLog makes this log equal to the one behind a vote; false if it can't be.
func (r *Replica) adoptLog(batch *storage.Batch, best *rpc.VoteResponse) bool {
	if best.Snapshot != nil && best.Snapshot.Index > r.log.committed {
		if err := r.installSnapshot(batch, best.Snapshot); err != nil {
			return false
		}
	}
	if last, _ := r.log.last(); last > best.LastIndex {
		r.log.truncateAfter(batch, max(best.LastIndex, r.log.committed))
	}
	if err := r.mergeEntries(batch, best.Entries); err != nil {
		r.logEvent(eventlog.ElectionFailed, "cause", err.Error())
		if conflict := (*committedConflictError)(nil); errors.As(err, &conflict) {
			r.reportCorruption(err.Error(), "from", string(best.From.Name))
		}
		r.node.store.Submit(batch)
		return false
	}
	return true
}
