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
	// membershipChangeTimeout bounds one step of a change.
	membershipChangeTimeout = 3 * time.Second

	// A learner is waited for as long as it comes closer, and given up after so long
	// without progress.
	learnerPollInterval = 50 * time.Millisecond
	learnerStallTimeout = 2 * time.Second
	maxLearnerLag       = 16 // entries that a learner may lack when it becomes a voter

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

// lostVoters returns the voters that came back under another member id, or are dead for
// consensus.replacement_delay.
func (r *Replica) lostVoters(voters []rpc.Peer) (lost []rpc.Peer) {
	view, deadAfter := r.node.members.View(), r.node.env.Config.ConsensusReplacementDelay
	for _, peer := range voters {
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

// voterReplacement is one voter that comes in, for one that goes out; out is zero if the
// voters grow.
type voterReplacement struct {
	in, out rpc.Peer
}

// replacements pairs each lost voter with the core node that takes its place: the one of
// its own name, or, if that is dead for consensus.replacement_delay, a spare of the zone with the fewest
// voters. Voters that are fewer than the cluster allows get one more.
func (r *Replica) replacements(voters, lost []rpc.Peer) []voterReplacement {
	p := r.newReplacementPlan(voters, lost)
	for _, out := range lost {
		isBack := p.assign(out, func(m rpc.Member) bool { return m.Name == out.Name })
		if !isBack && isDeadFor(p.view, out, r.node.env.Config.ConsensusReplacementDelay) {
			p.assign(out, func(m rpc.Member) bool { return !p.isLost[m.Name] })
		}
	}
	if size := ReplicationFactor(r.shard, len(p.cores), r.node.env.Config.ConsensusFaultTolerance); len(lost) == 0 && len(voters) < size {
		p.assign(rpc.Peer{}, func(rpc.Member) bool { return true })
	}
	return p.replacements
}

// replacementPlan is the state in which replacements are chosen one after another.
type replacementPlan struct {
	view         map[ids.NodeName]membership.NodeState
	cores        []rpc.Member
	isTaken      map[ids.NodeName]bool // votes or is assigned already
	isLost       map[ids.NodeName]bool
	zones        map[string]int // voters in each zone
	replacements []voterReplacement
}

func (r *Replica) newReplacementPlan(voters, lost []rpc.Peer) *replacementPlan {
	p := &replacementPlan{
		view:    r.node.members.View(),
		cores:   r.clusterCores(),
		isTaken: map[ids.NodeName]bool{},
		isLost:  map[ids.NodeName]bool{},
		zones:   map[string]int{},
	}
	for _, peer := range voters {
		if !containsPeer(lost, peer) {
			p.isTaken[peer.Name] = true
			p.zones[p.view[peer.Name].Zone]++
		}
	}
	for _, peer := range lost {
		p.isLost[peer.Name] = true
	}
	return p
}

// assign gives the place of one voter to the best of the nodes that suit; false if none does.
func (p *replacementPlan) assign(out rpc.Peer, suits func(rpc.Member) bool) bool {
	var best *rpc.Member
	for _, m := range p.cores {
		if !p.isTaken[m.Name] && suits(m) && (best == nil || p.zones[m.Zone] < p.zones[best.Zone]) {
			best = &m
		}
	}
	if best == nil {
		return false
	}
	p.isTaken[best.Name] = true
	p.zones[best.Zone]++
	p.replacements = append(p.replacements, voterReplacement{in: rpc.Peer{Name: best.Name, ID: best.ID}, out: out})
	return true
}

// clusterCores returns the core nodes of this cluster that seem live.
func (r *Replica) clusterCores() (cores []rpc.Member) {
	for _, m := range r.node.members.CoreMembers() {
		if m.Fleet == r.node.clusterID() {
			cores = append(cores, m)
		}
	}
	return cores
}

// replaceVoters has the newcomers catch up side by side as learners, and makes voters of
// those that did in one change.
func (r *Replica) replaceVoters(voters []rpc.Peer, replacements []voterReplacement) {
	caughtUp := make([]bool, len(replacements))
	var learners sync.WaitGroup
	for i, change := range replacements {
		learners.Add(1)
		r.node.env.Go(func() {
			defer learners.Done()
			caughtUp[i] = r.catchUpLearner(change.in)
		})
	}
	learners.Wait()
	next := slices.Clone(voters)
	for i, change := range replacements {
		if caughtUp[i] {
			next = append(without(next, change.out), change.in)
		}
	}
	if slices.Equal(next, voters) {
		return
	}
	if r.proposeVoters(Voters{Current: next, Outgoing: voters}) {
		r.proposeVoters(Voters{Current: next})
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

// isDeadFor tells whether a node has been dead for so long, under any member id.
func isDeadFor(view map[ids.NodeName]membership.NodeState, peer rpc.Peer, deadAfter time.Duration) bool {
	m, ok := view[peer.Name]
	return !ok || !m.IsLive() && time.Since(m.StateChange) > deadAfter
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

// catchUpLearner replicates to a learner, and tells whether it came close behind.
func (r *Replica) catchUpLearner(peer rpc.Peer) bool {
	r.mu.Lock()
	if !r.leadership.isServing {
		r.mu.Unlock()
		return false
	}
	r.startReplicating(peer)
	r.mu.Unlock()
	for since := r.node.env.Now(); r.node.env.Since(since) < learnerStallTimeout; {
		r.mu.Lock()
		last, _ := r.log.last()
		p, isServing := *r.leadership.progressOf(peer), r.leadership.isServing
		r.mu.Unlock()
		if p.lastAdvance.After(since) {
			since = p.lastAdvance
		}
		switch {
		case !isServing:
			return false
		case p.matchIndex > 0 && p.matchIndex+maxLearnerLag >= last:
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
