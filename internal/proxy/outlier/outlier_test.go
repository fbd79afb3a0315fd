package outlier

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/proxy/endpoint"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// newPool returns a pool of ten equal endpoints.
func newPool() *endpoint.Pool {
	var targets []rpc.Target
	for i := range 10 {
		targets = append(targets, rpc.Target{Instance: fmt.Sprint("t", i), Address: fmt.Sprint("10.0.0.", i), Weight: 100, Slots: 2})
	}
	return endpoint.NewPool(endpoint.Config{Service: "s", Targets: targets}, time.Now())
}

// newReporter returns a reporter for the endpoints of the pool, without its background task.
func newReporter(pool *endpoint.Pool) *Reporter {
	lookup := func(id string) *endpoint.Endpoint {
		for _, candidate := range pool.Endpoints {
			if candidate.ReportID == id {
				return candidate
			}
		}
		return nil
	}
	return &Reporter{config: Config{Lookup: lookup}, failures: map[string]int{}, wake: make(chan struct{}, 1)}
}

// countSelections returns how many of 1000 requests select the endpoint.
func countSelections(pool *endpoint.Pool, wanted *endpoint.Endpoint) (count int) {
	for range 1000 {
		if pool.Select(endpoint.Selection{LatencyTarget: time.Second, Proxies: 1}) == wanted {
			count++
		}
	}
	return count
}

func TestReporter_LocalFailuresCountAndAreQueued(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := newPool()
		reporter, failing := newReporter(pool), pool.Endpoints[3]
		for range 4 {
			reporter.Report(failing)
		}
		time.Sleep(100 * time.Millisecond)
		if got := countSelections(pool, failing); got > 0 {
			t.Errorf("%d of 1000 requests selected the failing endpoint", got)
		}
		if got := reporter.failures[failing.ReportID]; got != 4 || len(reporter.failures) != 1 {
			t.Error("queued failures:", reporter.failures)
		}
		if len(reporter.wake) != 1 {
			t.Error("the task was not woken")
		}
	})
}

func TestReporter_QueueIsBounded(t *testing.T) {
	pool := newPool()
	reporter := newReporter(pool)
	for i := range 2 * maxReportedEndpoints {
		reporter.Report(&endpoint.Endpoint{ReportID: fmt.Sprint(i)})
	}
	if len(reporter.failures) != maxReportedEndpoints {
		t.Errorf("%d endpoints are queued", len(reporter.failures))
	}
}

func TestReporter_ReceivedFailuresCountAndAreNotForwarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := newPool()
		reporter, failing, healthy := newReporter(pool), pool.Endpoints[3], pool.Endpoints[4]
		report := &rpc.FailureReport{Failures: map[string]int{failing.ReportID: 4, healthy.ReportID: -4, "unknown": 4}}
		if _, err := reporter.receive(t.Context(), report); err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
		if got := countSelections(pool, failing); got > 0 {
			t.Errorf("%d of 1000 requests selected the failing endpoint", got)
		}
		if got := countSelections(pool, healthy); got == 0 {
			t.Error("no request selected the healthy endpoint")
		}
		if len(reporter.failures) > 0 {
			t.Error("received failures are queued for forwarding:", reporter.failures)
		}
	})
}
