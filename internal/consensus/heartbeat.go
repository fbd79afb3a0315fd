// Rounds: one task to each other core node carries all the claims this node
// holds in one message, some four times a second and whenever a read waits. A
// receipt confirms every claim it does not refuse, as of the moment the message
// was sent; a majority's moments make the age of the confirmation.
package consensus

import (
	"context"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

type heartbeater struct {
	kick     chan struct{}
	cancel   context.CancelFunc
	sequence uint64
	acked    claimState
}

// Members of no part owned here have no word to give; they are told who owns what
// this much more seldom.
const idleHeartbeatFactor = 4

// keepHeartbeats has one task for each core node there is.
func (n *Node) keepHeartbeats() {
	view := n.members.View()
	n.mu.Lock()
	defer n.mu.Unlock()
	for peer, h := range n.heartbeaters {
		if m, ok := view[peer.Name]; !ok || m.ID != peer.ID {
			h.cancel()
			delete(n.heartbeaters, peer)
			delete(n.receivedClaims, peer)
		}
	}
	for name, m := range view {
		peer := rpc.Peer{Name: name, ID: m.ID}
		if !m.Core || name == n.env.Name || n.heartbeaters[peer] != nil {
			continue
		}
		ctx, end := context.WithCancel(n.env)
		h := &heartbeater{kick: make(chan struct{}, 1), cancel: end}
		n.heartbeaters[peer] = h
		n.env.Go(func() { n.runHeartbeat(ctx, peer, h) })
	}
}

// kickHeartbeats has the members of a group asked at once.
func (n *Node) kickHeartbeats(group []rpc.Peer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, peer := range group {
		if h := n.heartbeaters[peer]; h != nil {
			select {
			case h.kick <- struct{}{}:
			default:
			}
		}
	}
}

// kickAllHeartbeats has everybody told of a new owner at once.
func (n *Node) kickAllHeartbeats() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, h := range n.heartbeaters {
		select {
		case h.kick <- struct{}{}:
		default:
		}
	}
}

// isVoterOfLedShard tells whether a peer has a say in a part that this node owns.
func (n *Node) isVoterOfLedShard(peer rpc.Peer) bool {
	for _, r := range n.replicas {
		r.mu.Lock()
		is := r.isLeader && r.voters.Contains(peer)
		r.mu.Unlock()
		if is {
			return true
		}
	}
	return false
}

func (n *Node) runHeartbeat(ctx context.Context, peer rpc.Peer, h *heartbeater) {
	wakeup := time.NewTimer(1)
	defer wakeup.Stop()
	for {
		pause := n.env.Config.PactRound
		select {
		case <-ctx.Done():
			return
		case <-h.kick:
			// Whoever kicks, does so about as often; the next kick is awaited a little
			// longer, or there would be two rounds for each.
			pause = pause * 3 / 2
		case <-wakeup.C:
		}
		if !n.isVoterOfLedShard(peer) {
			pause = n.env.Config.PactRound * idleHeartbeatFactor
		}
		wakeup.Reset(pause)
		claims := n.claims()
		m, ok := n.members.View()[peer.Name]
		if len(claims) == 0 || !ok || m.ID != peer.ID {
			continue
		}
		sent := n.env.Now()
		limited, end := context.WithTimeout(ctx, 500*time.Millisecond)
		var response rpc.HeartbeatResponse
		request := h.nextRequest(n.self, claims)
		err := n.transport.Call(limited, m.RPCAddress, "pact.round", request, &response)
		end()
		if err != nil || response.From != peer || response.Sequence != request.Sequence {
			continue
		}
		h.acknowledge(request, claims, response.BaseLost)
		if !response.BaseLost {
			n.recordAcks(peer, sent, claims, &response)
			continue
		}
		select {
		case h.kick <- struct{}{}:
		default:
		}
	}
}

func (n *Node) claims() (claims []rpc.LeaderClaim) {
	for _, r := range n.replicas {
		r.mu.Lock()
		if r.isLeader {
			claims = append(claims, rpc.LeaderClaim{Shard: r.shard, Term: r.currentTerm, Commit: r.commitIndex, Serving: r.isServing})
		}
		r.mu.Unlock()
	}
	return claims
}

