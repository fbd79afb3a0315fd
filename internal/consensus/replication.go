package consensus

import (
	"context"
	"errors"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
	"github.com/sumactrestle/sumactrestle/internal/storage"
)

const (
	// The timeout of an append is appendTimeout plus the time that its entries take over the
	// slowest supported link, as a single entry may be large.
	appendTimeout         = 3 * time.Second
	minLinkBytesPerSecond = 64 << 10
	// No further entry is added to an append that has maxAppendEntries entries, or more than
	// maxAppendBytes of bodies.
	maxAppendEntries = 256
	maxAppendBytes   = 64 << 10
	// Pauses before a retry: after a failed request, and for a member that is not in the
	// member list.
	appendRetryPause      = 100 * time.Millisecond
	unknownPeerRetryPause = 200 * time.Millisecond
)

// appendAsLeader appends an entry of the leader's term and submits the batch. The leader's own
// match index rises once its disk has synced the entry.
func (r *Replica) appendAsLeader(batch *storage.Batch, entry rpc.Entry) ids.Index {
	last, _ := r.log.last()
	entry.Index, entry.Term = last+1, r.currentTerm
	r.log.append(batch, entry)
	if entry.Kind == entryMembershipChange {
		r.updateVoters()
	}
	r.node.store.Submit(batch)
	r.node.env.Go(func() {
		if batch.Wait() != nil {
			return
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		if self := r.leadership.progressOf(r.node.self); r.isLeaderOfTerm(entry.Term) && self.matchIndex < entry.Index {
			self.matchIndex = entry.Index
			r.maybeCommit()
		}
	})
	r.notifyChanged()
	return entry.Index
}

// isLeaderOfTerm reports whether this member is the leader of a term.
func (r *Replica) isLeaderOfTerm(term ids.Term) bool {
	return r.leadership.isLeader && r.currentTerm == term
}

// maybeCommit commits the entries that a quorum has synced, if the last of them is of the
// leader's own term (section 5.4.2 of the Raft paper).
func (r *Replica) maybeCommit() {
	if !r.leadership.isLeader {
		return
	}
	index := r.leadership.quorumMatch(r.voters)
	if r.log.contains(index, r.currentTerm) && index > r.log.committed {
		r.advanceCommit(index)
	}
}

// replicateToAll starts a stream to every voter that has none.
func (r *Replica) replicateToAll() {
	for _, peer := range r.voters.All() {
		r.startReplicating(peer)
	}
}

// startReplicating starts a stream to a voter or learner, unless it has one.
func (r *Replica) startReplicating(peer rpc.Peer) {
	p := r.leadership.progressOf(peer)
	if peer == r.node.self || p.isReplicating {
		return
	}
	p.isReplicating = true
	s := &stream{replica: r, ctx: r.leadership.ctx, term: r.currentTerm, peer: peer}
	r.node.env.Go(s.run)
}

// stream replicates the log to one member during a leader's term.
type stream struct {
	replica *Replica
	ctx     context.Context
	term    ids.Term
	peer    rpc.Peer

	next       ids.Index // first entry to send
	isMatched  bool      // the member's log is known to equal the leader's below next
	sentCommit ids.Index // last commit index that the member acknowledged
}

func (s *stream) run() {
	s.replica.mu.Lock()
	s.next, _ = s.replica.log.last()
	s.replica.mu.Unlock()
	for s.ctx.Err() == nil && s.step() {
	}
}

// step sends one append or snapshot, or waits for a change of the replica if the member is up
// to date. It returns false when the stream must end.
func (s *stream) step() bool {
	r := s.replica
	r.mu.Lock()
	if !r.isLeaderOfTerm(s.term) || !r.leadership.progressOf(s.peer).isReplicating {
		r.mu.Unlock()
		return false
	}
	if s.isUpToDate() {
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-s.ctx.Done():
		}
		return true
	}
	request, found := s.nextRequest()
	r.mu.Unlock()
	if !found {
		match, err := r.sendSnapshot(s.ctx, s.term, s.peer)
		if err != nil {
			s.pause(appendRetryPause)
		} else {
			s.next = match + 1
		}
		return true
	}
	address, ok := r.node.addressOf(s.peer)
	if !ok {
		s.pause(unknownPeerRetryPause)
		return true
	}
	var response rpc.AppendResponse
	timeout := appendTimeout + time.Duration(bodyBytes(request.Entries))*time.Second/minLinkBytesPerSecond
	if err := r.node.call(s.ctx, timeout, address, kindAppend, request, &response); err != nil || response.From != s.peer {
		s.pause(appendRetryPause)
		return true
	}
	r.node.recordReceived(s.peer)
	s.handleResponse(request, &response)
	return true
}

// isUpToDate reports whether there is nothing to send to the member. In the configuration
// shard, the commit index is sent at once, because members serve reads from their own state;
// in the other shards heartbeats carry it.
func (s *stream) isUpToDate() bool {
	last, _ := s.replica.log.last()
	isCommitSent := s.replica.shard != ids.ConfigShard || s.sentCommit >= s.replica.log.committed
	return s.isMatched && s.next > last && isCommitSent
}

