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
	// idleHeartbeatFactor is how much more seldom those are told who leads that vote for
	// nothing led here.
	idleHeartbeatFactor = 4
)

// heartbeater sends heartbeats to one core node. One message carries the claims of this
// node to all the shards it leads, every consensus.heartbeat_period and whenever a read waits.
type heartbeater struct {
	kick   chan struct{} // has one place; a message is sent at once when it is filled
	cancel context.CancelFunc
	// contact is guarded by the node's lock.
	contact peerContact

	// sequence and acked belong to the task that sends.
	sequence uint64     // of the last message; zero before the first
	acked    claimState // the last claims that were answered
}

// sendNow has a message sent at once, unless that is due already.
func (h *heartbeater) sendNow() {
	select {
	case h.kick <- struct{}{}:
	default:
	}
}

// keepHeartbeats starts a heartbeater for each core node that is new, and ends those of
// nodes that are gone or are under another member id.
func (n *Node) keepHeartbeats() {
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
		h := &heartbeater{kick: make(chan struct{}, 1), cancel: cancel}
		n.heartbeaters[peer] = h
		n.env.Go(func() { n.runHeartbeats(ctx, peer, h) })
	}
}

// kickHeartbeats has heartbeats sent to some members at once.
func (n *Node) kickHeartbeats(peers []rpc.Peer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, peer := range peers {
		if h := n.heartbeaters[peer]; h != nil {
			h.sendNow()
		}
	}
}

// kickAllHeartbeats has heartbeats sent to everybody at once, who learns of a new leader so.
func (n *Node) kickAllHeartbeats() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, h := range n.heartbeaters {
		h.sendNow()
	}
}

// isVoterOfLedShard tells whether a peer votes in a shard that this node leads.
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

// runHeartbeats sends heartbeats to a peer until the context ends.
func (n *Node) runHeartbeats(ctx context.Context, peer rpc.Peer, h *heartbeater) {
	due := time.Now().Add(1)
	for {
		isKicked, err := environment.WaitUntil(ctx, due, h.kick)
		if err != nil {
			return
		}
		pause := n.env.Config.ConsensusHeartbeatPeriod
		if isKicked {
			// Kicks come about as often as heartbeats fall due. The next one is waited for a
			// little longer, or there would be two messages for each.
			pause = pause * 3 / 2
		}
		if !n.isVoterOfLedShard(peer) {
			pause = n.env.Config.ConsensusHeartbeatPeriod * idleHeartbeatFactor
		}
		due = time.Now().Add(pause)
		n.sendHeartbeat(ctx, peer, h)
	}
}

// sendHeartbeat sends one message, if this node leads anything.
func (n *Node) sendHeartbeat(ctx context.Context, peer rpc.Peer, h *heartbeater) {
	claims := n.claims()
	address, ok := n.addressOf(peer)
	if len(claims) == 0 || !ok {
		return
	}
	sent := n.env.Now()
	n.recordSent(h, sent)
	request := h.nextRequest(n.self, claims)
	var response rpc.HeartbeatResponse
	err := n.call(ctx, heartbeatTimeout, address, kindHeartbeat, request, &response)
	if err != nil || response.From != peer || response.Sequence != request.Sequence {
		return
	}
	n.recordHeard(peer)
	h.acknowledge(request, claims, response.BaseLost)
	if response.BaseLost {
		h.sendNow()
	} else {
		n.recordAcks(peer, sent, claims, &response)
	}
}

// claims is the claims to all shards that this node leads.
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

// recordAcks notes a member's answer: it confirms every claim that it does not reject, as
// of the moment at which the message was sent.
func (n *Node) recordAcks(peer rpc.Peer, sent time.Time, claims []rpc.LeaderClaim, response *rpc.HeartbeatResponse) {
	higherTerms := map[ids.Shard]ids.Term{}
	for _, rejected := range response.Rejected {
		higherTerms[rejected.Shard] = rejected.Term
	}
	for _, claim := range claims {
		higher, isRejected := higherTerms[claim.Shard]
		n.replicas[claim.Shard].recordAck(peer, sent, claim.Term, higher, isRejected)
	}
}

// recordAck notes a member's answer to one claim.
func (r *Replica) recordAck(peer rpc.Peer, sent time.Time, term, higher ids.Term, isRejected bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isLeaderOfTerm(term) {
		return
	}
	if isRejected {
		r.stepDownForTerm(term, higher)
	} else if p := r.leadership.progressOf(peer); p.lastAck.Before(sent) {
		p.lastAck = sent
		r.notifyChanged()
	}
}

// handleHeartbeat answers a heartbeat. A claim below the current term is rejected with it.
func (n *Node) handleHeartbeat(request *rpc.HeartbeatRequest) (*rpc.HeartbeatResponse, error) {
	n.recordHeard(request.From)
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
		if higher, ok := r.acceptClaim(claim); !ok {
			response.Rejected = append(response.Rejected, rpc.LeaderClaim{Shard: claim.Shard, Term: higher})
		} else if claim.Serving {
			n.recordLeader(claim.Shard, request.From.Name, claim.Term)
		}
	}
	return response, nil
}

// acceptClaim takes a leader's claim, and commits what it says as far as this log is known
// to equal the leader's. A claim below the current term is rejected with that.
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
