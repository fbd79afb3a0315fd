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
	Current  []rpc.Peer
	Outgoing []rpc.Peer
}

// IsJoint tells whether a change of members is under way.
func (v Voters) IsJoint() bool { return len(v.Outgoing) > 0 }

// All is every member with a vote, in the order of the lists.
func (v Voters) All() []rpc.Peer {
	all := slices.Clone(v.Current)
	for _, peer := range v.Outgoing {
		if !containsPeer(all, peer) {
			all = append(all, peer)
		}
	}
	return all
}

// Contains tells whether a member has a vote.
func (v Voters) Contains(peer rpc.Peer) bool {
	return containsPeer(v.Current, peer) || containsPeer(v.Outgoing, peer)
}

// HasQuorum tells whether some members are enough to decide.
func (v Voters) HasQuorum(peers []rpc.Peer) bool {
	return hasMajority(v.Current, peers) && (!v.IsJoint() || hasMajority(v.Outgoing, peers))
}

// QuorumValue is the highest value that enough members reach to decide; below zero if
// there are no voters.
func (v Voters) QuorumValue(value func(rpc.Peer) int64) int64 {
	reached := majorityValue(v.Current, value)
	if v.IsJoint() {
		reached = min(reached, majorityValue(v.Outgoing, value))
	}
	return reached
}

// canBecome tells whether voters may follow these in one step: first the new members
// beside the former, then the new ones alone. Logs of earlier builds hold changes by
// a single member without the joint step, whose majorities meet as well.
func (v Voters) canBecome(next Voters) bool {
	switch {
	case len(next.Current) == 0:
		return false
	case next.IsJoint():
		return !v.IsJoint() && slices.Equal(next.Outgoing, v.Current)
	case v.IsJoint():
		return slices.Equal(next.Current, v.Current)
	}
	return countAbsent(v.Current, next.Current)+countAbsent(next.Current, v.Current) <= 1
}

// QuorumsIntersect tells whether every two sets of members that decide for two groups share one.
func QuorumsIntersect(a, b Voters) bool {
	all := Voters{Current: a.All(), Outgoing: b.All()}.All()
	for set := range 1 << len(all) {
		var chosen, rest []rpc.Peer
		for i, peer := range all {
			if set>>i&1 == 1 {
				chosen = append(chosen, peer)
			} else {
				rest = append(rest, peer)
			}
		}
		if a.HasQuorum(chosen) && b.HasQuorum(rest) {
			return false
		}
	}
	return true
}

// countAbsent is how many members of one list another lacks.
func countAbsent(peers, other []rpc.Peer) (n int) {
	for _, peer := range peers {
		if !containsPeer(other, peer) {
			n++
		}
	}
	return n
}

func (v Voters) String() string {
	if v.IsJoint() {
		return joinNames(v.Current) + " from " + joinNames(v.Outgoing)
	}
	return joinNames(v.Current)
}

// joinNames tells members by name and the beginning of their birth.
func joinNames(peers []rpc.Peer) string {
	var parts []string
	for _, peer := range peers {
		parts = append(parts, fmt.Sprintf("%s/%.4s", peer.Name, peer.ID))
	}
	return strings.Join(parts, " ")
}

// hasMajority tells whether more than half of a list are among some members.
func hasMajority(voters, peers []rpc.Peer) bool {
	n := 0
	for _, peer := range voters {
		if containsPeer(peers, peer) {
			n++
		}
	}
	return n > len(voters)/2
}

// majorityValue is the value that more than half of a list reach.
func majorityValue(voters []rpc.Peer, value func(rpc.Peer) int64) int64 {
	if len(voters) == 0 {
		return -1
	}
	var values []int64
	for _, peer := range voters {
		values = append(values, value(peer))
	}
	sort.Slice(values, func(i, j int) bool { return values[i] > values[j] })
	return values[len(voters)/2]
}

func containsPeer(peers []rpc.Peer, peer rpc.Peer) bool { return slices.Contains(peers, peer) }
