package consensus

import (
	"strings"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// leaderlessFactor is the number of election timeouts without leader contact after which a
// voter reports the shard as leaderless; a normal election takes less.
const leaderlessFactor = 4

// LeaderContactAge returns the time since this voter's last contact with a leader of the
// shard, or since the replica was created if there was none. On the leader it returns the
// time since a quorum last confirmed the term. isVoter is false if this member is no voter.
func (r *Replica) LeaderContactAge() (age time.Duration, isVoter bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leaderContactAge()
}

func (r *Replica) leaderContactAge() (age time.Duration, isVoter bool) {
	if !r.voters.Contains(r.node.self) {
		return 0, false
	}
	if r.leadership.isLeader {
		return r.node.env.Since(r.confirmedAt()), true
	}
	lastContact := r.election.lastLeaderContact
	if lastContact.Before(r.election.startedAt) {
		lastContact = r.election.startedAt
	}
	return r.node.env.Since(lastContact), true
}

// reportLeaderless logs once that the shard is leaderless, with the voters that appear dead,
// and once that contact with a leader is restored.
func (r *Replica) reportLeaderless() {
	r.mu.Lock()
	defer r.mu.Unlock()
	contactAge, isVoter := r.leaderContactAge()
	isLeaderless := isVoter && contactAge > leaderlessFactor*r.node.env.Config.ConsensusElectionTimeout
	if isLeaderless == r.election.isLeaderless {
		return
	}
	r.election.isLeaderless = isLeaderless
	if !isLeaderless {
		r.logEvent(eventlog.ShardLeaderHeard)
		return
	}
	r.logEvent(eventlog.ShardLeaderless, "silence", contactAge.String(), "members", r.voters.String(), "down", r.node.namesOfDeadPeers(r.voters.All()))
}

// namesOfDeadPeers returns the names of the given peers that are not live according to the
// member list.
func (n *Node) namesOfDeadPeers(peers []rpc.Peer) string {
	var names []string
	for _, peer := range peers {
		if peer != n.self && !n.members.IsLive(peer) {
			names = append(names, string(peer.Name))
		}
	}
	return strings.Join(names, " ")
}
