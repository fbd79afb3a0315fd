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
	settleTime = 15 * time.Second

	// A learner is waited for as long as it comes closer, and given up after a pause
	// without progress.
	learnerPause  = 50 * time.Millisecond
	learnerRest   = 2 * time.Second
	learnerBehind = 16 // entries that a learner may lack when it becomes a member

	changeTime = 3 * time.Second
)

// superviseGroup is one look at the voters by the part's owner.
func (t *Part) superviseGroup() {
	t.mu.Lock()
	voters, isSettled := t.voters, t.commit >= t.votersAt
	t.mu.Unlock()
	if !isSettled {
		return
	}
	if voters.IsJoint() {
		t.changeVoters(Voters{Current: voters.Current})
		return
	}
	lost := t.lostMembers(voters.Current)
	wanted := t.replacements(voters.Current, lost)
	if len(wanted) > 0 {
		t.replace(voters.Current, wanted)
	} else if len(lost) == 0 {
		t.returnOwnership(voters.Current)
	}
}

// lostMembers is the members that came back under another birth, or are gone for
// long.
func (t *Part) lostMembers(group []rpc.Peer) (lost []rpc.Peer) {
	view, long := t.p.k.View(), t.p.r.Props.PactGone
	for _, peer := range group {
		m, isKnown := view[peer.Name]
		isReborn := isKnown && m.Birth != peer.Birth
		isNeverSeen := !isKnown && t.p.r.Since(t.servedAt()) > long
		isGone := isKnown && !t.p.k.IsLive(peer) && time.Since(m.Since) > long
		if peer != t.p.me && (isReborn || isNeverSeen || isGone) {
			lost = append(lost, peer)
		}
	}
	return lost
}

// replacement is one member that comes in, for one that goes out if there is one.
type replacement struct {
	in, out rpc.Peer
}

// replacements pairs each lost member with the core node that takes its place: the
// one of its own name, or a spare of the zone with the fewest members; and it fills
// a group that is smaller than the fleet allows.
func (t *Part) replacements(group, lost []rpc.Peer) (wanted []replacement) {
	view := t.p.k.View()
	isTaken, zones := map[ids.Name]bool{}, map[string]int{}
	for _, peer := range group {
		if !holds(lost, peer) {
			isTaken[peer.Name] = true
			zones[view[peer.Name].Zone]++
		}
	}
	cores := t.fleetCores()
	take := func(out rpc.Peer, isFit func(rpc.Member) bool) bool {
		var best *rpc.Member
		for _, m := range cores {
			if !isTaken[m.Name] && isFit(m) && (best == nil || zones[m.Zone] < zones[best.Zone]) {
				best = &m
			}
		}
		if best == nil {
			return false
		}
		isTaken[best.Name] = true
		zones[best.Zone]++
		wanted = append(wanted, replacement{in: rpc.Peer{Name: best.Name, Birth: best.Birth}, out: out})
		return true
	}
	isLost := map[ids.Name]bool{}
	for _, out := range lost {
		isLost[out.Name] = true
	}
	for _, out := range lost {
		isBack := take(out, func(m rpc.Member) bool { return m.Name == out.Name })
		if !isBack && isGone(view, out, t.p.r.Props.PactGone) {
			take(out, func(m rpc.Member) bool { return !isLost[m.Name] })
		}
	}
	if size := Size(t.no, len(cores), t.p.r.Props.PactLosses); len(lost) == 0 && len(group) < size {
		take(rpc.Peer{}, func(rpc.Member) bool { return true })
	}
	return wanted
}

// fleetCores is the core nodes of this fleet that seem live.
func (t *Part) fleetCores() (cores []rpc.Member) {
	for _, m := range t.p.k.Cores() {
		if m.Fleet == t.p.fleet() {
			cores = append(cores, m)
		}
	}
	return cores
}

// replace has the newcomers catch up side by side, and puts those that did into
// the group in one change.
func (t *Part) replace(group []rpc.Peer, wanted []replacement) {
	caughtUp := make([]bool, len(wanted))
	var all sync.WaitGroup
	for i, r := range wanted {
		all.Add(1)
		t.p.r.Go(func() {
			defer all.Done()
			caughtUp[i] = t.catchUpLearner(r.in)
		})
	}
	all.Wait()
	next := slices.Clone(group)
	for i, r := range wanted {
		if caughtUp[i] {
			next = append(without(next, r.out), r.in)
		}
	}
	if slices.Equal(next, group) {
		return
	}
	if t.changeVoters(Voters{Current: next, Former: group}) {
		t.changeVoters(Voters{Current: next})
	}
}

// returnOwnership passes the part to the first in its order once that one is live
// again and has shown that its disk works, so that owners stay spread.
func (t *Part) returnOwnership(group []rpc.Peer) {
	first := Order(t.no, group)[0]
	if first == t.p.me || !t.p.k.IsLive(first) || time.Since(t.p.k.View()[first.Name].Since) < settleTime || t.p.r.Since(t.servedAt()) < settleTime {
		return
	}
	ctx, end := context.WithTimeout(t.p.r, time.Second)
	defer end()
	index, _, err := t.propose(ctx, rpc.Entry{Kind: ownEntry})
	if err != nil {
		return
	}
	for range 6 {
		t.mu.Lock()
		isThere := t.isServing && t.match[first] >= index
		t.mu.Unlock()
		if isThere {
			t.handOver(ctx)
			return
		}
		if !t.p.r.Pause(50 * time.Millisecond) {
			return
		}
	}
}

// isGone tells whether a name has not been live, under any birth, for long.
func isGone(view map[ids.Name]membership.Standing, peer rpc.Peer, long time.Duration) bool {
	m, ok := view[peer.Name]
	return !ok || m.State != membership.Alive && m.State != membership.Suspect && time.Since(m.Since) > long
}

func (t *Part) servedAt() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.served
}

func (p *Node) fleet() string {
	if c := p.Charter(); c != nil {
		return c.Fleet
	}
	return ""
}

func without(group []rpc.Peer, gone rpc.Peer) (rest []rpc.Peer) {
	for _, peer := range group {
		if peer != gone {
			rest = append(rest, peer)
		}
	}
	return rest
}

// catchUpLearner feeds a learner until it is close behind, as long as it comes
// closer.
func (t *Part) catchUpLearner(peer rpc.Peer) bool {
	t.mu.Lock()
	if !t.isServing {
		t.mu.Unlock()
		return false
	}
	t.startReplicating(peer)
	t.mu.Unlock()
	for since := t.p.r.Now(); t.p.r.Since(since) < learnerRest; {
		t.mu.Lock()
		last, _ := t.last()
		reached, isServing := t.match[peer], t.isServing
		if t.progress[peer].After(since) {
			since = t.progress[peer]
		}
		t.mu.Unlock()
		switch {
		case !isServing:
			return false
		case reached > 0 && reached+learnerBehind >= last:
			return true
		}
		if !t.p.r.Pause(learnerPause) {
			return false
		}
	}
	return false
}

// changeVoters writes one step of a change, and tells whether it is committed.
func (t *Part) changeVoters(next Voters) bool {
	ctx, end := context.WithTimeout(t.p.r, changeTime)
	defer end()
	_, _, err := t.propose(ctx, rpc.Entry{Kind: groupEntry, Group: next.Current, Former: next.Former})
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.isOwner {
		return false
	}
	for peer := range t.replicating {
		if !t.voters.Holds(peer) && t.commit >= t.votersAt {
			delete(t.replicating, peer)
		}
	}
	t.replicateToAll()
	return err == nil
}
