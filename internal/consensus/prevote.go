package consensus

import (
	"context"
	"slices"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

const (
	prevoteTimeout  = 100 * time.Millisecond // bounds one pre-vote
	prevoteGrace    = 30 * time.Millisecond  // bounds the wait for more responses after the first
	prevoteInterval = 30 * time.Millisecond  // between two pre-votes after a start
)

// isStartupPrevoteDue reports whether this member may campaign and has neither had contact
// with a leader nor voted since it started.
func (r *Replica) isStartupPrevoteDue() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.canCampaign() && r.election.lastLeaderContact.IsZero() && r.follower.matchTerm == ids.Term{}
}

// rejectsPrevote reports whether this member leads the shard, had recent contact with its
// leader, or voted recently.
func (r *Replica) rejectsPrevote() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	hasVoted := r.follower.matchTerm != ids.Term{} && r.node.env.Since(r.election.timerStart) < r.node.env.Config.ConsensusElectionTimeout/2
	return r.leadership.isLeader || r.hasRecentLeaderContact() || hasVoted
}

// handlePrevote handles a pre-vote: it returns the shards for which the pre-vote is rejected.
// It changes no term and grants no vote.
func (n *Node) handlePrevote(request *rpc.PreVoteRequest) (*rpc.PreVoteResponse, error) {
	response := &rpc.PreVoteResponse{From: n.self}
	for _, shard := range request.Shards {
		if r, err := n.replica(shard); err != nil || r.rejectsPrevote() {
			response.LedShards = append(response.LedShards, shard)
		}
	}
	return response, nil
}

// prevoteAtStartup repeats pre-votes for the shards that have had no leader or candidate
// since the start, until there are none. After a restart of all processes, the cluster thus
// elects leaders without waiting for the election timeout, after which members campaign in
// any case.
func (n *Node) prevoteAtStartup() {
	select {
	case <-n.Bootstrapped:
	case <-n.env.Done():
		return
	}
	for n.env.Sleep(environment.Jitter(prevoteInterval)) && !n.IsStopping() {
		var due []*Replica
		for _, r := range n.replicas {
			if r.isStartupPrevoteDue() {
				due = append(due, r)
			}
		}
		if len(due) == 0 {
			return
		}
		responses := n.requestPrevotes(due)
		for _, r := range due {
			if r.isStartupPrevoteDue() && r.canCampaignAtStartup(responses) {
				n.runUnlessBusy(r.shard, func() { r.campaign(false) })
			}
		}
	}
}

// prevoteAndCampaign campaigns for the shards whose election timer has expired, if a quorum
// has no contact with the leader either: a member that is partitioned, or on a slow link,
// must not depose a leader that the other members follow.
func (n *Node) prevoteAndCampaign(due []*Replica) {
	if len(due) == 0 || !n.isPrevoting.CompareAndSwap(false, true) {
		return
	}
	n.env.Go(func() {
		defer n.isPrevoting.Store(false)
		responses := n.requestPrevotes(due)
		for _, r := range due {
			if r.isElectionDue() && r.hasPrevoteQuorum(responses) {
				n.runUnlessBusy(r.shard, func() { r.campaign(false) })
			}
		}
	})
}

// hasPrevoteQuorum reports whether a quorum, counting this member, granted the pre-vote.
func (r *Replica) hasPrevoteQuorum(responses map[rpc.Peer]*rpc.PreVoteResponse) bool {
	voters := r.currentVoters()
	supporters := []rpc.Peer{r.node.self}
	for peer, response := range responses {
		if !slices.Contains(response.LedShards, r.shard) {
			supporters = append(supporters, peer)
		}
	}
	return voters.HasQuorum(supporters)
}

// requestPrevotes sends a pre-vote for the given replicas to all live core nodes, and returns
// the responses that arrive in time. Without replicas it only probes which nodes respond.
func (n *Node) requestPrevotes(replicas []*Replica) map[rpc.Peer]*rpc.PreVoteResponse {
	request := &rpc.PreVoteRequest{}
	for _, r := range replicas {
		request.Shards = append(request.Shards, r.shard)
	}
	ctx, cancel := context.WithTimeout(n.env, prevoteTimeout)
	defer cancel()
	var cores []rpc.Member
	for _, m := range n.members.CoreMembers() {
		if m.Name != n.env.Name {
			cores = append(cores, m)
		}
	}
	results := make(chan *rpc.PreVoteResponse, len(cores))
	for _, m := range cores {
		n.env.Go(func() {
			response := &rpc.PreVoteResponse{}
			if n.transport.Call(ctx, m.RPCAddress, kindPrevote, request, response) != nil {
				response = nil
			}
			results <- response
		})
	}
	responses := map[rpc.Peer]*rpc.PreVoteResponse{}
	var grace <-chan time.Time
	for range cores {
		select {
		case response := <-results:
			if response == nil {
				continue
			}
			responses[response.From] = response
			if grace == nil {
				timer := time.NewTimer(prevoteGrace)
				defer timer.Stop()
				grace = timer.C
			}
		case <-grace:
			return responses
		}
	}
	return responses
}

// canCampaignAtStartup reports whether a quorum of the voters responded, none of the voters
// that responded rejected the pre-vote, and this member is the first of them in election
// order.
func (r *Replica) canCampaignAtStartup(responses map[rpc.Peer]*rpc.PreVoteResponse) bool {
	voters := r.currentVoters()
	var responders []rpc.Peer
	for _, peer := range voters.All() {
		response := responses[peer]
		if peer != r.node.self && response == nil {
			continue
		}
		if response != nil && slices.Contains(response.LedShards, r.shard) {
			return false
		}
		responders = append(responders, peer)
	}
	return voters.HasQuorum(responders) && ElectionOrder(r.shard, responders)[0] == r.node.self
}
