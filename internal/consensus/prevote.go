// Standing early after a start. A member that has heard no owner since it started
// asks all members of its parts whether they know of one (a pre-vote: nothing is
// promised by it, and no term rises). Only where a majority answers, and everyone who
// answers knows of none, does the first of them in the agreed order stand at once;
// else the silence is awaited as ever. So nobody takes a part from a working owner,
// and a fleet that lost all its processes does not wait for owners that are gone.
package consensus

import (
	"context"
	"slices"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// How long all members are waited for, and how long the others are once one has
// answered; and the pause between two rounds.
const (
	prevoteTimeout  = 100 * time.Millisecond
	prevoteGrace    = 30 * time.Millisecond
	prevoteInterval = 30 * time.Millisecond
)

// isUnaware tells whether this member knows of no owner and of nobody who stands,
// and has not waited long enough to stand without having asked.
func (r *Replica) isUnaware() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.isLeader && !r.isRemoved && r.voters.Contains(r.node.self) && r.lastLeaderContact.IsZero() && r.leaderMatchTerm == ids.Term{}
}

// hasLiveLeader tells whether this member owns the part, heard its owner of late, or
// promised it to somebody a moment ago.
func (r *Replica) hasLiveLeader() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	timeout := r.node.env.Config.PactSilence
	hasContact := !r.lastLeaderContact.IsZero() && r.node.env.Since(r.lastLeaderContact) < timeout*3/4
	hasVoted := r.leaderMatchTerm != ids.Term{} && r.node.env.Since(r.electionTimerStart) < timeout/2
	return r.isLeader || hasContact || hasVoted
}

// handlePrevote answers a pre-vote.
func (n *Node) handlePrevote(request *rpc.PreVoteRequest) *rpc.PreVoteResponse {
	response := &rpc.PreVoteResponse{From: n.self}
	for _, shard := range request.Shards {
		if r, err := n.lookupReplica(shard); err != nil || r.hasLiveLeader() {
			response.LedShards = append(response.LedShards, shard)
		}
	}
	return response
}

// prevoteAfterStart asks in rounds for the parts that nobody was heard of, until there is
// none: whoever has waited for the whole silence stands without having asked.
func (n *Node) prevoteAfterStart() {
	select {
	case <-n.Bootstrapped:
	case <-n.env.Done():
		return
	}
	for n.env.Sleep(environment.Jitter(prevoteInterval)) && !n.IsStopping() {
		var shards []ids.Shard
		for _, r := range n.replicas {
			if r.isUnaware() {
				shards = append(shards, r.shard)
			}
		}
		if len(shards) == 0 {
			return
		}
		responses := n.requestPrevotes(shards)
		for _, shard := range shards {
			if r := n.replicas[shard]; r.isUnaware() && r.mayCampaignAfterStart(responses) {
				n.runOnce(shard, func() { r.campaign(false) })
			}
		}
	}
}

// prevoteAndCampaign stands for parts whose owner is silent, where a majority has not heard
// one either: who is cut off, or on a slow link, must not end the work of an owner
// that the others hear.
func (n *Node) prevoteAndCampaign(due []*Replica) {
	if len(due) == 0 || !n.isPrevoting.CompareAndSwap(false, true) {
		return
	}
	n.env.Go(func() {
		defer n.isPrevoting.Store(false)
		var shards []ids.Shard
		for _, r := range due {
			shards = append(shards, r.shard)
		}
		responses := n.requestPrevotes(shards)
		for _, r := range due {
			if r.isElectionDue() && r.hasPrevoteQuorum(responses) {
				n.runOnce(r.shard, func() { r.campaign(false) })
			}
		}
	})
}

// hasPrevoteQuorum tells whether enough members to decide know of no owner.
func (r *Replica) hasPrevoteQuorum(responses map[rpc.Peer]*rpc.PreVoteResponse) bool {
	r.mu.Lock()
	voters := r.voters
	r.mu.Unlock()
	supporters := []rpc.Peer{r.node.self}
	for peer, response := range responses {
		if !slices.Contains(response.LedShards, r.shard) {
			supporters = append(supporters, peer)
		}
	}
	return voters.HasQuorum(supporters)
}

func (n *Node) requestPrevotes(shards []ids.Shard) map[rpc.Peer]*rpc.PreVoteResponse {
	ctx, end := context.WithTimeout(n.env, prevoteTimeout)
	defer end()
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
			if n.transport.Call(ctx, m.RPCAddress, "pact.prevote", &rpc.PreVoteRequest{Shards: shards}, response) != nil {
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
				wakeup := time.NewTimer(prevoteGrace)
				defer wakeup.Stop()
				grace = wakeup.C
			}
		case <-grace:
			return responses
		}
	}
	return responses
}

// mayCampaignAfterStart tells whether a majority answered, all who did know of no owner, and this
// member is the first of them.
func (r *Replica) mayCampaignAfterStart(responses map[rpc.Peer]*rpc.PreVoteResponse) bool {
	r.mu.Lock()
	voters := r.voters
	r.mu.Unlock()
	var answered []rpc.Peer
	for _, peer := range voters.All() {
		response := responses[peer]
		if peer != r.node.self && response == nil {
			continue
		}
		if response != nil {
			for _, shard := range response.LedShards {
				if shard == r.shard {
					return false
				}
			}
		}
		answered = append(answered, peer)
	}
	return voters.HasQuorum(answered) && ElectionOrder(r.shard, answered)[0] == r.node.self
}
