package consensus

import (
	"context"
	"slices"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

const (
	// membershipChangeTimeout bounds one step of a change.
	membershipChangeTimeout = 3 * time.Second

	// The preferred leader gets the shard back after it was live, and this member served,
	// for so long. It is polled so often for the entry that shows that its disk works.
	stableAfter            = 15 * time.Second
	preferredLeaderPolls   = 6
	preferredLeaderPause   = 50 * time.Millisecond
	preferredLeaderTimeout = time.Second
)

// superviseVoters is one look of the leader at the voters.
//
// The voters change through the shard's own log, by joint consensus: the first entry of a
// change names the new voters beside the outgoing ones, and from it on every decision
// needs a quorum of both; once it is committed, the second entry drops the outgoing ones.
// Whoever leads after the first entry finishes the change, so the death of a leader
// leaves no replacement half done. A voter that lost its disk, or is dead for long, gives
// way to a learner that has caught up.
func (r *Replica) superviseVoters() {
	r.mu.Lock()
	voters, isStable := r.voters, r.hasStableVoters()
	r.mu.Unlock()
	if !isStable {
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
		r.returnToPreferredLeader(voters.Current)
	}
}

// replaceVoters has the newcomers catch up side by side as learners, and makes voters of
// those that did in one change.
func (r *Replica) replaceVoters(voters []rpc.Peer, replacements []voterReplacement) {
	begun := r.node.env.Now()
	r.logReplacements(replacements)
	caughtUp := r.catchUpLearners(replacements)
	next := slices.Clone(voters)
	for i, change := range replacements {
		if caughtUp[i] {
			next = append(without(next, change.removed), change.added)
		} else {
			r.logEvent(eventlog.ReplacementFailed, "in", string(change.added.Name), "cause", "it did not catch up")
		}
	}
	if slices.Equal(next, voters) {
		return
	}
	joint, final := Voters{Current: next, Outgoing: voters}, Voters{Current: next}
	if !r.proposeVoters(joint) || !r.proposeVoters(final) {
		r.logEvent(eventlog.ReplacementFailed, "members", joint.String(), "cause", "the change was not committed")
		return
	}
	if replacements[0].removesVoter() {
		r.logEvent(eventlog.ReplacementFinished, "members", final.String(), "took", r.node.env.Since(begun).String())
	}
}

// logReplacements logs that lost voters begin to be replaced. That the voters grow is no news
// beside the change itself.
func (r *Replica) logReplacements(replacements []voterReplacement) {
	for _, change := range replacements {
		if change.removesVoter() {
			r.logEvent(eventlog.ReplacementStarted, "out", string(change.removed.Name), "in", string(change.added.Name))
		}
	}
}

// returnToPreferredLeader transfers the shard to the first in election order once that one
// is stable again and has shown that its disk works, so that leaders stay spread.
func (r *Replica) returnToPreferredLeader(voters []rpc.Peer) {
	preferred := ElectionOrder(r.shard, voters)[0]
	isStable := r.node.members.IsLive(preferred) && time.Since(r.node.members.View()[preferred.Name].StateChange) >= stableAfter
	if preferred == r.node.self || !isStable || r.node.env.Since(r.servingStart()) < stableAfter {
		return
	}
	ctx, cancel := context.WithTimeout(r.node.env, preferredLeaderTimeout)
	defer cancel()
	index, _, err := r.propose(ctx, rpc.Entry{Kind: entryEmpty})
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
		if !r.node.env.Sleep(preferredLeaderPause) {
			return
		}
	}
}

// servingStart returns since when this member serves, or served last.
func (r *Replica) servingStart() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leadership.servingSince
}

// without returns peers but for one.
func without(peers []rpc.Peer, removed rpc.Peer) (remaining []rpc.Peer) {
	for _, peer := range peers {
		if peer != removed {
			remaining = append(remaining, peer)
		}
	}
	return remaining
}

// proposeVoters writes one step of a change, and tells whether it is committed.
func (r *Replica) proposeVoters(next Voters) bool {
	ctx, cancel := context.WithTimeout(r.node.env, membershipChangeTimeout)
	defer cancel()
	_, _, err := r.propose(ctx, rpc.Entry{Kind: entryMembershipChange, Voters: next.Current, OutgoingVoters: next.Outgoing})
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.leadership.isLeader {
		return false
	}
	for peer, p := range r.leadership.progress {
		if !r.voters.Contains(peer) && r.hasStableVoters() {
			p.isReplicating = false
		}
	}
	r.replicateToAll()
	return err == nil
}
