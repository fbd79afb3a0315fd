package endpoint

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

func poolOf(n int) *Pool {
	var targets []rpc.Target
	for i := range n {
		targets = append(targets, rpc.Target{Instance: fmt.Sprint("t", i), Address: fmt.Sprint("10.0.0.", i), Zone: "a", Weight: 100, Slots: 2})
	}
	return NewPool(Config{Service: "s", Zone: "a", Targets: targets}, time.Now())
}

// selections counts how many of n requests go to the endpoint.
func selections(pool *Pool, endpoint *Endpoint, n int) (count int) {
	for range n {
		if pool.Select(Selection{LatencyTarget: time.Second, Proxies: 1, CrossZonePercent: 30}) == endpoint {
			count++
		}
	}
	return count
}

func TestPool_FailingEndpointIsEjectedAndComesBackSlowly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := poolOf(10)
		outlier := pool.Endpoints[3]
		outlier.AddToFailureScore(time.Now(), 1)
		time.Sleep(100 * time.Millisecond)
		if selections(pool, outlier, 1000) == 0 {
			t.Error("ejected after one failure")
		}
		outlier.AddToFailureScore(time.Now(), 4)
		time.Sleep(100 * time.Millisecond)
		if n := selections(pool, outlier, 1000); n > 0 {
			t.Errorf("%d of 1000 requests went to it", n)
		}
		time.Sleep(time.Minute)
		if selections(pool, outlier, 1000) == 0 {
			t.Error("it never came back")
		}
	})
}

func TestPool_WhereAllFailNoneIsEjected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, failing := range []int{10, 5} {
			pool := poolOf(10)
			for _, p := range pool.Endpoints[:failing] {
				p.AddToFailureScore(time.Now(), maxScore)
			}
			time.Sleep(100 * time.Millisecond)
			if n := selections(pool, pool.Endpoints[0], 1000); n < 50 {
				t.Errorf("%d of 10 fail, and one of them got %d of 1000 requests", failing, n)
			}
		}
	})
}

func TestPool_QuickFailuresDrawNoRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := poolOf(10)
		for _, p := range pool.Endpoints {
			p.RecordResponse(time.Now(), 100*time.Millisecond, true, true, "")
		}
		pool.RecordLatency(100 * time.Millisecond)
		for range 20 {
			pool.Endpoints[3].RecordResponse(time.Now(), time.Millisecond, false, false, "")
		}
		if n := selections(pool, pool.Endpoints[3], 1000); n > 300 {
			t.Errorf("%d of 1000 requests went to a target that failed fast", n)
		}
	})
}

func TestPool_SlowServiceIsNotNearBaseline(t *testing.T) {
	pool := poolOf(3)
	for range 200 {
		pool.RecordLatency(100 * time.Millisecond)
	}
	if !pool.NearBaseline() {
		t.Error("not near its baseline, though nothing ever took longer")
	}
	for range 100 {
		pool.RecordLatency(300 * time.Millisecond)
	}
	if pool.NearBaseline() {
		t.Error("near its baseline, though all takes three times as long")
	}
	for range 200 {
		pool.RecordLatency(100 * time.Millisecond)
	}
	if !pool.NearBaseline() {
		t.Error("not near its baseline after it")
	}
}
