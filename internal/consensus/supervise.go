package consensus

import (
	"time"

	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

const (
	// superviseInterval is the interval between two ticks of supervise, before jitter.
	superviseInterval = 100 * time.Millisecond
	// ticksPerVoterCheck is the number of ticks between two checks of the voters of led
	// shards. While a core node is newly unresponsive, every tick checks them.
	ticksPerVoterCheck = 5
)

// supervise is the node's periodic task. Until the charter is open, it runs bootstrap;
// afterwards it updates the heartbeaters, starts elections, and checks the voters of the
// shards that this node leads.
func (n *Node) supervise() {
	tick := 0
	for n.env.Sleep(environment.Jitter(superviseInterval)) {
		if n.Charter() == nil {
			n.bootstrap()
			continue
		}
		n.updateHeartbeaters()
		n.advertiseConfigVoter()
		n.superviseElections()
		if tick++; tick%ticksPerVoterCheck == 0 || n.hasNewlyUnresponsivePeer() {
			n.superviseVoters()
		}
	}
}

// superviseVoters starts a check of the voters of each shard that this node leads.
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

// superviseElections steps down from shards without a confirming quorum, and campaigns for
// shards whose election timer has expired. While the disk is stalled it steps down from all
// shards.
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

// advertiseConfigVoter advertises in the member list whether this node is a voter of the
// configuration shard, because only such a node can serve the configuration to proxies.
func (n *Node) advertiseConfigVoter() {
	isVoter := n.replicas[ids.ConfigShard].currentVoters().Contains(n.self)
	if n.members.Self().HoldsConfiguration != isVoter {
		n.members.UpdateSelf(func(m *rpc.Member) { m.HoldsConfiguration = isVoter })
	}
}
