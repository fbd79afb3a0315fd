package membership

import (
	"strconv"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// Digests of lists are the XOR of their members' digests, so that one change costs one
// update and the order does not matter.

// memberDigest is a member's share in the digest of a list. Dead members have none: a
// node that joined later never learns of them, and its list would differ for good.
func memberDigest(member rpc.Member) uint64 {
	if !isLive(member.State) {
		return 0
	}
	return ids.Hash(string(member.Name), string(member.ID), strconv.FormatUint(member.Incarnation, 10), member.State)
}

// listDigest is the digest of the complete list, never 0, which stands for none.
func (m *Memberlist) listDigest() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(m.othersDigest^memberDigest(m.self), 1)
}

// rangeCount is into how many ranges this node has a list cut, a power of two that leaves
// about membersPerRange members in each. One range asks for the complete list.
func (m *Memberlist) rangeCount() int {
	count := 1
	for count*membersPerRange < len(m.View()) && count < maxRanges {
		count *= 2
	}
	return count
}

// rangeOf returns the range in which a name lies.
func rangeOf(name ids.NodeName, count int) int {
	return int(ids.Hash("range", string(name)) % uint64(count))
}

// rangeDigests returns the digest of each range, folded to 32 bits.
func (m *Memberlist) rangeDigests(count int) []uint32 {
	digests := make([]uint32, count)
	for name, member := range m.View() {
		digests[rangeOf(name, count)] ^= uint32(memberDigest(member.Member))
	}
	return digests
}

// membersInRanges returns the members of the ranges with these indices; an index that
// does not exist is passed over, as it comes from another node.
func (m *Memberlist) membersInRanges(count int, indices []int) (list []rpc.Member) {
	selected := make([]bool, count)
	for _, index := range indices {
		if index >= 0 && index < count {
			selected[index] = true
		}
	}
	for name, member := range m.View() {
		if selected[rangeOf(name, count)] {
			list = append(list, member.Member)
		}
	}
	return list
}
