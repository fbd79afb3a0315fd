// A drain or a change set that is sent again while the first response is pending. Both
// acknowledgements must wait for controlplane.acknowledge_delay, so that the proxies have received
// the change.

package simulator

import (
	"testing"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// Guards against acknowledging a repeated drain before controlplane.acknowledge_delay has passed.
func TestDrain_RepeatWaitsForAcknowledgeDelay(t *testing.T) {
	shape := singleProxyShape()
	shape.Settings["controlplane.acknowledge_delay"] = "500ms"
	inFleet(t, shape, func(t *testing.T, f *Fleet) {
		target, node := f.Targets("rates")[0], f.Cores()[0].Node()
		began := time.Now()
		drain := func(sequence uint64) (took time.Duration, err error) {
			_, err = node.Heartbeat(f.ctx, &rpc.TargetHeartbeat{Service: "rates", Instance: target.Instance, Sequence: sequence, Address: target.Address, Zone: "zone1", Weight: 100, State: "draining"})
			return time.Since(began), err
		}
		first := make(chan time.Duration, 1)
		go func() {
			took, _ := drain(1 << 30)
			first <- took
		}()
		time.Sleep(100 * time.Millisecond)
		took, err := drain(1<<30 + 1)
		if err != nil {
			t.Fatal(err)
		}
		if firstTook := <-first; took < 500*time.Millisecond {
			t.Errorf("the first request was acknowledged after %v, its repeat after %v", firstTook, took)
		}
	})
}

// Guards against acknowledging a repeated change set before controlplane.acknowledge_delay has passed.
func TestChangeSet_RepeatWaitsForAcknowledgeDelay(t *testing.T) {
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
		if firstTook := <-first; took < 500*time.Millisecond {
			t.Errorf("the first request was acknowledged after %v, its repeat after %v", firstTook, took)
		}
	})
}
