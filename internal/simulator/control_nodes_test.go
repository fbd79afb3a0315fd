// A proxy that listens to a few control nodes only must hear of each change all the
// same, also where the core nodes nearest to it don't hold the configuration.

package simulator

import (
	"fmt"
	"testing"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/standin"
)

func TestDistribution_ProxyNearNodesWithoutConfigurationHearsOfChanges(t *testing.T) {
	shape := one()
	shape.Settings["distribution.max_servers"] = "2"
	shape.Settings["distribution.offline_grace"] = "1h"
	inFleet(t, shape, func(t *testing.T, f *Fleet) {
		for i := range 12 {
			f.startMachine(f.Add(fmt.Sprint("spare", i), i%3, true, false))
		}
		time.Sleep(10 * time.Second)
		var late []*Machine
		for i := range 6 {
			late = append(late, f.Add(fmt.Sprint("late", i), i%3, false, true))
			f.startMachine(late[i])
		}
		snapshot := func() ids.Epoch {
			least := ids.Epoch(1 << 40)
			for _, proxyNode := range late {
				if proxyNode.Node() == nil || proxyNode.Node().Distribution.Cache.Snapshot() == nil {
					return 0
				}
				least = min(least, proxyNode.Node().Distribution.Cache.Snapshot().Epoch)
			}
			return least
		}
		if !f.WaitUntil(5*time.Second, func() bool { return snapshot() > 0 }) {
			t.Fatal("a proxy got no plan")
		}
		client := standin.NewAPIClient(f.Network.HostAt(f.clientHost(1)), f.Machine("proxy1").APIAddress())
		for i := range 4 {
			view, err := client.Epoch(f.ctx)
			if err != nil {
				t.Fatal(err)
			}
			change := f.newChangeSet(f.Rand, fmt.Sprint("change", i), view)
			receipt, err := client.Submit(f.ctx, change)
			if err != nil {
				continue
			}
			if !f.WaitUntil(2*time.Second, func() bool { return snapshot() >= ids.Epoch(receipt.Epoch) }) {
				t.Fatalf("change %d: a proxy is at epoch %d, %d is in force", i, snapshot(), receipt.Epoch)
			}
		}
	})
}
