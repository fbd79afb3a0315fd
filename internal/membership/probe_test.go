package membership

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// probeCluster returns nodes that answer datagrams and know one another.
func probeCluster(c *cluster, size int) []*Memberlist {
	c.Helper()
	var nodes []*Memberlist
	for index := range size {
		m := c.probedNode(testMember(index))
		m.mergeList(testMembers(size))
		nodes = append(nodes, m)
	}
	return nodes
}

func TestProbe_Direct(t *testing.T) {
	inCluster(t, func(c *cluster) {
		nodes := probeCluster(c, 2)
		began := time.Now()
		if !nodes[0].probe(nodes[1].Self()) || time.Since(began) != 0 {
			c.Errorf("the probe took %s or failed", time.Since(began))
		}
		if len(nodes[0].ackHandlers) != 0 {
			c.Error("an acknowledgement is still expected")
		}
	})
}

func TestProbe_IndirectWhenTheDirectWayIsCut(t *testing.T) {
	inCluster(t, func(c *cluster) {
		nodes := probeCluster(c, 3)
		c.cut(nodes[0], nodes[1])
		began := time.Now()
		if !nodes[0].probe(nodes[1].Self()) {
			c.Error("the member is not reached through the third node")
		}
		if took := time.Since(began); took != nodes[0].config.probeTimeout {
			c.Errorf("the third node was asked after %s", took)
		}
		if nodes[0].ping(nodes[1].Self()) {
			c.Error("a direct ping went over a way that is cut")
		}
	})
}

func TestProbe_FailsWhenNoWayIsLeft(t *testing.T) {
	inCluster(t, func(c *cluster) {
		nodes := probeCluster(c, 3)
		c.cut(nodes[0], nodes[1])
		c.cut(nodes[2], nodes[1])
		began := time.Now()
		if nodes[0].probe(nodes[1].Self()) {
			c.Error("the member answers without a way to it")
		}
		if took, want := time.Since(began), (1+indirectTimeoutFactor)*nodes[0].config.probeTimeout; took != want {
			c.Errorf("the probe took %s, want %s", took, want)
		}
	})
}

// A ping that is meant for the address's former owner is not answered.
func TestHandlePing_OnlyItsOwn(t *testing.T) {
	inCluster(t, func(c *cluster) {
		nodes := probeCluster(c, 2)
		other := nodes[1].Self()
		other.Name = "another"
		if nodes[0].ping(other) {
			c.Error("a node answers for another")
		}
	})
}

func TestHandlePing_SuspectRefutesAtOnce(t *testing.T) {
	inCluster(t, func(c *cluster) {
		nodes := probeCluster(c, 2)
		suspect := nodes[1].Self()
		nodes[0].applyUpdates([]rpc.Member{inState(suspect, StateSuspect)})
		if !nodes[0].probe(suspect) {
			c.Fatal("no acknowledgement")
		}
		if now := nodes[0].View()[suspect.Name]; now.State != StateAlive || now.Incarnation != 2 {
			c.Errorf("it is %s at incarnation %d", now.State, now.Incarnation)
		}
	})
}

func TestHandlePing_UnknownPingerIsAskedWhoItIs(t *testing.T) {
	inCluster(t, func(c *cluster) {
		a, b := c.probedNode(testMember(0)), c.probedNode(testMember(1))
		a.mergeList([]rpc.Member{b.Self()})
		if !a.ping(b.Self()) {
			c.Fatal("no acknowledgement")
		}
		synctest.Wait()
		if !b.IsLive(rpc.Peer{Name: a.Self().Name, ID: a.Self().ID}) {
			c.Error("the pinger is still unknown")
		}
	})
}

func TestPingOverConnection(t *testing.T) {
	inCluster(t, func(c *cluster) {
		nodes := probeCluster(c, 2)
		target := nodes[1].Self()
		c.cut(nodes[0], nodes[1])
		if !nodes[0].pingOverConnection(target) {
			c.Error("no answer though only datagrams are lost")
		}
		formerLife := target
		formerLife.ID = "a former life"
		if nodes[0].pingOverConnection(formerLife) {
			c.Error("another life of the node answers for the former")
		}
		other := target
		other.Name = "another"
		if nodes[0].pingOverConnection(other) {
			c.Error("a node answers for another")
		}
	})
}

func TestProbeLoop_SuspectsThenDeclaresDead(t *testing.T) {
	inCluster(t, func(c *cluster) {
		nodes := probeCluster(c, 2)
		prober, silent := nodes[0], nodes[1].Self()
		c.cut(prober, nodes[1])
		c.refuse(prober, nodes[1])
		began := time.Now()
		prober.env.Go(prober.probeLoop)
		await := func(state string) time.Duration {
			for prober.View()[silent.Name].State != state {
				if time.Since(began) > time.Minute {
					c.Fatalf("never %s", state)
				}
				time.Sleep(time.Millisecond)
			}
			return time.Since(began)
		}
		config := prober.config
		probeTime := config.probeInterval + (1+indirectTimeoutFactor)*config.probeTimeout
		suspected := await(StateSuspect)
		if suspected < probeTime || suspected > probeTime+minReliableTimeout {
			c.Errorf("suspected after %s, a probe takes %s", suspected, probeTime)
		}
		if dead := await(StateDead) - suspected; dead < config.suspicionTimeout || dead > config.suspicionTimeout+2*probeTime {
			c.Errorf("declared dead %s after the suspicion, which lasts %s", dead, config.suspicionTimeout)
		}
	})
}

func TestProbeSchedule_EachMemberOncePerRound(t *testing.T) {
	view := map[ids.NodeName]NodeState{}
	for _, member := range testMembers(10) {
		view[member.Name] = NodeState{Member: member}
	}
	dead := view["node9"]
	dead.State = StateDead
	view["node9"] = dead
	schedule := &probeSchedule{self: "node0", zone: "z0"}
	for round := range 3 {
		probed := map[ids.NodeName]bool{}
		for range 8 {
			member, ok := schedule.next(view)
			if !ok {
				t.Fatal("nobody to probe")
			}
			probed[member.Name] = true
		}
		if len(probed) != 8 || probed["node0"] || probed["node9"] {
			t.Errorf("round %d probed %v", round, probed)
		}
	}
}

func TestProbeSchedule_FarMembersOfALargeFleetInOneOfFourRounds(t *testing.T) {
	const size, rounds = 4 * fullProbeLimit, 8
	view := map[ids.NodeName]NodeState{}
	for _, member := range testMembers(size) {
		view[member.Name] = NodeState{Member: member}
	}
	schedule := &probeSchedule{self: "node0", zone: "z0"}
	probes := map[ids.NodeName]int{}
	for range rounds {
		schedule.startRound(view)
	}
	for _, name := range schedule.remaining {
		probes[name]++
	}
	for name, member := range view {
		want := rounds / farProbeRounds
		if member.Zone == "z0" {
			want = rounds
		}
		if name == "node0" {
			want = 0
		}
		if probes[name] != want {
			t.Errorf("%s of zone %s is probed %d times in %d rounds, want %d", name, member.Zone, probes[name], rounds, want)
		}
	}
}
