// Processes that stall between a check and the write that depends on it.
//
// Right before the first byte a proxy checks whether it may still send a request; the operating
// system takes the bytes after that. On an overloaded or suspended machine the process may stall
// between the two for any time, and a target's process may leave received bytes unread in its
// socket for any time. Under heavy load, requests were handled 2.3 to 4.8 s after their target had
// received them. No load test has stalled a proxy for that long; these tests do.

package simulator

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/api"
	"github.com/sumactrestle/sumactrestle/internal/checker"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/standin"
)

// stallDurations lie below and above the two seconds within which a newer epoch must apply to all
// requests.
var stallDurations = []time.Duration{1200 * time.Millisecond, 1500 * time.Millisecond, 2500 * time.Millisecond}

// stallFunc stalls a machine for d at its next write to an address. The channel is closed when the
// stall begins.
type stallFunc func(n *Network, from, to string, d time.Duration) <-chan struct{}

var stallKinds = []struct {
	name  string
	stall stallFunc
}{
	{"one goroutine", (*Network).HoldNextWrite},
	{"whole machine", (*Network).FreezeAtNextWrite},
}

// proxyStallTest is a fleet with one proxy, and the times of the events around one request.
type proxyStallTest struct {
	*Fleet
	t        *testing.T
	proxy    *Machine
	client   *standin.Client
	operator *standin.Operator
	view     *api.EpochView // before any change

	checkedAt time.Duration // when the stall began, after the proxy's check
	ackedAt   time.Duration // when the change during the stall was acknowledged
}

// runStallTest runs a test on a fleet with that many targets per service, after the proxy has
// opened connections to the targets of rates.
func runStallTest(t *testing.T, targets int, test func(p *proxyStallTest)) {
	t.Helper()
	shape := singleProxyShape()
	shape.Targets = map[string]int{"rates": targets, "bookings": targets}
	inFleet(t, shape, func(t *testing.T, f *Fleet) {
		p := &proxyStallTest{Fleet: f, t: t, proxy: f.Machine("proxy1"), client: f.newClient(3), operator: f.newOperator(40, f.Cores()[0])}
		defer p.client.Close()
		view, err := p.operator.Epoch(f.ctx)
		if err != nil {
			t.Fatal(err)
		}
		p.view = view
		for range 8 {
			p.client.Call(f.ctx, p.proxy.ProxyAddress(), "GET", "/rates", "rates", nil)
		}
		test(p)
	})
}

// startRequest sends a request in the background, and returns the channel that receives its record.
func (p *proxyStallTest) startRequest(method, path string, body []byte) <-chan checker.Record {
	records := make(chan checker.Record, 1)
	go func() {
		records <- p.client.Call(p.ctx, p.proxy.ProxyAddress(), method, path, path[1:], body)
	}()
	return records
}

// submit submits a change set, and records when it was acknowledged.
func (p *proxyStallTest) submit(change *api.Change) {
	p.t.Helper()
	if _, err := p.operator.Submit(p.ctx, change); err != nil {
		p.t.Fatal(err)
	}
	p.ackedAt = p.History.Now()
}

// submitUnrelatedChange makes a newer epoch by a change set that does not affect the request.
func (p *proxyStallTest) submitUnrelatedChange() { p.submit(p.newChange("newer", p.view.Epoch)) }

// rerouteRates points the route /rates to the service bookings.
func (p *proxyStallTest) rerouteRates() {
	config := api.Config{Mappings: []api.Mapping{{Name: "rates", Path: "/rates", To: []api.Split{{Service: "bookings", Weight: 1}}, Repeatable: api.NewOptBool(true), Deadline: api.NewOptInt64(3000)}}}
	p.submit(&api.Change{ID: "move", Base: p.view.Epoch, Put: api.NewOptConfig(config)})
}

// drain announces that a target drains, and records when that was acknowledged.
func (p *proxyStallTest) drain(target *standin.Server) {
	target.Announce(p.ctx, "draining")
	p.ackedAt = p.History.Now()
}

// awaitStall waits until the stall begins, and fails if the request ends before it.
func (p *proxyStallTest) awaitStall(stalled <-chan struct{}, records <-chan checker.Record) {
	p.t.Helper()
	select {
	case <-stalled:
	case record := <-records:
		p.t.Fatalf("the request ended before the proxy stalled: %+v", record)
	}
	p.checkedAt = p.History.Now()
}

