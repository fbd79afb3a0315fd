// Bounds on the time until a proxy that can reach the control nodes applies a new epoch. The time is
// at most 1.25 renewal intervals, the delay before a catch-up fetch and the round trips, regardless
// of the state of the listen tasks.

package simulator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/config"
	"github.com/sumactrestle/sumactrestle/internal/controlplane"
	"github.com/sumactrestle/sumactrestle/internal/distribution"
	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/membership"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

const maxEpochDelay = 2 * time.Second

// submitChange submits a change set until it is accepted, and returns its epoch.
func submitChange(t *testing.T, f *Fleet, name string) ids.Epoch {
	t.Helper()
	operator := f.newOperator(4, f.Cores()[0])
	var epoch ids.Epoch
	if !f.WaitUntil(20*time.Second, func() bool {
		view, err := operator.Epoch(f.ctx)
		if err != nil {
			return false
		}
		result, err := operator.Submit(f.ctx, f.newChange(name, view.Epoch))
		if err == nil {
			epoch = ids.Epoch(result.Epoch)
		}
		return err == nil
	}) {
		t.Fatal("no change set was accepted")
	}
	return epoch
}

// reachesEpochBy waits for a proxy to apply an epoch, and reports whether it did before the deadline.
func reachesEpochBy(proxyNode *Machine, epoch ids.Epoch, deadline time.Time) bool {
	for proxyNode.Node().Distribution.Cache.Snapshot().Epoch < epoch {
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(connectivityInterval)
	}
	return true
}

// All listen tasks are waiting for distribution.retry_cooldown when the partition heals.
func TestDistribution_EpochUpdateDoesNotWaitForRetryCooldown(t *testing.T) {
	shape := singleProxyShape()
	shape.Settings["distribution.retry_cooldown"], shape.Settings["membership.suspicion_timeout"] = "5m", "1m"
	inFleet(t, platformShape(shape), func(t *testing.T, f *Fleet) {
		proxyNode := f.Machine("proxy1")
		for i := range 5 {
			f.isolate([]*Machine{proxyNode})
			time.Sleep(10 * time.Second)
			epoch := submitChange(t, f, fmt.Sprint("cool", i))
			f.Network.Heal()
			if !reachesEpochBy(proxyNode, epoch, time.Now().Add(maxEpochDelay)) {
				t.Errorf("round %d: the proxy did not apply epoch %d within %s after the partition healed", i, epoch, maxEpochDelay)
			}
		}
	})
}

// The proxy considers all core nodes and many other nodes down when the partition heals.
func TestDistribution_EpochUpdateDoesNotWaitForMembershipToConverge(t *testing.T) {
	shape := singleProxyShape()
	shape.Proxies = 14
	inFleet(t, platformShape(shape), func(t *testing.T, f *Fleet) {
		proxyNode := f.Machine("proxy1")
		for _, other := range f.Proxies() {
			if other != proxyNode {
				other.Kill(true)
			}
		}
		for i := range 12 {
			f.isolate([]*Machine{proxyNode})
			if !f.WaitUntil(30*time.Second, func() bool { return len(proxyNode.Node().Members.CoreMembers()) == 0 }) {
				t.Fatal("the proxy still considers a core node alive")
			}
			epoch := submitChange(t, f, fmt.Sprint("down", i))
			f.Network.Heal()
			healed := time.Now()
			if !reachesEpochBy(proxyNode, epoch, healed.Add(maxEpochDelay)) {
				t.Errorf("round %d: the proxy did not apply epoch %d within %s after the partition healed", i, epoch, maxEpochDelay)
			}
			if !f.WaitUntil(time.Until(healed.Add(connectivityWindow)), func() bool { return len(proxyNode.Node().Members.CoreMembers()) == 3 }) {
				t.Errorf("round %d: %s after the partition healed, the proxy knows %d of 3 core nodes", i, connectivityWindow, len(proxyNode.Node().Members.CoreMembers()))
			}
		}
	})
}

