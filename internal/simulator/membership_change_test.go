// A member that was replaced while it was cut off must not take part in the election of a leader: a
// majority of the voters that it knows is not a quorum of the current voters.

package simulator

import (
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/jx"

	"github.com/sumactrestle/sumactrestle/internal/api"
	"github.com/sumactrestle/sumactrestle/internal/checker"
	"github.com/sumactrestle/sumactrestle/internal/consensus"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/standin"
)

// leader returns the core node that serves a shard as its leader, or nil.
func (f *Fleet) leader(shard ids.Shard) *Machine {
	for _, m := range f.Cores() {
		if m.Node() != nil && m.Node().Consensus.Replica(shard).IsServing() {
			return m
		}
	}
	return nil
}

// votersOf returns a shard's voters according to one member.
func (f *Fleet) votersOf(m *Machine, shard ids.Shard) (voters []*Machine) {
	for _, peer := range m.Node().Consensus.Replica(shard).Status().Voters {
		voters = append(voters, f.Machine(string(peer.Name)))
	}
	return voters
}

// isolateFrom cuts a machine off from others in both directions.
func (f *Fleet) isolateFrom(m *Machine, others ...*Machine) {
	for _, other := range others {
		if other != m {
			f.Network.Partition(m.IP, other.IP)
			f.Network.Partition(other.IP, m.IP)
		}
	}
}

func isIn(m *Machine, machines []*Machine) bool {
	for _, other := range machines {
		if other == m {
			return true
		}
	}
	return false
}

// replaceVoter cuts off one voter of a shard until a spare has replaced it. It returns the leader,
// the replaced voter, the third voter, which stayed, and the spare.
func (f *Fleet) replaceVoter(t *testing.T, shard ids.Shard) (leader, replaced, stayed, spare *Machine) {
	t.Helper()
	leader = f.leader(shard)
	before := f.votersOf(leader, shard)
	for _, m := range before {
		if m != leader && replaced == nil {
			replaced = m
		} else if m != leader {
			stayed = m
		}
	}
	f.isolateFrom(replaced, f.Machines...)
	if !f.WaitUntil(40*time.Second, func() bool {
		voters := f.votersOf(leader, shard)
		return f.leader(shard) == leader && len(voters) == 3 && !isIn(replaced, voters)
	}) {
		t.Fatal("the isolated voter was not replaced")
	}
	for _, m := range f.votersOf(leader, shard) {
		if !isIn(m, before) {
			spare = m
		}
	}
	time.Sleep(500 * time.Millisecond)
	return leader, replaced, stayed, spare
}

// maxRecoveryTime is the time in which a restarted core node must have recovered. It is the shortest
// time after which users of the gateway consider such a node lost.
const maxRecoveryTime = 4 * time.Second

func fastReplacementShape() Shape {
	shape := singleProxyShape()
	shape.Cores = 5
	shape.Settings["consensus.replacement_delay"] = "1s"
	return shape
}

// killAtJointStep cuts the power of a shard's leader at the moment at which it commits the joint
// configuration of a membership change. The returned channel then receives the leader.
func (f *Fleet) killAtJointStep(shard ids.Shard) <-chan *Machine {
	killed := make(chan *Machine, 1)
	var once sync.Once
	f.observeSteps(func(m *Machine, step any) {
		trace, ok := step.(consensus.TraceEvent)
		if !ok || trace.Shard != shard || !trace.IsLeader || !trace.IsMembershipChange || !trace.Voters.IsJoint() {
			return
		}
		once.Do(func() {
			// Cut the power before the leader can write the second step. The leader is blocked in
			// this call, so another goroutine ends its process.
			f.Network.Kill(m.IP, true)
			go func() {
				m.Kill(true)
				killed <- m
			}()
		})
	})
	return killed
}

