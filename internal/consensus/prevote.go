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
	prevoteTimeout  = 100 * time.Millisecond // for all members
	prevoteGrace    = 30 * time.Millisecond  // for the others once one has answered
	prevoteInterval = 30 * time.Millisecond  // between two pre-votes after a start
)

// isUnaware tells whether this member knows neither a leader nor a candidate since it
// started, and would vote for itself.
func (r *Replica) isUnaware() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.canCampaign() && r.election.lastLeaderContact.IsZero() && r.follower.matchTerm == ids.Term{}
}

// knowsLeader tells whether this member leads the shard, heard its leader of late, or
// voted a moment ago.
func (r *Replica) knowsLeader() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	hasVoted := r.follower.matchTerm != ids.Term{} && r.node.env.Since(r.election.timerStart) < r.node.env.Config.ConsensusElectionTimeout/2
	return r.leadership.isLeader || r.hasLeaderContact() || hasVoted
}

// handlePrevote answers a pre-vote. No term rises by it, and nothing is promised.
func (n *Node) handlePrevote(request *rpc.PreVoteRequest) (*rpc.PreVoteResponse, error) {
	response := &rpc.PreVoteResponse{From: n.self}
	for _, shard := range request.Shards {
		if r, err := n.replica(shard); err != nil || r.knowsLeader() {
			response.LedShards = append(response.LedShards, shard)
		}
	}
	return response, nil
}

// prevoteAfterStart asks about the shards of which nobody was heard since the start, until
// there is none, so that a cluster that lost all its processes does not wait for leaders
// that are gone. Whoever has waited for the whole time-out campaigns without this.
func (n *Node) prevoteAfterStart() {
	select {
	case <-n.Bootstrapped:
	case <-n.env.Done():
		return
	}
	for n.env.Sleep(environment.Jitter(prevoteInterval)) && !n.IsStopping() {
		var unaware []*Replica
		for _, r := range n.replicas {
			if r.isUnaware() {
				unaware = append(unaware, r)
			}
		}
		if len(unaware) == 0 {
			return
		}
		responses := n.requestPrevotes(unaware)
		for _, r := range unaware {
			if r.isUnaware() && r.mayCampaignAfterStart(responses) {
				n.runUnlessBusy(r.shard, func() { r.campaign(false) })
			}
		}
	}
}

// prevoteAndCampaign campaigns for shards whose leader is silent, if a quorum has not heard
// it either: a member that is cut off, or on a slow link, must not depose a leader that
// the others hear.
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

// hasPrevoteQuorum tells whether a quorum, with this member, knows no leader.
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

// requestPrevotes asks all live core nodes about some shards, and returns what those
// answered who did in time. About no shard, it only tells who answers.
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

// mayCampaignAfterStart tells whether a quorum answered, everybody who answered knows no
// leader, and this member is the first of them in election order.
func (r *Replica) mayCampaignAfterStart(responses map[rpc.Peer]*rpc.PreVoteResponse) bool {
	voters := r.currentVoters()
	var answered []rpc.Peer
	for _, peer := range voters.All() {
		response := responses[peer]
		if peer != r.node.self && response == nil {
			continue
		}
		if response != nil && slices.Contains(response.LedShards, r.shard) {
			return false
		}
		answered = append(answered, peer)
	}
	return voters.HasQuorum(answered) && ElectionOrder(r.shard, answered)[0] == r.node.self
}
