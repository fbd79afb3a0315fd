// Calls on locks that are executed after their caller has given them up.

package simulator

import (
	"testing"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/api"
	"github.com/sumactrestle/sumactrestle/internal/checker"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/standin"
)

const (
	delayedLock = "lock/late"
	// lateDisconnect is how late nodes learn that the caller has closed its connection.
	lateDisconnect = 4 * time.Second
)

// delayedLockTest runs callers of one lock through a node whose calls are delayed.
type delayedLockTest struct {
	f   *Fleet
	ttl time.Duration
	// via is the core node that receives the delayed call, leader the leader of the lock's shard,
	// and other a third core node.
	via, leader, other *Machine
}

func newDelayedLockTest(f *Fleet, ttl time.Duration) *delayedLockTest {
	d := &delayedLockTest{f: f, ttl: ttl, leader: f.leader(ids.ShardOf(delayedLock))}
	for _, m := range f.Cores() {
		if m != d.leader {
			d.via, d.other = m, d.via
		}
	}
	return d
}

// call makes one call on the lock through a node. It returns the lock's fencing token, or zero if
// the call did not succeed in time.
func (d *delayedLockTest) call(via *Machine, verb api.LockVerb, holder string, token uint64) uint64 {
	caller := &standin.LockCaller{Host: d.f.Network.HostAt(d.f.clientHost(70)), History: d.f.History, Holder: holder, DisconnectDelay: lateDisconnect}
	token, outcome := caller.Call(d.f.ctx, standin.LockCall{Address: via.APIAddress(), Verb: verb, Name: delayedLock, Token: token, TTL: d.ttl})
	if outcome != checker.OutcomeDone {
		return 0
	}
	return token
}

// checkHistory reports the rules that the calls so far broke.
func (d *delayedLockTest) checkHistory(t *testing.T) {
	t.Helper()
	d.f.History.Add(checker.Record{Kind: checker.ScenarioEnded})
	for _, violation := range checker.Check(d.f.History.Records()).Violations {
		t.Error(violation)
	}
}

// patientShape keeps connections that are silent during a fault, so that what waits in them arrives.
func patientShape() Shape {
	shape := Small()
	shape.Settings["peer.silence_timeout"] = "30s"
	return shape
}

// Guards against a release that frees a lock which its caller has acquired again since it gave the
// release up: two clients then hold the lock.
func TestLock_LateReleaseDoesNotFreeLockAcquiredAgain(t *testing.T) {
	for name, delay := range map[string]func(d *delayedLockTest) (resume func()){
		"release waits in the socket of a stalled node": func(d *delayedLockTest) func() {
			d.f.Network.Freeze(d.via.IP, standin.LockSilenceLimit+200*time.Millisecond)
			return func() { time.Sleep(2 * time.Second) }
		},
		"release waits in a connection behind a partition": func(d *delayedLockTest) func() {
			d.f.Network.Partition(d.via.IP, d.leader.IP)
			return func() { time.Sleep(200 * time.Millisecond); d.f.Network.Heal(); time.Sleep(time.Second) }
		},
		"release waits for a write to the leader": func(d *delayedLockTest) func() {
			d.f.Network.HoldNextWrite(d.via.IP, d.leader.Node().Members.Self().RPCAddress, 2*time.Second)
			return func() { time.Sleep(2 * time.Second) }
		},
	} {
		t.Run(name, func(t *testing.T) {
			inFleet(t, patientShape(), func(t *testing.T, f *Fleet) {
				d := newDelayedLockTest(f, 9*time.Second)
				token := d.call(d.other, api.LockVerbAcquire, "a", 0)
				resume := delay(d)
				if token == 0 || d.call(d.via, api.LockVerbRelease, "a", token) != 0 {
					t.Fatal("the lock was not acquired, or its release was answered in time")
				}
				if again := d.call(d.other, api.LockVerbAcquire, "a", 0); again != token {
					t.Fatalf("the holder acquired its lock again with token %d, want %d", again, token)
				}
				resume()
				if second := d.call(d.other, api.LockVerbAcquire, "b", 0); second != 0 {
					t.Errorf("b acquired the lock with token %d while a held it with token %d", second, token)
				}
				d.checkHistory(t)
			})
		})
	}
}

// Guards against a checker that calls it a fault if the response to a grant arrives after the lock
// was granted to another client: the first request was sent, and executed, before the second.
func TestLock_GrantWithLateResponseHasLowerToken(t *testing.T) {
	inFleet(t, patientShape(), func(t *testing.T, f *Fleet) {
		d := newDelayedLockTest(f, 200*time.Millisecond)
		f.Network.Partition(d.leader.IP, d.via.IP)
		late := make(chan uint64, 1)
		go func() { late <- d.call(d.via, api.LockVerbAcquire, "a", 0) }()
		time.Sleep(500 * time.Millisecond)
		second := d.call(d.other, api.LockVerbAcquire, "b", 0)
		f.Network.Heal()
		if first := <-late; first == 0 || first >= second {
			t.Fatalf("a got token %d late, b got token %d", first, second)
		}
		d.checkHistory(t)
	})
}
