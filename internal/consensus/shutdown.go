package consensus

import (
	"context"
	"sync"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/membership"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

const (
	// quorumWaitFraction is the fraction of shutdown.grace_period for which a stopping node
	// remains a voter while the other voters have no quorum without it.
	quorumWaitFraction = 0.6
	quorumPollInterval = 50 * time.Millisecond
)

// IsStopping reports whether a planned stop has begun. A stopping node does not campaign.
func (n *Node) IsStopping() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isStopping
}

// TransferLeadership prepares a planned stop: it transfers the leadership of all shards, and
// then waits for a limited time until the other voters have a quorum without this node.
func (n *Node) TransferLeadership(ctx context.Context) {
	n.mu.Lock()
	n.isStopping = true
	n.mu.Unlock()
	var transfers sync.WaitGroup
	for _, r := range n.replicas {
		if r.IsServing() {
			transfers.Add(1)
			n.env.Go(func() {
				defer transfers.Done()
				r.transferLeadership(ctx)
			})
		}
	}
	transfers.Wait()
	n.awaitQuorumWithoutSelf(ctx)
}

// awaitQuorumWithoutSelf waits until the other voters of every shard have a quorum, or until
// quorumWaitFraction of shutdown.grace_period has passed.
func (n *Node) awaitQuorumWithoutSelf(ctx context.Context) {
	start, timeout := n.env.Now(), time.Duration(quorumWaitFraction*float64(n.env.Config.ShutdownGracePeriod))
	for ctx.Err() == nil && n.env.Since(start) < timeout && n.isNeededForQuorum() {
		if !n.env.Sleep(quorumPollInterval) {
			return
		}
	}
}

// isNeededForQuorum reports whether a shard has no quorum without this node. It counts only
// voters that are alive in the member list, not suspect, and respond to a request now,
// because the member list reports dead nodes too late.
func (n *Node) isNeededForQuorum() bool {
	responses := n.requestPrevotes(nil)
	for _, r := range n.replicas {
		voters := r.currentVoters()
		var remaining []rpc.Peer
		for _, peer := range voters.All() {
			m, ok := n.memberState(peer)
			if ok && m.State == membership.StateAlive && responses[peer] != nil {
				remaining = append(remaining, peer)
			}
		}
		if voters.Contains(n.self) && !voters.HasQuorum(remaining) {
			return true
		}
	}
	return false
}
