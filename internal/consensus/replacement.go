package consensus

import (
	"time"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/membership"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// lostVoters returns the voters that returned under a new member id or have not responded to
// the leader for consensus.replacement_delay. A leader that has just started serving first
// waits for heartbeatTimeout, so that each voter has had time to respond.
func (r *Replica) lostVoters(voters []rpc.Peer) (lost []rpc.Peer) {
	view, servingFor := r.node.members.View(), r.node.env.Since(r.servingSince())
	for _, peer := range voters {
		m, isKnown := view[peer.Name]
		hasNewID := isKnown && m.ID != peer.ID
		isUnresponsive := servingFor > heartbeatTimeout && r.isUnresponsive(peer, isKnown)
		if peer != r.node.self && (hasNewID || isUnresponsive) {
			lost = append(lost, peer)
		}
	}
	return lost
}

// isUnresponsive reports whether a core node has not responded for longer than
// consensus.replacement_delay. For a node that is not in the member list, the time counts
// from when this member started serving.
func (r *Replica) isUnresponsive(peer rpc.Peer, isKnown bool) bool {
	unresponsiveFor := r.node.unresponsiveFor(peer)
	if !isKnown {
		unresponsiveFor = r.node.env.Since(r.servingSince())
	}
	return unresponsiveFor > r.node.env.Config.ConsensusReplacementDelay
}

// voterReplacement adds one voter and removes another; removed is zero if the number of
// voters grows.
type voterReplacement struct {
	added, removed rpc.Peer
}

// removesVoter reports whether the change removes a voter.
func (v voterReplacement) removesVoter() bool { return v.removed != rpc.Peer{} }

// replacements assigns each lost voter a core node that replaces it: the node of the same
// name if it has returned, or, if that node is unavailable, a spare node from the zone with
// the fewest voters. If no voter is lost and there are fewer voters than the replication
// factor, one is added.
func (r *Replica) replacements(voters, lost []rpc.Peer) []voterReplacement {
	p := r.newReplacementPlan(voters, lost)
	for _, removed := range lost {
		hasReturned := p.assign(removed, func(m rpc.Member) bool { return m.Name == removed.Name })
		if !hasReturned && r.isNodeUnavailable(p.view, removed.Name) {
			p.assign(removed, func(m rpc.Member) bool { return !p.isLost[m.Name] })
		}
	}
	if size := ReplicationFactor(r.shard, len(p.cores), r.node.env.Config.ConsensusFaultTolerance); len(lost) == 0 && len(voters) < size {
		p.assign(rpc.Peer{}, func(rpc.Member) bool { return true })
	}
	return p.replacements
}

// replacementPlan holds the state while replacements are assigned one after another.
type replacementPlan struct {
	view         map[ids.NodeName]membership.NodeState
	cores        []rpc.Member
	isTaken      map[ids.NodeName]bool // is a voter or already assigned
	isLost       map[ids.NodeName]bool
	votersByZone map[string]int // number of voters in each zone
	replacements []voterReplacement
}

func (r *Replica) newReplacementPlan(voters, lost []rpc.Peer) *replacementPlan {
	p := &replacementPlan{
		view:         r.node.members.View(),
		cores:        r.clusterCores(),
		isTaken:      map[ids.NodeName]bool{},
		isLost:       map[ids.NodeName]bool{},
		votersByZone: map[string]int{},
	}
	for _, peer := range voters {
		if !containsPeer(lost, peer) {
			p.isTaken[peer.Name] = true
			p.votersByZone[p.view[peer.Name].Zone]++
		}
	}
	for _, peer := range lost {
		p.isLost[peer.Name] = true
	}
	return p
}

// assign replaces one voter by the suitable node from the zone with the fewest voters, and
// reports whether there is such a node.
func (p *replacementPlan) assign(removed rpc.Peer, isSuitable func(rpc.Member) bool) bool {
	var chosen *rpc.Member
	for _, m := range p.cores {
		if !p.isTaken[m.Name] && isSuitable(m) && (chosen == nil || p.votersByZone[m.Zone] < p.votersByZone[chosen.Zone]) {
			chosen = &m
		}
	}
	if chosen == nil {
		return false
	}
	p.isTaken[chosen.Name] = true
	p.votersByZone[chosen.Zone]++
	p.replacements = append(p.replacements, voterReplacement{added: rpc.Peer{Name: chosen.Name, ID: chosen.ID}, removed: removed})
	return true
}

// clusterCores returns the live, responsive core nodes of this cluster.
func (r *Replica) clusterCores() (cores []rpc.Member) {
	for _, m := range r.node.members.CoreMembers() {
		if m.Fleet == r.node.clusterID() && r.node.isResponsive(rpc.Peer{Name: m.Name, ID: m.ID}) {
			cores = append(cores, m)
		}
	}
	return cores
}

// isNodeUnavailable reports whether the node with the given name, under its present member
// id, is dead or unresponsive for longer than consensus.replacement_delay.
func (r *Replica) isNodeUnavailable(view map[ids.NodeName]membership.NodeState, name ids.NodeName) bool {
	m, isKnown := view[name]
	isDead := isKnown && !m.IsLive() && time.Since(m.StateChange) > r.node.env.Config.ConsensusReplacementDelay
	return isDead || r.isUnresponsive(rpc.Peer{Name: name, ID: m.ID}, isKnown)
}
