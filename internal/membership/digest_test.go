package membership

import (
	"fmt"
	"testing"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

func TestListDigest_IsXOROfMemberDigests(t *testing.T) {
	inCluster(t, func(c *cluster) {
		a, b := c.node(testMember(0)), c.node(testMember(1))
		for i := range 300 {
			member := testMember(i * 7 % 50)
			member.Incarnation, member.State = uint64(1+i%5), []string{StateAlive, StateSuspect, StateDead, StateAlive, StateLeft}[i%5]
			if i%11 == 0 {
				member.ID = ids.MemberID(fmt.Sprint("again", i))
			}
			if i%2 == 0 {
				a.mergeList([]rpc.Member{member})
			} else {
				a.applyUpdates([]rpc.Member{member})
			}
		}
		a.UpdateSelf(func(self *rpc.Member) { self.HoldsConfiguration = true })
		b.mergeList(a.allMembers())
		a.mergeList(b.allMembers())
		b.mergeList(a.allMembers())
		want := uint64(0)
		for _, member := range a.allMembers() {
			want ^= memberDigest(member)
		}
		if got := a.listDigest(); got != want {
			c.Errorf("listDigest is %x, XOR of the member digests is %x", got, want)
		}
		for index, got := range a.rangeDigests(8) {
			want := uint32(0)
			for _, member := range a.membersInRanges(8, []int{index}) {
				want ^= uint32(memberDigest(member))
			}
			if got != want {
				c.Errorf("digest of range %d is %x, XOR of its member digests is %x", index, got, want)
			}
		}
	})
}
