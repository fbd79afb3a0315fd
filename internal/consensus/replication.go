// Writing: the owner appends an entry, hands it to its own disk as one vote
// among the others, and feeds it to each member by a task of its own. A member
// takes entries only when they follow what it has, and answers once synced.
package consensus

import (
	"context"
	"encoding/json"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
	"github.com/sumactrestle/sumactrestle/internal/storage"
)

const (
	appendTimeout    = 3 * time.Second
	maxAppendEntries = 256
	maxAppendBytes   = 64 << 10
	// A message that is large all the same, for one entry is, has longer to arrive.
	minLinkBytesPerSecond = 64 << 10 // bytes a second
)

// appendOwn adds an entry of the owner's own term.
func (r *Replica) appendOwn(batch *storage.Batch, e rpc.Entry) ids.Index {
	last, _ := r.lastEntry()
	e.Index, e.Term = last+1, r.currentTerm
	r.entries = append(r.entries, e)
	r.putEntries(batch, []rpc.Entry{e})
	if e.Kind == entryMembershipChange {
		r.updateVoters()
	}
	r.node.store.Submit(batch)
	term := r.currentTerm
	r.node.env.Go(func() {
		if batch.Wait() != nil {
			return
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.isLeader && r.currentTerm == term && r.matchIndex[r.node.self] < e.Index {
			r.matchIndex[r.node.self] = e.Index
			r.maybeCommit()
		}
	})
	r.notifyChanged()
	return e.Index
}

// Propose writes an entry and waits until it is committed and folded. Without
// ownership nothing is written; once written, only the receipt is certain.
func (r *Replica) Propose(ctx context.Context, body any) (ids.Index, any, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return 0, nil, errcode.New(errcode.Internal, "%v", err)
	}
	return r.propose(ctx, rpc.Entry{Body: raw})
}

// Barrier returns once everything that is in the log now is committed.
func (r *Replica) Barrier(ctx context.Context) error {
	_, _, err := r.propose(ctx, rpc.Entry{Kind: entryEmpty})
	return err
}

func (r *Replica) propose(ctx context.Context, e rpc.Entry) (ids.Index, any, error) {
	r.mu.Lock()
	if !r.isServing {
		r.mu.Unlock()
		return 0, nil, errcode.New(errcode.NotOwner, "part %d", r.shard)
	}
	if e.Kind == entryMembershipChange && (r.commitIndex < r.votersIndex || !r.voters.canBecome(Voters{Current: e.Voters, Outgoing: e.OutgoingVoters})) {
		r.mu.Unlock()
		return 0, nil, errcode.New(errcode.NotOwner, "part %d: the members have changed meanwhile", r.shard)
	}
	batch := r.node.store.NewBatch()
	waiting := proposal{term: r.currentTerm, done: make(chan any, 1)}
	last, _ := r.lastEntry()
	r.proposals[last+1] = waiting
	index := r.appendOwn(batch, e)
	r.mu.Unlock()
	select {
	case response, ok := <-waiting.done:
		if !ok {
			return index, nil, errcode.New(errcode.Unsure, "part %d changed its owner", r.shard)
		}
		return index, response, nil
	case <-ctx.Done():
		return index, nil, errcode.New(errcode.Unsure, "part %d: %v", r.shard, ctx.Err())
	case <-r.node.env.Done():
		return index, nil, errcode.New(errcode.Unsure, "part %d: stopping", r.shard)
	}
}

func (r *Replica) replicateToAll() {
	for _, peer := range r.voters.All() {
		r.startReplicating(peer)
	}
}

func (r *Replica) startReplicating(peer rpc.Peer) {
	if peer == r.node.self || r.replicating[peer] {
		return
	}
	r.replicating[peer] = true
	ctx, term := r.leaderCtx, r.currentTerm
	r.node.env.Go(func() { r.replicateTo(ctx, term, peer) })
}

