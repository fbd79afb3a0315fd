package consensus

import (
	"time"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/membership"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// lostVoters returns the voters that came back under another member id, or are gone: they
// have left the leader's questions unanswered for consensus.replacement_delay. A leader that
// has just begun to serve waits until each voter had time to answer it.
func (r *Replica) lostVoters(voters []rpc.Peer) (lost []rpc.Peer) {
	view, served := r.node.members.View(), r.node.env.Since(r.servingSince())
	for _, peer := range voters {
		m, isKnown := view[peer.Name]
		hasNewID := isKnown && m.ID != peer.ID
		isGone := served > heartbeatTimeout && r.isGone(peer, isKnown)
		if peer != r.node.self && (hasNewID || isGone) {
			lost = append(lost, peer)
		}
	}
	return lost
}

// isGone tells whether a core node has been silent for consensus.replacement_delay, or, if
// the member list lacks it, was so since this member began to serve.
func (r *Replica) isGone(peer rpc.Peer, isKnown bool) bool {
	silence := r.node.silenceOf(peer)
	if !isKnown {
		silence = r.node.env.Since(r.servingSince())
	}
	return silence > r.node.env.Config.ConsensusReplacementDelay
}

// voterReplacement is one voter that comes in, for one that goes out; out is zero if the
// voters grow.
type voterReplacement struct {
	in, out rpc.Peer
}

// isForLostVoter tells whether a voter goes out for the one that comes in.
func (c voterReplacement) isForLostVoter() bool { return c.out != rpc.Peer{} }

// replacements pairs each lost voter with the core node that takes its place: the one of
// its own name, or, if that is gone, a spare of the zone with the fewest voters. Voters that
// are fewer than the cluster allows get one more.
func (r *Replica) replacements(voters, lost []rpc.Peer) []voterReplacement {
	p := r.newReplacementPlan(voters, lost)
	for _, out := range lost {
		isBack := p.assign(out, func(m rpc.Member) bool { return m.Name == out.Name })
		if !isBack && r.isNameGone(p.view, out.Name) {
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

// clusterCores returns the core nodes of this cluster that seem live and answer.
func (r *Replica) clusterCores() (cores []rpc.Member) {
	for _, m := range r.node.members.CoreMembers() {
		if m.Fleet == r.node.clusterID() && r.node.isAnswering(rpc.Peer{Name: m.Name, ID: m.ID}) {
			cores = append(cores, m)
		}
	}
	return cores
}

// isNameGone tells whether the node of a name is gone under the member id that it has now.
func (r *Replica) isNameGone(view map[ids.NodeName]membership.NodeState, name ids.NodeName) bool {
	m, isKnown := view[name]
	isDead := isKnown && !m.IsLive() && time.Since(m.StateChange) > r.node.env.Config.ConsensusReplacementDelay
	return isDead || r.isGone(rpc.Peer{Name: name, ID: m.ID}, isKnown)
}
