// Standing for a part and giving it up. The first live member in the agreed
// order stands after the owner's silence, each later one a while after; it asks
// all members for promises, takes over the most advanced log among a majority
// of them, and serves once an entry of its own term is synced by a majority.
package consensus

import (
	"context"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
	"github.com/sumactrestle/sumactrestle/internal/storage"
)

const voteTimeout = 800 * time.Millisecond

// isElectionDue tells whether the silence has lasted long enough for this member.
func (r *Replica) isElectionDue() bool {
	if r.node.IsStopping() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isLeader || r.isRemoved || !r.voters.Contains(r.node.self) {
		return false
	}
	timeout := r.node.env.Config.PactSilence
	if r.lastLeaderContact.IsZero() {
		// After a start, one round of a working owner is awaited; a member that
		// hears one refuses whoever stands.
		timeout = min(timeout, r.node.env.Config.PactRound*3/2)
	}
	start := r.lastLeaderContact
	if start.Before(r.electionTimerStart) {
		start = r.electionTimerStart
	}
	if r.node.env.Since(start) <= timeout {
		return false
	}
	rank := 0
	for _, peer := range ElectionOrder(r.shard, r.voters.All()) {
		if peer == r.node.self {
			break
		}
		if r.node.members.IsLive(peer) {
			rank++
		}
	}
	return r.node.env.Since(start) > timeout+time.Duration(rank)*timeout/2
}

// handleVote answers a member that stands.
func (r *Replica) handleVote(request *rpc.VoteRequest) (*rpc.VoteResponse, error) {
	r.mu.Lock()
	if err := r.checkTerm(request.Term, request.From); err != nil {
		r.mu.Unlock()
		return nil, err
	}
	response := &rpc.VoteResponse{From: r.node.self, CurrentTerm: r.currentTerm}
	hasLiveLeader := !request.LeadershipTransfer && r.node.env.Since(r.lastLeaderContact) < r.node.env.Config.PactSilence*3/4 && !r.lastLeaderContact.IsZero()
	if response.NotMember = r.isRemovedCandidate(request); response.NotMember {
		r.mu.Unlock()
		return response, nil
	}
	if r.isFarAheadOf(request) {
		// The candidate has promised its own term already; only a higher one passes there.
		r.highestTermNumber = max(r.highestTermNumber, request.Term.Number)
		r.mu.Unlock()
		r.node.runOnce(r.shard, func() { r.campaign(false) })
		return response, nil
	}
	isConfirmedLeader := r.isLeader && !request.LeadershipTransfer && r.node.env.Since(r.confirmedAt()) < r.node.env.Config.PactSilence*3/4
	if !r.currentTerm.Less(request.Term) || hasLiveLeader || isConfirmedLeader {
		r.mu.Unlock()
		return response, nil
	}
	r.stepDown("a higher term stands")
	r.currentTerm = request.Term
	r.trace(TraceEvent{Kind: TraceTermRaised, Term: request.Term})
	r.leaderMatchTerm, r.leaderMatchIndex = request.Term, 0
	r.electionTimerStart = r.node.env.Now()
	batch := r.node.store.NewBatch()
	r.putCurrentTerm(batch)
	r.node.store.Submit(batch)
	response.Granted, response.CurrentTerm = true, request.Term
	response.LastIndex, response.LastTerm = r.lastEntry()
	response.Voters, response.OutgoingVoters = r.voters.Current, r.voters.Outgoing
	if request.Commit < r.snapshot.Index {
		snapshot := r.snapshot
		response.Snapshot = &snapshot
	}
	if from := r.commonIndex(request); from < response.LastIndex {
		response.Entries = r.entriesAfter(from)
	}
	r.mu.Unlock()
	if err := batch.Wait(); err != nil {
		return nil, err
	}
	r.trace(TraceEvent{Kind: TraceVoted, Term: request.Term})
	return response, nil
}

// isRemovedCandidate tells whether a candidate has no vote in a group that is known to be
// committed, and lacks what says so. Its promises would count for nothing, and its
// term would only end the work of an owner.
func (r *Replica) isRemovedCandidate(request *rpc.VoteRequest) bool {
	last, lastTerm := r.lastEntry()
	isBehind := request.LastTerm.Less(lastTerm) || request.LastTerm == lastTerm && request.LastIndex <= last
	return isBehind && r.commitIndex >= r.votersIndex && !r.voters.Contains(request.From)
}

// maxVoteBytes is how much of a log comes with a promise at most.
const maxVoteBytes = 64 << 10

// isFarAheadOf tells whether a candidate lacks so much of this member's log that it can't
// come with a promise: a snapshot, or many entries. So this member stands itself, if it
// can lead.
func (r *Replica) isFarAheadOf(request *rpc.VoteRequest) bool {
	if !r.voters.Contains(r.node.self) || r.isRemoved || r.node.IsStopping() {
		return false
	}
	last, lastTerm := r.lastEntry()
	if !request.LastTerm.Less(lastTerm) && (request.LastTerm != lastTerm || last <= request.LastIndex) {
		return false
	}
	if request.LastIndex < r.snapshot.Index {
		return true
	}
	size := 0
	for _, e := range r.entriesAfter(r.commonIndex(request)) {
		size += len(e.Body)
	}
	return size > maxVoteBytes
}