// checkHistory logs the times of the request's events relative to the acknowledgement, and fails
// if the history violates a rule.
func (p *proxyStallTest) checkHistory(record checker.Record) {
	p.t.Helper()
	time.Sleep(time.Second)
	sinceAck := func(d time.Duration) time.Duration { return (d - p.ackedAt).Round(time.Millisecond) }
	for _, r := range p.History.Records() {
		if r.Kind == checker.RequestCompleted && r.CallID == record.CallID {
			p.t.Logf("client starts %v, check %v, change acknowledged 0s, client gets outcome %q, code %d at %v", sinceAck(r.Start), sinceAck(p.checkedAt), r.Outcome, r.Code, sinceAck(r.At))
		}
	}
	for _, r := range executions(p.Fleet, record.CallID) {
		p.t.Logf("handler starts %v, ends %v, service %s, epoch %d", sinceAck(r.Start), sinceAck(r.At), r.ServerService, r.Epoch)
	}
	for _, v := range checker.Check(p.History.Records()).Violations {
		if v.Rule != "incomplete" { // the history has not ended yet
			p.t.Errorf("%s: %s", v.Rule, v.Text)
		}
	}
}

// stallBeforeFirstByte stalls the proxy before the first byte of a request to the only target of
// rates, calls duringStall, and checks the history.
func (p *proxyStallTest) stallBeforeFirstByte(stall stallFunc, d time.Duration, duringStall func()) {
	p.t.Helper()
	stalled := stall(p.Network, p.proxy.IP, p.Targets("rates")[0].Address, d)
	records := p.startRequest("GET", "/rates", nil)
	p.awaitStall(stalled, records)
	duringStall()
	p.checkHistory(<-records)
}

// forEachStall runs a subtest for each kind and duration of stall.
func forEachStall(t *testing.T, durations []time.Duration, test func(t *testing.T, stall stallFunc, d time.Duration)) {
	for _, kind := range stallKinds {
		for _, d := range durations {
			t.Run(fmt.Sprint(kind.name, "/", d), func(t *testing.T) { test(t, kind.stall, d) })
		}
	}
}

// Guards against a request that is handled under an old epoch because its proxy stalled between
// the check and the write.
func TestProxy_StallBeforeWriteRespectsNewerEpoch(t *testing.T) {
	forEachStall(t, stallDurations, func(t *testing.T, stall stallFunc, d time.Duration) {
		runStallTest(t, 1, func(p *proxyStallTest) { p.stallBeforeFirstByte(stall, d, p.submitUnrelatedChange) })
	})
}

// Guards against a request that reaches a target of its former route.
func TestProxy_StallBeforeWriteRespectsChangedRoute(t *testing.T) {
	forEachStall(t, stallDurations, func(t *testing.T, stall stallFunc, d time.Duration) {
		runStallTest(t, 1, func(p *proxyStallTest) { p.stallBeforeFirstByte(stall, d, p.rerouteRates) })
	})
}

// Guards against a request that reaches a target long after its drain was acknowledged.
func TestProxy_StallBeforeWriteRespectsDrain(t *testing.T) {
	forEachStall(t, stallDurations, func(t *testing.T, stall stallFunc, d time.Duration) {
		runStallTest(t, 1, func(p *proxyStallTest) {
			p.stallBeforeFirstByte(stall, d, func() { p.drain(p.Targets("rates")[0]) })
		})
	})
}

// Guards against a request that is handled under an old epoch when the check relied on a confirmation
// of the maximum age: a partitioned proxy then checks as late as possible after a newer epoch was
// acknowledged.
func TestProxy_StallAfterOldConfirmationRespectsNewerEpoch(t *testing.T) {
	durations := []time.Duration{1100 * time.Millisecond, 1500 * time.Millisecond, 2500 * time.Millisecond}
	forEachStall(t, durations, func(t *testing.T, stall stallFunc, d time.Duration) {
		runStallTest(t, 1, func(p *proxyStallTest) {
			confirmedAt := p.awaitConfirmation()
			for _, m := range p.Cores() {
				p.Network.Partition(m.IP, p.proxy.IP)
			}
			defer p.Network.Heal()
			p.submitUnrelatedChange()
			const margin = 15 * time.Millisecond // for the request to reach the check
			time.Sleep(time.Until(confirmedAt.Add(p.proxy.Node().Env.Config.DistributionMaxAge - margin)))
			p.stallBeforeFirstByte(stall, d, func() {})
		})
	})
}

// awaitConfirmation samples for two seconds how recent the proxy's confirmation gets at best, then
// waits for one that is about as recent, and returns its time.
func (p *proxyStallTest) awaitConfirmation() (asOf time.Time) {
	p.t.Helper()
	minAge := time.Hour
	const step = time.Millisecond
	for range 2000 {
		minAge = min(minAge, time.Since(p.confirmedAsOf()))
		time.Sleep(step)
	}
	for range 20000 {
		if asOf = p.confirmedAsOf(); time.Since(asOf) < minAge+50*step {
			return asOf
		}
		time.Sleep(step)
	}
	p.t.Fatal("the proxy got no recent confirmation")
	return asOf
}

