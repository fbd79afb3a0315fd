package consensus

import (
	"fmt"
	"sort"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// ElectionOrder returns the voters of a shard by preference as its leader. All nodes compute
// the same order, by rendezvous hashing, which spreads the leaders over the nodes.
func ElectionOrder(shard ids.Shard, voters []rpc.Peer) []rpc.Peer {
	order := append([]rpc.Peer(nil), voters...)
	seed := fmt.Sprint("part", shard)
	sort.Slice(order, func(i, j int) bool {
		a, b := ids.Hash(seed, string(order[i].Name)), ids.Hash(seed, string(order[j].Name))
		if a != b {
			return a > b
		}
		return order[i].Name < order[j].Name
	})
	return order
}

// SelectVoters returns the initial voters of a shard, spread evenly over zones and within
// that by election order. faultTolerance is the number of nodes that may fail at once
// (consensus.fault_tolerance).
func SelectVoters(shard ids.Shard, members []rpc.Member, faultTolerance int) []rpc.Peer {
	var peers []rpc.Peer
	zones := map[ids.NodeName]string{}
	for _, m := range members {
		peers = append(peers, rpc.Peer{Name: m.Name, ID: m.ID})
		zones[m.Name] = m.Zone
	}
	size := ReplicationFactor(shard, len(peers), faultTolerance)
	var voters []rpc.Peer
	votersByZone := map[string]int{}
	order := ElectionOrder(shard, peers)
	for votersPerZone := 0; len(voters) < size; votersPerZone++ {
		for _, peer := range order {
			if len(voters) < size && votersByZone[zones[peer.Name]] == votersPerZone && !containsPeer(voters, peer) {
				voters = append(voters, peer)
				votersByZone[zones[peer.Name]]++
			}
		}
	}
	return voters
}

// ReplicationFactor returns the number of voters of a shard in a cluster of coreCount core
// nodes. It is odd unless there are too few nodes: a fourth voter would only raise the
// majority, and leave no spare node to replace a lost voter.
func ReplicationFactor(shard ids.Shard, coreCount, faultTolerance int) int {
	size := 2*faultTolerance + 1
	if shard == ids.ConfigShard && coreCount >= 5 {
		size = max(size, 5)
	}
	return min(size, coreCount)
}
