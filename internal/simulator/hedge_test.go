// Reads whose target is late, silent or failing: a second target answers them, as
// far as the budget goes. Orders go to one target only, whatever becomes of them.

package simulator

import (
	"testing"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/standin"
)

// withUnhealthyTarget has three servers of each service, callers that the proxy has learnt
// from, and one server that then misbehaves.
func withUnhealthyTarget(t *testing.T, service, way string, play func(f *Fleet, call func(method, path string) (int, time.Duration))) {
	shape := one()
	shape.Targets = map[string]int{"rates": 3, "bookings": 3}
	shape.Settings["proxy.hedge_percent"] = "6"
	inFleet(t, shape, func(t *testing.T, f *Fleet) {
		for _, name := range []string{"rates", "bookings"} {
			for _, s := range f.Targets(name) {
				s.ServiceTime = 50 * time.Millisecond
			}
		}
		caller := standin.NewClient(f.Network.HostAt(f.clientHost(5)), f.History)
		defer caller.Close()
		call := func(method, path string) (int, time.Duration) {
			began := time.Now()
			got := caller.Call(f.ctx, f.Machine("proxy1").ProxyAddress(), method, path, "", nil)
			return got.Status, time.Since(began)
		}
		// The servers were quicker while the fleet booted; a proxy forgets that slowly.
		for range 800 {
			call("GET", "/rates")
			call("POST", "/bookings")
		}
		f.replaceTarget(f.Targets(service)[0], func(int64) string { return way })
		time.Sleep(2 * time.Second)
		play(f, call)
	})
}

func TestProxy_OverdueReadIsHedged(t *testing.T) {
	withUnhealthyTarget(t, "rates", standin.Slow, func(f *Fleet, call func(method, path string) (int, time.Duration)) {
		for i := range 12 {
			if status, took := call("GET", "/rates"); status != 200 || took > time.Second {
				t.Errorf("read %d: %d after %s", i, status, took)
			}
		}
	})
}

func TestProxy_FailedReadIsRetriedAtAnotherTarget(t *testing.T) {
	withUnhealthyTarget(t, "rates", standin.Failing, func(f *Fleet, call func(method, path string) (int, time.Duration)) {
		for i := range 12 {
			if status, _ := call("GET", "/rates"); status != 200 {
				t.Errorf("read %d: %d", i, status)
			}
		}
	})
}

func TestProxy_OverdueOrderGoesToOneTarget(t *testing.T) {
	withUnhealthyTarget(t, "bookings", standin.Slow, func(f *Fleet, call func(method, path string) (int, time.Duration)) {
		before := len(f.History.Records())
		for range 12 {
			call("POST", "/bookings")
		}
		time.Sleep(3 * time.Second)
		runs := map[string]int{}
		for _, r := range f.History.Records()[before:] {
			if r.Kind == "ran" && r.Service == "bookings" {
				runs[r.CallID]++
			}
		}
		for id, n := range runs {
			if n != 1 {
				t.Errorf("order %s ran %d times", id, n)
			}
		}
		if len(runs) != 12 {
			t.Errorf("%d of 12 orders ran", len(runs))
		}
	})
}

func TestProxy_OrdersAvoidAFailingTarget(t *testing.T) {
	withUnhealthyTarget(t, "bookings", standin.Failing, func(f *Fleet, call func(method, path string) (int, time.Duration)) {
		failed := 0
		for range 40 {
			if status, _ := call("POST", "/bookings"); status != 200 {
				failed++
			}
		}
		if failed > 8 {
			t.Errorf("%d of 40 orders were sent where they fail", failed)
		}
	})
}
