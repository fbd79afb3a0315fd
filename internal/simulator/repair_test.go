// A replica whose state differs from the leader's is detected by its range digests and repaired, on
// the configuration shard and on a data shard. The repair survives a restart.

package simulator

import (
	"context"
	"encoding/json"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/jx"

	"github.com/sumactrestle/sumactrestle/internal/api"
	"github.com/sumactrestle/sumactrestle/internal/controlplane"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/standin"
)

// follower returns a core node that does not lead a shard, or nil.
func follower(f *Fleet, shard ids.Shard) *Machine {
	for _, m := range f.Cores() {
		if !m.Node().Consensus.Replica(shard).IsServing() {
			return m
		}
	}
	return nil
}

func TestAntiEntropy_DivergedReplicaIsRepaired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := NewFleet(1, Small(), io.Discard)
		defer f.Close()
		if err := f.Boot(); err != nil {
			t.Fatal(err)
		}
		client := standin.NewAPIClient(f.Network.HostAt(f.clientHost(1)), f.Cores()[0].APIAddress())
		put := func(value string) {
			if _, err := client.PutKey(context.Background(), &api.Call{Name: "app/a", Value: jx.Raw(value)}); err != nil {
				t.Fatal(err)
			}
		}
		put(`"right"`)
		shard := ids.ShardOf("app/a")
		time.Sleep(time.Second)
		dataFollower := follower(f, shard)
		store := dataFollower.Node().Stores[shard]
		for name := range store.RangeDigests() {
			if name != "receipts" {
				if err := store.Repair(name, json.RawMessage(`[{"name":"app/forged","kind":"key","stamp":1}]`)); err != nil {
					t.Fatal(err)
				}
			}
		}
		configFollower := follower(f, ids.ConfigShard)
		routesGroup := ""
		for name := range configFollower.Node().ConfigState.Current().Groups {
			if strings.HasPrefix(name, controlplane.RoutesPrefix) {
				routesGroup = name
			}
		}
		if err := configFollower.Node().ConfigState.Repair("group/"+routesGroup, json.RawMessage(`{"digest":"x","stamp":1,"data":[]}`)); err != nil {
			t.Fatal(err)
		}
		isRepaired := func() bool {
			record, ok := dataFollower.Node().Stores[shard].Get("key", "app/a")
			_, isForged := dataFollower.Node().Stores[shard].Get("key", "app/forged")
			config, err := configFollower.Node().ConfigState.Current().Config()
			return ok && !isForged && string(record.Value) == `"right"` && err == nil && len(config.Routes) == 2
		}
		if isRepaired() {
			t.Fatal("the replicas were not corrupted")
		}
		if !f.WaitUntil(30*time.Second, isRepaired) {
			t.Fatal("the replicas were not repaired")
		}
		if dataFollower.Node().Env.Events.Counts()["PartMended"] == 0 {
			t.Fatal("the event PartMended was not logged")
		}
		dataFollower.Kill(true)
		f.startMachine(dataFollower)
		if !f.WaitUntil(10*time.Second, func() bool {
			record, ok := dataFollower.Node().Stores[shard].Get("key", "app/a")
			return ok && string(record.Value) == `"right"`
		}) {
			t.Fatal("the repair did not survive the restart")
		}
	})
}
