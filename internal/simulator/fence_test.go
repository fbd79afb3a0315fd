package simulator

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/checker"
	"github.com/sumactrestle/sumactrestle/internal/proxy"
	"github.com/sumactrestle/sumactrestle/internal/standin"
)

// askUnder sends a target a request that names an epoch, as a proxy does, and returns the status
// and what the target says of not having run it.
func (f *Fleet) askUnder(t *testing.T, epoch uint64, target *standin.Server) (status int, notRun string) {
	t.Helper()
	host := f.Network.HostAt(f.clientHost(7))
	client := &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext:       func(ctx context.Context, _, address string) (net.Conn, error) { return host.Dial(ctx, address) },
	}}
	request, err := http.NewRequestWithContext(f.ctx, http.MethodGet, "http://"+target.Address+"/rates", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set(proxy.HeaderEpoch, strconv.FormatUint(epoch, 10))
	response, err := client.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	return response.StatusCode, response.Header.Get(standin.HeaderNotRun)
}

// A proxy that stands still before its write hands a request over under an epoch that is long past.
func TestTarget_RefusesEpochSupersededLongAgo(t *testing.T) {
	inFleet(t, one(), func(t *testing.T, f *Fleet) {
		target := f.Targets("rates")[0]
		operator := f.newOperator(40, f.Cores()[0])
		view, err := operator.Epoch(f.ctx)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(2500 * time.Millisecond)
		receipt, err := operator.Submit(f.ctx, f.newChangeSet(f.Rand, "newer", view))
		if err != nil {
			t.Fatal(err)
		}
		for _, c := range []struct {
			after  time.Duration
			epoch  uint64
			status int
			notRun string
		}{
			{0, receipt.Epoch - 1, http.StatusOK, ""},
			{500 * time.Millisecond, receipt.Epoch - 1, http.StatusOK, ""},
			{2000 * time.Millisecond, receipt.Epoch - 1, http.StatusServiceUnavailable, proxy.NotRunSuperseded},
			{2000 * time.Millisecond, receipt.Epoch, http.StatusOK, ""},
		} {
			acknowledged := time.Now()
			time.Sleep(c.after)
			if status, notRun := f.askUnder(t, c.epoch, target); status != c.status || notRun != c.notRun {
				t.Errorf("epoch %d, %s after %d: %d %q", c.epoch, time.Since(acknowledged), receipt.Epoch, status, notRun)
			}
		}
		for _, m := range f.Machines {
			f.Network.Partition(m.IP, hostOf(target.Address))
		}
		time.Sleep(3 * time.Second)
		if status, notRun := f.askUnder(t, receipt.Epoch+100, target); status != http.StatusServiceUnavailable || notRun != proxy.NotRunSuperseded {
			t.Errorf("a target without a confirmed epoch executes a request: %d %q", status, notRun)
		}
	})
}

// Proxies that may go on out of touch serve under older epochs, which no target may refuse.
func TestTarget_RefusesNoEpochWhereProxiesGoOnOutOfTouch(t *testing.T) {
	shape := one()
	shape.Settings["distribution.offline_grace"] = "1h"
	inFleet(t, shape, func(t *testing.T, f *Fleet) {
		time.Sleep(5 * time.Second)
		if status, notRun := f.askUnder(t, 1, f.Targets("rates")[0]); status != http.StatusOK {
			t.Errorf("%d %q", status, notRun)
		}
	})
}

// Heartbeats that are seldom leave a target without a confirmation, which must not refuse for it.
func TestTarget_RefusesNothingWhereHeartbeatsAreRare(t *testing.T) {
	shape := one()
	shape.Settings["controlplane.heartbeat_period"] = "2s"
	shape.Settings["controlplane.heartbeat_timeout"] = "6s"
	shape.Settings["controlplane.takeover_delay"] = "5s"
	shape.HeartbeatPeriod, shape.FailureTimeout = 2*time.Second, 6*time.Second
	inFleet(t, shape, func(t *testing.T, f *Fleet) {
		time.Sleep(10 * time.Second)
		caller := f.newClient(5)
		defer caller.Close()
		for range 300 {
			if got := caller.Call(f.ctx, f.Machine("proxy1").ProxyAddress(), "GET", "/rates", "rates", nil); got.Outcome != checker.OutcomeRan {
				t.Fatalf("%+v", got)
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
}

// A machine that was suspended holds its last confirmation for young, by a clock that stood still.
func TestTarget_RefusesAllAfterItsMachineWasSuspended(t *testing.T) {
	inFleet(t, one(), func(t *testing.T, f *Fleet) {
		target := f.Targets("rates")[0]
		view, err := f.newOperator(40, f.Cores()[0]).Epoch(f.ctx)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range f.Machines {
			f.Network.Partition(m.IP, hostOf(target.Address))
		}
		f.Network.Suspend(hostOf(target.Address), time.Minute)
		if status, notRun := f.askUnder(t, view.Epoch, target); status != http.StatusServiceUnavailable || notRun != proxy.NotRunSuperseded {
			t.Errorf("%d %q", status, notRun)
		}
	})
}

// A target that was named in an epoch stands still before the answer to its first heartbeat comes.
func TestTarget_NewTargetThatStoodStillKeepsToNewerEpoch(t *testing.T) {
	inStandstill(t, 1, func(p *standstillPlay) {
		previous := p.Targets("rates")[0]
		p.RemoveTarget(previous)
		previous.Crash()
		time.Sleep(3 * time.Second)
		target := p.StartTarget("rates", "", 0)
		p.awaitHeartbeat(target) // whose answer is on its way
		p.Network.Freeze(hostOf(target.Address), 2900*time.Millisecond)
		if !p.WaitUntil(800*time.Millisecond, func() bool { return len(p.proxy.Node().Distribution.Cache.Snapshot().Targets["rates"]) == 1 }) {
			t.Fatal("no epoch names the new target")
		}
		done := p.begin("GET", "/rates", nil)
		time.Sleep(20 * time.Millisecond)
		view, err := p.operator.Epoch(p.ctx)
		if err != nil {
			t.Fatal(err)
		}
		p.view = view
		p.makeNewerEpoch()
		p.checkBounds(<-done)
	})
}

// awaitHeartbeat waits until a leader has taken a target's first heartbeat.
func (p *standstillPlay) awaitHeartbeat(target *standin.Server) {
	isKnown := func(m *Machine) bool { return m.Node().Targets.ServiceOf(target.Instance) != "" }
	for !slices.ContainsFunc(p.Cores(), isKnown) {
		time.Sleep(50 * time.Microsecond)
	}
}
