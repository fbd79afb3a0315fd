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
	// appendTimeout bounds an append; a large one, as a single entry may make it, has
	// longer by what it takes over the slowest link.
	appendTimeout         = 3 * time.Second
	minLinkBytesPerSecond = 64 << 10
	// An append takes no further entry once it has this many, or more than so many bytes.
	maxAppendEntries = 256
	maxAppendBytes   = 64 << 10
	// Pauses before a member is tried again that failed, or that the member list lacks.
	appendRetryPause = 100 * time.Millisecond
	unknownPeerPause = 200 * time.Millisecond
)

// appendOwn appends an entry of the leader's own term and submits the batch. The leader's
// own sync counts as one among the voters', in its time.
func (r *Replica) appendOwn(batch *storage.Batch, entry rpc.Entry) ids.Index {
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
		if own := r.leadership.progressOf(r.node.self); r.leads(entry.Term) && own.matchIndex < entry.Index {
			own.matchIndex = entry.Index
			r.maybeCommit()
		}
	})
	r.notifyChanged()
	return entry.Index
}

// leads tells whether this member is the leader of a term.
func (r *Replica) leads(term ids.Term) bool { return r.leadership.isLeader && r.currentTerm == term }

// maybeCommit commits what a quorum has synced, if the last of it is of the leader's own
// term (section 5.4.2 of the Raft paper).
func (r *Replica) maybeCommit() {
	if !r.leadership.isLeader {
		return
	}
	index := r.leadership.quorumMatch(r.voters)
	if r.log.contains(index, r.currentTerm) && index > r.log.committed {
		r.advanceCommit(index)
	}
}

// replicateToAll has a stream to every voter.
func (r *Replica) replicateToAll() {
	for _, peer := range r.voters.All() {
		r.startReplicating(peer)
	}
}

// startReplicating starts the stream to one member, a voter or a learner.
func (r *Replica) startReplicating(peer rpc.Peer) {
	p := r.leadership.progressOf(peer)
	if peer == r.node.self || p.isReplicating {
		return
	}
	p.isReplicating = true
	s := &stream{replica: r, ctx: r.leadership.ctx, term: r.currentTerm, peer: peer}
	r.node.env.Go(s.run)
}

// stream keeps one member up to date while its leader's term lasts.
type stream struct {
	replica *Replica
	ctx     context.Context
	term    ids.Term
	peer    rpc.Peer

	next       ids.Index // the first entry to send
	isMatched  bool      // the member's log is known to equal this one below next
	sentCommit ids.Index // the commit index that the member has been told
}

func (s *stream) run() {
	s.replica.mu.Lock()
	s.next, _ = s.replica.log.last()
	s.replica.mu.Unlock()
	for s.ctx.Err() == nil && s.step() {
	}
}

// step sends what the member lacks, or waits until there is something; false if the stream
// is over.
func (s *stream) step() bool {
	r := s.replica
	r.mu.Lock()
	if !r.leads(s.term) || !r.leadership.progressOf(s.peer).isReplicating {
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
		s.pause(unknownPeerPause)
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

// isUpToDate tells whether the member has everything. Only of the configuration it needs
// the commit index at once, as it gives its state out; elsewhere heartbeats carry it.
func (s *stream) isUpToDate() bool {
	last, _ := s.replica.log.last()
	isCommitSent := s.replica.shard != ids.ConfigShard || s.sentCommit >= s.replica.log.committed
	return s.isMatched && s.next > last && isCommitSent
}

// nextRequest is the next append; false if the member needs the snapshot.
func (s *stream) nextRequest() (*rpc.AppendRequest, bool) {
	r := s.replica
	prevTerm, entries, found := r.log.from(s.next)
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
	case r.leads(s.term) && response.CurrentTerm == s.term && response.MatchIndex > last:
		r.reportCorruption("a member has entries that its leader lacks", "member", string(s.peer.Name), "match", uint64(response.MatchIndex), "last", uint64(last))
	case response.Success:
		s.isMatched, s.sentCommit, s.next = true, request.Commit, response.MatchIndex+1
		if p := r.leadership.progressOf(s.peer); r.leads(s.term) && p.matchIndex < response.MatchIndex {
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

// acceptLeader is the beginning of every message from a leader: it checks the term and
// follows it. The batch bears the term if it is new, and must be submitted whatever comes
// of the rest of the message, as memory has the term already. There is none if the term
// is below the current one; the leader is answered with that.
func (r *Replica) acceptLeader(term ids.Term, from rpc.Peer) (*storage.Batch, error) {
	if err := r.checkTerm(term, from); err != nil {
		return nil, err
	}
	if term.Less(r.currentTerm) {
		return nil, nil
	}
	batch := r.node.store.NewBatch()
	if r.currentTerm.Less(term) {
		r.stepDown("a higher term has a leader")
		r.raiseTerm(batch, term)
	}
	if r.follower.matchTerm != term {
		r.follower = followerState{matchTerm: term}
	}
	r.election.lastLeaderContact, r.election.isRemoved = r.node.env.Now(), false
	return batch, nil
}

// handleAppend answers a leader's append once its entries are synced.
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

// acceptEntries merges an append into the log. The batch is submitted; none means that
// nothing is to be waited for.
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
