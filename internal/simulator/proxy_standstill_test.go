// A process that stands still between two of its own lines.
//
// A proxy looks right before the first byte whether it may still hand a request over, and the
// system takes the bytes after that. A machine that is crowded, or suspended, may hold the process
// up between the two for any time; and a target's process may leave what its system has taken in
// the socket for any time. Two soaks beside 60 busy loops had requests handled 2.3 to 4.8 s after
// they were received (incident 012); no soak had a proxy stand still for that long.

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

// standstills are how long a process stands still, below and above what the two seconds leave.
var standstills = []time.Duration{1200 * time.Millisecond, 1500 * time.Millisecond, 2500 * time.Millisecond}

// arming arms a standstill of the first machine at its next write to an address.
type arming func(n *Network, from, to string, d time.Duration) <-chan struct{}

// armings are the ways in which a proxy stands still.
var armings = []struct {
	name string
	arm  arming
}{
	{"one task", (*Network).HoldNextWrite},
	{"whole machine", (*Network).FreezeAtNextWrite},
}

// standstillPlay is a fleet with one proxy, and what happened in it to one request.
type standstillPlay struct {
	*Fleet
	t        *testing.T
	proxy    *Machine
	client   *standin.Client
	operator *standin.Operator
	view     *api.EpochView // before anything happens

	checkedAt time.Duration // when the proxy had done its check, and stood still
	ackedAt   time.Duration // when what is newer was acknowledged
}

// inStandstill plays with a fleet of so many targets for each service, whose connections are open.
func inStandstill(t *testing.T, targets int, play func(p *standstillPlay)) {
	t.Helper()
	shape := one()
	shape.Targets = map[string]int{"rates": targets, "bookings": targets}
	inFleet(t, shape, func(t *testing.T, f *Fleet) {
		p := &standstillPlay{Fleet: f, t: t, proxy: f.Machine("proxy1"), client: f.newClient(3), operator: f.newOperator(40, f.Cores()[0])}
		defer p.client.Close()
		view, err := p.operator.Epoch(f.ctx)
		if err != nil {
			t.Fatal(err)
		}
		p.view = view
		for range 8 {
			p.client.Call(f.ctx, p.proxy.ProxyAddress(), "GET", "/rates", "rates", nil)
		}
		play(p)
	})
}

// begin sends a request, and returns where its record will come.
func (p *standstillPlay) begin(method, path string, body []byte) <-chan checker.Record {
	done := make(chan checker.Record, 1)
	go func() {
		done <- p.client.Call(p.ctx, p.proxy.ProxyAddress(), method, path, path[1:], body)
	}()
	return done
}

// submit has a change set acknowledged.
func (p *standstillPlay) submit(change *api.Change) {
	p.t.Helper()
	if _, err := p.operator.Submit(p.ctx, change); err != nil {
		p.t.Fatal(err)
	}
	p.ackedAt = p.History.Now()
}

// makeNewerEpoch has a change set acknowledged that has nothing to do with the request.
func (p *standstillPlay) makeNewerEpoch() { p.submit(p.newChange("newer", p.view.Epoch)) }

// moveRates has a change set acknowledged that leads the route to other servers.
func (p *standstillPlay) moveRates() {
	config := api.Config{Mappings: []api.Mapping{{Name: "rates", Path: "/rates", To: []api.Split{{Service: "bookings", Weight: 1}}, Repeatable: api.NewOptBool(true), Deadline: api.NewOptInt64(3000)}}}
	p.submit(&api.Change{ID: "move", Base: p.view.Epoch, Put: api.NewOptConfig(config)})
}

// drain has the drain of a target acknowledged.
func (p *standstillPlay) drain(target *standin.Server) {
	target.Announce(p.ctx, "draining")
	p.ackedAt = p.History.Now()
}

// awaitStandstill waits until the proxy stands still, which a request brings about.
func (p *standstillPlay) awaitStandstill(begun <-chan struct{}, done <-chan checker.Record) {
	p.t.Helper()
	select {
	case <-begun:
	case sent := <-done:
		p.t.Fatalf("the request ended before the proxy stood still: %+v", sent)
	}
	p.checkedAt = p.History.Now()
}

