package membership

import (
	"testing"

	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

func TestPushPull_CostsWhatDiffers(t *testing.T) {
	inCluster(t, func(c *cluster) {
		a, b := c.node(testMember(0)), c.node(testMember(1))
		a.mergeList(testMembers(460))
		b.mergeList(testMembers(460))
		if !a.PushPull(b.Self().RPCAddress) {
			c.Fatal("no answer")
		}
		if cost := bytesSent(a, b); cost > 400 {
			c.Errorf("lists that are the same cost %d bytes", cost)
		}
		restarted := testMember(77)
		restarted.ID, restarted.Incarnation = "another", 5
		a.applyUpdates([]rpc.Member{restarted})
		b.applyUpdates([]rpc.Member{inState(testMember(300), StateDead)})
		before := bytesSent(a, b)
		if !a.PushPull(b.Self().RPCAddress) || !sameLive(a, b) {
			c.Fatal("the lists still differ")
		}
		if cost := bytesSent(a, b) - before; cost > 8000 {
			c.Errorf("two differences cost %d bytes", cost)
		}

		joiner := c.node(testMember(460))
		if !joiner.PushPull(b.Self().RPCAddress) || !sameLive(b, joiner) {
			c.Error("a node that joins does not know all, or is not known")
		}
		// The joiner never heard of the dead member. That must not make lists differ.
		before = bytesSent(b, joiner)
		if !joiner.PushPull(b.Self().RPCAddress) {
			c.Fatal("no answer")
		}
		if cost := bytesSent(b, joiner) - before; cost > 400 {
			c.Errorf("lists that differ only in a dead member cost %d bytes", cost)
		}
	})
}

func TestPushPull_BoundsFullListsUnderWay(t *testing.T) {
	inCluster(t, func(c *cluster) {
		a := c.node(testMember(0))
		a.mergeList(testMembers(460))
		var lists []*rpc.EncodedResponse
		for range maxFullSyncs {
			answer, err := a.handlePushPull(&rpc.MembershipSync{Digest: 1, RangeCount: 1})
			list, ok := answer.(*rpc.EncodedResponse)
			if !ok || err != nil {
				c.Fatal(answer, err)
			}
			lists = append(lists, list)
		}
		if &lists[0].Body[0] != &lists[1].Body[0] {
			c.Error("the list is encoded anew for each")
		}
		answer, _ := a.handlePushPull(&rpc.MembershipSync{Digest: 1, RangeCount: 1})
		if response, ok := answer.(*rpc.MembershipSync); !ok || response.RetryAfterMillis == 0 {
			c.Errorf("one list more is sent: %T", answer)
		}
		if answer, _ := a.handlePushPull(&rpc.MembershipSync{Digest: 1, RangeCount: 16}); len(answer.(*rpc.MembershipSync).RangeDigests) != 16 {
			c.Error("digests of ranges are refused too")
		}
		b := c.node(testMember(1))
		if b.PushPull(a.Self().RPCAddress) || !b.pushPull.refused.Load() {
			c.Error("the refusal is not noted")
		}
		lists[0].Release()
		if !b.PushPull(a.Self().RPCAddress) || len(b.View()) != 460 {
			c.Error("a list that was sent still counts as under way")
		}
	})
}
