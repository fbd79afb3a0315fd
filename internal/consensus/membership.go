// Membership of a part changes through its own log, one member at a time, the
// next only after the former is committed in the current term. A member that
// came back with another birth, or is gone for long, gives way to a learner
// that has caught up: first the old one is taken out, then the new one put in.
package consensus

import (
	"context"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/kin"
	"github.com/sumactrestle/sumactrestle/internal/mark"
	"github.com/sumactrestle/sumactrestle/internal/wire"
)

const settleTime = 15 * time.Second

// superviseGroup is one look at the group by the part's owner.
func (t *Part) superviseGroup() {
	view := t.p.k.View()
	t.mu.Lock()
	group, isSettled := t.group, t.commit >= t.groupAt
	t.mu.Unlock()
	if !isSettled {
		return
	}
	var lost *wire.Peer
	named := map[mark.Name]bool{}
	zones := map[string]int{}
	for _, peer := range group {
		m, ok := view[peer.Name]
		isReborn := ok && m.Birth != peer.Birth
		isGone := peer != t.p.me && (!ok && t.p.r.Since(t.servedAt()) > t.p.r.Props.PactGone || ok && !t.p.k.IsLive(peer) && time.Since(m.Since) > t.p.r.Props.PactGone)
		if isReborn || isGone {
			lost = &peer
			continue
		}
		named[peer.Name] = true
		zones[m.Zone]++
	}
	var cores []wire.Member
	for _, m := range t.p.k.Cores() {
		if m.Fleet == t.p.fleet() {
			cores = append(cores, m)
		}
	}
	var spare *wire.Peer
	fewest := 0
	for _, m := range cores {
		peer := wire.Peer{Name: m.Name, Birth: m.Birth}
		if named[m.Name] {
			continue
		}
		isBack := lost != nil && lost.Name == m.Name
		if lost != nil && !isBack && !isGone(view, *lost, t.p.r.Props.PactGone) {
			continue
		}
		if spare == nil || isBack || zones[m.Zone] < fewest {
			spare, fewest = &peer, zones[m.Zone]
		}
		if isBack {
			break
		}
	}
	switch {
	case lost != nil && spare != nil:
		if t.catchUpLearner(*spare) {
			t.changeGroup(without(group, *lost))
		}
	case lost == nil && spare != nil && len(group) < Size(t.no, len(cores), t.p.r.Props.PactLosses):
		if t.catchUpLearner(*spare) {
			t.changeGroup(append(append([]wire.Peer(nil), group...), *spare))
		}
	case lost == nil:
		t.returnOwnership(group)
	}
}

// returnOwnership passes the part to the first in its order once that one is live
// again and has shown that its disk works, so that owners stay spread.
func (t *Part) returnOwnership(group []wire.Peer) {
	first := Order(t.no, group)[0]
	if first == t.p.me || !t.p.k.IsLive(first) || time.Since(t.p.k.View()[first.Name].Since) < settleTime || t.p.r.Since(t.servedAt()) < settleTime {
		return
	}
	ctx, end := context.WithTimeout(t.p.r, time.Second)
	defer end()
	index, _, err := t.propose(ctx, wire.Entry{Kind: "own"})
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
func isGone(view map[mark.Name]kin.Standing, peer wire.Peer, long time.Duration) bool {
	m, ok := view[peer.Name]
	return !ok || m.State != kin.Alive && m.State != kin.Suspect && time.Since(m.Since) > long
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

func without(group []wire.Peer, gone wire.Peer) (rest []wire.Peer) {
	for _, peer := range group {
		if peer != gone {
			rest = append(rest, peer)
		}
	}
	return rest
}

// catchUpLearner replicating a learner until it is close behind.
func (t *Part) catchUpLearner(peer wire.Peer) bool {
	t.mu.Lock()
	if !t.isServing {
		t.mu.Unlock()
		return false
	}
	t.startReplicating(peer)
	t.mu.Unlock()
	for range 40 {
		t.mu.Lock()
		last, _ := t.last()
		isClose := t.isServing && t.match[peer] > 0 && t.match[peer]+16 >= last
		t.mu.Unlock()
		if isClose {
			return true
		}
		if !t.p.r.Pause(50 * time.Millisecond) {
			return false
		}
	}
	return false
}

// changeGroup writes a new group that differs by one member.
func (t *Part) changeGroup(group []wire.Peer) {
	ctx, end := context.WithTimeout(t.p.r, 3*time.Second)
	defer end()
	t.propose(ctx, wire.Entry{Kind: "group", Group: group})
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.isOwner {
		return
	}
	for peer := range t.replicating {
		if !holds(t.group, peer) && t.commit >= t.groupAt {
			delete(t.replicating, peer)
		}
	}
	t.replicateToAll()
}
