package distribution

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// The relay merges the requests of many proxies into few requests to the leader and adds the
// elapsed time to the ages.
func TestFreshnessRelay_MergesRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		env := newFakeNetwork().environment(t, ctx, "core", "10.0.0.1:1")
		const latency = 5 * time.Millisecond
		relays := 0
		var isFailing atomic.Bool
		relay := newFreshnessRelay(env, func() (*rpc.FreshnessResponse, error) {
			relays++
			time.Sleep(latency)
			if isFailing.Load() {
				return nil, errors.New("leader unreachable")
			}
			return &rpc.FreshnessResponse{Epoch: 3, AgeMicros: 1000, ShardAgeMicros: []int64{-1, 2000}}, nil
		})
		minInterval := env.Config.DistributionRenewalInterval / maxRelaysPerInterval
		request := func() {
			sent := time.Now()
			response, err := relay.get(ctx)
			elapsed := time.Since(sent)
			if err != nil || elapsed > minInterval+2*latency {
				t.Errorf("request failed or was slow: error %v after %s", err, elapsed)
				return
			}
			if age := response.AgeMicros; age < 1000+latency.Microseconds() || age > 1000+(elapsed+relayReusePeriod).Microseconds()+1 || response.ShardAgeMicros[0] != -1 || response.ShardAgeMicros[1] != age+1000 {
				t.Errorf("wrong ages %d and %v after %s", age, response.ShardAgeMicros, elapsed)
			}
		}
		// The first request is sent without delay.
		start := time.Now()
		request()
		if elapsed := time.Since(start); elapsed != latency {
			t.Errorf("the first request took %s", elapsed)
		}
		var callers sync.WaitGroup
		for range 460 {
			callers.Go(func() {
				for range 4 {
					request()
					time.Sleep(env.Config.DistributionRenewalInterval - latency)
				}
			})
			time.Sleep(time.Millisecond)
		}
		callers.Wait()
		if maxRelays := int(time.Since(start)/minInterval) + 2; relays > maxRelays {
			t.Errorf("%d relayed requests in %s", relays, time.Since(start))
		}
		isFailing.Store(true)
		time.Sleep(relayReusePeriod)
		if _, err := relay.get(ctx); err == nil {
			t.Error("a failed relayed request returned no error")
		}
		// A request after shutdown fails instead of blocking.
		go env.Shutdown()
		synctest.Wait()
		if _, err := relay.get(ctx); err == nil {
			t.Error("a request was relayed after shutdown")
		}
	})
}
