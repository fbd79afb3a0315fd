// Orders that callers repeat, while what leads to their service changes.

package simulator

import (
	"context"
	"testing"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/api"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/standin"
)

// The claim on an order must outlive a change set that leads its path to another
// service: the repeat, which comes to another proxy, is the same order still.
func TestProxy_RepeatAfterMoveToAnotherServiceIsTheSameRequest(t *testing.T) {
	shape := Small()
	shape.Targets = map[string]int{"bookings": 1, "rates": 1, "desk": 1}
	inFleet(t, shape, func(t *testing.T, f *Fleet) {
		caller := standin.NewClient(f.Network.HostAt(f.clientHost(3)), f.History)
		defer caller.Close()
		first := caller.CallWithID(f.ctx, f.Machine("proxy1").ProxyAddress(), "POST", "/bookings", "bookings", []byte("{}"), "moved", false)
		if first.Outcome != "ran" {
			t.Fatalf("%+v", first)
		}
		operator := f.newOperator(4, f.Cores()[0])
		view, err := operator.Epoch(f.ctx)
		if err != nil {
			t.Fatal(err)
		}
		config := api.Config{Mappings: []api.Mapping{{Name: "bookings", Path: "/bookings", To: []api.Split{{Service: "desk", Weight: 1}}, Once: api.NewOptBool(true)}}}
		if _, err := operator.Submit(f.ctx, &api.Change{ID: "move", Base: view.Epoch, Put: api.NewOptConfig(config)}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(3 * time.Second)
		again := caller.CallWithID(f.ctx, f.Machine("proxy2").ProxyAddress(), "POST", "/bookings", "desk", []byte("{}"), "moved", true)
		if again.Code != errcode.OrderRan.Number || again.Outcome != "ran" || countExecutions(f, "moved") != 1 {
			t.Errorf("the order ran %d times, its repeat was answered %+v", countExecutions(f, "moved"), again)
		}
	})
}

// A call whose receipt was lost is repeated under its id at a node that reaches no
// owner any more. The call was done; the repeat must not be told that it was not.
func TestProxy_RepeatWithoutLeaderIsUnknown(t *testing.T) {
	inFleet(t, Small(), func(t *testing.T, f *Fleet) {
		proxyNode := f.Machine("proxy1")
		client := standin.NewAPIClient(f.Network.HostAt(f.clientHost(4)), proxyNode.APIAddress())
		operator := f.newOperator(4, proxyNode)
		view, err := operator.Epoch(f.ctx)
		if err != nil {
			t.Fatal(err)
		}
		submit := func() string {
			limited, end := context.WithTimeout(f.ctx, 20*time.Second)
			defer end()
			_, err := client.Submit(limited, f.newChange("again", view.Epoch))
			return outcomeOf(err)
		}
		add := func() string {
			limited, end := context.WithTimeout(f.ctx, 20*time.Second)
			defer end()
			_, err := client.AddCounter(limited, &api.Call{Name: "again", ID: api.NewOptString("a1")})
			return outcomeOf(err)
		}
		for _, m := range f.Cores() {
			f.Network.Partition(m.IP, proxyNode.IP)
		}
		first, count := submit(), add()
		f.isolate([]*Machine{proxyNode})
		time.Sleep(5 * time.Second)
		again, recount := submit(), add()
		f.Network.Heal()
		if first == "done" || count == "done" {
			t.Fatalf("the cut did not hold the receipts back: %s, %s", first, count)
		}
		if again != "unknown" || recount != "unknown" {
			t.Errorf("the repeat of a change set is told %q, that of a count %q", again, recount)
		}
	})
}
