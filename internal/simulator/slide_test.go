// A proxy that is started anew while an owner that was deposed, and does not know
// it yet, is the nearest control node there is.

package simulator

import (
	"testing"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/checker"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/standin"
)

func TestProxy_RestartedProxyKeepsItsEpoch(t *testing.T) {
	shown := 0
	for i := 0; i < 60 && shown < 1; i++ {
		if startedAnew(t) {
			shown++
		}
	}
	if shown == 0 {
		t.Error("no request was answered under the newer epoch before the restart; nothing was shown")
	}
}

// startedAnew tells whether the proxy used the newer epoch before its restart.
func startedAnew(t *testing.T) (isShown bool) {
	shape := Small()
	shape.Proxies = 3
	shape.Settings["consensus.election_timeout"], shape.Settings["consensus.heartbeat_period"] = "400ms", "100ms"
	shape.Settings["distribution.renewal_interval"], shape.Settings["distribution.retry_delay"] = "20ms", "10ms"
	inFleet(t, shape, func(t *testing.T, f *Fleet) {
		old := leaderOf(f, ids.ConfigShard, nil)
		near := f.filter(func(m *Machine) bool { return m.IsProxy && m.Zone == old.Zone })[0]
		for _, m := range f.Machines {
			if m != old && m != near {
				f.Network.Partition(m.IP, old.IP)
				f.Network.Partition(old.IP, m.IP)
			}
		}
		var fresh *Machine
		if !f.WaitUntil(time.Second, func() bool { fresh = leaderOf(f, ids.ConfigShard, old); return fresh != nil }) {
			t.Fatal("nobody took the configuration part over")
		}
		operator := f.newOperator(4, fresh)
		view, err := operator.Epoch(f.ctx)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := operator.Submit(f.ctx, f.newChange("newer", view.Epoch)); err != nil {
			t.Fatal(err)
		}
		caller := standin.NewClient(f.Network.HostAt(f.clientHost(3)), f.History)
		defer caller.Close()
		call := func() checker.Record {
			return caller.Call(f.ctx, near.ProxyAddress(), "GET", "/rates", "rates", nil)
		}
		time.Sleep(60 * time.Millisecond)
		before := call()
		near.Kill(false)
		for _, m := range f.Cores() {
			if m != old {
				m.Kill(false)
			}
		}
		if err := near.Start(); err != nil {
			t.Fatal(err)
		}
		isShown = before.Outcome == "ran" && before.Epoch > view.Epoch
		for range 200 {
			call()
			time.Sleep(5 * time.Millisecond)
		}
		f.Restore()
		if !f.WaitUntil(15*time.Second, func() bool { return call().Outcome == "ran" }) {
			t.Error("the proxy did not come back")
		}
		f.History.Add(checker.Record{Kind: checker.ScenarioEnded})
		if v := checker.Check(f.History.Records()); !v.IsValid() {
			t.Error(v)
		}
	})
	return isShown
}
