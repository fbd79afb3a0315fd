// A proxy that listens to only a few control nodes must receive every change, even if the core
// nodes nearest to it don't hold the configuration.

package simulator

import (
	"fmt"
	"testing"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/standin"
)

func TestDistribution_ProxyNearNodesWithoutConfigurationReceivesChanges(t *testing.T) {
	shape := singleProxyShape()
	shape.Settings["distribution.max_servers"] = "2"
	shape.Settings["distribution.offline_grace"] = "1h"
	inFleet(t, shape, func(t *testing.T, f *Fleet) {
		for i := range 12 {
			f.startMachine(f.Add(fmt.Sprint("spare", i), i%3, true, false))
		}
		time.Sleep(10 * time.Second)
		var proxies []*Machine
		for i := range 6 {
			proxies = append(proxies, f.Add(fmt.Sprint("late", i), i%3, false, true))
			f.startMachine(proxies[i])
		}
		oldestEpoch := func() ids.Epoch {
			oldest := ids.Epoch(1 << 40)
			for _, proxyNode := range proxies {
				if proxyNode.Node() == nil || proxyNode.Node().Distribution.Cache.Snapshot() == nil {
					return 0
				}
				oldest = min(oldest, proxyNode.Node().Distribution.Cache.Snapshot().Epoch)
			}
			return oldest
		}
		if !f.WaitUntil(5*time.Second, func() bool { return oldestEpoch() > 0 }) {
			t.Fatal("a proxy received no configuration")
		}
		client := standin.NewAPIClient(f.Network.HostAt(f.clientHost(1)), f.Machine("proxy1").APIAddress())
		for i := range 4 {
			view, err := client.Epoch(f.ctx)
			if err != nil {
				t.Fatal(err)
			}
			change := f.newChangeSet(f.Rand, fmt.Sprint("change", i), view)
			result, err := client.Submit(f.ctx, change)
			if err != nil {
				continue
			}
			if !f.WaitUntil(2*time.Second, func() bool { return oldestEpoch() >= ids.Epoch(result.Epoch) }) {
				t.Fatalf("change %d: a proxy is at epoch %d, want at least %d", i, oldestEpoch(), result.Epoch)
			}
		}
	})
}
