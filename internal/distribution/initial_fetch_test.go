package distribution

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/membership"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// fakeCore starts a control node that responds to the nth fetch with fetch(n). The returned
// slice collects the times of the fetch requests.
func fakeCore(t *testing.T, network *fakeNetwork, ctx context.Context, name ids.NodeName, address string, members func() []rpc.Member, fetch func(n int) any) *[]time.Time {
	env := network.environment(t, ctx, string(name), address)
	transport := rpc.New(env)
	requestTimes := &[]time.Time{}
	transport.Handle("kin.sync", func(c *rpc.Request) (any, error) { return &rpc.MembershipSync{Members: members()}, nil })
	transport.Handle("flow.fetch", func(c *rpc.Request) (any, error) {
		*requestTimes = append(*requestTimes, time.Now())
		return fetch(len(*requestTimes)), nil
	})
	transport.Handle("flow.listen", func(c *rpc.Request) (any, error) { <-c.Done(); return nil, c.Err() })
	if err := transport.Start(); err != nil {
		t.Fatal(err)
	}
	return requestTimes
}

func TestInitialFetch_TriesNextSourceAndBacksOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		epoch := newEpochs(t, 1)[0]
		encoded, _ := new(groupEncoder).encodeEpoch(epoch, false)
		full := &rpc.EncodedResponse{Body: encoded}
		for _, lastServes := range []bool{true, false} {
			network := newFakeNetwork()
			ctx, cancel := context.WithCancel(t.Context())
			var cores []rpc.Member
			for i := range 3 {
				cores = append(cores, rpc.Member{Name: ids.NodeName(fmt.Sprint("core", i)), ID: "b", RPCAddress: fmt.Sprintf("10.0.0.%d:1", i+1), Zone: "a", Core: true, HoldsConfiguration: true, Incarnation: 1, State: membership.StateAlive})
			}
			var requestTimes [3]*[]time.Time
			env := network.environment(t, ctx, "proxy", "10.0.0.9:7")
			transport := rpc.New(env)
			members := membership.New(env, transport, rpc.Member{Name: "proxy", ID: "p", RPCAddress: "10.0.0.9:7", Zone: "a"})
			order := map[ids.NodeName]int{}
			for i, m := range cores {
				requestTimes[i] = fakeCore(t, network, ctx, m.Name, m.RPCAddress, func() []rpc.Member { return cores }, func(n int) any {
					// Either the last node in list order serves at once, or each serves from its
					// sixth request on.
					if lastServes && order[m.Name] == 2 || n > 5 {
						return full
					}
					return &rpc.FetchResponse{RetryAfterMillis: 70}
				})
			}
			if !members.PushPull(cores[0].RPCAddress) {
				t.Fatal("push-pull failed")
			}
			for i, m := range members.ConfigReplicas() {
				order[m.Name] = i
			}
			c := NewClient(env, transport, members)
			start := time.Now()
			c.Start()
			for c.Cache.Snapshot() == nil && time.Since(start) < time.Minute {
				time.Sleep(10 * time.Millisecond)
			}
			elapsed := time.Since(start)
			if lastServes && elapsed > 20*time.Millisecond {
				t.Errorf("initial fetch took %s although the third control node serves at once", elapsed)
			}
			if !lastServes {
				times := *requestTimes[0]
				if len(times) < 5 {
					t.Fatal("want at least 5 fetch requests, got", len(times))
				}
				firstPause, fourthPause := times[1].Sub(times[0]), times[4].Sub(times[3])
				if fourthPause < 2*firstPause || elapsed > 10*time.Second {
					t.Errorf("first pause %s, fourth pause %s, initial fetch took %s", firstPause, fourthPause, elapsed)
				}
			}
			cancel()
			env.Shutdown()
			synctest.Wait()
		}
	})
}
