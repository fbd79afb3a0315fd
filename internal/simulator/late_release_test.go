// Releases of locks that take effect after their caller has given them up.

package simulator

import (
	"context"
	"testing"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/api"
	"github.com/sumactrestle/sumactrestle/internal/checker"
	"github.com/sumactrestle/sumactrestle/internal/standin"
)

const (
	lateReleaseLock = "lock/late"
	lateReleaseTTL  = 9 * time.Second
	// silenceLimit is how long a caller of the users' platform waits for a response.
	silenceLimit = time.Second
	// disconnectDelay is how late nodes learn that the caller has closed its connection, as when
	// the packet that says so is lost.
	disconnectDelay = 4 * time.Second
)

// delayedLockTest runs a caller whose release is delayed beyond the caller's time limit.
type delayedLockTest struct {
	f   *Fleet
	ttl time.Duration
	// via is the core node that receives the late release, leader the leader of the lock's shard,
	// and other a third core node.
	via, leader, other *Machine
}

// patientShape keeps connections that are silent during a fault, so that what waits in them arrives.
func patientShape() Shape {
	shape := Small()
	shape.Settings["peer.silence_timeout"] = "30s"
	return shape
}

// call makes one call on the lock through a node and records it. It gives up after silenceLimit.
// It returns the lock's fencing token, or zero if the call did not succeed in time.
func (d *delayedLockTest) call(via *Machine, verb api.LockVerb, holder string, token uint64) uint64 {
	record := checker.Record{Op: string(verb), Name: lateReleaseLock, Holder: holder, FencingToken: token, TTL: d.ttl}
	call := &api.Call{Name: record.Name, Holder: api.NewOptString(holder), TTL: api.NewOptInt64(d.ttl.Milliseconds())}
	if token != 0 {
		call.Fence = api.NewOptUint64(token)
	}
	err := d.f.recordCoordination(record, func(_ context.Context, record *checker.Record) error {
		receipt, err := d.send(via, verb, call)
		if err == nil {
			token = receipt.Fence.Or(token)
			record.FencingToken = token
		}
		return err
	})
	if err != nil {
		return 0
	}
	return token
}

// send sends a call and waits for the response for silenceLimit. The connection is closed
// disconnectDelay later.
func (d *delayedLockTest) send(via *Machine, verb api.LockVerb, call *api.Call) (*api.Receipt, error) {
	type response struct {
		receipt *api.Receipt
		err     error
	}
	responses := make(chan response, 1)
	client := standin.NewAPIClient(d.f.Network.HostAt(d.f.clientHost(70)), via.APIAddress())
	go func() {
		ctx, cancel := context.WithTimeout(d.f.ctx, silenceLimit+disconnectDelay)
		defer cancel()
		receipt, err := client.Lock(ctx, call, api.LockParams{Verb: verb})
		responses <- response{receipt, err}
	}()
	select {
	case r := <-responses:
		return r.receipt, r.err
	case <-time.After(silenceLimit):
		return nil, context.DeadlineExceeded
	}
}

// Guards against a release that frees a lock which its caller has acquired again since it gave the
// release up: two clients then hold the lock.
func TestLock_LateReleaseDoesNotFreeLockAcquiredAgain(t *testing.T) {
	for name, delay := range map[string]func(d *delayedLockTest) (resume func()){
		"release waits in the socket of a stalled node": func(d *delayedLockTest) func() {
			d.f.Network.Freeze(d.via.IP, silenceLimit+200*time.Millisecond)
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
				d := newDelayedLockTest(f, lateReleaseTTL)
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
				f.History.Add(checker.Record{Kind: checker.ScenarioEnded})
				for _, violation := range checker.Check(f.History.Records()).Violations {
					t.Error(violation)
				}
			})
		})
	}
}
