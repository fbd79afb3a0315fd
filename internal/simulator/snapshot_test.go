// A large snapshot reaches a member over a slow link. Neither the size of the snapshot nor the time
// to catch up grows with the number of changes. A lagging member serves no stale data.

package simulator

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/go-faster/jx"

	"github.com/sumactrestle/sumactrestle/internal/api"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
	"github.com/sumactrestle/sumactrestle/internal/standin"
)

// fillShard writes about that many megabytes of incompressible values into one shard, which it
// returns.
func (f *Fleet) fillShard(t *testing.T, megabytes int) ids.Shard {
	t.Helper()
	client := standin.NewAPIClient(f.Network.HostAt(f.clientHost(1)), f.Machine("proxy1").APIAddress())
	r := rand.New(rand.NewPCG(1, 2))
	const letters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789+-"
	for i := range megabytes * 64 {
		value := make([]byte, 16<<10)
		for j := range value {
			value[j] = letters[r.IntN(len(letters))]
		}
		if _, err := client.PutKey(f.ctx, &api.Call{Name: fmt.Sprint("app/", i), Value: jx.Raw(fmt.Sprintf("%q", value))}); err != nil {
			t.Fatal(err)
		}
	}
	return ids.ShardOf("app/0")
}

func TestSnapshot_LargeStateArrivesOverSlowLink(t *testing.T) {
	shape := singleProxyShape()
	shape.Settings["consensus.snapshot_entries"] = "50"
	inFleet(t, shape, func(t *testing.T, f *Fleet) {
		f.fillShard(t, 3)
		m := f.Machine("core2")
		m.Kill(true)
		f.Network.Disk(m.IP).Wipe()
		f.Network.LimitBandwidth(m.IP, 300<<10)
		start := time.Now()
		f.startMachine(m)
		if !f.WaitUntil(40*time.Second, f.isRepaired) {
			t.Fatal("a state of 3 MB did not arrive at 300 KB/s")
		}
		t.Logf("all replicas recovered after %s", time.Since(start))
	})
}

var (
	routes  = flag.Int("routes", 400, "number of routes in the configuration")
	changes = flag.Int("changes", 90, "number of change sets submitted")
)

// Submits changes to a large configuration while members are restarted, wiped and moved, and
// measures the size of the state and the time that a member with an empty disk takes to catch up.
// The full size is run by:
//
//	go test ./internal/simulator -run CatchUpDoesNotGrow -routes 5200 -changes 600 -v
func TestSnapshot_CatchUpDoesNotGrowWithChanges(t *testing.T) {
	shape := singleProxyShape()
	shape.Settings["consensus.snapshot_entries"] = "40"
	inFleet(t, shape, func(t *testing.T, f *Fleet) {
		version := ids.Version(0)
		submit := func(put []rpc.Route) {
			expected := version
			change := &rpc.ChangeSet{ID: fmt.Sprint("c", version), Version: version + 1, ExpectedVersion: &expected, Put: rpc.Configuration{Routes: put}}
			var err error
			if !f.WaitUntil(20*time.Second, func() bool {
				ctx, cancel := context.WithTimeout(f.ctx, 3*time.Second)
				defer cancel()
				_, err = f.Machine("proxy1").Node().Submit(ctx, change)
				return err == nil
			}) {
				t.Fatalf("change %d was not accepted: %v", version, err)
			}
			version++
		}
		route := func(n int) rpc.Route {
			return rpc.Route{Name: fmt.Sprint("route", n), Host: fmt.Sprintf("host%d.example", n%50), Path: fmt.Sprintf("/path%d/", n), DeadlineMillis: 800 + int64(version)%100, LatencyTargetMillis: 300, MaxAttempts: 2, Services: []rpc.WeightedService{{Service: "rates", Weight: 1}}, Source: []byte(fmt.Sprintf(`{"item":"route%d","version":%d}`, n, version))}
		}
		var initial []rpc.Route
		for n := range *routes {
			initial = append(initial, route(n))
		}
		submit(initial)
		var sizes []int
		var durations []time.Duration
		for n := range *changes {
			submit([]rpc.Route{route(n % *routes), route((n*7 + 1) % *routes)})
			m := f.Cores()[n%3]
			switch n % 30 {
			case 10:
				m.Kill(true)
				f.startMachine(m)
			case 29:
				m.Kill(true)
				f.Network.Disk(m.IP).Wipe()
				if n%60 == 29 {
					m.Move()
				}
				start := time.Now()
				f.startMachine(m)
				if !f.WaitUntil(20*time.Second, f.isRepaired) {
					t.Fatalf("the members did not catch up after %d changes", n+1)
				}
				state, _ := f.leader(ids.ConfigShard).Node().ConfigState.Snapshot()()
				sizes, durations = append(sizes, len(state)), append(durations, time.Since(start))
			}
		}
		t.Logf("%d routes: state sizes in bytes %v, times to catch up %v", *routes, sizes, durations)
		first, last := 0, len(sizes)-1
		if growth := sizes[last] - sizes[first]; growth > 400*(*changes) {
			t.Errorf("the state grew by %d bytes over %d changes", growth, *changes)
		}
		if durations[last] > maxRecoveryTime {
			t.Errorf("catching up took %s", durations[last])
		}
	})
}

// A member that was down while the others compacted their logs restarts and the leader is killed:
// only the member with the complete log may become the leader.
func TestReplica_LaggingMemberServesNothingStale(t *testing.T) {
	shape := singleProxyShape()
	shape.Settings["consensus.snapshot_entries"] = "20"
	shape.Settings["consensus.retained_entries"] = "5"
	inFleet(t, shape, func(t *testing.T, f *Fleet) {
		client := standin.NewAPIClient(f.Network.HostAt(f.clientHost(1)), f.Machine("proxy1").APIAddress())
		shard := ids.ShardOf("app/a")
		lagging := follower(f, shard)
		lagging.Kill(true)
		time.Sleep(2 * time.Second)
		for i := range 60 {
			f.WaitUntil(5*time.Second, func() bool {
				_, err := client.PutKey(f.ctx, &api.Call{Name: "app/a", Value: jx.Raw(fmt.Sprint(i))})
				return err == nil
			})
		}
		leader := f.leader(shard)
		leader.Kill(true)
		f.startMachine(lagging)
		if !f.WaitUntil(10*time.Second, func() bool {
			got, err := client.GetKey(f.ctx, api.GetKeyParams{Name: "app/a"})
			if err == nil && string(got.Value) != "59" {
				t.Fatalf("read the stale value %s instead of 59", got.Value)
			}
			return err == nil
		}) {
			t.Error("the shard has no serving leader")
		}
	})
}