// fakeCore is a control node whose responses are set by the test.
type fakeCore struct {
	*rpc.Transport
	address           string
	confirmedEpoch    atomic.Uint64 // epoch in its freshness responses
	servedEpoch       atomic.Uint64 // epoch in its listen and fetch responses
	listenCount       atomic.Int64  // listen requests received
	unansweredListens atomic.Int64  // listen requests up to this number hang
	hangsFetches      atomic.Bool   // whether fetch requests hang
}

func newTestNode(t *testing.T, network *Network, name, zone, address string, seeds string, isCore bool, settings map[string]string) (*environment.Environment, *rpc.Transport, *membership.Memberlist) {
	values := map[string]string{"name": name, "zone": zone, "peer.address": address, "seeds": seeds, "distribution.renewal_interval": "1s", "distribution.offline_grace": "1h"}
	values["api.address"], values["proxy.address"] = hostOf(address)+":7001", hostOf(address)+":7002"
	for key, value := range settings {
		values[key] = value
	}
	cfg, err := config.Load("", values)
	if err != nil {
		t.Fatal(err)
	}
	env := environment.New(t.Context(), cfg, eventlog.New(io.Discard, "error", name), network.HostAt(hostOf(address)))
	transport := rpc.New(env)
	members := membership.New(env, transport, rpc.Member{Name: ids.NodeName(name), ID: ids.MemberID("b" + name), RPCAddress: address, Zone: zone, Core: isCore, HoldsConfiguration: isCore})
	return env, transport, members
}

func groupsAt(epoch ids.Epoch) (map[string]rpc.Group, map[string]rpc.GroupVersion) {
	raw, _ := json.Marshal([]rpc.Service{{Name: fmt.Sprint("s", epoch)}})
	group := rpc.Group{Digest: controlplane.Digest(raw), Index: ids.Index(epoch), Data: raw}
	return map[string]rpc.Group{controlplane.ServicesGroup: group}, map[string]rpc.GroupVersion{controlplane.ServicesGroup: {Digest: group.Digest, Index: group.Index}}
}

// registerHandlers registers the handlers of a proxy's distribution requests.
func (s *fakeCore) registerHandlers(env *environment.Environment) {
	s.confirmedEpoch.Store(1)
	s.servedEpoch.Store(1)
	s.Handle("flow.pulse", func(*rpc.Request) (any, error) {
		return &rpc.FreshnessResponse{Epoch: ids.Epoch(s.confirmedEpoch.Load()), ShardAgeMicros: make([]int64, ids.ShardCount)}, nil
	})
	s.Handle("flow.listen", func(c *rpc.Request) (any, error) {
		var request rpc.ListenRequest
		if err := c.Decode(&request); err != nil {
			return nil, err
		}
		number := s.listenCount.Add(1)
		for ids.Epoch(s.servedEpoch.Load()) <= request.Epoch || number <= s.unansweredListens.Load() {
			if c.Err() != nil || !env.Sleep(5*time.Millisecond) {
				return &rpc.ListenResponse{Epoch: request.Epoch}, nil
			}
		}
		epoch := ids.Epoch(s.servedEpoch.Load())
		_, versions := groupsAt(epoch)
		return &rpc.ListenResponse{Epoch: epoch, Changed: versions}, nil
	})
	s.Handle("flow.fetch", func(c *rpc.Request) (any, error) {
		if s.hangsFetches.Load() {
			<-c.Done()
			return nil, c.Err()
		}
		epoch := ids.Epoch(s.servedEpoch.Load())
		groups, versions := groupsAt(epoch)
		return &rpc.FetchResponse{Epoch: epoch, Manifest: versions, Groups: groups}, nil
	})
}

