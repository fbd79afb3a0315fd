// A replica that differs is found by its digests and repaired, on the configuration
// shard and on a data shard, and a restart does not bring the fault back.

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

// follower is a core node that does not lead a shard.
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
		m := follower(f, shard)
		store := m.Node().Stores[shard]
		for name := range store.RangeDigests() {
			if name != "receipts" {
				if err := store.Repair(name, json.RawMessage(`[{"name":"app/forged","kind":"key","stamp":1}]`)); err != nil {
					t.Fatal(err)
				}
			}
		}
		c := follower(f, ids.ConfigShard)
		routes := ""
		for name := range c.Node().ConfigState.Current().Groups {
			if strings.HasPrefix(name, controlplane.RoutesPrefix) {
				routes = name
			}
		}
		if err := c.Node().ConfigState.Repair("group/"+routes, json.RawMessage(`{"digest":"x","stamp":1,"data":[]}`)); err != nil {
			t.Fatal(err)
		}
		isRepaired := func() bool {
			record, ok := m.Node().Stores[shard].Get("key", "app/a")
			_, isForged := m.Node().Stores[shard].Get("key", "app/forged")
			config, err := c.Node().ConfigState.Current().Config()
			return ok && !isForged && string(record.Value) == `"right"` && err == nil && len(config.Routes) == 2
		}
		if isRepaired() {
			t.Fatal("nothing was spoilt")
		}
		if !f.WaitUntil(30*time.Second, isRepaired) {
			t.Fatal("the replicas are not repaired")
		}
		if m.Node().Env.Events.Counts()["PartMended"] == 0 {
			t.Fatal("nobody was told")
		}
		m.Kill(true)
		f.startMachine(m)
		if !f.WaitUntil(10*time.Second, func() bool {
			record, ok := m.Node().Stores[shard].Get("key", "app/a")
			return ok && string(record.Value) == `"right"`
		}) {
			t.Fatal("the restart brought the fault back")
		}
	})
}