// commonIndex is up to where a candidate surely has the entries of this log: all of its
// own if this log runs through its last one, else what it knows to be committed.
func (r *Replica) commonIndex(request *rpc.VoteRequest) ids.Index {
	if term, isThere := r.termAt(request.LastIndex); isThere && term == request.LastTerm {
		return request.LastIndex
	}
	return request.Commit
}

// noteRemoved has this member rest until an owner sends it entries again: it was
// told that it is no member any more. Its copy stays as it is.
func (r *Replica) noteRemoved(isNotMember bool) {
	if isNotMember && !r.isRemoved {
		r.isRemoved = true
		r.node.log(eventlog.MemberRemoved, "part", int(r.shard), "last_members", r.voters.String())
	}
}

// maxTermJump is how far a term may be above the one known here. Rounds rise by one
// with each election, so a term beyond that is damaged; taken over, it would leave
// no room for later ones.
const maxTermJump = 1 << 32

// checkTerm refuses a term that no election can have come to.
func (r *Replica) checkTerm(term ids.Term, from rpc.Peer) error {
	if term.Number > r.currentTerm.Number && term.Number-r.currentTerm.Number > maxTermJump {
		err := errcode.New(errcode.BadMessage, "part %d: term %s is out of all order after %s", r.shard, term, r.currentTerm)
		r.node.log(eventlog.MessageRefused, "code", errcode.BadMessage.No, "part", int(r.shard), "from", string(from.Name), "cause", err.Error())
		return err
	}
	return nil
}

// isTransferFromLeader tells whether an invitation comes from the owner that this member
// knows; one that is late must not end the work of the next owner.
func (r *Replica) isTransferFromLeader(request *rpc.CampaignRequest) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.currentTerm == request.Term
}

