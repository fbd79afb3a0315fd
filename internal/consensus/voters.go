package consensus

import (
	"fmt"
	"slices"
	"sort"
	"strings"

	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// Voters is the members that decide for a shard. While a membership change is under way
// there are two lists, and every decision (votes, commits, confirmed terms) needs a
// majority of both, so no two sets of voters can ever decide apart.
type Voters struct {
	Current  []rpc.Peer
	Outgoing []rpc.Peer // empty unless a change is under way
}

// votersOf returns the voters that a membership change names.
func votersOf(entry rpc.Entry) Voters {
	return Voters{Current: entry.Voters, Outgoing: entry.OutgoingVoters}
}

// IsJoint tells whether a membership change is under way.
func (v Voters) IsJoint() bool { return len(v.Outgoing) > 0 }

// All returns every member with a vote, in the order of the lists.
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

// HasQuorum tells whether these members are enough to decide.
func (v Voters) HasQuorum(peers []rpc.Peer) bool {
	return hasMajority(v.Current, peers) && (!v.IsJoint() || hasMajority(v.Outgoing, peers))
}

// QuorumValue returns the highest value that a quorum reaches; below zero if there are no
// voters.
func (v Voters) QuorumValue(value func(rpc.Peer) int64) int64 {
	reached := majorityValue(v.Current, value)
	if v.IsJoint() {
		reached = min(reached, majorityValue(v.Outgoing, value))
	}
	return reached
}

// canBecome tells whether other voters may follow these in one step: first the new ones
// beside the outgoing ones, then the new ones alone. Logs of earlier builds hold changes by
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

// QuorumsIntersect tells whether every quorum of a shares a member with every quorum of b.
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

// countAbsent returns how many peers of one list another lacks.
func countAbsent(peers, other []rpc.Peer) (n int) {
	for _, peer := range peers {
		if !containsPeer(other, peer) {
			n++
		}
	}
	return n
}

// String names the voters, with the beginning of each member id.
func (v Voters) String() string {
	if v.IsJoint() {
		return joinNames(v.Current) + " from " + joinNames(v.Outgoing)
	}
	return joinNames(v.Current)
}

// joinNames names peers, with the beginning of each member id.
func joinNames(peers []rpc.Peer) string {
	var parts []string
	for _, peer := range peers {
		parts = append(parts, fmt.Sprintf("%s/%.4s", peer.Name, peer.ID))
	}
	return strings.Join(parts, " ")
}

// hasMajority tells whether more than half of the voters are among peers.
func hasMajority(voters, peers []rpc.Peer) bool {
	n := 0
	for _, peer := range voters {
		if containsPeer(peers, peer) {
			n++
		}
	}
	return n > len(voters)/2
}

// majorityValue returns the highest value that more than half of the voters reach.
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
