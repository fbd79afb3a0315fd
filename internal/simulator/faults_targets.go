// Faults of the stand-in targets: drains, departures, crashes, replacements and wrong responses,
// also during faults of the fleet itself.

package simulator

import (
	"context"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/standin"
)

// disturbTargets injects one random fault of a target: it drains and leaves, crashes, stops its
// heartbeats, or is replaced by one that misbehaves. In some cases a target of a random service
// takes over the address of a crashed target after 2 s.
func disturbTargets(f *Fleet) {
	f.sleepBetween(200*time.Millisecond, 1500*time.Millisecond)
	services := []string{"bookings", "rates"}
	service := services[f.Rand.IntN(2)]
	targets := f.Targets(service)
	if len(targets) < 2 {
		f.StartTarget(service, "", f.Rand.IntN(f.Shape.Zones))
		return
	}
	s := targets[f.Rand.IntN(len(targets))]
	switch f.Rand.IntN(6) {
	case 0:
		f.Logf("%s %s drains and leaves", service, s.Instance)
		f.RemoveTarget(s)
		s.Announce(f.ctx, "draining")
		time.Sleep(2500 * time.Millisecond)
		s.Announce(f.ctx, "leaving")
		s.Close()
		f.StartTarget(service, "", f.Rand.IntN(f.Shape.Zones))
	case 1:
		f.Logf("%s %s crashes", service, s.Instance)
		f.RemoveTarget(s)
		s.Crash()
		f.StartTarget(service, "", f.Rand.IntN(f.Shape.Zones))
	case 2, 3:
		other := services[f.Rand.IntN(2)]
		f.Logf("%s %s crashes, %s takes over %s after 2 s", service, s.Instance, other, s.Address)
		f.RemoveTarget(s)
		s.Crash()
		time.Sleep(2 * time.Second)
		f.StartTarget(other, hostOf(s.Address), f.Rand.IntN(f.Shape.Zones))
	case 4:
		f.Logf("%s %s stops its heartbeats and continues to serve", service, s.Instance)
		f.RemoveTarget(s)
		s.StopHeartbeats()
		time.Sleep(3100*time.Millisecond + max(s.FailureTimeout, 900*time.Millisecond))
		s.Close()
		f.StartTarget(service, "", f.Rand.IntN(f.Shape.Zones))
	case 5:
		misbehaviors := f.misbehaviors()
		misbehavior := misbehaviors[f.Rand.IntN(len(misbehaviors))]
		f.Logf("a new target of %s misbehaves (%q) on every third request", service, misbehavior)
		f.replaceTarget(s, func(n int64) string {
			if n%3 == 0 {
				return misbehavior
			}
			return standin.WellBehaved
		})
	}
}

// corruptResponses replaces a target by one that cycles through all misbehaviors, with two correct
// responses after each.
func corruptResponses(f *Fleet) {
	f.sleepBetween(200*time.Millisecond, time.Second)
	targets := f.Targets([]string{"bookings", "rates"}[f.Rand.IntN(2)])
	s, misbehaviors, first := targets[f.Rand.IntN(len(targets))], f.misbehaviors(), f.Rand.Int64N(100)
	f.Logf("a new target of %s cycles through all misbehaviors", s.Service)
	f.replaceTarget(s, func(n int64) string {
		if n%3 == 0 {
			return misbehaviors[(first+n/3)%int64(len(misbehaviors))]
		}
		return standin.WellBehaved
	})
}

// replaceTarget replaces a leaving target by one that misbehaves. misbehavior returns the behavior
// for the nth request.
func (f *Fleet) replaceTarget(s *standin.Server, misbehavior func(int64) string) {
	f.RemoveTarget(s)
	s.Announce(f.ctx, "leaving")
	time.Sleep(2500 * time.Millisecond)
	s.Close()
	replacement := f.configureTarget(&standin.Server{Network: f.Network.HostAt(hostOf(s.Address)), History: f.History, Service: s.Service, Zone: s.Zone, Address: s.Address, SealKey: s.SealKey, Nodes: s.Nodes, ServiceTime: s.ServiceTime, Misbehavior: misbehavior})
	if err := replacement.Start(f.ctx); err != nil {
		panic(err)
	}
	f.mu.Lock()
	f.targets = append(f.targets, replacement)
	f.mu.Unlock()
}

// loseResponses replaces the booking targets by ones that lose every second response, while clients
// retry at once. A proxy may then be killed and restart with an empty memory, or be isolated from
// the fleet, so that it has no fresh epoch with which to forward a retry.
func loseResponses(f *Fleet) {
	for _, s := range f.Targets("bookings") {
		if s.Misbehavior == nil {
			f.Logf("%s %s is replaced by a target that loses responses", s.Service, s.Instance)
			f.replaceTarget(s, func(n int64) string {
				if n%2 == 0 {
					return standin.CloseUnanswered
				}
				return standin.WellBehaved
			})
		}
	}
	f.sleepBetween(2*time.Second, 6*time.Second)
	m := f.pick(f.Proxies())
	switch f.Rand.IntN(3) {
	case 0:
		f.Logf("kill %s", m.Name)
		m.Kill(false)
		f.startMachine(m)
	case 1:
		f.Logf("isolate %s", m.Name)
		f.isolate([]*Machine{m})
		f.sleepBetween(time.Second, 3*time.Second)
		f.Logf("heal")
		f.Network.Heal()
	}
}

// disturbTargetsDuring returns a fault in which a target drains but continues to serve, with the
// given fault injected right before the drain is announced or right after its acknowledgement.
func disturbTargetsDuring(fault func(f *Fleet) func()) func(*Fleet) {
	return func(f *Fleet) {
		f.sleepBetween(500*time.Millisecond, 1500*time.Millisecond)
		services := []string{"bookings", "rates"}
		service := services[f.Rand.IntN(2)]
		targets := f.Targets(service)
		s := targets[f.Rand.IntN(len(targets))]
		f.RemoveTarget(s)
		restore := func() {}
		faultFirst := f.Rand.IntN(2) == 0
		if faultFirst {
			restore = fault(f)
		}
		f.Logf("%s %s drains", service, s.Instance)
		ctx, cancel := context.WithTimeout(f.ctx, 8*time.Second)
		s.Announce(ctx, "draining")
		cancel()
		if !faultFirst {
			restore = fault(f)
		}
		f.sleepBetween(2500*time.Millisecond, 4*time.Second)
		restore()
		s.Close()
		f.StartTarget(service, "", f.Rand.IntN(f.Shape.Zones))
		f.sleepBetween(time.Second, 2*time.Second)
	}
}

// pauseRepeatedly pauses one machine for 700 ms again and again, so that responses reach it late.
// The function returned ends this.
func pauseRepeatedly(f *Fleet) func() {
	m := f.pick(f.Machines)
	f.Logf("pause %s repeatedly", m.Name)
	stopped := make(chan struct{})
	go func() {
		for {
			f.Network.Pause(m.IP)
			time.Sleep(700 * time.Millisecond)
			f.Network.Unpause(m.IP)
			select {
			case <-stopped:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	}()
	return func() { close(stopped); time.Sleep(time.Second) }
}

// killCores kills one core node or all of them, and restarts them at once.
func killCores(f *Fleet) func() {
	victims := []*Machine{f.pick(f.Cores())}
	if f.Rand.IntN(2) == 0 {
		victims = f.Cores()
	}
	for _, m := range victims {
		f.Logf("kill %s", m.Name)
		m.Kill(false)
	}
	for _, m := range victims {
		f.startMachine(m)
	}
	return func() {}
}
