// Repeated requests and calls, after the route has changed or while no leader is reachable.

package simulator

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/api"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/proxy"
	"github.com/sumactrestle/sumactrestle/internal/proxy/idempotency"
	"github.com/sumactrestle/sumactrestle/internal/standin"
)

// The idempotency record of a request must remain valid after a change set has routed its path to
// another service. The repeat, at another proxy, must be recognized as the same request.
func TestProxy_RepeatAfterMoveToAnotherServiceIsTheSameRequest(t *testing.T) {
	shape := Small()
	shape.Targets = map[string]int{"bookings": 1, "rates": 1, "desk": 1}
	inFleet(t, shape, func(t *testing.T, f *Fleet) {
		client := standin.NewClient(f.Network.HostAt(f.clientHost(3)), f.History)
		defer client.Close()
		first := client.CallWithID(f.ctx, f.Machine("proxy1").ProxyAddress(), "POST", "/bookings", "bookings", []byte("{}"), "moved", false)
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
		repeat := client.CallWithID(f.ctx, f.Machine("proxy2").ProxyAddress(), "POST", "/bookings", "desk", []byte("{}"), "moved", true)
		if repeat.Code != errcode.DuplicateRan.Number || repeat.Outcome != "ran" || countExecutions(f, "moved") != 1 {
			t.Errorf("the request ran %d times, its repeat returned %+v", countExecutions(f, "moved"), repeat)
		}
	})
}

// A call whose response was lost is repeated with the same ID at a node that can no longer reach a
// leader. The call was executed, so the outcome of the repeat must be unknown.
func TestProxy_RepeatWithoutLeaderIsUnknown(t *testing.T) {
	inFleet(t, Small(), func(t *testing.T, f *Fleet) {
		proxyNode := f.Machine("proxy1")
		apiClient := standin.NewAPIClient(f.Network.HostAt(f.clientHost(4)), proxyNode.APIAddress())
		operator := f.newOperator(4, proxyNode)
		view, err := operator.Epoch(f.ctx)
		if err != nil {
			t.Fatal(err)
		}
		submit := func() string {
			ctx, cancel := context.WithTimeout(f.ctx, 20*time.Second)
			defer cancel()
			_, err := apiClient.Submit(ctx, f.newChange("again", view.Epoch))
			return outcomeOf(err)
		}
		add := func() string {
			ctx, cancel := context.WithTimeout(f.ctx, 20*time.Second)
			defer cancel()
			_, err := apiClient.AddCounter(ctx, &api.Call{Name: "again", ID: api.NewOptString("a1")})
			return outcomeOf(err)
		}
		for _, m := range f.Cores() {
			f.Network.Partition(m.IP, proxyNode.IP)
		}
		firstChange, firstCount := submit(), add()
		f.isolate([]*Machine{proxyNode})
		time.Sleep(5 * time.Second)
		repeatedChange, repeatedCount := submit(), add()
		f.Network.Heal()
		if firstChange == "done" || firstCount == "done" {
			t.Fatalf("the responses arrived despite the partition: %s, %s", firstChange, firstCount)
		}
		if repeatedChange != "unknown" || repeatedCount != "unknown" {
			t.Errorf("outcome of the repeated change set is %q, of the repeated counter call %q; want unknown", repeatedChange, repeatedCount)
		}
	})
}

// Guards against a reservation that is shared by two attempts: where clients assign the request IDs,
// an attempt may have the ID of an earlier one, whose cancellation must not concern it.
func TestProxy_AttemptWithTheRequestIDOfACanceledOneRuns(t *testing.T) {
	shape := singleProxyShape()
	shape.Settings["proxy.request_id_source"] = "caller"
	inFleet(t, shape, func(t *testing.T, f *Fleet) {
		proxyNode, target := f.Machine("proxy1"), f.Targets("bookings")[0]
		client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return f.Network.HostAt(f.clientHost(3)).Dial(ctx, address)
		}}}
		send := func() (outcome string) {
			request, err := http.NewRequestWithContext(f.ctx, http.MethodPost, "http://"+proxyNode.ProxyAddress()+"/bookings", strings.NewReader("{}"))
			if err != nil {
				t.Fatal(err)
			}
			request.Header.Set(standin.HeaderCall, "again")
			request.Header.Set(idempotency.HeaderKey, "again")
			request.Header.Set(proxy.HeaderRequestID, "attempt")
			response, err := client.Do(request)
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			return response.Header.Get(proxy.HeaderOutcome)
		}
		target.Crash()
		f.RemoveTarget(target)
		if outcome := send(); outcome != "not run" {
			t.Fatalf("outcome %q of an attempt whose target has crashed", outcome)
		}
		f.StartTarget("bookings", f.newHost(0), 0)
		time.Sleep(3 * time.Second)
		if outcome := send(); outcome != "ran" || countExecutions(f, "again") != 1 {
			t.Errorf("outcome %q of the next attempt, which ran %d times", outcome, countExecutions(f, "again"))
		}
	})
}
