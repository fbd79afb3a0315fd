package endpoint

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

func newTestPool(n int) *Pool {
	var targets []rpc.Target
	for i := range n {
		targets = append(targets, rpc.Target{Instance: fmt.Sprint("t", i), Address: fmt.Sprint("10.0.0.", i), Zone: "a", Weight: 100, Slots: 2})
	}
	return NewPool(Config{Service: "s", Zone: "a", Targets: targets}, time.Now())
}

// countSelections returns how many of n requests the pool sends to the endpoint.
func countSelections(pool *Pool, endpoint *Endpoint, n int) (count int) {
	for range n {
		if pool.Select(Selection{LatencyTarget: time.Second, Proxies: 1, CrossZonePercent: 30}) == endpoint {
			count++
		}
	}
	return count
}

func TestPool_OutlierIsEjectedAndReadmitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := newTestPool(10)
		outlier := pool.Endpoints[3]
		outlier.AddToFailureScore(time.Now(), 1)
		time.Sleep(100 * time.Millisecond)
		if countSelections(pool, outlier, 1000) == 0 {
			t.Error("ejected after one failure")
		}
		outlier.AddToFailureScore(time.Now(), 4)
		time.Sleep(100 * time.Millisecond)
		if n := countSelections(pool, outlier, 1000); n > 0 {
			t.Errorf("%d of 1000 requests went to the outlier", n)
		}
		time.Sleep(time.Minute)
		if countSelections(pool, outlier, 1000) == 0 {
			t.Error("the outlier was not selected again after a minute")
		}
	})
}

func TestPool_NoEndpointIsEjectedWhenManyFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, failing := range []int{10, 5} {
			pool := newTestPool(10)
			for _, endpoint := range pool.Endpoints[:failing] {
				endpoint.AddToFailureScore(time.Now(), maxScore)
			}
			time.Sleep(100 * time.Millisecond)
			if n := countSelections(pool, pool.Endpoints[0], 1000); n < 50 {
				t.Errorf("with %d of 10 endpoints failing, one of them got %d of 1000 requests, want at least 50", failing, n)
			}
		}
	})
}

func TestPool_FastFailuresDoNotAttractRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := newTestPool(10)
		for _, endpoint := range pool.Endpoints {
			endpoint.RecordResponse(time.Now(), 100*time.Millisecond, true, true, "")
		}
		pool.RecordLatency(100 * time.Millisecond)
		for range 20 {
			pool.Endpoints[3].RecordResponse(time.Now(), time.Millisecond, false, false, "")
		}
		if n := countSelections(pool, pool.Endpoints[3], 1000); n > 300 {
			t.Errorf("%d of 1000 requests went to an endpoint that fails fast, want at most 300", n)
		}
	})
}

func TestPool_SlowServiceIsNotNearBaseline(t *testing.T) {
	pool := newTestPool(3)
	for range 200 {
		pool.RecordLatency(100 * time.Millisecond)
	}
	if !pool.NearBaseline() {
		t.Error("not near the baseline at constant latency")
	}
	for range 100 {
		pool.RecordLatency(300 * time.Millisecond)
	}
	if pool.NearBaseline() {
		t.Error("near the baseline at three times the latency")
	}
	for range 200 {
		pool.RecordLatency(100 * time.Millisecond)
	}
	if !pool.NearBaseline() {
		t.Error("not near the baseline after the latency has recovered")
	}
}
