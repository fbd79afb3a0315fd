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

// Few pulses are relayed for many proxies, and their ages grow as time passes.
func TestPulseRelay_ManyPulsesMakeFewRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		env := newFakeNetwork().environment(t, ctx, "core", "10.0.0.1:1")
		const way = 5 * time.Millisecond
		relayed := 0
		var isCut atomic.Bool
		relay := newPulseRelay(env, func() (*rpc.FreshnessResponse, error) {
			relayed++
			time.Sleep(way)
			if isCut.Load() {
				return nil, errors.New("cut")
			}
			return &rpc.FreshnessResponse{Epoch: 3, AgeMicros: 1000, ShardAgeMicros: []int64{-1, 2000}}, nil
		})
		least := env.Config.DistributionRenewalInterval / relayShare
		one := func() {
			asked := time.Now()
			response, err := relay.get(ctx)
			took := time.Since(asked)
			if err != nil || took > least+2*way {
				t.Errorf("%v after %s", err, took)
				return
			}
			if age := response.AgeMicros; age < 1000+way.Microseconds() || age > 1000+(took+relayReuse).Microseconds()+1 || response.ShardAgeMicros[0] != -1 || response.ShardAgeMicros[1] != age+1000 {
				t.Errorf("ages %d and %v after %s", age, response.ShardAgeMicros, took)
			}
		}
		// A first one does not wait.
		began := time.Now()
		one()
		if took := time.Since(began); took != way {
			t.Errorf("the first took %s", took)
		}
		var all sync.WaitGroup
		for range 460 {
			all.Go(func() {
				for range 4 {
					one()
					time.Sleep(env.Config.DistributionRenewalInterval - way)
				}
			})
			time.Sleep(time.Millisecond)
		}
		all.Wait()
		if most := int(time.Since(began)/least) + 2; relayed > most {
			t.Errorf("%d relays in %s", relayed, time.Since(began))
		}
		isCut.Store(true)
		time.Sleep(relayReuse)
		if _, err := relay.get(ctx); err == nil {
			t.Error("a relay that failed is taken as answered")
		}
		// The end of the node keeps nobody waiting.
		go env.Shutdown()
		synctest.Wait()
		if _, err := relay.get(ctx); err == nil {
			t.Error("relayed after the end")
		}
	})
}
