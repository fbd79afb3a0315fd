package membership

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// newProbeCluster returns nodes that receive datagrams and know one another.
func newProbeCluster(c *cluster, size int) []*Memberlist {
	c.Helper()
	var nodes []*Memberlist
	for index := range size {
		m := c.nodeWithSocket(testMember(index))
		m.mergeList(testMembers(size))
		nodes = append(nodes, m)
	}
	return nodes
}

func TestProbe_Direct(t *testing.T) {
	inCluster(t, func(c *cluster) {
		nodes := newProbeCluster(c, 2)
		start := time.Now()
		if !nodes[0].probe(nodes[1].Self()) || time.Since(start) != 0 {
			c.Errorf("the probe took %s or failed", time.Since(start))
		}
		if len(nodes[0].pendingAcks) != 0 {
			c.Error("the pending acknowledgement was not removed")
		}
	})
}

func TestProbe_PingsIndirectlyWhenDirectPathFails(t *testing.T) {
	inCluster(t, func(c *cluster) {
		nodes := newProbeCluster(c, 3)
		c.dropPackets(nodes[0], nodes[1])
		start := time.Now()
		if !nodes[0].probe(nodes[1].Self()) {
			c.Error("the indirect probe failed")
		}
		if elapsed := time.Since(start); elapsed != nodes[0].config.probeTimeout {
			c.Errorf("the indirect probe succeeded after %s", elapsed)
		}
		if nodes[0].ping(nodes[1].Self()) {
			c.Error("a direct ping succeeded although datagrams are dropped")
		}
	})
}

func TestProbe_FailsWhenDirectAndIndirectPathsFail(t *testing.T) {
	inCluster(t, func(c *cluster) {
		nodes := newProbeCluster(c, 3)
		c.dropPackets(nodes[0], nodes[1])
		c.dropPackets(nodes[2], nodes[1])
		start := time.Now()
		if nodes[0].probe(nodes[1].Self()) {
			c.Error("the probe succeeded although all datagrams to the target are dropped")
		}
		if elapsed, want := time.Since(start), (1+indirectTimeoutFactor)*nodes[0].config.probeTimeout; elapsed != want {
			c.Errorf("the probe took %s, want %s", elapsed, want)
		}
	})
}

// After an address is reused, pings to its former owner must not be acknowledged.
func TestHandlePing_IgnoresPingForOtherNode(t *testing.T) {
	inCluster(t, func(c *cluster) {
		nodes := newProbeCluster(c, 2)
		other := nodes[1].Self()
		other.Name = "another"
		if nodes[0].ping(other) {
			c.Error("a node acknowledged a ping for another node")
		}
	})
}

func TestHandlePing_SuspectRefutesInAck(t *testing.T) {
	inCluster(t, func(c *cluster) {
		nodes := newProbeCluster(c, 2)
		suspect := nodes[1].Self()
		nodes[0].applyUpdates([]rpc.Member{inState(suspect, StateSuspect)})
		if !nodes[0].probe(suspect) {
			c.Fatal("no acknowledgement")
		}
		if current := nodes[0].View()[suspect.Name]; current.State != StateAlive || current.Incarnation != 2 {
			c.Errorf("the suspect is %s at incarnation %d", current.State, current.Incarnation)
		}
	})
}

func TestHandlePing_IdentifiesUnknownSender(t *testing.T) {
	inCluster(t, func(c *cluster) {
		a, b := c.nodeWithSocket(testMember(0)), c.nodeWithSocket(testMember(1))
		a.mergeList([]rpc.Member{b.Self()})
		if !a.ping(b.Self()) {
			c.Fatal("no acknowledgement")
		}
		synctest.Wait()
		if !b.IsLive(rpc.Peer{Name: a.Self().Name, ID: a.Self().ID}) {
			c.Error("the sender is still unknown")
		}
	})
}

func TestPingOverConnection(t *testing.T) {
	inCluster(t, func(c *cluster) {
		nodes := newProbeCluster(c, 2)
		target := nodes[1].Self()
		c.dropPackets(nodes[0], nodes[1])
		if !nodes[0].pingOverConnection(target) {
			c.Error("the ping over a connection failed although only datagrams are dropped")
		}
		formerID := target
		formerID.ID = "former ID"
		if nodes[0].pingOverConnection(formerID) {
			c.Error("the ping succeeded for a former member ID")
		}
		other := target
		other.Name = "another"
		if nodes[0].pingOverConnection(other) {
			c.Error("the ping succeeded for another name")
		}
	})
}

func TestProbeLoop_SuspectsThenDeclaresDead(t *testing.T) {
	inCluster(t, func(c *cluster) {
		nodes := newProbeCluster(c, 2)
		prober, unresponsive := nodes[0], nodes[1].Self()
		c.dropPackets(prober, nodes[1])
		c.refuseConns(prober, nodes[1])
		start := time.Now()
		prober.env.Go(prober.probeLoop)
		waitForState := func(state string) time.Duration {
			for prober.View()[unresponsive.Name].State != state {
				if time.Since(start) > time.Minute {
					c.Fatalf("never in state %s", state)
				}
				time.Sleep(time.Millisecond)
			}
			return time.Since(start)
		}
		config := prober.config
		probeTime := config.probeInterval + (1+indirectTimeoutFactor)*config.probeTimeout
		suspectedAfter := waitForState(StateSuspect)
		if suspectedAfter < probeTime || suspectedAfter > probeTime+minConnectionPingTimeout {
			c.Errorf("suspected after %s, want one probe (%s)", suspectedAfter, probeTime)
		}
		if deadAfter := waitForState(StateDead) - suspectedAfter; deadAfter < config.suspicionTimeout || deadAfter > config.suspicionTimeout+2*probeTime {
			c.Errorf("declared dead %s after the suspicion, want the suspicion timeout (%s)", deadAfter, config.suspicionTimeout)
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
				t.Fatal("no member to probe")
			}
			probed[member.Name] = true
		}
		if len(probed) != 8 || probed["node0"] || probed["node9"] {
			t.Errorf("round %d probed %v", round, probed)
		}
	}
}

func TestProbeSchedule_ProbesOtherZonesEveryFourthRound(t *testing.T) {
	const size, rounds = 4 * largeFleetSize, 8
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
		want := rounds / crossZoneProbeRounds
		if member.Zone == "z0" {
			want = rounds
		}
		if name == "node0" {
			want = 0
		}
		if probes[name] != want {
			t.Errorf("%s in zone %s is probed %d times in %d rounds, want %d", name, member.Zone, probes[name], rounds, want)
		}
	}
}