// checkBounds tells when what happened, and fails if it breaks any rule.
func (p *standstillPlay) checkBounds(sent checker.Record) {
	p.t.Helper()
	time.Sleep(time.Second)
	at := func(d time.Duration) time.Duration { return (d - p.ackedAt).Round(time.Millisecond) }
	for _, r := range p.History.Records() {
		if r.Kind == checker.RequestCompleted && r.CallID == sent.CallID {
			p.t.Logf("client begins %v, check %v, acknowledged 0s, client has %q %d at %v", at(r.Start), at(p.checkedAt), r.Outcome, r.Code, at(r.At))
		}
	}
	for _, r := range executions(p.Fleet, sent.CallID) {
		p.t.Logf("handler begins %v, is done %v, %s, epoch %d", at(r.Start), at(r.At), r.ServerService, r.Epoch)
	}
	for _, v := range checker.Check(p.History.Records()).Violations {
		if v.Rule != "incomplete" { // the history goes on
			p.t.Errorf("%s: %s", v.Rule, v.Text)
		}
	}
}

// stopBeforeFirstByte has the proxy stand still before the first byte of a request for /rates,
// whose only target is given, and something happen meanwhile.
func (p *standstillPlay) stopBeforeFirstByte(arm arming, d time.Duration, meanwhile func()) {
	p.t.Helper()
	begun := arm(p.Network, p.proxy.IP, p.Targets("rates")[0].Address, d)
	done := p.begin("GET", "/rates", nil)
	p.awaitStandstill(begun, done)
	meanwhile()
	p.checkBounds(<-done)
}

// forEachStandstill plays every way of a standstill in each length.
func forEachStandstill(t *testing.T, lengths []time.Duration, play func(t *testing.T, arm arming, d time.Duration)) {
	for _, way := range armings {
		for _, d := range lengths {
			t.Run(fmt.Sprint(way.name, "/", d), func(t *testing.T) { play(t, way.arm, d) })
		}
	}
}

// Guards against a request that is handled under an old epoch because its proxy stood still
// between its check and the write.
func TestProxy_StandstillBeforeWriteKeepsToNewerEpoch(t *testing.T) {
	forEachStandstill(t, standstills, func(t *testing.T, arm arming, d time.Duration) {
		inStandstill(t, 1, func(p *standstillPlay) { p.stopBeforeFirstByte(arm, d, p.makeNewerEpoch) })
	})
}

// Guards against a request that reaches the servers of before a change of its route.
func TestProxy_StandstillBeforeWriteKeepsToMovedRoute(t *testing.T) {
	forEachStandstill(t, standstills, func(t *testing.T, arm arming, d time.Duration) {
		inStandstill(t, 1, func(p *standstillPlay) { p.stopBeforeFirstByte(arm, d, p.moveRates) })
	})
}

// Guards against a request that reaches a server long after its drain was acknowledged.
func TestProxy_StandstillBeforeWriteKeepsToDrain(t *testing.T) {
	forEachStandstill(t, standstills, func(t *testing.T, arm arming, d time.Duration) {
		inStandstill(t, 1, func(p *standstillPlay) {
			p.stopBeforeFirstByte(arm, d, func() { p.drain(p.Targets("rates")[0]) })
		})
	})
}

// Guards against the same where the check went by a confirmation that was as old as it may be: a
// proxy that hears of nothing checks as late as it can after what is newer was acknowledged.
func TestProxy_StandstillAfterOldConfirmationKeepsToNewerEpoch(t *testing.T) {
	lengths := []time.Duration{1100 * time.Millisecond, 1500 * time.Millisecond, 2500 * time.Millisecond}
	forEachStandstill(t, lengths, func(t *testing.T, arm arming, d time.Duration) {
		inStandstill(t, 1, func(p *standstillPlay) {
			confirmedAt := p.awaitConfirmation()
			for _, m := range p.Cores() {
				p.Network.Partition(m.IP, p.proxy.IP)
			}
			defer p.Network.Heal()
			p.makeNewerEpoch()
			const margin = 15 * time.Millisecond // for the way of the request up to the check
			time.Sleep(time.Until(confirmedAt.Add(p.proxy.Node().Env.Config.DistributionMaxAge - margin)))
			p.stopBeforeFirstByte(arm, d, func() {})
		})
	})
}

