package consensus

import (
	"fmt"
	"sort"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// ElectionOrder returns voters in the order in which they are to lead a shard. It is the same
// on every node, by rendezvous hashing, so that leaders are spread over the nodes.
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

// SelectVoters chooses the first voters of a shard: spread over zones first, then by
// election order. tolerated is how many nodes may be lost at once (consensus.fault_tolerance).
func SelectVoters(shard ids.Shard, members []rpc.Member, tolerated int) []rpc.Peer {
	var peers []rpc.Peer
	zones := map[ids.NodeName]string{}
	for _, m := range members {
		peers = append(peers, rpc.Peer{Name: m.Name, ID: m.ID})
		zones[m.Name] = m.Zone
	}
	size := ReplicationFactor(shard, len(peers), tolerated)
	var voters []rpc.Peer
	used := map[string]int{}
	order := ElectionOrder(shard, peers)
	for level := 0; len(voters) < size; level++ {
		for _, peer := range order {
			if len(voters) < size && used[zones[peer.Name]] == level && !containsPeer(voters, peer) {
				voters = append(voters, peer)
				used[zones[peer.Name]]++
			}
		}
	}
	return voters
}

// ReplicationFactor returns how many voters a shard has in a cluster of so many core nodes.
// It is odd where it can be: a fourth voter would be needed for a majority, and would leave
// no spare to take a lost one's place.
func ReplicationFactor(shard ids.Shard, cores, tolerated int) int {
	size := 2*tolerated + 1
	if shard == ids.ConfigShard && cores >= 5 {
		size = max(size, 5)
	}
	return min(size, cores)
}
