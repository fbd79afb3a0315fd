package consensus

import (
	"time"

	"github.com/sumactrestle/sumactrestle/internal/ids"
)

// leaderRecord is the last known leader of a shard.
type leaderRecord struct {
	name       ids.NodeName
	term       ids.Term
	recordedAt time.Time
}

// recordLeader records a node as the current leader of a shard, unless its term is below
// that of the last known leader.
func (n *Node) recordLeader(shard ids.Shard, name ids.NodeName, term ids.Term) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !term.Less(n.leaders[shard].term) {
		n.leaders[shard] = leaderRecord{name: name, term: term, recordedAt: n.env.Now()}
	}
}

// Leader returns the leader of a shard; ok is false if none is known within
// consensus.contact_timeout.
func (n *Node) Leader(shard ids.Shard) (name ids.NodeName, ok bool) {
	if n.replicas[shard].IsLeader() {
		return n.env.Name, true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	leader, ok := n.leaders[shard]
	return leader.name, ok && n.env.Since(leader.recordedAt) < n.env.Config.ConsensusContactTimeout
}

// HasQuorumContact reports whether a quorum followed the shard's leader within
// consensus.contact_timeout. The leader knows this from the voters' confirmations. Other
// nodes infer it from contact with the leader, which steps down without a quorum. The state
// of a node without quorum contact may be outdated and must not be served.
func (n *Node) HasQuorumContact(shard ids.Shard) bool {
	if age, isServing := n.replicas[shard].ConfirmationAge(); isServing {
		return age < n.env.Config.ConsensusContactTimeout
	}
	name, ok := n.Leader(shard)
	return ok && name != n.env.Name
}

// HasLostQuorum reports whether this node has had no quorum contact for longer than
// consensus.contact_timeout, so that a call should be sent to another node instead of
// waiting here.
func (n *Node) HasLostQuorum(shard ids.Shard) bool {
	if n.HasQuorumContact(shard) {
		return false
	}
	n.mu.Lock()
	lastRecorded := n.leaders[shard].recordedAt
	n.mu.Unlock()
	if lastRecorded.Before(n.started) {
		lastRecorded = n.started
	}
	return n.env.Since(lastRecorded) > n.env.Config.ConsensusContactTimeout
}