// awaitConfirmation waits until the proxy has just heard the newest of its configuration and of the
// servers of rates, about as young as it hears of them at all, and returns as of when.
func (p *standstillPlay) awaitConfirmation() (asOf time.Time) {
	p.t.Helper()
	youngest := time.Hour
	const step = time.Millisecond
	for range 2000 {
		youngest = min(youngest, time.Since(p.confirmedAsOf()))
		time.Sleep(step)
	}
	for range 20000 {
		if asOf = p.confirmedAsOf(); time.Since(asOf) < youngest+50*step {
			return asOf
		}
		time.Sleep(step)
	}
	p.t.Fatal("the proxy hears of nothing in time")
	return asOf
}

// confirmedAsOf is as of when the proxy knows its configuration and the servers of rates.
func (p *standstillPlay) confirmedAsOf() time.Time {
	heard := p.proxy.Node().Distribution.LatestConfirmation()
	if targets := heard.ShardsAsOf[ids.ShardOf("rates")]; targets.Before(heard.ConfigAsOf) {
		return targets
	}
	return heard.ConfigAsOf
}

// Guards against a request that was handed over in time and waits in the socket of a target whose
// process stands still, its heartbeats too.
func TestProxy_StandstillOfTargetKeepsToNewerEpoch(t *testing.T) {
	for _, d := range standstills {
		t.Run(d.String(), func(t *testing.T) {
			inStandstill(t, 1, func(p *standstillPlay) {
				p.Network.Freeze(hostOf(p.Targets("rates")[0].Address), d)
				done := p.begin("GET", "/rates", nil)
				time.Sleep(10 * time.Millisecond)
				p.checkedAt = p.History.Now()
				p.makeNewerEpoch()
				p.checkBounds(<-done)
			})
		})
	}
}

// Guards against a streamed upload that is run under an old epoch because its proxy stood still
// before its head.
func TestProxy_StandstillBeforeHeadOfUploadKeepsToNewerEpoch(t *testing.T) {
	upload := []byte(strings.Repeat("x", 200_000))
	forEachStandstill(t, standstills, func(t *testing.T, arm arming, d time.Duration) {
		inStandstill(t, 1, func(p *standstillPlay) {
			begun := arm(p.Network, p.proxy.IP, p.Targets("bookings")[0].Address, d)
			done := p.begin("POST", "/bookings", upload)
			p.awaitStandstill(begun, done)
			p.makeNewerEpoch()
			p.checkBounds(<-done)
		})
	})
}

// Guards against the same where the proxy stands still after its second check, before the body.
func TestProxy_StandstillBeforeBodyOfUploadKeepsToNewerEpoch(t *testing.T) {
	upload := []byte(strings.Repeat("x", 200_000))
	forEachStandstill(t, standstills, func(t *testing.T, arm arming, d time.Duration) {
		inStandstill(t, 1, func(p *standstillPlay) {
			target := p.Targets("bookings")[0].Address
			head := p.Network.HoldNextWrite(p.proxy.IP, target, 0)
			done := p.begin("POST", "/bookings", upload)
			p.awaitStandstill(head, done)
			p.awaitStandstill(arm(p.Network, p.proxy.IP, target, d), done)
			p.makeNewerEpoch()
			p.checkBounds(<-done)
		})
	})
}

// Guards against a second attempt that is handed over under an old epoch because its proxy stood
// still between its check and the write.
func TestProxy_StandstillBeforeSecondAttemptKeepsToNewerEpoch(t *testing.T) {
	forEachStandstill(t, standstills, func(t *testing.T, arm arming, d time.Duration) {
		inStandstill(t, 2, func(p *standstillPlay) {
			targets, armed := p.Targets("rates"), make(chan (<-chan struct{}), 1)
			hasFailed := false
			for i, target := range targets {
				other := targets[1-i].Address
				target.Misbehavior = func(int64) string {
					if hasFailed {
						return standin.WellBehaved
					}
					hasFailed = true
					armed <- arm(p.Network, p.proxy.IP, other, d)
					return standin.Failing
				}
			}
			done := p.begin("GET", "/rates", nil)
			p.awaitStandstill(<-armed, done)
			p.makeNewerEpoch()
			p.checkBounds(<-done)
		})
	})
}

// Guards against a request that reaches the service that has taken over its target's address while
// the proxy stood still.
func TestProxy_StandstillBeforeWriteNeverReachesNewOwnerOfAddress(t *testing.T) {
	forEachStandstill(t, standstills, func(t *testing.T, arm arming, d time.Duration) {
		inStandstill(t, 1, func(p *standstillPlay) {
			p.stopBeforeFirstByte(arm, d, func() {
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
