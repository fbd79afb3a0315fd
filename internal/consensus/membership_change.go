// The voters of a part change through its own log, by joint consensus: the first
// entry of a change names the new members beside the former ones, and from it on
// every decision needs a majority of both; once it is committed, the second one
// drops the former. Whoever owns the part after the first entry finishes the change,
// so a replacement is one decision that the death of an owner does not leave half
// done. A member that came back under another birth, or is gone for long, gives way
// to a learner that has caught up.
package consensus

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/membership"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

const (
	stableAfter = 15 * time.Second

	// A learner is waited for as long as it comes closer, and given up after a pause
	// without progress.
	learnerPollInterval = 50 * time.Millisecond
	learnerStallTimeout = 2 * time.Second
	maxLearnerLag       = 16 // entries that a learner may lack when it becomes a member

	membershipChangeTimeout = 3 * time.Second
)

// superviseVoters is one look at the voters by the part's owner.
func (r *Replica) superviseVoters() {
	r.mu.Lock()
	voters, isStable := r.voters, r.commitIndex >= r.votersIndex
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

// lostVoters is the members that came back under another birth, or are gone for
// long.
func (r *Replica) lostVoters(group []rpc.Peer) (lost []rpc.Peer) {
	view, deadAfter := r.node.members.View(), r.node.env.Config.PactGone
	for _, peer := range group {
		m, isKnown := view[peer.Name]
		hasNewID := isKnown && m.ID != peer.ID
		isNeverSeen := !isKnown && r.node.env.Since(r.servingStart()) > deadAfter
		isDead := isKnown && !r.node.members.IsLive(peer) && time.Since(m.StateChange) > deadAfter
		if peer != r.node.self && (hasNewID || isNeverSeen || isDead) {
			lost = append(lost, peer)
		}
	}
	return lost
}

// voterReplacement is one member that comes in, for one that goes out if there is one.
type voterReplacement struct {
	in, out rpc.Peer
}

// replacements pairs each lost member with the core node that takes its place: the
// one of its own name, or a spare of the zone with the fewest members; and it fills
// a group that is smaller than the fleet allows.
func (r *Replica) replacements(group, lost []rpc.Peer) (replacements []voterReplacement) {
	view := r.node.members.View()
	isTaken, zones := map[ids.NodeName]bool{}, map[string]int{}
	for _, peer := range group {
		if !containsPeer(lost, peer) {
			isTaken[peer.Name] = true
			zones[view[peer.Name].Zone]++
		}
	}
	cores := r.clusterCores()
	assign := func(out rpc.Peer, suits func(rpc.Member) bool) bool {
		var best *rpc.Member
		for _, m := range cores {
			if !isTaken[m.Name] && suits(m) && (best == nil || zones[m.Zone] < zones[best.Zone]) {
				best = &m
			}
		}
		if best == nil {
			return false
		}
		isTaken[best.Name] = true
		zones[best.Zone]++
		replacements = append(replacements, voterReplacement{in: rpc.Peer{Name: best.Name, ID: best.ID}, out: out})
		return true
	}
	isLost := map[ids.NodeName]bool{}
	for _, out := range lost {
		isLost[out.Name] = true
	}
	for _, out := range lost {
		isBack := assign(out, func(m rpc.Member) bool { return m.Name == out.Name })
		if !isBack && isDeadFor(view, out, r.node.env.Config.PactGone) {
			assign(out, func(m rpc.Member) bool { return !isLost[m.Name] })
		}
	}
	if size := ReplicationFactor(r.shard, len(cores), r.node.env.Config.PactLosses); len(lost) == 0 && len(group) < size {
		assign(rpc.Peer{}, func(rpc.Member) bool { return true })
	}
	return replacements
}

// clusterCores is the core nodes of this fleet that seem live.
func (r *Replica) clusterCores() (cores []rpc.Member) {
	for _, m := range r.node.members.CoreMembers() {
		if m.Fleet == r.node.clusterID() {
			cores = append(cores, m)
		}
	}
	return cores
}

// replaceVoters has the newcomers catch up side by side, and puts those that did into
// the group in one change.
func (r *Replica) replaceVoters(group []rpc.Peer, replacements []voterReplacement) {
	caughtUp := make([]bool, len(replacements))
	var all sync.WaitGroup
	for i, change := range replacements {
		all.Add(1)
		r.node.env.Go(func() {
			defer all.Done()
			caughtUp[i] = r.catchUpLearner(change.in)
		})
	}
	all.Wait()
	next := slices.Clone(group)
	for i, change := range replacements {
		if caughtUp[i] {
			next = append(without(next, change.out), change.in)
		}
	}
	if slices.Equal(next, group) {
		return
	}
	if r.proposeVoters(Voters{Current: next, Outgoing: group}) {
		r.proposeVoters(Voters{Current: next})
	}
}

// returnToPreferredLeader passes the part to the first in its order once that one is live
// again and has shown that its disk works, so that owners stay spread.
func (r *Replica) returnToPreferredLeader(voters []rpc.Peer) {
	preferred := ElectionOrder(r.shard, voters)[0]
	if preferred == r.node.self || !r.node.members.IsLive(preferred) || time.Since(r.node.members.View()[preferred.Name].StateChange) < stableAfter || r.node.env.Since(r.servingStart()) < stableAfter {
		return
	}
	ctx, end := context.WithTimeout(r.node.env, time.Second)
	defer end()
	index, _, err := r.propose(ctx, rpc.Entry{Kind: entryEmpty})
	if err != nil {
		return
	}
	for range 6 {
		r.mu.Lock()
		isCaughtUp := r.isServing && r.matchIndex[preferred] >= index
		r.mu.Unlock()
		if isCaughtUp {
			r.transferLeadership(ctx)
			return
		}
		if !r.node.env.Sleep(50 * time.Millisecond) {
			return
		}
	}
}

// isDeadFor tells whether a name has not been live, under any birth, for long.
func isDeadFor(view map[ids.NodeName]membership.NodeState, peer rpc.Peer, deadAfter time.Duration) bool {
	m, ok := view[peer.Name]
	return !ok || !m.IsLive() && time.Since(m.StateChange) > deadAfter
}

func (r *Replica) servingStart() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.servingSince
}

