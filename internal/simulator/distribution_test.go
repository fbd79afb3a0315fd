// How late a proxy with a way to the control nodes may come to know an epoch, on each
// path by which it can: the bound is 1.25 pulses, the pause before a catch-up, and the
// ways there and back, whatever the listening tasks wait for.

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

const lateBound = 2 * time.Second

// submitted has a change set accepted, and tells its epoch.
func submitted(t *testing.T, f *Fleet, name string) ids.Epoch {
	t.Helper()
	operator := f.newOperator(4, f.Cores()[0])
	var epoch ids.Epoch
	if !f.WaitUntil(20*time.Second, func() bool {
		view, err := operator.Epoch(f.ctx)
		if err != nil {
			return false
		}
		receipt, err := operator.Submit(f.ctx, f.newChange(name, view.Epoch))
		if err == nil {
			epoch = ids.Epoch(receipt.Epoch)
		}
		return err == nil
	}) {
		t.Fatal("no change set was accepted")
	}
	return epoch
}

// hasBy tells whether a proxy has an epoch by then.
func hasBy(proxyNode *Machine, epoch ids.Epoch, by time.Time) bool {
	for proxyNode.Node().Distribution.Cache.Snapshot().Epoch < epoch {
		if time.Now().After(by) {
			return false
		}
		time.Sleep(connectivityInterval)
	}
	return true
}

// The listening tasks are all in their long pause when the way is back.
func TestDistribution_EpochUpdateDoesNotWaitForTheLongPause(t *testing.T) {
	shape := singleProxyShape()
	shape.Settings["distribution.retry_cooldown"], shape.Settings["membership.suspicion_timeout"] = "5m", "1m"
	inFleet(t, platformShape(shape), func(t *testing.T, f *Fleet) {
		proxyNode := f.Machine("proxy1")
		for i := range 5 {
			f.isolate([]*Machine{proxyNode})
			time.Sleep(10 * time.Second)
			epoch := submitted(t, f, fmt.Sprint("cool", i))
			f.Network.Heal()
			if !hasBy(proxyNode, epoch, time.Now().Add(lateBound)) {
				t.Errorf("round %d: the proxy does not have epoch %d %s after its ways are whole", i, epoch, lateBound)
			}
		}
	})
}

// The proxy holds all core nodes for down, and many others beside them.
func TestDistribution_EpochUpdateDoesNotWaitForMembershipToAgree(t *testing.T) {
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
				t.Fatal("the proxy still holds a core node for live")
			}
			epoch := submitted(t, f, fmt.Sprint("down", i))
			f.Network.Heal()
			healed := time.Now()
			if !hasBy(proxyNode, epoch, healed.Add(lateBound)) {
				t.Errorf("round %d: the proxy does not have epoch %d %s after its ways are whole", i, epoch, lateBound)
			}
			if !f.WaitUntil(time.Until(healed.Add(connectivityWindow)), func() bool { return len(proxyNode.Node().Members.CoreMembers()) == 3 }) {
				t.Errorf("round %d: %s after its ways are whole the proxy knows %d of 3 core nodes", i, connectivityWindow, len(proxyNode.Node().Members.CoreMembers()))
			}
		}
	})
}

// stagedCore is a control node of which a test decides what it answers.
type stagedCore struct {
	*rpc.Transport
	address string
	epoch   atomic.Uint64 // what its pulses tell
	gives   atomic.Uint64 // what it gives to those who listen
	listens atomic.Int64
	stuck   atomic.Int64 // how many of the listener requests so far are never answered
	hangs   atomic.Bool  // whether its fetches hang
}

func stagedNode(t *testing.T, w *Network, name, zone, address string, seeds string, isCore bool, settings map[string]string) (*environment.Environment, *rpc.Transport, *membership.Memberlist) {
	set := map[string]string{"name": name, "zone": zone, "peer.address": address, "seeds": seeds, "distribution.renewal_interval": "1s", "distribution.offline_grace": "1h"}
	set["api.address"], set["proxy.address"] = hostOf(address)+":7001", hostOf(address)+":7002"
	for key, value := range settings {
		set[key] = value
	}
	p, err := config.Load("", set)
	if err != nil {
		t.Fatal(err)
	}
	r := environment.New(t.Context(), p, eventlog.New(io.Discard, "error", name), w.HostAt(hostOf(address)))
	line := rpc.New(r)
	who := membership.New(r, line, rpc.Member{Name: ids.NodeName(name), ID: ids.MemberID("b" + name), RPCAddress: address, Zone: zone, Core: isCore, HoldsConfiguration: isCore})
	return r, line, who
}

func groupsAt(epoch ids.Epoch) (map[string]rpc.Group, map[string]rpc.GroupVersion) {
	raw, _ := json.Marshal([]rpc.Service{{Name: fmt.Sprint("s", epoch)}})
	group := rpc.Group{Digest: controlplane.Digest(raw), Index: ids.Index(epoch), Data: raw}
	return map[string]rpc.Group{controlplane.ServicesGroup: group}, map[string]rpc.GroupVersion{controlplane.ServicesGroup: {Digest: group.Digest, Index: group.Index}}
}

