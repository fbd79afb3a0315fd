// Idempotent reads whose target is slow or fails are sent to a second target, within the retry
// budget. Non-idempotent requests are sent to one target only.

package simulator

import (
	"testing"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/checker"
	"github.com/sumactrestle/sumactrestle/internal/standin"
)

// withUnhealthyTarget runs a test on a fleet with three targets per service, after the proxy has
// measured their response times and one target of the service has been replaced by a misbehaving one.
func withUnhealthyTarget(t *testing.T, service, misbehavior string, test func(f *Fleet, call func(method, path string) (int, time.Duration))) {
	shape := singleProxyShape()
	shape.Targets = map[string]int{"rates": 3, "bookings": 3}
	shape.Settings["proxy.hedge_percent"] = "6"
	inFleet(t, shape, func(t *testing.T, f *Fleet) {
		for _, name := range []string{"rates", "bookings"} {
			for _, s := range f.Targets(name) {
				s.ServiceTime = 50 * time.Millisecond
			}
		}
		client := standin.NewClient(f.Network.HostAt(f.clientHost(5)), f.History)
		defer client.Close()
		call := func(method, path string) (int, time.Duration) {
			began := time.Now()
			record := client.Call(f.ctx, f.Machine("proxy1").ProxyAddress(), method, path, "", nil)
			return record.Status, time.Since(began)
		}
		// The targets were faster during boot, and the proxy's estimate adapts slowly.
		for range 800 {
			call("GET", "/rates")
			call("POST", "/bookings")
		}
		f.replaceTarget(f.Targets(service)[0], func(int64) string { return misbehavior })
		time.Sleep(2 * time.Second)
		test(f, call)
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

func TestProxy_OverdueNonIdempotentRequestIsNotHedged(t *testing.T) {
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
				t.Errorf("request %s ran %d times", id, n)
			}
		}
		if len(runs) != 12 {
			t.Errorf("%d of 12 requests ran", len(runs))
		}
	})
}

func TestProxy_NonIdempotentRequestsAvoidFailingTarget(t *testing.T) {
	withUnhealthyTarget(t, "bookings", standin.Failing, func(f *Fleet, call func(method, path string) (int, time.Duration)) {
		failed := 0
		for range 40 {
			if status, _ := call("POST", "/bookings"); status != 200 {
				failed++
			}
		}
		if failed > 8 {
			t.Errorf("%d of 40 requests failed, want at most 8", failed)
		}
	})
}

// Guards against the outcome "not run" for a hedged read that one target executed without returning
// a response and the other target rejected.
func TestProxy_HedgedReadWithLostAttemptIsUnknown(t *testing.T) {
	for _, c := range []struct {
		name             string
		first, second    string
		firstServiceTime time.Duration
	}{
		{"the hedge is lost, then the first target rejects the read", standin.RejectedLate, standin.CloseUnanswered, 500 * time.Millisecond},
		{"the first attempt is lost, then the second target rejects the hedge", standin.CloseUnanswered, standin.RejectedLate, 300 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			shape := singleProxyShape()
			shape.Targets = map[string]int{"rates": 2, "bookings": 1}
			shape.Settings["proxy.hedge_percent"] = "50"
			inFleet(t, shape, func(t *testing.T, f *Fleet) {
				client := f.newClient(5)
				defer client.Close()
				call := func() checker.Record {
					return client.Call(f.ctx, f.Machine("proxy1").ProxyAddress(), "GET", "/rates", "rates", nil)
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
							s.ServiceTime = c.firstServiceTime
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
					t.Errorf("outcome %q, code %d; want an unknown outcome", record.Outcome, record.Code)
				}
			})
		})
	}
}