func (n *Node) clusterID() string {
	if c := n.Charter(); c != nil {
		return c.Fleet
	}
	return ""
}

func without(group []rpc.Peer, removed rpc.Peer) (remaining []rpc.Peer) {
	for _, peer := range group {
		if peer != removed {
			remaining = append(remaining, peer)
		}
	}
	return remaining
}

// catchUpLearner feeds a learner until it is close behind, as long as it comes
// closer.
func (r *Replica) catchUpLearner(peer rpc.Peer) bool {
	r.mu.Lock()
	if !r.isServing {
		r.mu.Unlock()
		return false
	}
	r.startReplicating(peer)
	r.mu.Unlock()
	for since := r.node.env.Now(); r.node.env.Since(since) < learnerStallTimeout; {
		r.mu.Lock()
		last, _ := r.lastEntry()
		reached, isServing := r.matchIndex[peer], r.isServing
		if r.lastProgress[peer].After(since) {
			since = r.lastProgress[peer]
		}
		r.mu.Unlock()
		switch {
		case !isServing:
			return false
		case reached > 0 && reached+maxLearnerLag >= last:
			return true
		}
		if !r.node.env.Sleep(learnerPollInterval) {
			return false
		}
	}
	return false
}

// proposeVoters writes one step of a change, and tells whether it is committed.
func (r *Replica) proposeVoters(next Voters) bool {
	ctx, end := context.WithTimeout(r.node.env, membershipChangeTimeout)
	defer end()
	_, _, err := r.propose(ctx, rpc.Entry{Kind: entryMembershipChange, Voters: next.Current, OutgoingVoters: next.Outgoing})
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isLeader {
		return false
	}
	for peer := range r.replicating {
		if !r.voters.Contains(peer) && r.commitIndex >= r.votersIndex {
			delete(r.replicating, peer)
		}
	}
	r.replicateToAll()
	return err == nil
}
