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

// requestWithEpoch sends a target a request with an epoch, as a proxy does. It returns the status
// and, if the target did not execute the request, the reason that it gives.
func (f *Fleet) requestWithEpoch(t *testing.T, epoch uint64, target *standin.Server) (status int, notRun string) {
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

// A proxy that stalls right before its write sends a request with an epoch that was superseded long
// ago.
func TestTarget_RejectsEpochSupersededLongAgo(t *testing.T) {
	inFleet(t, singleProxyShape(), func(t *testing.T, f *Fleet) {
		target := f.Targets("rates")[0]
		operator := f.newOperator(40, f.Cores()[0])
		view, err := operator.Epoch(f.ctx)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(2500 * time.Millisecond)
		result, err := operator.Submit(f.ctx, f.newChangeSet(f.Rand, "newer", view))
		if err != nil {
			t.Fatal(err)
		}
		for _, c := range []struct {
			after  time.Duration
			epoch  uint64
			status int
			notRun string
		}{
			{0, result.Epoch - 1, http.StatusOK, ""},
			{500 * time.Millisecond, result.Epoch - 1, http.StatusOK, ""},
			{2000 * time.Millisecond, result.Epoch - 1, http.StatusServiceUnavailable, proxy.NotRunSuperseded},
			{2000 * time.Millisecond, result.Epoch, http.StatusOK, ""},
		} {
			start := time.Now()
			time.Sleep(c.after)
			if status, notRun := f.requestWithEpoch(t, c.epoch, target); status != c.status || notRun != c.notRun {
				t.Errorf("epoch %d, waited %s, epoch %d in force: %d %q", c.epoch, time.Since(start), result.Epoch, status, notRun)
			}
		}
		for _, m := range f.Machines {
			f.Network.Partition(m.IP, hostOf(target.Address))
		}
		time.Sleep(3 * time.Second)
		if status, notRun := f.requestWithEpoch(t, result.Epoch+100, target); status != http.StatusServiceUnavailable || notRun != proxy.NotRunSuperseded {
			t.Errorf("a target without a confirmed epoch: %d %q, want the request rejected", status, notRun)
		}
	})
}

// With distribution.offline_grace, disconnected proxies send requests with old epochs, so targets
// must not reject them.
func TestTarget_AcceptsOldEpochsWithOfflineGrace(t *testing.T) {
	shape := singleProxyShape()
	shape.Settings["distribution.offline_grace"] = "1h"
	inFleet(t, shape, func(t *testing.T, f *Fleet) {
		time.Sleep(5 * time.Second)
		if status, notRun := f.requestWithEpoch(t, 1, f.Targets("rates")[0]); status != http.StatusOK {
			t.Errorf("%d %q", status, notRun)
		}
	})
}

// With infrequent heartbeats, a target may have no recent confirmation of its epoch. It must not
// reject requests because of that.
func TestTarget_AcceptsRequestsWithInfrequentHeartbeats(t *testing.T) {
	shape := singleProxyShape()
	shape.Settings["controlplane.heartbeat_period"] = "2s"
	shape.Settings["controlplane.heartbeat_timeout"] = "6s"
	shape.Settings["controlplane.takeover_delay"] = "5s"
	shape.HeartbeatPeriod, shape.FailureTimeout = 2*time.Second, 6*time.Second
	inFleet(t, shape, func(t *testing.T, f *Fleet) {
		time.Sleep(10 * time.Second)
		client := f.newClient(5)
		defer client.Close()
		for range 300 {
			if got := client.Call(f.ctx, f.Machine("proxy1").ProxyAddress(), "GET", "/rates", "rates", nil); got.Outcome != checker.OutcomeRan {
				t.Fatalf("%+v", got)
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
}

// The monotonic clock stops while a machine is suspended. The target must not consider its last
// confirmation recent by that clock.
func TestTarget_RejectsRequestsAfterSuspension(t *testing.T) {
	inFleet(t, singleProxyShape(), func(t *testing.T, f *Fleet) {
		target := f.Targets("rates")[0]
		view, err := f.newOperator(40, f.Cores()[0]).Epoch(f.ctx)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range f.Machines {
			f.Network.Partition(m.IP, hostOf(target.Address))
		}
		f.Network.Suspend(hostOf(target.Address), time.Minute)
		if status, notRun := f.requestWithEpoch(t, view.Epoch, target); status != http.StatusServiceUnavailable || notRun != proxy.NotRunSuperseded {
			t.Errorf("%d %q", status, notRun)
		}
	})
}

// A target that is already listed in an epoch is frozen before it receives the response to its first
// heartbeat.
func TestTarget_FrozenNewTargetObservesNewerEpoch(t *testing.T) {
	runStallTest(t, 1, func(p *proxyStallTest) {
		previous := p.Targets("rates")[0]
		p.RemoveTarget(previous)
		previous.Crash()
		time.Sleep(3 * time.Second)
		target := p.StartTarget("rates", "", 0)
		p.awaitHeartbeat(target) // its response is in flight
		p.Network.Freeze(hostOf(target.Address), 2900*time.Millisecond)
		if !p.WaitUntil(800*time.Millisecond, func() bool { return len(p.proxy.Node().Distribution.Cache.Snapshot().Targets["rates"]) == 1 }) {
			t.Fatal("no epoch contains the new target")
		}
		done := p.startRequest("GET", "/rates", nil)
		time.Sleep(20 * time.Millisecond)
		view, err := p.operator.Epoch(p.ctx)
		if err != nil {
			t.Fatal(err)
		}
		p.view = view
		p.submitUnrelatedChange()
		p.checkHistory(<-done)
	})
}

// awaitHeartbeat waits until a core node has recorded a target's first heartbeat.
func (p *proxyStallTest) awaitHeartbeat(target *standin.Server) {
	isKnown := func(m *Machine) bool { return m.Node().Targets.ServiceOf(target.Instance) != "" }
	for !slices.ContainsFunc(p.Cores(), isKnown) {
		time.Sleep(50 * time.Microsecond)
	}
}
