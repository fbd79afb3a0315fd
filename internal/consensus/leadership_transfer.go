package consensus

import (
	"context"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// Leadership is transferred as in section 3.10 of Ongaro's thesis: the leader stops accepting
// proposals, waits until a member has caught up with its log, steps down, and requests that
// member to campaign immediately. Without the wait, a shard with constant writes might never
// have a member with the whole log and would need an ordinary election.

const (
	// transferTimeout bounds the campaign request to the next leader.
	transferTimeout = time.Second
	// catchUpTimeout bounds the wait for a member to catch up. It is well below the duration
	// of the ordinary election that follows a timeout.
	catchUpTimeout      = 300 * time.Millisecond
	catchUpPollInterval = 2 * time.Millisecond
)

// transferLeadership transfers the leadership to a member that has the whole log. If none
// has caught up within catchUpTimeout, it steps down without a successor.
func (r *Replica) transferLeadership(ctx context.Context) {
	r.stopProposals()
	r.awaitSuccessor(ctx)
	target, term := r.releaseLeadership()
	if target != nil {
		// If the request is lost, an ordinary election follows.
		_ = r.node.call(ctx, transferTimeout, target.RPCAddress, kindTransfer, &rpc.CampaignRequest{Shard: r.shard, Term: term}, nil)
	}
}

// stopProposals makes the leader reject proposals for the rest of its term.
func (r *Replica) stopProposals() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leadership.isTransferring = true
}

// awaitSuccessor waits until a member can take over or catchUpTimeout has passed.
func (r *Replica) awaitSuccessor(ctx context.Context) {
	start := r.node.env.Now()
	for r.lacksSuccessor() && ctx.Err() == nil && r.node.env.Since(start) < catchUpTimeout {
		if !r.node.env.Sleep(catchUpPollInterval) {
			return
		}
	}
}

// lacksSuccessor reports whether this member is the serving leader and no member can take
// over from it.
func (r *Replica) lacksSuccessor() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leadership.isServing && r.successor() == nil
}

// releaseLeadership steps down if this member is the serving leader, and returns the member
// that can take over; nil if there is none.
func (r *Replica) releaseLeadership() (target *rpc.Member, term ids.Term) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.leadership.isServing {
		return nil, ids.Term{}
	}
	target = r.successor()
	r.stepDown("leadership transferred")
	return target, r.currentTerm
}

// successor returns the first responsive voter in election order that has the whole log.
func (r *Replica) successor() *rpc.Member {
	last, _ := r.log.last()
	for _, peer := range ElectionOrder(r.shard, r.voters.All()) {
		m, ok := r.node.members.Lookup(peer.Name)
		isReady := ok && m.ID == peer.ID && r.node.isResponsive(peer) && r.leadership.progressOf(peer).matchIndex == last
		if peer != r.node.self && isReady {
			return &m
		}
	}
	return nil
}

// handleTransfer starts a campaign at the leader's request.
func (r *Replica) handleTransfer(request *rpc.CampaignRequest) (struct{}, error) {
	if !r.isTransferFromLeader(request) {
		return struct{}{}, errcode.New(errcode.NotLeader, "shard %d: leadership transfer is not from the current term", r.shard)
	}
	r.node.env.Go(func() { r.campaign(true) })
	return struct{}{}, nil
}

// isTransferFromLeader reports whether a transfer request is of the current term. A delayed
// request of an earlier term must not depose the next leader.
func (r *Replica) isTransferFromLeader(request *rpc.CampaignRequest) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.currentTerm == request.Term
}
