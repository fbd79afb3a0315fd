package consensus

import (
	"context"
	"slices"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

const (
	membershipChangeTimeout = 3 * time.Second // for one step of a change

	// Leadership returns to the preferred leader once it has been live, and this member has
	// served, for preferredLeaderStablePeriod. The polls wait until it has synced an entry,
	// which shows that its disk works.
	preferredLeaderStablePeriod = 15 * time.Second
	preferredLeaderPolls        = 6
	preferredLeaderPollInterval = 50 * time.Millisecond
	preferredLeaderTimeout      = time.Second
)

// superviseVoters runs one check of the voters by the leader: it finishes a membership change,
// replaces lost voters, or transfers leadership to the preferred leader.
//
// Voters change through the shard's log by joint consensus. The first entry of a change names
// the new and the outgoing voters, and from it on every decision needs a quorum of both.
// Once it is committed, the second entry removes the outgoing voters. If the leader fails in
// between, the next leader finishes the change. A voter that lost its disk, or has not
// responded for consensus.replacement_delay, is replaced by a learner that has caught up.
func (r *Replica) superviseVoters() {
	r.mu.Lock()
	voters, isCommitted := r.voters, r.hasCommittedVoters()
	r.mu.Unlock()
	if !isCommitted {
		return
	}
	if voters.IsJoint() {
		r.proposeVoters(Voters{Current: voters.Current})
		return
	}
	lost := r.lostVoters(voters.Current)
	replacements := r.replacements(voters.Current, lost)
	if len(replacements) > 0 {
		r.replaceVoters(voters.Current, replacements)
	} else if len(lost) == 0 {
		r.transferToPreferredLeader(voters.Current)
	}
}

// replaceVoters lets the incoming members catch up as learners in parallel, and makes those
// that did voters in one change.
func (r *Replica) replaceVoters(voters []rpc.Peer, replacements []voterReplacement) {
	startTime := r.node.env.Now()
	r.logReplacements(replacements)
	caughtUp := r.catchUpLearners(replacements)
	next := slices.Clone(voters)
	for i, change := range replacements {
		if caughtUp[i] {
			next = append(withoutPeer(next, change.removed), change.added)
		} else {
			r.logEvent(eventlog.ReplacementFailed, "in", string(change.added.Name), "cause", "the new member did not catch up")
		}
	}
	if slices.Equal(next, voters) {
		return
	}
	joint, final := Voters{Current: next, Outgoing: voters}, Voters{Current: next}
	if !r.proposeVoters(joint) || !r.proposeVoters(final) {
		r.logEvent(eventlog.ReplacementFailed, "members", joint.String(), "cause", "the membership change was not committed")
		return
	}
	if replacements[0].removesVoter() {
		r.logEvent(eventlog.ReplacementFinished, "members", final.String(), "took", r.node.env.Since(startTime).String())
	}
}

// logReplacements logs the start of each replacement of a lost voter. An added voter is not
// logged here, as the change of the voters is logged anyway.
func (r *Replica) logReplacements(replacements []voterReplacement) {
	for _, change := range replacements {
		if change.removesVoter() {
			r.logEvent(eventlog.ReplacementStarted, "out", string(change.removed.Name), "in", string(change.added.Name))
		}
	}
}

// transferToPreferredLeader transfers leadership to the first voter in election order, once that
// voter has been live for long enough and has synced a new entry. This keeps the leaders of
// the shards spread over the nodes.
func (r *Replica) transferToPreferredLeader(voters []rpc.Peer) {
	preferred := ElectionOrder(r.shard, voters)[0]
	isStable := r.node.members.IsLive(preferred) && time.Since(r.node.members.View()[preferred.Name].StateChange) >= preferredLeaderStablePeriod
	if preferred == r.node.self || !isStable || r.node.env.Since(r.servingSince()) < preferredLeaderStablePeriod {
		return
	}
	ctx, cancel := context.WithTimeout(r.node.env, preferredLeaderTimeout)
	defer cancel()
	index, _, err := r.propose(ctx, anyTerm, rpc.Entry{Kind: entryEmpty})
	if err != nil {
		return
	}
	for range preferredLeaderPolls {
		r.mu.Lock()
		isCaughtUp := r.leadership.isServing && r.leadership.progressOf(preferred).matchIndex >= index
		r.mu.Unlock()
		if isCaughtUp {
			r.transferLeadership(ctx)
			return
		}
		if !r.node.env.Sleep(preferredLeaderPollInterval) {
			return
		}
	}
}

// servingSince returns when this member began to serve the shard, now or most recently.
func (r *Replica) servingSince() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leadership.servingSince
}

// withoutPeer returns the peers except removed.
func withoutPeer(peers []rpc.Peer, removed rpc.Peer) (remaining []rpc.Peer) {
	for _, peer := range peers {
		if peer != removed {
			remaining = append(remaining, peer)
		}
	}
	return remaining
}

// proposeVoters proposes one step of a membership change, and reports whether it was committed.
// It starts replication to the new voters, and stops it to members without a vote once the
// voters are committed.
func (r *Replica) proposeVoters(next Voters) bool {
	ctx, cancel := context.WithTimeout(r.node.env, membershipChangeTimeout)
	defer cancel()
	_, _, err := r.propose(ctx, anyTerm, rpc.Entry{Kind: entryMembershipChange, Voters: next.Current, OutgoingVoters: next.Outgoing})
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.leadership.isLeader {
		return false
	}
	for peer, p := range r.leadership.progress {
		if !r.voters.Contains(peer) && r.hasCommittedVoters() {
			p.isReplicating = false
		}
	}
	r.replicateToAll()
	return err == nil
}
