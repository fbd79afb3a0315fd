package consensus

import (
	"context"
	"encoding/json"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// proposal is an appended entry whose proposer on this node waits for the result.
type proposal struct {
	term ids.Term
	// done receives the state machine's response; it is closed without one if the entry may
	// be lost.
	done chan any
}

// Propose appends a command, waits until it is committed and applied, and returns its
// index and the state machine's response. The error is NotLeader if this member does not
// serve the shard, in which case nothing was written; WriteUnknown if the entry was appended
// and it is not known whether it will be committed.
func (r *Replica) Propose(ctx context.Context, command any) (index ids.Index, response any, err error) {
	return r.ProposeInTerm(ctx, anyTerm, command)
}

// ProposeInTerm is like Propose, but the error is also NotLeader if the current term is another one
// when the entry would be appended. It is for commands that follow from what the leader of the term
// knows: the process may stall before the entry is appended, and lead again in a later term.
func (r *Replica) ProposeInTerm(ctx context.Context, term ids.Term, command any) (index ids.Index, response any, err error) {
	raw, err := json.Marshal(command)
	if err != nil {
		return 0, nil, errcode.New(errcode.Internal, "%v", err)
	}
	return r.propose(ctx, term, rpc.Entry{Kind: entryCommand, Body: raw})
}

// Barrier returns once all entries now in the log are committed and applied. Errors are those
// of Propose.
func (r *Replica) Barrier(ctx context.Context) error {
	_, _, err := r.propose(ctx, anyTerm, rpc.Entry{Kind: entryEmpty})
	return err
}

// anyTerm is the term of a proposal that may be appended in every term.
var anyTerm ids.Term

func (r *Replica) propose(ctx context.Context, term ids.Term, entry rpc.Entry) (index ids.Index, response any, err error) {
	index, proposed, err := r.appendProposal(term, entry)
	if err != nil {
		return 0, nil, err
	}
	select {
	case response, ok := <-proposed.done:
		if !ok {
			return index, nil, errcode.New(errcode.WriteUnknown, "shard %d: the leader changed", r.shard)
		}
		return index, response, nil
	case <-ctx.Done():
		return index, nil, errcode.New(errcode.WriteUnknown, "shard %d: %v", r.shard, ctx.Err())
	case <-r.node.env.Done():
		return index, nil, errcode.New(errcode.WriteUnknown, "shard %d: the node is stopping", r.shard)
	}
}

// appendProposal appends an entry and registers a proposal for it.
func (r *Replica) appendProposal(term ids.Term, entry rpc.Entry) (ids.Index, proposal, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.leadership.isServing || r.leadership.isTransferring {
		return 0, proposal{}, errcode.New(errcode.NotLeader, "shard %d", r.shard)
	}
	if term != anyTerm && term != r.currentTerm {
		return 0, proposal{}, errcode.New(errcode.NotLeader, "shard %d: the term is %s, not %s", r.shard, r.currentTerm, term)
	}
	if entry.Kind == entryMembershipChange && !(r.hasCommittedVoters() && r.voters.canBecome(votersOf(entry))) {
		return 0, proposal{}, errcode.New(errcode.NotLeader, "shard %d: the voters changed before this membership change was appended", r.shard)
	}
	batch := r.node.store.NewBatch()
	proposed := proposal{term: r.currentTerm, done: make(chan any, 1)}
	last, _ := r.log.last()
	r.proposals[last+1] = proposed
	return r.appendAsLeader(batch, entry), proposed, nil
}

// resolveProposal sends the response of an applied entry to its proposer. If another entry was
// committed at the index, the proposal fails.
func (r *Replica) resolveProposal(entry rpc.Entry, response any) {
	proposed, ok := r.proposals[entry.Index]
	if !ok {
		return
	}
	delete(r.proposals, entry.Index)
	if proposed.term == entry.Term {
		proposed.done <- response
	} else {
		close(proposed.done)
	}
}

// failProposals fails the proposals from an index on with WriteUnknown.
func (r *Replica) failProposals(from ids.Index) {
	for index, proposed := range r.proposals {
		if index >= from {
			close(proposed.done)
			delete(r.proposals, index)
		}
	}
}