// handle answers a proxy by what the test says.
func (s *stagedCore) handle(r *environment.Environment) {
	s.epoch.Store(1)
	s.gives.Store(1)
	s.Handle("flow.pulse", func(*rpc.Request) (any, error) {
		return &rpc.FreshnessResponse{Epoch: ids.Epoch(s.epoch.Load()), ShardAgeMicros: make([]int64, ids.ShardCount)}, nil
	})
	s.Handle("flow.listen", func(c *rpc.Request) (any, error) {
		var ask rpc.ListenRequest
		if err := c.Decode(&ask); err != nil {
			return nil, err
		}
		shard := s.listens.Add(1)
		for ids.Epoch(s.gives.Load()) <= ask.Epoch || shard <= s.stuck.Load() {
			if c.Err() != nil || !r.Sleep(5*time.Millisecond) {
				return &rpc.ListenResponse{Epoch: ask.Epoch}, nil
			}
		}
		epoch := ids.Epoch(s.gives.Load())
		_, held := groupsAt(epoch)
		return &rpc.ListenResponse{Epoch: epoch, Changed: held}, nil
	})
	s.Handle("flow.fetch", func(c *rpc.Request) (any, error) {
		if s.hangs.Load() {
			<-c.Done()
			return nil, c.Err()
		}
		epoch := ids.Epoch(s.gives.Load())
		groups, held := groupsAt(epoch)
		return &rpc.FetchResponse{Epoch: epoch, Manifest: held, Groups: groups}, nil
	})
}

// staged is a proxy among control nodes of which a test decides what they answer;
// the first is in the proxy's zone.
func staged(t *testing.T, n int, settings map[string]string, play func(t *testing.T, client *distribution.Client, cores []*stagedCore)) {
	synctest.Test(t, func(t *testing.T) {
		w := NewNetwork(1)
		var realms []*environment.Environment
		var cores []*stagedCore
		open := func(r *environment.Environment, line *rpc.Transport, who *membership.Memberlist) {
			realms = append(realms, r)
			if err := line.Start(); err != nil {
				t.Fatal(err)
			}
			if err := who.Start(); err != nil {
				t.Fatal(err)
			}
		}
		seeds := ""
		for i := range n {
			seeds += fmt.Sprintf(",10.%d.0.1:7000", i+1)
		}
		for i := range n {
			zone, address := fmt.Sprint("zone", i+1), fmt.Sprintf("10.%d.0.1:7000", i+1)
			w.SetZone(hostOf(address), zone)
			r, line, who := stagedNode(t, w, fmt.Sprint("core", i+1), zone, address, seeds[1:], true, settings)
			core := &stagedCore{Transport: line, address: address}
			core.handle(r)
			cores = append(cores, core)
			open(r, line, who)
		}
		w.SetZone("10.1.0.9", "zone1")
		r, line, who := stagedNode(t, w, "proxy1", "zone1", "10.1.0.9:7000", seeds[1:], false, settings)
		open(r, line, who)
		client := distribution.NewClient(r, line, who)
		time.Sleep(2 * time.Second)
		client.Start()
		time.Sleep(3 * time.Second)
		if snapshot := client.Cache.Snapshot(); snapshot == nil || snapshot.Epoch != 1 || len(who.CoreMembers()) != n {
			t.Fatalf("the proxy has %+v and knows %d core nodes", snapshot, len(who.CoreMembers()))
		}
		play(t, client, cores)
		for _, r := range realms {
			r.Shutdown()
		}
		time.Sleep(time.Minute)
	})
}

// has waits for an epoch, in virtual time.
func has(client *distribution.Client, epoch ids.Epoch, limit time.Duration) bool {
	over, end := context.WithTimeout(context.Background(), limit)
	defer end()
	for client.Cache.Snapshot().Epoch < epoch {
		if sleep(over, connectivityInterval) != nil {
			return false
		}
	}
	return true
}

// All held requests hang, and the first node that tells of the newer epoch doesn't
// give it: the next one that is asked does.
func TestDistribution_NodeThatAnnouncesAnEpochWithoutServingItIsBypassed(t *testing.T) {
	for _, servers := range []string{"0", "2"} {
		staged(t, 3, map[string]string{"distribution.max_servers": servers}, func(t *testing.T, client *distribution.Client, cores []*stagedCore) {
			for i, core := range cores {
				core.stuck.Store(core.listens.Load())
				core.epoch.Store(2)
				if i > 0 {
					core.gives.Store(2)
				}
			}
			if !has(client, 2, 5*time.Second) {
				t.Errorf("distribution.max_servers=%s: the proxy is at epoch %d after 5 s", servers, client.Cache.Snapshot().Epoch)
			}
		})
	}
}

// A fetch that hangs at one control node holds up no other's.
func TestDistribution_HangingFetchDelaysNoOther(t *testing.T) {
	staged(t, 2, nil, func(t *testing.T, client *distribution.Client, cores []*stagedCore) {
		cores[0].hangs.Store(true)
		cores[0].gives.Store(2)
		time.Sleep(200 * time.Millisecond)
		for _, core := range cores {
			core.epoch.Store(2)
			core.gives.Store(2)
		}
		if !has(client, 2, time.Second) {
			t.Errorf("the proxy is at epoch %d a second after a control node that can be fetched from gave word of epoch 2", client.Cache.Snapshot().Epoch)
		}
	})
}
