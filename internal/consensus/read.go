package consensus

import (
	"context"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// confirmFallbackDelay is how long ConfirmLeadership waits for the nearest quorum before it
// requests heartbeats from all voters.
const confirmFallbackDelay = 40 * time.Millisecond

// ConfirmLeadership waits until a quorum has confirmed the leader's term at or after since. A
// read that began at since may then be answered from the state machine, as with ReadIndex.
// The error is NotLeader if this member does not serve the shard, NoLeader if ctx ends first.
func (r *Replica) ConfirmLeadership(ctx context.Context, since time.Time) error {
	var fallback <-chan time.Time
	isRequested := false
	for {
		r.mu.Lock()
		if !r.leadership.isServing {
			r.mu.Unlock()
			return errcode.New(errcode.NotLeader, "shard %d", r.shard)
		}
		if !r.confirmedAt().Before(since) {
			r.trace(TraceEvent{Kind: TraceRead, Term: r.currentTerm, Index: r.log.applied, Since: time.Now().Add(-r.node.env.Since(since))})
			r.mu.Unlock()
			return nil
		}
		changed, voters := r.changed, r.voters
		r.mu.Unlock()
		if !isRequested {
			isRequested = true
			timer := time.NewTimer(confirmFallbackDelay)
			defer timer.Stop()
			fallback = timer.C
			r.node.triggerHeartbeats(r.node.nearestQuorum(voters))
		}
		select {
		case <-changed:
		case <-fallback:
			fallback = nil
			r.node.triggerHeartbeats(voters.All())
		case <-ctx.Done():
			return errcode.New(errcode.NoLeader, "shard %d: leadership not confirmed: %v", r.shard, ctx.Err())
		}
	}
}

// ConfirmationAge returns how long ago a quorum confirmed the leader's term; false if this
// member does not serve the shard.
func (r *Replica) ConfirmationAge() (age time.Duration, isServing bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.leadership.isServing {
		return 0, false
	}
	return r.node.env.Since(r.confirmedAt()), true
}

// confirmedAt returns the latest time as of which a quorum has confirmed the leader's term.
func (r *Replica) confirmedAt() time.Time {
	now := r.node.env.Now()
	offset := r.voters.QuorumValue(func(peer rpc.Peer) int64 {
		if peer == r.node.self {
			return 0
		}
		return -int64(now.Sub(r.leadership.progressOf(peer).lastAck))
	})
	return now.Add(time.Duration(offset))
}

// nearestQuorum returns the live voters that form a quorum with this node, those in its zone
// first. During a joint step it returns all voters.
func (n *Node) nearestQuorum(voters Voters) []rpc.Peer {
	if voters.IsJoint() {
		return voters.All()
	}
	var nearest []rpc.Peer
	for _, m := range n.members.CoreMembers() {
		peer := rpc.Peer{Name: m.Name, ID: m.ID}
		if peer != n.self && containsPeer(voters.Current, peer) && len(nearest) < len(voters.Current)/2 {
			nearest = append(nearest, peer)
		}
	}
	return nearest
}
