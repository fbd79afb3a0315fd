// Where the members of a part are put: an agreed order of nodes for each part, and
// groups that are spread over zones first.
package consensus

import (
	"fmt"
	"sort"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// Order is the agreed order of a part's group.
func Order(no ids.Part, group []rpc.Peer) []rpc.Peer {
	order := append([]rpc.Peer(nil), group...)
	word := fmt.Sprint("part", no)
	sort.Slice(order, func(i, j int) bool {
		a, b := ids.Score(word, string(order[i].Name)), ids.Score(word, string(order[j].Name))
		if a != b {
			return a > b
		}
		return order[i].Name < order[j].Name
	})
	return order
}

// Placement picks the group of a part: spread over zones first, then by order.
func Placement(no ids.Part, members []rpc.Member, losses int) []rpc.Peer {
	var all []rpc.Peer
	zones := map[ids.Name]string{}
	for _, m := range members {
		all = append(all, rpc.Peer{Name: m.Name, Birth: m.Birth})
		zones[m.Name] = m.Zone
	}
	size := Size(no, len(all), losses)
	var group []rpc.Peer
	used := map[string]int{}
	order := Order(no, all)
	for level := 0; len(group) < size; level++ {
		for _, peer := range order {
			if len(group) < size && used[zones[peer.Name]] == level && !holds(group, peer) {
				group = append(group, peer)
				used[zones[peer.Name]]++
			}
		}
	}
	return group
}

// Size is how many members a part has in a fleet of so many core nodes. It is
// odd where it can be: a fourth member would have to be heard for a majority
// and would leave nobody to take a lost one's place.
func Size(no ids.Part, cores, losses int) int {
	size := 2*losses + 1
	if no == ids.Config && cores >= 5 {
		size = max(size, 5)
	}
	return min(size, cores)
}
