// A large state reaches a member that lacks it, over a slow link, through takeovers
// and restarts on the way; and a member behind leads with nothing old.

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

// fillShard writes about so many megabytes, which can't be compressed, into one shard.
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

func TestSnapshot_LargeStateOverSlowLink(t *testing.T) {
	shape := one()
	shape.Settings["consensus.snapshot_entries"] = "50"
	inFleet(t, shape, func(t *testing.T, f *Fleet) {
		f.fillShard(t, 3)
		m := f.Machine("core2")
		m.Kill(true)
		f.Network.Disk(m.IP).Wipe()
		f.Network.LimitBandwidth(m.IP, 300<<10)
		began := time.Now()
		f.startMachine(m)
		if !f.WaitUntil(40*time.Second, f.isRepaired) {
			t.Fatal("a state of 3 MB does not arrive at 300 KB/s")
		}
		t.Logf("all replicas recovered after %s", time.Since(began))
	})
}

var (
	routes  = flag.Int("routes", 400, "routes of the configuration that members catch up with")
	changes = flag.Int("changes", 90, "changes made meanwhile")
)

// TestSnapshot_CatchingUpDoesNotGrowWithChanges makes changes over a large configuration
// while members are restarted, wiped and moved, and measures how large the state is and
// how long a member takes that lost its disk. The whole size by command:
//
//	go test ./internal/simulator -run CatchingUp -routes 5200 -changes 600 -v
func TestSnapshot_CatchingUpDoesNotGrowWithChanges(t *testing.T) {
	shape := one()
	shape.Settings["consensus.snapshot_entries"] = "40"
	inFleet(t, shape, func(t *testing.T, f *Fleet) {
		version := ids.Version(0)
		submit := func(put []rpc.Route) {
			over := version
			change := &rpc.ChangeSet{ID: fmt.Sprint("c", version), Version: version + 1, ExpectedVersion: &over, Put: rpc.Configuration{Routes: put}}
			var err error
			if !f.WaitUntil(20*time.Second, func() bool {
				ctx, end := context.WithTimeout(f.ctx, 3*time.Second)
				defer end()
				_, err = f.Machine("proxy1").Node().Submit(ctx, change)
				return err == nil
			}) {
				t.Fatalf("change %d is not taken: %v", version, err)
			}
			version++
		}
		route := func(n int) rpc.Route {
			return rpc.Route{Name: fmt.Sprint("route", n), Host: fmt.Sprintf("host%d.example", n%50), Path: fmt.Sprintf("/path%d/", n), DeadlineMillis: 800 + int64(version)%100, LatencyTargetMillis: 300, MaxAttempts: 2, Services: []rpc.WeightedService{{Service: "rates", Weight: 1}}, Source: []byte(fmt.Sprintf(`{"item":"route%d","version":%d}`, n, version))}
		}
		var all []rpc.Route
		for n := range *routes {
			all = append(all, route(n))
		}
		submit(all)
		var sizes []int
		var times []time.Duration
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
				began := time.Now()
				f.startMachine(m)
				if !f.WaitUntil(20*time.Second, f.isRepaired) {
					t.Fatalf("not recovered after %d changes", n+1)
				}
				state, _ := f.leader(ids.ConfigShard).Node().ConfigState.Snapshot()()
				sizes, times = append(sizes, len(state)), append(times, time.Since(began))
			}
		}
		t.Logf("%d routes: bytes of state %v, time to catch up %v", *routes, sizes, times)
		first, last := 0, len(sizes)-1
		if grown := sizes[last] - sizes[first]; grown > 400*(*changes) {
			t.Errorf("the state grew by %d bytes over %d changes", grown, *changes)
		}
		if times[last] > maxRecoveryTime {
			t.Errorf("catching up took %s", times[last])
		}
	})
}

// TestReplica_LaggingMemberServesNothingStale: a member that was away while the others
// compacted their logs campaigns; whoever has the rest must lead.
func TestReplica_LaggingMemberServesNothingStale(t *testing.T) {
	shape := one()
	shape.Settings["consensus.snapshot_entries"] = "20"
	shape.Settings["consensus.retained_entries"] = "5"
	inFleet(t, shape, func(t *testing.T, f *Fleet) {
		client := standin.NewAPIClient(f.Network.HostAt(f.clientHost(1)), f.Machine("proxy1").APIAddress())
		shard := ids.ShardOf("app/a")
		behind := follower(f, shard)
		behind.Kill(true)
		time.Sleep(2 * time.Second)
		for i := range 60 {
			f.WaitUntil(5*time.Second, func() bool {
				_, err := client.PutKey(f.ctx, &api.Call{Name: "app/a", Value: jx.Raw(fmt.Sprint(i))})
				return err == nil
			})
		}
		leader := f.leader(shard)
		leader.Kill(true)
		f.startMachine(behind)
		if !f.WaitUntil(10*time.Second, func() bool {
			got, err := client.GetKey(f.ctx, api.GetKeyParams{Name: "app/a"})
			if err == nil && string(got.Value) != "59" {
				t.Fatalf("read %s of 59", got.Value)
			}
			return err == nil
		}) {
			t.Error("nobody serves the shard")
		}
	})
}