// withFakeCores runs a test with one proxy and n fake control nodes. The first of them is in the
// proxy's zone.
func withFakeCores(t *testing.T, n int, settings map[string]string, test func(t *testing.T, client *distribution.Client, cores []*fakeCore)) {
	synctest.Test(t, func(t *testing.T) {
		network := NewNetwork(1)
		var environments []*environment.Environment
		var cores []*fakeCore
		start := func(env *environment.Environment, transport *rpc.Transport, members *membership.Memberlist) {
			environments = append(environments, env)
			if err := transport.Start(); err != nil {
				t.Fatal(err)
			}
			if err := members.Start(); err != nil {
				t.Fatal(err)
			}
		}
		seeds := ""
		for i := range n {
			seeds += fmt.Sprintf(",10.%d.0.1:7000", i+1)
		}
		for i := range n {
			zone, address := fmt.Sprint("zone", i+1), fmt.Sprintf("10.%d.0.1:7000", i+1)
			network.SetZone(hostOf(address), zone)
			env, transport, members := newTestNode(t, network, fmt.Sprint("core", i+1), zone, address, seeds[1:], true, settings)
			core := &fakeCore{Transport: transport, address: address}
			core.registerHandlers(env)
			cores = append(cores, core)
			start(env, transport, members)
		}
		network.SetZone("10.1.0.9", "zone1")
		env, transport, members := newTestNode(t, network, "proxy1", "zone1", "10.1.0.9:7000", seeds[1:], false, settings)
		start(env, transport, members)
		client := distribution.NewClient(env, transport, members)
		time.Sleep(2 * time.Second)
		client.Start()
		time.Sleep(3 * time.Second)
		if snapshot := client.Cache.Snapshot(); snapshot == nil || snapshot.Epoch != 1 || len(members.CoreMembers()) != n {
			t.Fatalf("the proxy has snapshot %+v and knows %d core nodes", snapshot, len(members.CoreMembers()))
		}
		test(t, client, cores)
		for _, env := range environments {
			env.Shutdown()
		}
		time.Sleep(time.Minute)
	})
}

// reachesEpochWithin waits for a client to apply an epoch, and reports whether it did within the
// limit.
func reachesEpochWithin(client *distribution.Client, epoch ids.Epoch, limit time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	for client.Cache.Snapshot().Epoch < epoch {
		if sleep(ctx, connectivityInterval) != nil {
			return false
		}
	}
	return true
}

// All pending listen requests hang, and the first node that confirms the newer epoch does not serve
// it. The proxy must fetch it from the next node.
func TestDistribution_NodeThatAnnouncesAnEpochWithoutServingItIsBypassed(t *testing.T) {
	for _, servers := range []string{"0", "2"} {
		withFakeCores(t, 3, map[string]string{"distribution.max_servers": servers}, func(t *testing.T, client *distribution.Client, cores []*fakeCore) {
			for i, core := range cores {
				core.unansweredListens.Store(core.listenCount.Load())
				core.confirmedEpoch.Store(2)
				if i > 0 {
					core.servedEpoch.Store(2)
				}
			}
			if !reachesEpochWithin(client, 2, 5*time.Second) {
				t.Errorf("distribution.max_servers=%s: the proxy is at epoch %d after 5 s", servers, client.Cache.Snapshot().Epoch)
			}
		})
	}
}

// A fetch that hangs at one control node must not delay fetches from the others.
func TestDistribution_HangingFetchDoesNotDelayOthers(t *testing.T) {
	withFakeCores(t, 2, nil, func(t *testing.T, client *distribution.Client, cores []*fakeCore) {
		cores[0].hangsFetches.Store(true)
		cores[0].servedEpoch.Store(2)
		time.Sleep(200 * time.Millisecond)
		for _, core := range cores {
			core.confirmedEpoch.Store(2)
			core.servedEpoch.Store(2)
		}
		if !reachesEpochWithin(client, 2, time.Second) {
			t.Errorf("the proxy is at epoch %d one second after a responsive control node announced epoch 2", client.Cache.Snapshot().Epoch)
		}
	})
}
