package consensus

import (
	"time"

	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

const (
	// supervisePause lies between two looks at everything, with jitter.
	supervisePause = 100 * time.Millisecond
	// votersEvery is how many looks lie between two at the voters of the shards led here;
	// while a core node is newly gone there is one in each.
	votersEvery = 5
)

// supervise is the node's periodic task: bootstrap first, then heartbeats to new members,
// elections, and the voters of the shards that this node leads.
func (n *Node) supervise() {
	tick := 0
	for n.env.Sleep(environment.Jitter(supervisePause)) {
		if n.Charter() == nil {
			n.bootstrap()
			continue
		}
		n.keepHeartbeats()
		n.advertiseConfigVoter()
		n.superviseElections()
		if tick++; tick%votersEvery == 0 || n.hasNewlyGonePeer() {
			n.superviseVoters()
		}
	}
}

// superviseVoters looks at the voters of the shards that this node leads.
func (n *Node) superviseVoters() {
	if n.IsStopping() {
		return
	}
	for _, r := range n.replicas {
		if r.IsServing() {
			n.runUnlessBusy(r.shard, r.superviseVoters)
		}
	}
}

// superviseElections steps down where no quorum confirms, and campaigns where a leader is
// silent.
func (n *Node) superviseElections() {
	isStalled := n.isDiskStalled()
	var due []*Replica
	for _, r := range n.replicas {
		if isStalled {
			r.resign("disk stalls")
			continue
		}
		r.checkQuorum()
		r.reportLeaderless()
		if r.isElectionDue() {
			due = append(due, r)
		}
	}
	n.prevoteAndCampaign(due)
}

// advertiseConfigVoter tells the members whether this node has a replica of the
// configuration, as only such a node can give it out to proxies.
func (n *Node) advertiseConfigVoter() {
	isVoter := n.replicas[ids.ConfigShard].currentVoters().Contains(n.self)
	if n.members.Self().HoldsConfiguration != isVoter {
		n.members.UpdateSelf(func(m *rpc.Member) { m.HoldsConfiguration = isVoter })
	}
}
