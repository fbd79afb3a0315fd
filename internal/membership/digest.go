package membership

import (
	"strconv"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// The digest of a list is the XOR of its members' digests. It does not depend on their
// order and can be updated incrementally.

// memberDigest returns the digest of a member. It is 0 for dead members: a node that joined
// later never learns of them, so its digest would differ permanently.
func memberDigest(member rpc.Member) uint64 {
	if !isLive(member.State) {
		return 0
	}
	return ids.Hash(string(member.Name), string(member.ID), strconv.FormatUint(member.Incarnation, 10), member.State)
}

// listDigest returns the digest of the complete list. It is never 0, because 0 in a request
// means that there is no digest.
func (m *Memberlist) listDigest() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(m.othersDigest^memberDigest(m.self), 1)
}

// rangeCount returns the number of ranges in which this node compares lists: a power of
// two with about membersPerRange members in each range. A request with one range asks for
// the complete list.
func (m *Memberlist) rangeCount() int {
	count := 1
	for count*membersPerRange < len(m.View()) && count < maxRanges {
		count *= 2
	}
	return count
}

// rangeIndex returns the index of the range that contains a name.
func rangeIndex(name ids.NodeName, count int) int {
	return int(ids.Hash("range", string(name)) % uint64(count))
}

// rangeDigests returns the digest of each range, truncated to 32 bits.
func (m *Memberlist) rangeDigests(count int) []uint32 {
	digests := make([]uint32, count)
	for name, member := range m.View() {
		digests[rangeIndex(name, count)] ^= uint32(memberDigest(member.Member))
	}
	return digests
}

// membersInRanges returns the members of the ranges with the given indices. Invalid indices
// are ignored, since they come from other nodes.
func (m *Memberlist) membersInRanges(count int, indices []int) (list []rpc.Member) {
	selected := make([]bool, count)
	for _, index := range indices {
		if index >= 0 && index < count {
			selected[index] = true
		}
	}
	for name, member := range m.View() {
		if selected[rangeIndex(name, count)] {
			list = append(list, member.Member)
		}
	}
	return list
}