func TestMembershipChange_NextLeaderFinishesJointStep(t *testing.T) {
	inFleet(t, fastReplacementShape(), func(t *testing.T, f *Fleet) {
		shard := ids.ShardOf("app/a")
		time.Sleep(3 * time.Second)
		leader := f.leader(shard)
		var isolated *Machine
		for _, m := range f.votersOf(leader, shard) {
			if m != leader {
				isolated = m
			}
		}
		killed := f.killAtJointStep(shard)
		f.isolateFrom(isolated, f.Machines...)
		select {
		case m := <-killed:
			if m != leader {
				t.Fatalf("%s was the leader, not %s", m.Name, leader.Name)
			}
		case <-time.After(20 * time.Second):
			t.Fatal("no membership change was started")
		}
		// The leader stays down and the isolated voter is back. With it, one voter of both
		// configurations and the new voter are available.
		f.Network.Heal()
		if !f.WaitUntil(10*time.Second, func() bool {
			m := f.leader(shard)
			return m != nil && len(m.status(shard).Voters) == 3 && len(m.status(shard).OutgoingVoters) == 0
		}) {
			t.Error("the next leader did not complete the membership change")
		}
	})
}

func TestMembershipChange_LostDiskRecoversInParallel(t *testing.T) {
	inFleet(t, fiveCoreShape(), func(t *testing.T, f *Fleet) {
		time.Sleep(3 * time.Second)
		m := f.Machine("core2")
		m.Kill(true)
		f.Network.Disk(m.IP).Wipe()
		f.startMachine(m)
		began := time.Now()
		if !f.WaitUntil(maxRecoveryTime, f.isRepaired) {
			t.Fatalf("not recovered within %s", maxRecoveryTime)
		}
		t.Logf("all replicas recovered after %s", time.Since(began))
	})
}

func TestReplica_ReplacedMemberHidesNoAcknowledgedWrite(t *testing.T) {
	inFleet(t, fastReplacementShape(), func(t *testing.T, f *Fleet) {
		client := standin.NewAPIClient(f.Network.HostAt(f.clientHost(1)), f.Machine("proxy1").APIAddress())
		put := func(value string) {
			if _, err := client.PutKey(f.ctx, &api.Call{Name: "app/a", Value: jx.Raw(value)}); err != nil {
				t.Fatal(value, err)
			}
		}
		put(`"old"`)
		time.Sleep(3 * time.Second)
		shard := ids.ShardOf("app/a")
		leader, replaced, stayed, spare := f.replaceVoter(t, shard)
		f.isolateFrom(stayed, leader, spare)
		time.Sleep(700 * time.Millisecond)
		put(`"new"`)
		leader.Kill(true)
		f.Network.Heal()
		f.isolateFrom(spare, f.Machines...)
		for range 60 {
			time.Sleep(100 * time.Millisecond)
			if m := f.leader(shard); m == replaced || m == stayed {
				t.Fatalf("%s leads the shard without the last acknowledged write", m.Name)
			}
		}
		f.Network.Heal()
		if !f.WaitUntil(15*time.Second, func() bool {
			got, err := client.GetKey(f.ctx, api.GetKeyParams{Name: "app/a"})
			if err == nil && string(got.Value) != `"new"` {
				t.Fatalf("read %s: an acknowledged write is lost", got.Value)
			}
			return err == nil
		}) {
			t.Error("the shard does not serve reads again")
		}
	})
}

// status returns the status of a machine's replica of a shard.
func (m *Machine) status(shard ids.Shard) consensus.Status {
	return m.Node().Consensus.Replica(shard).Status()
}

// checkConformance fails the test if a replica step violated an invariant of the model, if replicas
// diverged, or if no step was recorded. Repairs of replicas are permitted.
func (f *Fleet) checkConformance(t *testing.T) {
	t.Helper()
	if f.conformance.Steps() == 0 {
		t.Error("no replica step was recorded")
	}
	for _, r := range f.History.Records() {
		if r.Kind == checker.ReplicaDivergence && !strings.HasPrefix(r.Note, eventlog.ReplicaRepaired.Text) {
			t.Error(r.Note)
		}
	}
}
