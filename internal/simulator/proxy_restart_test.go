// A proxy that restarts while its nearest control node is a deposed leader that still considers
// itself the leader.

package simulator

import (
	"testing"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/checker"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/standin"
)

func TestProxy_RestartedProxyUsesNoOlderEpoch(t *testing.T) {
	reproduced := 0
	for i := 0; i < 60 && reproduced < 1; i++ {
		if restartNearDeposedLeader(t) {
			reproduced++
		}
	}
	if reproduced == 0 {
		t.Error("in no run did the proxy use the newer epoch before its restart, so nothing was tested")
	}
}

// restartNearDeposedLeader isolates a leader from all nodes but one proxy, submits a change to its
// successor, restarts the proxy and checks that it does not return to the older epoch. It reports
// whether the proxy used the newer epoch before the restart.
func restartNearDeposedLeader(t *testing.T) (usedNewerEpoch bool) {
	shape := Small()
	shape.Proxies = 3
	shape.Settings["consensus.election_timeout"], shape.Settings["consensus.heartbeat_period"] = "400ms", "100ms"
	shape.Settings["distribution.renewal_interval"], shape.Settings["distribution.retry_delay"] = "20ms", "10ms"
	inFleet(t, shape, func(t *testing.T, f *Fleet) {
		deposed := leaderOf(f, ids.ConfigShard, nil)
		proxy := f.filter(func(m *Machine) bool { return m.IsProxy && m.Zone == deposed.Zone })[0]
		for _, m := range f.Machines {
			if m != deposed && m != proxy {
				f.Network.Partition(m.IP, deposed.IP)
				f.Network.Partition(deposed.IP, m.IP)
			}
		}
		var leader *Machine
		if !f.WaitUntil(time.Second, func() bool { leader = leaderOf(f, ids.ConfigShard, deposed); return leader != nil }) {
			t.Fatal("no new leader of the configuration shard was elected")
		}
		operator := f.newOperator(4, leader)
		view, err := operator.Epoch(f.ctx)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := operator.Submit(f.ctx, f.newChange("newer", view.Epoch)); err != nil {
			t.Fatal(err)
		}
		client := standin.NewClient(f.Network.HostAt(f.clientHost(3)), f.History)
		defer client.Close()
		call := func() checker.Record {
			return client.Call(f.ctx, proxy.ProxyAddress(), "GET", "/rates", "rates", nil)
		}
		time.Sleep(60 * time.Millisecond)
		before := call()
		proxy.Kill(false)
		for _, m := range f.Cores() {
			if m != deposed {
				m.Kill(false)
			}
		}
		if err := proxy.Start(); err != nil {
			t.Fatal(err)
		}
		usedNewerEpoch = before.Outcome == "ran" && before.Epoch > view.Epoch
		for range 200 {
			call()
			time.Sleep(5 * time.Millisecond)
		}
		f.Restore()
		if !f.WaitUntil(15*time.Second, func() bool { return call().Outcome == "ran" }) {
			t.Error("the proxy did not serve again")
		}
		f.History.Add(checker.Record{Kind: checker.ScenarioEnded})
		if v := checker.Check(f.History.Records()); !v.IsValid() {
			t.Error(v)
		}
	})
	return usedNewerEpoch
}