// nextRequest returns the next append; false if the member needs the snapshot.
func (s *stream) nextRequest() (*rpc.AppendRequest, bool) {
	r := s.replica
	prevTerm, entries, found := r.log.entriesFrom(s.next)
	if !found {
		return nil, false
	}
	request := &rpc.AppendRequest{Shard: r.shard, Term: s.term, From: r.node.self, Commit: r.log.committed, PrevIndex: s.next - 1, PrevTerm: prevTerm}
	size := 0
	for _, entry := range entries {
		if len(request.Entries) >= maxAppendEntries || size > maxAppendBytes {
			break
		}
		request.Entries = append(request.Entries, entry)
		size += len(entry.Body)
	}
	return request, true
}

func (s *stream) handleResponse(request *rpc.AppendRequest, response *rpc.AppendResponse) {
	r := s.replica
	r.mu.Lock()
	defer r.mu.Unlock()
	last, _ := r.log.last()
	switch {
	case r.isLeaderOfTerm(s.term) && response.CurrentTerm == s.term && response.MatchIndex > last:
		r.reportCorruption("a member acknowledged entries beyond the end of the leader's log", "member", string(s.peer.Name), "match", uint64(response.MatchIndex), "last", uint64(last))
	case response.Success:
		s.isMatched, s.sentCommit, s.next = true, request.Commit, response.MatchIndex+1
		if p := r.leadership.progressOf(s.peer); r.isLeaderOfTerm(s.term) && p.matchIndex < response.MatchIndex {
			p.matchIndex, p.lastAdvance = response.MatchIndex, r.node.env.Now()
			r.maybeCommit()
			r.notifyChanged()
		}
	case s.term.Less(response.CurrentTerm):
		r.stepDownForTerm(s.term, response.CurrentTerm)
	default:
		s.next = response.MatchIndex + 1
	}
}

func (s *stream) pause(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-s.ctx.Done():
	case <-timer.C:
	}
}

// acceptLeader handles the term of a message with log data from a leader: it adopts a higher
// term and resets the election timer. The returned batch contains the term if it is new. It
// must be submitted even if the rest of the message is rejected, as the term is already
// changed in memory. The batch is nil if the term is below the current one; the caller then
// responds with the current term.
func (r *Replica) acceptLeader(term ids.Term, from rpc.Peer) (*storage.Batch, error) {
	if err := r.checkTerm(term, from); err != nil {
		return nil, err
	}
	if term.Less(r.currentTerm) {
		return nil, nil
	}
	batch := r.node.store.NewBatch()
	if r.currentTerm.Less(term) {
		r.stepDown("the leader of a higher term sent entries or a snapshot")
		r.raiseTerm(batch, term)
	}
	if r.follower.matchTerm != term {
		r.follower = followerState{matchTerm: term}
	}
	r.election.lastLeaderContact, r.election.isRemoved = r.node.env.Now(), false
	return batch, nil
}

// handleAppend handles a leader's append and returns once its entries are synced.
func (r *Replica) handleAppend(request *rpc.AppendRequest) (*rpc.AppendResponse, error) {
	response, batch, err := r.acceptEntries(request)
	if err != nil || batch == nil {
		return response, err
	}
	if response.Success {
		r.node.recordLeader(r.shard, request.From.Name, request.Term)
	}
	return response, batch.Wait()
}

// acceptEntries merges an append into the log and submits the returned batch. The batch is nil
// if there is nothing to wait for.
func (r *Replica) acceptEntries(request *rpc.AppendRequest) (*rpc.AppendResponse, *storage.Batch, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	response := &rpc.AppendResponse{From: r.node.self, CurrentTerm: r.currentTerm}
	batch, err := r.acceptLeader(request.Term, request.From)
	if err != nil {
		return nil, nil, err
	}
	if batch == nil {
		return response, nil, nil
	}
	response.CurrentTerm = request.Term
	if request.PrevIndex >= r.log.snapshot.Index && !r.log.contains(request.PrevIndex, request.PrevTerm) {
		r.node.store.Submit(batch)
		last, _ := r.log.last()
		response.MatchIndex = min(r.log.committed, last)
		return response, batch, nil
	}
	err = r.mergeEntries(batch, request.Entries)
	r.node.store.Submit(batch)
	if err != nil {
		if conflict := (*committedConflictError)(nil); errors.As(err, &conflict) {
			r.reportCorruption(err.Error(), "from", string(request.From.Name))
		} else {
			r.logEvent(eventlog.MessageRejected, "kind", kindAppend, "from", string(request.From.Name), "cause", err.Error())
		}
		return nil, nil, err
	}
	response.Success = true
	response.MatchIndex = max(request.PrevIndex+ids.Index(len(request.Entries)), r.log.snapshot.Index)
	r.follower.matchIndex = max(r.follower.matchIndex, response.MatchIndex)
	r.advanceCommit(min(request.Commit, r.follower.matchIndex))
	return response, batch, nil
}
