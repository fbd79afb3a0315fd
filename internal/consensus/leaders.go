package consensus

import (
	"time"

	"github.com/sumactrestle/sumactrestle/internal/ids"
)

// leaderRecord is the leader of a shard as this node last heard of one.
type leaderRecord struct {
	name ids.NodeName
	term ids.Term
	at   time.Time
}

// recordLeader notes that a node led a shard under a term just now.
func (n *Node) recordLeader(shard ids.Shard, name ids.NodeName, term ids.Term) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !term.Less(n.leaders[shard].term) {
		n.leaders[shard] = leaderRecord{name: name, term: term, at: n.env.Now()}
	}
}

// Leader returns the leader of a shard; false if none was heard within consensus.contact_timeout.
func (n *Node) Leader(shard ids.Shard) (name ids.NodeName, ok bool) {
	if n.replicas[shard].IsLeader() {
		return n.env.Name, true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	leader, ok := n.leaders[shard]
	return leader.name, ok && n.env.Since(leader.at) < n.env.Config.ConsensusContactTimeout
}

// HasQuorumContact tells whether this node knows that a quorum followed a shard's leader
// within consensus.contact_timeout: as the leader from the voters, otherwise from the leader, which
// steps down when it has no quorum. A node without contact may hold an old state and not
// know it, so it gives nothing out.
func (n *Node) HasQuorumContact(shard ids.Shard) bool {
	if age, isServing := n.replicas[shard].ConfirmationAge(); isServing {
		return age < n.env.Config.ConsensusContactTimeout
	}
	name, ok := n.Leader(shard)
	return ok && name != n.env.Name
}

// HasLostQuorum tells whether contact is lost for so long that a call is better taken to
// another node than held until it is back.
func (n *Node) HasLostQuorum(shard ids.Shard) bool {
	if n.HasQuorumContact(shard) {
		return false
	}
	n.mu.Lock()
	last := n.leaders[shard].at
	n.mu.Unlock()
	if last.Before(n.started) {
		last = n.started
	}
	return n.env.Since(last) > n.env.Config.ConsensusContactTimeout
}
