// Reads whose target is late, silent or failing: a second target answers them, as
// far as the budget goes. Orders go to one target only, whatever becomes of them.

package simulator

import (
	"testing"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/checker"
	"github.com/sumactrestle/sumactrestle/internal/standin"
)

// withUnhealthyTarget has three servers of each service, callers that the proxy has learnt
// from, and one server that then misbehaves.
func withUnhealthyTarget(t *testing.T, service, way string, play func(f *Fleet, call func(method, path string) (int, time.Duration))) {
	shape := singleProxyShape()
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

// A hedged read that one target ran and lost the answer of, and that the other refused, was told "not
// run".
func TestProxy_HedgedReadOfWhichOneAttemptIsLostHasNotSurelyNotRun(t *testing.T) {
	for _, c := range []struct {
		name          string
		first, second string
		firstTakes    time.Duration
	}{
		{"the hedge is lost, then the first target refuses", standin.RejectedLate, standin.CloseUnanswered, 500 * time.Millisecond},
		{"the first attempt is lost, then the hedge refuses", standin.CloseUnanswered, standin.RejectedLate, 300 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			shape := singleProxyShape()
			shape.Targets = map[string]int{"rates": 2, "bookings": 1}
			shape.Settings["proxy.hedge_percent"] = "50"
			inFleet(t, shape, func(t *testing.T, f *Fleet) {
				caller := f.newClient(5)
				defer caller.Close()
				call := func() checker.Record {
					return caller.Call(f.ctx, f.Machine("proxy1").ProxyAddress(), "GET", "/rates", "rates", nil)
				}
				for _, s := range f.Targets("rates") {
					s.ServiceTime = 50 * time.Millisecond
				}
				for range 1600 {
					call()
				}
				attempts := 0
				for _, s := range f.Targets("rates") {
					s.Misbehavior = func(int64) string {
						if attempts++; attempts == 1 {
							s.ServiceTime = c.firstTakes
							return c.first
						}
						s.ServiceTime = 200 * time.Millisecond
						return c.second
					}
				}
				record := call()
				if attempts != 2 || len(executions(f, record.CallID)) != 1 {
					t.Fatalf("%d attempts, %d executions", attempts, len(executions(f, record.CallID)))
				}
				if record.Outcome != checker.OutcomeUnknown {
					t.Errorf("told %q, %d", record.Outcome, record.Code)
				}
			})
		})
	}
}
