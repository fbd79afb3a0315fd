package membership

import (
	"testing"

	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

func TestPushPull_TransfersOnlyDifferences(t *testing.T) {
	inCluster(t, func(c *cluster) {
		a, b := c.node(testMember(0)), c.node(testMember(1))
		a.mergeList(testMembers(460))
		b.mergeList(testMembers(460))
		if !a.PushPull(b.Self().RPCAddress) {
			c.Fatal("no answer")
		}
		if sent := bytesSent(a, b); sent > 400 {
			c.Errorf("exchange of equal lists sent %d bytes", sent)
		}
		restarted := testMember(77)
		restarted.ID, restarted.Incarnation = "restarted", 5
		a.applyUpdates([]rpc.Member{restarted})
		b.applyUpdates([]rpc.Member{inState(testMember(300), StateDead)})
		before := bytesSent(a, b)
		if !a.PushPull(b.Self().RPCAddress) || !sameLiveMembers(a, b) {
			c.Fatal("the lists still differ")
		}
		if sent := bytesSent(a, b) - before; sent > 8000 {
			c.Errorf("exchange of two differences sent %d bytes", sent)
		}

		joiner := c.node(testMember(460))
		if !joiner.PushPull(b.Self().RPCAddress) || !sameLiveMembers(b, joiner) {
			c.Error("the lists differ after a node has joined")
		}
		// The joiner never learns of the dead member. The digests must be equal nevertheless.
		before = bytesSent(b, joiner)
		if !joiner.PushPull(b.Self().RPCAddress) {
			c.Fatal("no answer")
		}
		if sent := bytesSent(b, joiner) - before; sent > 400 {
			c.Errorf("exchange of lists that differ only in a dead member sent %d bytes", sent)
		}
	})
}

func TestPushPull_LimitsConcurrentFullLists(t *testing.T) {
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
			c.Error("the list is encoded for each response")
		}
		answer, _ := a.handlePushPull(&rpc.MembershipSync{Digest: 1, RangeCount: 1})
		if response, ok := answer.(*rpc.MembershipSync); !ok || response.RetryAfterMillis == 0 {
			c.Errorf("response over the limit: %T, want a retry delay", answer)
		}
		if answer, _ := a.handlePushPull(&rpc.MembershipSync{Digest: 1, RangeCount: 16}); len(answer.(*rpc.MembershipSync).RangeDigests) != 16 {
			c.Error("range digests are refused over the limit")
		}
		b := c.node(testMember(1))
		if b.PushPull(a.Self().RPCAddress) || !b.pushPull.refused.Load() {
			c.Error("the refusal is not recorded")
		}
		lists[0].Release()
		if !b.PushPull(a.Self().RPCAddress) || len(b.View()) != 460 {
			c.Error("a released list still counts against the limit")
		}
	})
}
