package simulator

import (
	"testing"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/api"
	"github.com/sumactrestle/sumactrestle/internal/checker"
	"github.com/sumactrestle/sumactrestle/internal/ids"
)

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
		f.History.Add(checker.Record{Kind: checker.ScenarioEnded})
		for _, violation := range checker.Check(f.History.Records()).Violations {
			t.Error(violation)
		}
	})
}

// newDelayedLockTest returns a test with a leader, a node whose calls are delayed and a third one.
func newDelayedLockTest(f *Fleet, ttl time.Duration) *delayedLockTest {
	d := &delayedLockTest{f: f, ttl: ttl, leader: f.leader(ids.ShardOf(lateReleaseLock))}
	for _, m := range f.Cores() {
		if m != d.leader {
			d.via, d.other = m, d.via
		}
	}
	return d
}
