package consensus

import (
	"context"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// A leader that is to go hands over as Ongaro's dissertation has it (section 3.10): it takes no
// more proposals, lets a member catch up with its log, steps down, and asks that member to
// campaign at once. Without the wait, a shard in which a write is always in flight never has a
// member with the whole log, and is left to an ordinary election.

const (
	// transferTimeout bounds the request to the next leader.
	transferTimeout = time.Second
	// catchUpWait is how long a member is left to catch up. It is well below the time of an
	// election, which is what comes after it.
	catchUpWait         = 300 * time.Millisecond
	catchUpPollInterval = 2 * time.Millisecond
)

// transferLeadership takes no more proposals, steps down once a member has the whole log, and
// asks that member to campaign.
func (r *Replica) transferLeadership(ctx context.Context) {
	r.stopProposals()
	r.awaitSuccessor(ctx)
	target, term := r.releaseLeadership()
	if target != nil {
		// A request that is lost costs no more than an election.
		_ = r.node.call(ctx, transferTimeout, target.RPCAddress, kindTransfer, &rpc.CampaignRequest{Shard: r.shard, Term: term}, nil)
	}
}

// stopProposals takes no more proposals in this term.
func (r *Replica) stopProposals() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leadership.isTransferring = true
}

// awaitSuccessor waits until some member can lead, or until the time for it is over.
func (r *Replica) awaitSuccessor(ctx context.Context) {
	began := r.node.env.Now()
	for r.lacksSuccessor() && ctx.Err() == nil && r.node.env.Since(began) < catchUpWait {
		if !r.node.env.Sleep(catchUpPollInterval) {
			return
		}
	}
}

// lacksSuccessor tells whether this member leads and none can take over from it.
func (r *Replica) lacksSuccessor() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leadership.isServing && r.successor() == nil
}

// releaseLeadership steps down from a shard that is served, and returns who is to lead it; nil
// if nobody can.
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

// successor is the first member in election order that has the whole log, and answers.
func (r *Replica) successor() *rpc.Member {
	last, _ := r.log.last()
	for _, peer := range ElectionOrder(r.shard, r.voters.All()) {
		m, ok := r.node.members.Lookup(peer.Name)
		isReady := ok && m.ID == peer.ID && r.node.isAnswering(peer) && r.leadership.progressOf(peer).matchIndex == last
		if peer != r.node.self && isReady {
			return &m
		}
	}
	return nil
}

// handleTransfer has this member campaign because the leader asks it to.
func (r *Replica) handleTransfer(request *rpc.CampaignRequest) (struct{}, error) {
	if !r.isTransferFromLeader(request) {
		return struct{}{}, errcode.New(errcode.NotLeader, "shard %d: the transfer is of an old term", r.shard)
	}
	r.node.env.Go(func() { r.campaign(true) })
	return struct{}{}, nil
}

// isTransferFromLeader tells whether a transfer comes from the leader that this member
// knows; one that is late must not depose the next leader.
func (r *Replica) isTransferFromLeader(request *rpc.CampaignRequest) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.currentTerm == request.Term
}
