package consensus

import (
	"fmt"
	"slices"
	"sort"
	"strings"

	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// Voters is the set of members whose votes decide for a shard. During a membership change
// there are two lists, and every decision (elections, commits, confirmed terms) needs a
// majority of both, so the old and the new voters can't decide independently.
type Voters struct {
	Current  []rpc.Peer
	Outgoing []rpc.Peer // the previous voters during a change, otherwise empty
}

// votersOf returns the voters set by a membership change entry.
func votersOf(entry rpc.Entry) Voters {
	return Voters{Current: entry.Voters, Outgoing: entry.OutgoingVoters}
}

// IsJoint reports whether a membership change is in progress.
func (v Voters) IsJoint() bool { return len(v.Outgoing) > 0 }

// All returns the members of both lists without duplicates, the current ones first.
func (v Voters) All() []rpc.Peer {
	all := slices.Clone(v.Current)
	for _, peer := range v.Outgoing {
		if !containsPeer(all, peer) {
			all = append(all, peer)
		}
	}
	return all
}

// Contains reports whether a member is in either list.
func (v Voters) Contains(peer rpc.Peer) bool {
	return containsPeer(v.Current, peer) || containsPeer(v.Outgoing, peer)
}

// HasQuorum reports whether peers include a majority of each list.
func (v Voters) HasQuorum(peers []rpc.Peer) bool {
	return hasMajority(v.Current, peers) && (!v.IsJoint() || hasMajority(v.Outgoing, peers))
}

// QuorumValue returns the highest value that a quorum reaches, or -1 if there are no voters.
func (v Voters) QuorumValue(value func(rpc.Peer) int64) int64 {
	highest := majorityValue(v.Current, value)
	if v.IsJoint() {
		highest = min(highest, majorityValue(v.Outgoing, value))
	}
	return highest
}

// canBecome reports whether next may follow v in one step: from simple to joint, with v as
// the outgoing voters, or from joint to its current voters. Logs of earlier builds contain
// changes by a single member without the joint step; their majorities overlap as well.
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

// QuorumsIntersect reports whether every quorum of a shares a member with every quorum of b.
func QuorumsIntersect(a, b Voters) bool {
	all := Voters{Current: a.All(), Outgoing: b.All()}.All()
	for set := range 1 << len(all) {
		var chosen, others []rpc.Peer
		for i, peer := range all {
			if set>>i&1 == 1 {
				chosen = append(chosen, peer)
			} else {
				others = append(others, peer)
			}
		}
		if a.HasQuorum(chosen) && b.HasQuorum(others) {
			return false
		}
	}
	return true
}

// countAbsent returns the number of peers that are not in other.
func countAbsent(peers, other []rpc.Peer) (n int) {
	for _, peer := range peers {
		if !containsPeer(other, peer) {
			n++
		}
	}
	return n
}

// String lists the voters by name and abbreviated member id, and the outgoing ones during a
// change.
func (v Voters) String() string {
	if v.IsJoint() {
		return joinNames(v.Current) + " from " + joinNames(v.Outgoing)
	}
	return joinNames(v.Current)
}

// joinNames lists peers by name and the first four characters of the member id.
func joinNames(peers []rpc.Peer) string {
	var names []string
	for _, peer := range peers {
		names = append(names, fmt.Sprintf("%s/%.4s", peer.Name, peer.ID))
	}
	return strings.Join(names, " ")
}

// hasMajority reports whether more than half of the voters are in peers.
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