// campaign tries to become the owner.
func (r *Replica) campaign(isTransfer bool) {
	r.mu.Lock()
	if r.isLeader || r.isRemoved || !r.voters.Contains(r.node.self) || r.node.IsStopping() {
		r.mu.Unlock()
		return
	}
	number := max(r.currentTerm.Number, r.highestTermNumber) + 1
	term := ids.Term{Number: number, Node: r.node.self.Name}
	r.currentTerm, r.leaderMatchTerm, r.leaderMatchIndex = term, term, 0
	r.trace(TraceEvent{Kind: TraceTermRaised, Term: term})
	r.electionTimerStart = r.node.env.Now()
	batch := r.node.store.NewBatch()
	r.putCurrentTerm(batch)
	r.node.store.Submit(batch)
	commit := r.commitIndex
	own := &rpc.VoteResponse{From: r.node.self, Granted: true, Voters: r.voters.Current, OutgoingVoters: r.voters.Outgoing}
	own.LastIndex, own.LastTerm = r.lastEntry()
	r.mu.Unlock()
	if batch.Wait() != nil {
		return
	}
	r.trace(TraceEvent{Kind: TraceVoted, Term: term})
	sent := r.node.env.Now()
	best, granted := r.collectVotes(&rpc.VoteRequest{Shard: r.shard, Term: term, From: r.node.self, Commit: commit, LastIndex: own.LastIndex, LastTerm: own.LastTerm, LeadershipTransfer: isTransfer}, own)
	if best == nil || !votersNamedBy(best).Contains(r.node.self) {
		r.node.log(eventlog.StandFailed, "part", int(r.shard), "term", term.String())
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.currentTerm != term || r.node.env.IsStopping() {
		return
	}
	batch = r.node.store.NewBatch()
	if best != own {
		if best.Snapshot != nil && best.Snapshot.Index > r.commitIndex {
			if err := r.installSnapshot(batch, best.Snapshot); err != nil {
				return
			}
		}
		if last, _ := r.lastEntry(); last > best.LastIndex {
			r.truncateAfter(batch, max(best.LastIndex, r.commitIndex))
		}
		if err := r.mergeEntries(batch, best.Entries); err != nil {
			r.node.log(eventlog.StandFailed, "part", int(r.shard), "cause", err.Error())
			if errcode.Is(err, errcode.Internal) {
				r.reportCorruption(err.Error(), "from", string(best.From.Name))
			}
			r.node.store.Submit(batch)
			return
		}
	}
	last, _ := r.lastEntry()
	r.trace(TraceEvent{Kind: TraceElected, Term: term, Index: last, Voters: r.voters, Granted: granted, TermAt: r.termAt})
	r.becomeLeader(batch, sent, granted)
}

// collectVotes asks for promises until a majority of the group that the most
// advanced log among them names has given one, and returns that log. The group
// that this member knows may be old: only the adopted log tells who has a vote.
func (r *Replica) collectVotes(request *rpc.VoteRequest, own *rpc.VoteResponse) (*rpc.VoteResponse, []rpc.Peer) {
	ctx, end := context.WithTimeout(r.node.env, voteTimeout)
	defer end()
	responses := make(chan *rpc.VoteResponse)
	requested := map[rpc.Peer]bool{r.node.self: true}
	pending := 0
	requestFrom := func(group []rpc.Peer) {
		for _, peer := range group {
			if !requested[peer] {
				requested[peer] = true
				pending++
				r.node.env.Go(func() {
					response := r.requestVote(ctx, request, peer)
					select {
					case responses <- response:
					case <-ctx.Done():
					}
				})
			}
		}
	}
	best, granted := own, []rpc.Peer{r.node.self}
	requestFrom(votersNamedBy(best).All())
	for {
		if votersNamedBy(best).HasQuorum(granted) {
			return best, granted
		}
		if pending == 0 {
			return nil, nil
		}
		select {
		case response := <-responses:
			pending--
			if response == nil {
				continue
			}
			granted = append(granted, response.From)
			if best.LastTerm.Less(response.LastTerm) || best.LastTerm == response.LastTerm && best.LastIndex < response.LastIndex {
				best = response
				requestFrom(votersNamedBy(best).All())
			}
		case <-ctx.Done():
			return nil, nil
		}
	}
}

// votersNamedBy is the voters that the log behind a promise names.
func votersNamedBy(response *rpc.VoteResponse) Voters {
	return Voters{Current: response.Voters, Outgoing: response.OutgoingVoters}
}

// requestVote asks one member; nil if it can't be asked or refuses.
func (r *Replica) requestVote(ctx context.Context, request *rpc.VoteRequest, peer rpc.Peer) *rpc.VoteResponse {
	m, ok := r.node.members.View()[peer.Name]
	if !ok || m.ID != peer.ID {
		return nil
	}
	response := &rpc.VoteResponse{}
	if err := r.node.transport.Call(ctx, m.RPCAddress, "pact.promise", request, response); err != nil || response.From != peer {
		return nil
	}
	if !response.Granted {
		r.mu.Lock()
		r.noteRemoved(response.NotMember)
		r.highestTermNumber = max(r.highestTermNumber, response.CurrentTerm.Number)
		r.mu.Unlock()
		return nil
	}
	return response
}

// becomeLeader makes this member the owner; it serves when its first entry commits.
func (r *Replica) becomeLeader(batch *storage.Batch, sent time.Time, granted []rpc.Peer) {
	r.isLeader, r.isServing = true, false
	r.leaderCtx, r.cancelLeadership = context.WithCancel(r.node.env)
	r.matchIndex, r.lastAck, r.replicating = map[rpc.Peer]ids.Index{}, map[rpc.Peer]time.Time{}, map[rpc.Peer]bool{}
	r.lastProgress = map[rpc.Peer]time.Time{}
	for _, peer := range granted {
		r.lastAck[peer] = sent
	}
	last, _ := r.lastEntry()
	r.firstOwnIndex = last + 1
	r.appendOwn(batch, rpc.Entry{Kind: entryEmpty})
	r.replicateToAll()
	r.node.kickAllHeartbeats()
}

// stepDown ends the ownership; whoever waits for a write is left unsure.
func (r *Replica) stepDown(cause string) {
	if !r.isLeader {
		return
	}
	r.isLeader, r.isServing = false, false
	r.cancelLeadership()
	r.failProposals(0)
	r.electionTimerStart = r.node.env.Now()
	r.node.log(eventlog.PartLost, "part", int(r.shard), "term", r.currentTerm.String(), "cause", cause)
	r.notifyChanged()
}

// reportCorruption is for what the rules on terms and majorities rule out: it is said, and
// the part is given up rather than written to.
func (r *Replica) reportCorruption(cause string, fields ...any) {
	r.node.log(eventlog.PartBroken, append([]any{"part", int(r.shard), "term", r.currentTerm.String(), "cause", cause}, fields...)...)
	r.stepDown("copies contradict one another")
}

func (r *Replica) resign(cause string) {
	r.mu.Lock()
	r.stepDown(cause)
	r.mu.Unlock()
}

// checkQuorum gives up a part whose term no majority confirms any more.
func (r *Replica) checkQuorum() {
	r.mu.Lock()
	if r.isLeader && r.node.env.Since(r.confirmedAt()) > 2*r.node.env.Config.PactSilence {
		r.stepDown("no majority in reach")
	}
	r.mu.Unlock()
}

// transferLeadership invites the next live member that has everything.
func (r *Replica) transferLeadership(ctx context.Context) {
	r.mu.Lock()
	if !r.isServing {
		r.mu.Unlock()
		return
	}
	last, _ := r.lastEntry()
	term := r.currentTerm
	var target *rpc.Member
	for _, peer := range ElectionOrder(r.shard, r.voters.All()) {
		m, ok := r.node.members.Lookup(peer.Name)
		if peer != r.node.self && ok && m.ID == peer.ID && r.matchIndex[peer] == last {
			target = &m
			break
		}
	}
	r.stepDown("handed over")
	r.mu.Unlock()
	if target != nil {
		limited, end := context.WithTimeout(ctx, time.Second)
		defer end()
		r.node.transport.Call(limited, target.RPCAddress, "pact.invite", &rpc.CampaignRequest{Shard: r.shard, Term: term}, nil)
	}
}
