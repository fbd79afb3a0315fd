// A drain and a change set that are told twice, as those do whose answer is late. The word of either
// waits until the proxies have had the time to hear of it.

package simulator

import (
	"testing"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// Guards against a drain whose repeat is acknowledged before the proxies were given the time of
// controlplane.acknowledge_delay to hear of it.
func TestDrain_RepeatIsNotAcknowledgedBeforeTheFirst(t *testing.T) {
	shape := singleProxyShape()
	shape.Settings["controlplane.acknowledge_delay"] = "500ms"
	inFleet(t, shape, func(t *testing.T, f *Fleet) {
		server, node := f.Targets("rates")[0], f.Cores()[0].Node()
		began := time.Now()
		say := func(sequence uint64) (took time.Duration, err error) {
			_, err = node.Heartbeat(f.ctx, &rpc.TargetHeartbeat{Service: "rates", Instance: server.Instance, Sequence: sequence, Address: server.Address, Zone: "zone1", Weight: 100, State: "draining"})
			return time.Since(began), err
		}
		first := make(chan time.Duration, 1)
		go func() {
			took, _ := say(1 << 30)
			first <- took
		}()
		time.Sleep(100 * time.Millisecond)
		took, err := say(1<<30 + 1)
		if err != nil {
			t.Fatal(err)
		}
		if after := <-first; took < 500*time.Millisecond {
			t.Errorf("the first word was acknowledged after %v, its repeat after %v", after, took)
		}
	})
}

// Guards against a change set whose repeat is acknowledged before the proxies were given that time.
func TestChangeSet_RepeatIsNotAcknowledgedBeforeTheFirst(t *testing.T) {
	shape := singleProxyShape()
	shape.Settings["controlplane.acknowledge_delay"] = "500ms"
	inFleet(t, shape, func(t *testing.T, f *Fleet) {
		operator := f.newOperator(40, f.Cores()[0])
		view, err := operator.Epoch(f.ctx)
		if err != nil {
			t.Fatal(err)
		}
		change, began := f.newChange("twice", view.Epoch), time.Now()
		first := make(chan time.Duration, 1)
		go func() {
			operator.Submit(f.ctx, change)
			first <- time.Since(began)
		}()
		time.Sleep(100 * time.Millisecond)
		if _, err := operator.Submit(f.ctx, change); err != nil {
			t.Fatal(err)
		}
		took := time.Since(began)
		if after := <-first; took < 500*time.Millisecond {
			t.Errorf("the first word was acknowledged after %v, its repeat after %v", after, took)
		}
	})
}
