package consensus

import (
	"time"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/membership"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

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

// isDeadFor tells whether a node has been dead for so long, under any member id.
func isDeadFor(view map[ids.NodeName]membership.NodeState, peer rpc.Peer, deadAfter time.Duration) bool {
	m, ok := view[peer.Name]
	return !ok || !m.IsLive() && time.Since(m.StateChange) > deadAfter
}
