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

// fakeCore starts a control node that answers fetches by a function of how often it was
// asked. It returns when it was.
func fakeCore(t *testing.T, network *fakeNetwork, ctx context.Context, name ids.NodeName, address string, others func() []rpc.Member, fetch func(n int) any) *[]time.Time {
	env := network.environment(t, ctx, string(name), address)
	transport := rpc.New(env)
	asked := &[]time.Time{}
	transport.Handle("kin.sync", func(c *rpc.Request) (any, error) { return &rpc.MembershipSync{Members: others()}, nil })
	transport.Handle("flow.fetch", func(c *rpc.Request) (any, error) {
		*asked = append(*asked, time.Now())
		return fetch(len(*asked)), nil
	})
	transport.Handle("flow.listen", func(c *rpc.Request) (any, error) { <-c.Done(); return nil, c.Err() })
	if err := transport.Start(); err != nil {
		t.Fatal(err)
	}
	return asked
}

func TestInitialFetch_RefusedAsksTheNextAndWaitsLongerEachTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		epoch := newEpochs(t, 1)[0]
		encoded, _ := new(groupEncoder).epoch(epoch, false)
		full := &rpc.EncodedResponse{Body: encoded}
		for _, last := range []bool{true, false} {
			network := newFakeNetwork()
			ctx, cancel := context.WithCancel(t.Context())
			var cores []rpc.Member
			for i := range 3 {
				cores = append(cores, rpc.Member{Name: ids.NodeName(fmt.Sprint("core", i)), ID: "b", RPCAddress: fmt.Sprintf("10.0.0.%d:1", i+1), Zone: "a", Core: true, HoldsConfiguration: true, Incarnation: 1, State: membership.StateAlive})
			}
			var asked [3]*[]time.Time
			env := network.environment(t, ctx, "proxy", "10.0.0.9:7")
			transport := rpc.New(env)
			members := membership.New(env, transport, rpc.Member{Name: "proxy", ID: "p", RPCAddress: "10.0.0.9:7", Zone: "a"})
			order := map[ids.NodeName]int{}
			for i, m := range cores {
				asked[i] = fakeCore(t, network, ctx, m.Name, m.RPCAddress, func() []rpc.Member { return cores }, func(n int) any {
					// The last in the list gives, or all give only when asked the sixth time.
					if last && order[m.Name] == 2 || n > 5 {
						return full
					}
					return &rpc.FetchResponse{RetryAfterMillis: 70}
				})
			}
			if !members.PushPull(cores[0].RPCAddress) {
				t.Fatal("no members")
			}
			for i, m := range members.ConfigReplicas() {
				order[m.Name] = i
			}
			c := NewClient(env, transport, members)
			began := time.Now()
			c.Start()
			for c.Cache.Snapshot() == nil && time.Since(began) < time.Minute {
				time.Sleep(10 * time.Millisecond)
			}
			took := time.Since(began)
			if last && took > 20*time.Millisecond {
				t.Errorf("it took %s though the third would have given at once", took)
			}
			if !last {
				times := *asked[0]
				if len(times) < 5 {
					t.Fatal("asked", len(times))
				}
				first, fourth := times[1].Sub(times[0]), times[4].Sub(times[3])
				if fourth < 2*first || took > 10*time.Second {
					t.Errorf("the first pause was %s, the fourth %s; it took %s", first, fourth, took)
				}
			}
			cancel()
			env.Shutdown()
			synctest.Wait()
		}
	})
}