// replicateTo keeps one member up to date while the term lasts.
func (r *Replica) replicateTo(ctx context.Context, term ids.Term, peer rpc.Peer) {
	r.mu.Lock()
	next, _ := r.lastEntry()
	r.mu.Unlock()
	isMatched := false
	sentCommit := ids.Index(0)
	pause := func(d time.Duration) {
		wakeup := time.NewTimer(d)
		defer wakeup.Stop()
		select {
		case <-ctx.Done():
		case <-wakeup.C:
		}
	}
	for ctx.Err() == nil {
		r.mu.Lock()
		if !r.isLeader || r.currentTerm != term || !r.replicating[peer] {
			r.mu.Unlock()
			return
		}
		last, _ := r.lastEntry()
		isCommitSent := r.shard != ids.ConfigShard || sentCommit >= r.commitIndex
		if isMatched && next > last && isCommitSent {
			changed := r.changed
			r.mu.Unlock()
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		request := &rpc.AppendRequest{Shard: r.shard, Term: term, From: r.node.self, Commit: r.commitIndex}
		prevTerm, entries, isThere := r.entriesFrom(next)
		if !isThere {
			r.mu.Unlock()
			match, err := r.sendSnapshot(ctx, term, peer)
			if err != nil {
				pause(100 * time.Millisecond)
				continue
			}
			next = match + 1
			continue
		}
		request.PrevIndex, request.PrevTerm = next-1, prevTerm
		size := 0
		for _, e := range entries {
			if len(request.Entries) >= maxAppendEntries || size > maxAppendBytes {
				break
			}
			request.Entries = append(request.Entries, e)
			size += len(e.Body)
		}
		r.mu.Unlock()
		m, ok := r.node.members.View()[peer.Name]
		if !ok || m.ID != peer.ID {
			pause(200 * time.Millisecond)
			continue
		}
		limited, end := context.WithTimeout(ctx, appendTimeout+time.Duration(size)*time.Second/minLinkBytesPerSecond)
		var response rpc.AppendResponse
		err := r.node.transport.Call(limited, m.RPCAddress, "pact.append", request, &response)
		end()
		if err != nil || response.From != peer {
			pause(100 * time.Millisecond)
			continue
		}
		r.mu.Lock()
		last, _ = r.lastEntry()
		switch {
		case r.isLeader && r.currentTerm == term && response.CurrentTerm == term && response.MatchIndex > last:
			r.reportCorruption("a member has what its owner lacks", "member", string(peer.Name), "match", uint64(response.MatchIndex), "last", uint64(last))
		case response.Success:
			isMatched, sentCommit, next = true, request.Commit, response.MatchIndex+1
			if r.isLeader && r.currentTerm == term && r.matchIndex[peer] < response.MatchIndex {
				r.matchIndex[peer], r.lastProgress[peer] = response.MatchIndex, r.node.env.Now()
				r.maybeCommit()
				r.notifyChanged()
			}
		case term.Less(response.CurrentTerm):
			r.highestTermNumber = max(r.highestTermNumber, response.CurrentTerm.Number)
			if r.currentTerm == term {
				r.stepDown("a member promised a higher term")
			}
		default:
			next = response.MatchIndex + 1
		}
		r.mu.Unlock()
	}
}

// hasSnapshotEntry tells whether the log already runs through a snapshot's entry. A
// snapshot that comes late must not cut away what was synced since.
func (r *Replica) hasSnapshotEntry(s *rpc.Snapshot) bool {
	term, ok := r.termAt(s.Index)
	return ok && term == s.Term
}

// becomeFollower takes an owner's term for the one in force.
func (r *Replica) becomeFollower(batch *storage.Batch, term ids.Term) {
	if r.currentTerm.Less(term) {
		r.stepDown("a higher term owns")
		r.currentTerm = term
		r.trace(TraceEvent{Kind: TraceTermRaised, Term: term})
		r.putCurrentTerm(batch)
	}
	if r.leaderMatchTerm != term {
		r.leaderMatchTerm, r.leaderMatchIndex = term, 0
	}
	r.lastLeaderContact, r.isRemoved = r.node.env.Now(), false
}

// handleAppend is a member's answer to what it is fed.
func (r *Replica) handleAppend(request *rpc.AppendRequest) (*rpc.AppendResponse, error) {
	r.mu.Lock()
	response := &rpc.AppendResponse{From: r.node.self, CurrentTerm: r.currentTerm}
	if err := r.checkTerm(request.Term, request.From); err != nil {
		r.mu.Unlock()
		return nil, err
	}
	if request.Term.Less(r.currentTerm) {
		r.mu.Unlock()
		return response, nil
	}
	batch := r.node.store.NewBatch()
	r.becomeFollower(batch, request.Term)
	response.CurrentTerm = request.Term
	last, _ := r.lastEntry()
	prevTerm, ok := r.termAt(request.PrevIndex)
	isBelow := request.PrevIndex < r.snapshot.Index
	if !isBelow && (!ok || prevTerm != request.PrevTerm) {
		r.node.store.Submit(batch)
		response.MatchIndex = min(r.commitIndex, last)
		r.mu.Unlock()
		return response, batch.Wait()
	}
	if err := r.mergeEntries(batch, request.Entries); err != nil {
		r.node.store.Submit(batch)
		if errcode.Is(err, errcode.Internal) {
			r.reportCorruption(err.Error(), "from", string(request.From.Name))
		} else {
			r.node.log(eventlog.MessageRefused, "kind", "pact.append", "part", int(r.shard), "from", string(request.From.Name), "cause", err.Error())
		}
		r.mu.Unlock()
		return nil, err
	}
	r.node.store.Submit(batch)
	response.Success, response.MatchIndex = true, max(request.PrevIndex+ids.Index(len(request.Entries)), r.snapshot.Index)
	r.leaderMatchIndex = max(r.leaderMatchIndex, response.MatchIndex)
	r.advanceCommit(min(request.Commit, r.leaderMatchIndex))
	r.mu.Unlock()
	r.node.recordLeader(r.shard, request.From.Name, request.Term)
	return response, batch.Wait()
}
