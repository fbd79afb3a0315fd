// Faults of the stand-in servers: drained, signed off, crashed, replaced, wrong
// in their answers, and all that while the fleet itself is hurt.

package simulator

import (
	"context"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/standin"
)

// disturbTargets come and go: drained, signed off, crashed, wrong in their answers;
// and another service takes over an address two seconds after it was left.
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
		f.Logf("%s %s crashes, %s takes %s after two seconds", service, s.Instance, other, s.Address)
		f.RemoveTarget(s)
		s.Crash()
		time.Sleep(2 * time.Second)
		f.StartTarget(other, hostOf(s.Address), f.Rand.IntN(f.Shape.Zones))
	case 4:
		f.Logf("%s %s falls silent and goes on serving", service, s.Instance)
		f.RemoveTarget(s)
		s.StopHeartbeats()
		time.Sleep(3100*time.Millisecond + max(s.FailureTimeout, 900*time.Millisecond))
		s.Close()
		f.StartTarget(service, "", f.Rand.IntN(f.Shape.Zones))
	case 5:
		misbehaviors := f.misbehaviors()
		misbehavior := misbehaviors[f.Rand.IntN(len(misbehaviors))]
		f.Logf("a new server of %s does %q now and then", service, misbehavior)
		f.replaceTarget(s, func(n int64) string {
			if n%3 == 0 {
				return misbehavior
			}
			return standin.WellBehaved
		})
	}
}

// corruptResponses puts servers in place that misbehave in all the ways there are, in turn,
// with two answers as they should be between any two.
func corruptResponses(f *Fleet) {
	f.sleepBetween(200*time.Millisecond, time.Second)
	targets := f.Targets([]string{"bookings", "rates"}[f.Rand.IntN(2)])
	s, misbehaviors, first := targets[f.Rand.IntN(len(targets))], f.misbehaviors(), f.Rand.Int64N(100)
	f.Logf("a new server of %s does all that is wrong, in turn", s.Service)
	f.replaceTarget(s, func(n int64) string {
		if n%3 == 0 {
			return misbehaviors[(first+n/3)%int64(len(misbehaviors))]
		}
		return standin.WellBehaved
	})
}

// replaceTarget puts a server that misbehaves in the place of one that leaves.
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

// overloadTargets has servers that lose many answers, while callers repeat at once; now
// and then a proxy is killed and comes back with an empty memory, or is cut off
// from the fleet and has no fresh plan by which to hand a repeat over.
func loseResponses(f *Fleet) {
	for _, s := range f.Targets("bookings") {
		if s.Misbehavior == nil {
			f.Logf("%s %s gives way to one that loses answers", s.Service, s.Instance)
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
		f.Logf("cut %s off", m.Name)
		f.isolate([]*Machine{m})
		f.sleepBetween(time.Second, 3*time.Second)
		f.Logf("heal")
		f.Network.Heal()
	}
}

// disturbTargetsDuring lets a server drain and go on serving, with a fault right after
// its drain was acknowledged.
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

// slowLinks holds one machine still for a moment, again and again, so that what
// it asked for comes late.
func pauseRepeatedly(f *Fleet) func() {
	m := f.pick(f.Machines)
	f.Logf("hold %s still again and again", m.Name)
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

// killLeader kills all core nodes or one, and brings them back at once.
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
