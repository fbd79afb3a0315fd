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
	shape.Servers = map[string]int{"bookings": 1, "rates": 1, "desk": 1}
	inFleet(t, shape, func(t *testing.T, f *Fleet) {
		caller := standin.NewClient(f.W.Net(f.outside(3)), f.H)
		defer caller.Close()
		first := caller.CallWithID(f.ctx, f.Of("proxy1").Gate(), "POST", "/bookings", "bookings", []byte("{}"), "moved", false)
		if first.Outcome != "ran" {
			t.Fatalf("%+v", first)
		}
		operator := standin.NewOperator(f.W.Net(f.outside(4)), f.H, f.Cores()[0].Api())
		view, err := operator.Epoch(f.ctx)
		if err != nil {
			t.Fatal(err)
		}
		config := api.Config{Mappings: []api.Mapping{{Name: "bookings", Path: "/bookings", To: []api.Split{{Service: "desk", Weight: 1}}, Once: api.NewOptBool(true)}}}
		if _, err := operator.Submit(f.ctx, &api.Change{ID: "move", Base: view.Epoch, Put: api.NewOptConfig(config)}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(3 * time.Second)
		again := caller.CallWithID(f.ctx, f.Of("proxy2").Gate(), "POST", "/bookings", "desk", []byte("{}"), "moved", true)
		if again.Code != errcode.OrderRan.No || again.Outcome != "ran" || ranOf(f, "moved") != 1 {
			t.Errorf("the order ran %d times, its repeat was answered %+v", ranOf(f, "moved"), again)
		}
	})
}

// A call whose receipt was lost is repeated under its id at a node that reaches no
// owner any more. The call was done; the repeat must not be told that it was not.
func TestProxy_RepeatWithoutLeaderIsUnknown(t *testing.T) {
	inFleet(t, Small(), func(t *testing.T, f *Fleet) {
		proxyNode := f.Of("proxy1")
		client := standin.NewAPIClient(f.W.Net(f.outside(4)), proxyNode.Api())
		operator := standin.NewOperator(f.W.Net(f.outside(4)), f.H, proxyNode.Api())
		view, err := operator.Epoch(f.ctx)
		if err != nil {
			t.Fatal(err)
		}
		submit := func() string {
			limited, end := context.WithTimeout(f.ctx, 20*time.Second)
			defer end()
			_, err := client.Submit(limited, f.change("again", view.Epoch))
			return outcomeOf(err)
		}
		add := func() string {
			limited, end := context.WithTimeout(f.ctx, 20*time.Second)
			defer end()
			_, err := client.AddCounter(limited, &api.Call{Name: "again", ID: api.NewOptString("a1")})
			return outcomeOf(err)
		}
		for _, m := range f.Cores() {
			f.W.Cut(m.IP, proxyNode.IP)
		}
		first, count := submit(), add()
		f.isolate([]*Machine{proxyNode})
		time.Sleep(5 * time.Second)
		again, recount := submit(), add()
		f.W.Heal()
		if first == "done" || count == "done" {
			t.Fatalf("the cut did not hold the receipts back: %s, %s", first, count)
		}
		if again != "unknown" || recount != "unknown" {
			t.Errorf("the repeat of a change set is told %q, that of a count %q", again, recount)
		}
	})
}
