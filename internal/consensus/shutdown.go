package consensus

import (
	"context"
	"sync"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/membership"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

const (
	// quorumWaitShare is the share of shutdown.grace_period for which a node that stops remains a voter
	// while the others have no quorum without it.
	quorumWaitShare = 0.6
	quorumWaitPause = 50 * time.Millisecond
)

// IsStopping tells whether a planned stop has begun. The node does not campaign any more.
func (n *Node) IsStopping() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isStopping
}

// TransferLeadership passes the leadership of all shards on for a planned stop, and then
// waits for a while until the others have a quorum without this node.
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

// awaitQuorumWithoutSelf waits until the other live voters of every shard are a quorum, or
// until the time for it is over.
func (n *Node) awaitQuorumWithoutSelf(ctx context.Context) {
	start, longest := n.env.Now(), time.Duration(quorumWaitShare*float64(n.env.Config.ShutdownGracePeriod))
	for ctx.Err() == nil && n.env.Since(start) < longest && n.isNeededForQuorum() {
		if !n.env.Sleep(quorumWaitPause) {
			return
		}
	}
}

// isNeededForQuorum tells whether some shard has no quorum of voters beside this node that
// are alive, not even suspected, and answer now: the member list tells of a death too late.
func (n *Node) isNeededForQuorum() bool {
	answering := n.requestPrevotes(nil)
	for _, r := range n.replicas {
		voters := r.currentVoters()
		var remaining []rpc.Peer
		for _, peer := range voters.All() {
			m, ok := n.memberState(peer)
			if ok && m.State == membership.StateAlive && answering[peer] != nil {
				remaining = append(remaining, peer)
			}
		}
		if voters.Contains(n.self) && !voters.HasQuorum(remaining) {
			return true
		}
	}
	return false
}
