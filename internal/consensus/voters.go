// Voters are the members that decide for a part. While a change of members is
// under way there are two lists, and every decision (promises, commits, confirmed
// terms) needs a majority of both; so no two groups can ever decide apart.
package consensus

import (
	"fmt"
	"slices"
	"sort"
	"strings"

	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// Voters is who decides; Former is empty unless a change is under way.
type Voters struct {
	Current []rpc.Peer
	Former  []rpc.Peer
}

// IsJoint tells whether a change of members is under way.
func (v Voters) IsJoint() bool { return len(v.Former) > 0 }

// All is every member with a vote, in the order of the lists.
func (v Voters) All() []rpc.Peer {
	all := slices.Clone(v.Current)
	for _, peer := range v.Former {
		if !holds(all, peer) {
			all = append(all, peer)
		}
	}
	return all
}

// Holds tells whether a member has a vote.
func (v Voters) Holds(peer rpc.Peer) bool { return holds(v.Current, peer) || holds(v.Former, peer) }

// IsDecidedBy tells whether some members are enough to decide.
func (v Voters) IsDecidedBy(some []rpc.Peer) bool {
	return isMajority(v.Current, some) && (!v.IsJoint() || isMajority(v.Former, some))
}

// Reached is the highest value that enough members reach to decide; below zero if
// there are no voters.
func (v Voters) Reached(value func(rpc.Peer) int64) int64 {
	reached := majorityOf(v.Current, value)
	if v.IsJoint() {
		reached = min(reached, majorityOf(v.Former, value))
	}
	return reached
}

// mayBecome tells whether voters may follow these in one step: first the new members
// beside the former, then the new ones alone. Logs of earlier builds hold changes by
// a single member without the joint step, whose majorities meet as well.
func (v Voters) mayBecome(next Voters) bool {
	switch {
	case len(next.Current) == 0:
		return false
	case next.IsJoint():
		return !v.IsJoint() && slices.Equal(next.Former, v.Current)
	case v.IsJoint():
		return slices.Equal(next.Current, v.Current)
	}
	return countMissing(v.Current, next.Current)+countMissing(next.Current, v.Current) <= 1
}

// Meet tells whether every two sets of members that decide for two groups share one.
func Meet(a, b Voters) bool {
	all := Voters{Current: a.All(), Former: b.All()}.All()
	for set := range 1 << len(all) {
		var some, rest []rpc.Peer
		for i, peer := range all {
			if set>>i&1 == 1 {
				some = append(some, peer)
			} else {
				rest = append(rest, peer)
			}
		}
		if a.IsDecidedBy(some) && b.IsDecidedBy(rest) {
			return false
		}
	}
	return true
}

// countMissing is how many members of one list another lacks.
func countMissing(list, other []rpc.Peer) (n int) {
	for _, peer := range list {
		if !holds(other, peer) {
			n++
		}
	}
	return n
}

func (v Voters) String() string {
	if v.IsJoint() {
		return names(v.Current) + " from " + names(v.Former)
	}
	return names(v.Current)
}

// names tells members by name and the beginning of their birth.
func names(peers []rpc.Peer) string {
	var words []string
	for _, peer := range peers {
		words = append(words, fmt.Sprintf("%s/%.4s", peer.Name, peer.Birth))
	}
	return strings.Join(words, " ")
}

// isMajority tells whether more than half of a list are among some members.
func isMajority(list, some []rpc.Peer) bool {
	n := 0
	for _, peer := range list {
		if holds(some, peer) {
			n++
		}
	}
	return n > len(list)/2
}

// majorityOf is the value that more than half of a list reach.
func majorityOf(list []rpc.Peer, value func(rpc.Peer) int64) int64 {
	if len(list) == 0 {
		return -1
	}
	var all []int64
	for _, peer := range list {
		all = append(all, value(peer))
	}
	sort.Slice(all, func(i, j int) bool { return all[i] > all[j] })
	return all[len(list)/2]
}

func holds(list []rpc.Peer, peer rpc.Peer) bool { return slices.Contains(list, peer) }
