package consensus

import (
	"context"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

const (
	heartbeatTimeout = 500 * time.Millisecond
	// idleHeartbeatFactor multiplies the heartbeat period for nodes that vote in no shard led
	// by this node; the heartbeats tell them the leaders.
	idleHeartbeatFactor = 4
)

// heartbeater sends heartbeats to one core node, every consensus.heartbeat_period and
// whenever a read waits for confirmation. One message carries this node's leadership claims
// for all shards that it leads.
type heartbeater struct {
	trigger chan struct{} // requests an immediate heartbeat; capacity 1
	cancel  context.CancelFunc
	// contact is guarded by Node.mu.
	contact peerContact

	// sequence and acked are used only by the goroutine of runHeartbeats.
	sequence uint64     // of the last message; zero before the first
	acked    claimState // the last claims that were acknowledged
}

// sendNow requests an immediate heartbeat. It has no effect if one is already requested.
func (h *heartbeater) sendNow() {
	select {
	case h.trigger <- struct{}{}:
	default:
	}
}

// updateHeartbeaters starts a heartbeater for each new core node, and stops those of nodes
// that left the member list or have a different member id.
func (n *Node) updateHeartbeaters() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for peer, h := range n.heartbeaters {
		if _, ok := n.memberState(peer); !ok {
			h.cancel()
			delete(n.heartbeaters, peer)
			delete(n.receivedClaims, peer)
		}
	}
	for name, m := range n.members.View() {
		peer := rpc.Peer{Name: name, ID: m.ID}
		if !m.Core || name == n.env.Name || n.heartbeaters[peer] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(n.env)
		h := &heartbeater{trigger: make(chan struct{}, 1), cancel: cancel}
		n.heartbeaters[peer] = h
		n.env.Go(func() { n.runHeartbeats(ctx, peer, h) })
	}
}

// triggerHeartbeats requests immediate heartbeats to the given peers.
func (n *Node) triggerHeartbeats(peers []rpc.Peer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, peer := range peers {
		if h := n.heartbeaters[peer]; h != nil {
			h.sendNow()
		}
	}
}

// triggerAllHeartbeats requests immediate heartbeats to all core nodes, to announce a new
// leader.
func (n *Node) triggerAllHeartbeats() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, h := range n.heartbeaters {
		h.sendNow()
	}
}

// isVoterOfLedShard reports whether a peer is a voter of a shard that this node leads.
func (n *Node) isVoterOfLedShard(peer rpc.Peer) bool {
	for _, r := range n.replicas {
		r.mu.Lock()
		isVoter := r.leadership.isLeader && r.voters.Contains(peer)
		r.mu.Unlock()
		if isVoter {
			return true
		}
	}
	return false
}

// runHeartbeats sends heartbeats to a peer until ctx is cancelled.
func (n *Node) runHeartbeats(ctx context.Context, peer rpc.Peer, h *heartbeater) {
	due := time.Now().Add(1)
	for {
		isTriggered, err := environment.WaitUntil(ctx, due, h.trigger)
		if err != nil {
			return
		}
		interval := n.env.Config.ConsensusHeartbeatPeriod
		if isTriggered {
			// Triggers come about once per heartbeat period. The longer interval avoids a
			// periodic heartbeat in addition to each triggered one.
			interval = interval * 3 / 2
		}
		if !n.isVoterOfLedShard(peer) {
			interval = n.env.Config.ConsensusHeartbeatPeriod * idleHeartbeatFactor
		}
		due = time.Now().Add(interval)
		n.sendHeartbeat(ctx, peer, h)
	}
}

// sendHeartbeat sends one heartbeat and processes the response. It sends nothing if this
// node leads no shard.
func (n *Node) sendHeartbeat(ctx context.Context, peer rpc.Peer, h *heartbeater) {
	claims := n.claims()
	address, ok := n.addressOf(peer)
	if len(claims) == 0 || !ok {
		return
	}
	sentAt := n.env.Now()
	n.recordSent(h, sentAt)
	request := h.nextRequest(n.self, claims)
	var response rpc.HeartbeatResponse
	err := n.call(ctx, heartbeatTimeout, address, kindHeartbeat, request, &response)
	if err != nil || response.From != peer || response.Sequence != request.Sequence {
		return
	}
	n.recordReceived(peer)
	h.acknowledge(request, claims, response.BaseLost)
	if response.BaseLost {
		h.sendNow()
	} else {
		n.recordAcks(peer, sentAt, claims, &response)
	}
}

// claims returns the leadership claims for all shards that this node leads.
func (n *Node) claims() (claims []rpc.LeaderClaim) {
	for _, r := range n.replicas {
		r.mu.Lock()
		if r.leadership.isLeader {
			claims = append(claims, rpc.LeaderClaim{Shard: r.shard, Term: r.currentTerm, Commit: r.log.committed, Serving: r.leadership.isServing})
		}
		r.mu.Unlock()
	}
	return claims
}

// recordAcks processes a member's heartbeat response. Each claim that the member did not
// reject is confirmed as of sentAt, the time at which the heartbeat was sent.
func (n *Node) recordAcks(peer rpc.Peer, sentAt time.Time, claims []rpc.LeaderClaim, response *rpc.HeartbeatResponse) {
	higherTerms := map[ids.Shard]ids.Term{}
	for _, rejected := range response.Rejected {
		higherTerms[rejected.Shard] = rejected.Term
	}
	for _, claim := range claims {
		higherTerm, isRejected := higherTerms[claim.Shard]
		n.replicas[claim.Shard].recordAck(peer, sentAt, claim.Term, higherTerm, isRejected)
	}
}

// recordAck processes a member's response to one claim.
func (r *Replica) recordAck(peer rpc.Peer, sentAt time.Time, term, higherTerm ids.Term, isRejected bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isLeaderOfTerm(term) {
		return
	}
	if isRejected {
		r.stepDownForTerm(term, higherTerm)
	} else if p := r.leadership.progressOf(peer); p.lastAck.Before(sentAt) {
		p.lastAck = sentAt
		r.notifyChanged()
	}
}

// handleHeartbeat handles a heartbeat. A claim below the current term is rejected, and the
// response carries the current term.
func (n *Node) handleHeartbeat(request *rpc.HeartbeatRequest) (*rpc.HeartbeatResponse, error) {
	n.recordReceived(request.From)
	response := &rpc.HeartbeatResponse{From: n.self, Sequence: request.Sequence}
	claims, ok := n.fullClaims(request)
	if !ok {
		response.BaseLost = true
		return response, nil
	}
	for _, claim := range claims {
		r, err := n.replica(claim.Shard)
		if err != nil {
			continue
		}
		if higherTerm, ok := r.acceptClaim(claim); !ok {
			response.Rejected = append(response.Rejected, rpc.LeaderClaim{Shard: claim.Shard, Term: higherTerm})
		} else if claim.Serving {
			n.recordLeader(claim.Shard, request.From.Name, claim.Term)
		}
	}
	return response, nil
}

// acceptClaim accepts a leader's claim and advances the commit index, but not beyond the
// entries known to equal the leader's. It returns the current term and false if the claim
// is below that term.
func (r *Replica) acceptClaim(claim rpc.LeaderClaim) (currentTerm ids.Term, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if claim.Term.Less(r.currentTerm) {
		return r.currentTerm, false
	}
	r.election.lastLeaderContact = r.node.env.Now()
	if r.follower.matchTerm == claim.Term {
		r.advanceCommit(min(claim.Commit, r.follower.matchIndex))
	}
	return claim.Term, true
}
