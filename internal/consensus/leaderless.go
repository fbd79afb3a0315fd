package consensus

import (
	"strings"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// leaderlessFactor is how many election timeouts a voter may hear no leader before that is
// reported: an election that goes well takes less.
const leaderlessFactor = 4

// LeaderSilence returns how long this voter has heard no leader of the shard, or, where it
// leads, for how long no quorum has confirmed it; false if it is no voter.
func (r *Replica) LeaderSilence() (silence time.Duration, isVoter bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leaderSilence()
}

func (r *Replica) leaderSilence() (silence time.Duration, isVoter bool) {
	if !r.voters.Contains(r.node.self) {
		return 0, false
	}
	if r.leadership.isLeader {
		return r.node.env.Since(r.confirmedAt()), true
	}
	heard := r.election.lastLeaderContact
	if heard.Before(r.election.startedAt) {
		heard = r.election.startedAt
	}
	return r.node.env.Since(heard), true
}

// reportLeaderless logs once that no leader of the shard is heard, with the voters that
// seem dead, and once that one is heard again.
func (r *Replica) reportLeaderless() {
	r.mu.Lock()
	defer r.mu.Unlock()
	silence, isVoter := r.leaderSilence()
	isLeaderless := isVoter && silence > leaderlessFactor*r.node.env.Config.ConsensusElectionTimeout
	if isLeaderless == r.election.isLeaderless {
		return
	}
	r.election.isLeaderless = isLeaderless
	if !isLeaderless {
		r.logEvent(eventlog.ShardLeaderHeard)
		return
	}
	r.logEvent(eventlog.ShardLeaderless, "silence", silence.String(), "members", r.voters.String(), "down", r.node.namesOfDead(r.voters.All()))
}

// namesOfDead names those of some peers that the member list does not hold for live.
func (n *Node) namesOfDead(peers []rpc.Peer) string {
	var names []string
	for _, peer := range peers {
		if peer != n.self && !n.members.IsLive(peer) {
			names = append(names, string(peer.Name))
		}
	}
	return strings.Join(names, " ")
}