// confirmedAsOf returns the time as of which both the proxy's configuration and its targets of
// rates are confirmed.
func (p *proxyStallTest) confirmedAsOf() time.Time {
	confirmation := p.proxy.Node().Distribution.LatestConfirmation()
	if targetsAsOf := confirmation.ShardsAsOf[ids.ShardOf("rates")]; targetsAsOf.Before(confirmation.ConfigAsOf) {
		return targetsAsOf
	}
	return confirmation.ConfigAsOf
}

// Guards against a request that was sent in time but waits in the socket of a target whose process
// is stalled and sends no heartbeats.
func TestProxy_TargetStallRespectsNewerEpoch(t *testing.T) {
	for _, d := range stallDurations {
		t.Run(d.String(), func(t *testing.T) {
			runStallTest(t, 1, func(p *proxyStallTest) {
				p.Network.Freeze(hostOf(p.Targets("rates")[0].Address), d)
				records := p.startRequest("GET", "/rates", nil)
				time.Sleep(10 * time.Millisecond)
				p.checkedAt = p.History.Now()
				p.submitUnrelatedChange()
				p.checkHistory(<-records)
			})
		})
	}
}

// Guards against a streamed upload that runs under an old epoch because its proxy stalled before
// writing the header.
func TestProxy_StallBeforeUploadHeaderRespectsNewerEpoch(t *testing.T) {
	upload := []byte(strings.Repeat("x", 200_000))
	forEachStall(t, stallDurations, func(t *testing.T, stall stallFunc, d time.Duration) {
		runStallTest(t, 1, func(p *proxyStallTest) {
			stalled := stall(p.Network, p.proxy.IP, p.Targets("bookings")[0].Address, d)
			records := p.startRequest("POST", "/bookings", upload)
			p.awaitStall(stalled, records)
			p.submitUnrelatedChange()
			p.checkHistory(<-records)
		})
	})
}

// Guards against a streamed upload that runs under an old epoch because its proxy stalled after
// its second check, before writing the body.
func TestProxy_StallBeforeUploadBodyRespectsNewerEpoch(t *testing.T) {
	upload := []byte(strings.Repeat("x", 200_000))
	forEachStall(t, stallDurations, func(t *testing.T, stall stallFunc, d time.Duration) {
		runStallTest(t, 1, func(p *proxyStallTest) {
			target := p.Targets("bookings")[0].Address
			headerWritten := p.Network.HoldNextWrite(p.proxy.IP, target, 0)
			records := p.startRequest("POST", "/bookings", upload)
			p.awaitStall(headerWritten, records)
			p.awaitStall(stall(p.Network, p.proxy.IP, target, d), records)
			p.submitUnrelatedChange()
			p.checkHistory(<-records)
		})
	})
}

// Guards against a second attempt that is handled under an old epoch because its proxy stalled
// between the check and the write.
func TestProxy_StallBeforeSecondAttemptRespectsNewerEpoch(t *testing.T) {
	forEachStall(t, stallDurations, func(t *testing.T, stall stallFunc, d time.Duration) {
		runStallTest(t, 2, func(p *proxyStallTest) {
			targets, stalled := p.Targets("rates"), make(chan (<-chan struct{}), 1)
			hasFailed := false
			for i, target := range targets {
				other := targets[1-i].Address
				target.Misbehavior = func(int64) string {
					if hasFailed {
						return standin.WellBehaved
					}
					hasFailed = true
					stalled <- stall(p.Network, p.proxy.IP, other, d)
					return standin.Failing
				}
			}
			records := p.startRequest("GET", "/rates", nil)
			p.awaitStall(<-stalled, records)
			p.submitUnrelatedChange()
			p.checkHistory(<-records)
		})
	})
}

// Guards against a request that reaches another service, which took over its target's address while
// the proxy was stalled.
func TestProxy_StallBeforeWriteNeverReachesNewAddressOwner(t *testing.T) {
	forEachStall(t, stallDurations, func(t *testing.T, stall stallFunc, d time.Duration) {
		runStallTest(t, 1, func(p *proxyStallTest) {
			p.stallBeforeFirstByte(stall, d, func() {
				target := p.Targets("rates")[0]
				target.Announce(p.ctx, "leaving")
				p.ackedAt = p.History.Now()
				p.RemoveTarget(target)
				target.Close()
				p.StartTarget("bookings", hostOf(target.Address), 0)
			})
		})
	})
}
