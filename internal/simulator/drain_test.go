// With controlplane.acknowledge_delay, drains and change sets are acknowledged only after the proxies
// have had time to apply them.

package simulator

import (
	"testing"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
	"github.com/sumactrestle/sumactrestle/internal/standin"
)

func TestDrain_IsAcknowledgedAfterProxiesApplyIt(t *testing.T) {
	shape := singleProxyShape()
	shape.Settings["controlplane.acknowledge_delay"] = "500ms"
	inFleet(t, shape, func(t *testing.T, f *Fleet) {
		target, proxyNode := f.Targets("rates")[0], f.Machine("proxy1").Node()
		began := time.Now()
		heartbeat := &rpc.TargetHeartbeat{Service: "rates", Instance: target.Instance, Sequence: 1 << 30, Address: target.Address, Zone: "zone1", Weight: 100, State: "draining"}
		if _, err := f.Cores()[0].Node().Heartbeat(f.ctx, heartbeat); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(began); took < 500*time.Millisecond || took > 950*time.Millisecond {
			t.Error("the drain was acknowledged after", took)
		}
		if list := proxyNode.Distribution.Cache.Snapshot().Targets["rates"]; len(list) != 0 {
			t.Error("the proxy still has targets", list)
		}
		client := standin.NewAPIClient(f.Network.HostAt(f.clientHost(1)), f.Machine("proxy1").APIAddress())
		view, err := client.Epoch(f.ctx)
		if err != nil {
			t.Fatal(err)
		}
		result, err := client.Submit(f.ctx, f.newChangeSet(f.Rand, "held", view))
		if err != nil {
			t.Fatal(err)
		}
		if snapshot := proxyNode.Distribution.Cache.Snapshot(); snapshot.Epoch < ids.Epoch(result.Epoch) {
			t.Error("the change set was acknowledged in epoch", result.Epoch, "but the proxy is at", snapshot.Epoch)
		}
	})
}