// recordAcks notes a member's word on each claim it did not refuse.
func (n *Node) recordAcks(peer rpc.Peer, sent time.Time, claims []rpc.LeaderClaim, response *rpc.HeartbeatResponse) {
	shard := map[ids.Shard]ids.Term{}
	for _, refused := range response.Rejected {
		shard[refused.Shard] = refused.Term
	}
	for _, claim := range claims {
		r := n.replicas[claim.Shard]
		r.mu.Lock()
		if r.isLeader && r.currentTerm == claim.Term {
			if higher, ok := shard[claim.Shard]; ok {
				r.highestTermNumber = max(r.highestTermNumber, higher.Number)
				r.stepDown("a member promised " + higher.String())
			} else if r.lastAck[peer].Before(sent) {
				r.lastAck[peer] = sent
				r.notifyChanged()
			}
		}
		r.mu.Unlock()
	}
}

// handleHeartbeat answers a round.
func (n *Node) handleHeartbeat(request *rpc.HeartbeatRequest) *rpc.HeartbeatResponse {
	response := &rpc.HeartbeatResponse{From: n.self, Sequence: request.Sequence}
	claims, ok := n.fullClaims(request)
	if !ok {
		response.BaseLost = true
		return response
	}
	for _, claim := range claims {
		r, err := n.lookupReplica(claim.Shard)
		if err != nil {
			continue
		}
		r.mu.Lock()
		if claim.Term.Less(r.currentTerm) {
			response.Rejected = append(response.Rejected, rpc.LeaderClaim{Shard: claim.Shard, Term: r.currentTerm})
			r.mu.Unlock()
			continue
		}
		r.lastLeaderContact = r.node.env.Now()
		if r.leaderMatchTerm == claim.Term {
			r.advanceCommit(min(claim.Commit, r.leaderMatchIndex))
		}
		r.mu.Unlock()
		if claim.Serving {
			n.recordLeader(claim.Shard, request.From.Name, claim.Term)
		}
	}
	return response
}

func (n *Node) recordLeader(shard ids.Shard, name ids.NodeName, term ids.Term) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if old := n.leaders[shard]; !term.Less(old.term) {
		n.leaders[shard] = leaderRecord{name: name, term: term, at: n.env.Now()}
	}
}

// confirmedAt is the moment as of which a majority confirms the owner's term.
func (r *Replica) confirmedAt() time.Time {
	now := r.node.env.Now()
	age := r.voters.QuorumValue(func(peer rpc.Peer) int64 {
		if peer == r.node.self {
			return 0
		}
		return -int64(now.Sub(r.lastAck[peer]))
	})
	return now.Add(time.Duration(age))
}

// confirmFallback is how long the word of the nearestMajority is awaited before all are asked.
const confirmFallback = 40 * time.Millisecond

// nearestMajority is the members that make a majority with this node: own zone first, and
// those that seem live.
func (n *Node) nearestMajority(voters Voters) []rpc.Peer {
	current := voters.Current
	if voters.IsJoint() {
		return voters.All()
	}
	var nearest []rpc.Peer
	for _, m := range n.members.CoreMembers() {
		peer := rpc.Peer{Name: m.Name, ID: m.ID}
		if peer != n.self && containsPeer(current, peer) && len(nearest) < len(current)/2 {
			nearest = append(nearest, peer)
		}
	}
	return nearest
}

// ConfirmLeadership waits until a majority has confirmed the term as of a moment. The nearestMajority
// that make one are asked first, all if their word does not come at once.
func (r *Replica) ConfirmLeadership(ctx context.Context, since time.Time) error {
	var wakeup *time.Timer
	var late <-chan time.Time
	for {
		r.mu.Lock()
		if !r.isServing {
			r.mu.Unlock()
			return errcode.New(errcode.NotOwner, "part %d", r.shard)
		}
		if !r.confirmedAt().Before(since) {
			r.trace(TraceEvent{Kind: TraceRead, Term: r.currentTerm, Index: r.appliedIndex, Since: time.Now().Add(-r.node.env.Since(since))})
			r.mu.Unlock()
			return nil
		}
		change, voters := r.changed, r.voters
		r.mu.Unlock()
		if wakeup == nil {
			wakeup = time.NewTimer(confirmFallback)
			defer wakeup.Stop()
			late = wakeup.C
			r.node.kickHeartbeats(r.node.nearestMajority(voters))
		}
		select {
		case <-change:
		case <-late:
			late = nil
			r.node.kickHeartbeats(voters.All())
		case <-ctx.Done():
			return errcode.New(errcode.NoOwner, "part %d can't be confirmed: %v", r.shard, ctx.Err())
		}
	}
}

// ConfirmationAge is how long ago the term was confirmed; false if the part isn't served.
func (r *Replica) ConfirmationAge() (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isServing {
		return 0, false
	}
	return r.node.env.Since(r.confirmedAt()), true
}
