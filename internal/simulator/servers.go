// Faults of the stand-in servers: drained, signed off, crashed, replaced, wrong
// in their answers, and all that while the fleet itself is hurt.
package simulator

import (
	"context"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/standin"
)

// servers come and go: drained, signed off, crashed, wrong in their answers;
// and another service takes over an address two seconds after it was left.
func servers(f *Fleet) {
	f.nap(200*time.Millisecond, 1500*time.Millisecond)
	names := []string{"bookings", "rates"}
	service := names[f.Rand.IntN(2)]
	list := f.Servers(service)
	if len(list) < 2 {
		f.Serve(service, "", f.Rand.IntN(f.Shape.Zones))
		return
	}
	s := list[f.Rand.IntN(len(list))]
	switch f.Rand.IntN(6) {
	case 0:
		f.Say("%s %s drains and leaves", service, s.Instance)
		f.Forget(s)
		s.Announce(f.ctx, "draining")
		time.Sleep(2500 * time.Millisecond)
		s.Announce(f.ctx, "leaving")
		s.Close()
		f.Serve(service, "", f.Rand.IntN(f.Shape.Zones))
	case 1:
		f.Say("%s %s crashes", service, s.Instance)
		f.Forget(s)
		s.Crash()
		f.Serve(service, "", f.Rand.IntN(f.Shape.Zones))
	case 2, 3:
		other := names[f.Rand.IntN(2)]
		f.Say("%s %s crashes, %s takes %s after two seconds", service, s.Instance, other, s.Address)
		f.Forget(s)
		s.Crash()
		time.Sleep(2 * time.Second)
		f.Serve(other, host(s.Address), f.Rand.IntN(f.Shape.Zones))
	case 4:
		f.Say("%s %s falls silent and goes on serving", service, s.Instance)
		f.Forget(s)
		s.StopHeartbeats()
		time.Sleep(3100*time.Millisecond + max(s.FailureTimeout, 900*time.Millisecond))
		s.Close()
		f.Serve(service, "", f.Rand.IntN(f.Shape.Zones))
	case 5:
		ways := f.ways()
		way := ways[f.Rand.IntN(len(ways))]
		f.Say("a new server of %s does %q now and then", service, way)
		f.replace(s, func(n int64) string {
			if n%3 == 0 {
				return way
			}
			return standin.WellBehaved
		})
	}
}

// answers puts servers in place that misbehave in all the ways there are, in turn,
// with two answers as they should be between any two.
func answers(f *Fleet) {
	f.nap(200*time.Millisecond, time.Second)
	list := f.Servers([]string{"bookings", "rates"}[f.Rand.IntN(2)])
	s, ways, from := list[f.Rand.IntN(len(list))], f.ways(), f.Rand.Int64N(100)
	f.Say("a new server of %s does all that is wrong, in turn", s.Service)
	f.replace(s, func(n int64) string {
		if n%3 == 0 {
			return ways[(from+n/3)%int64(len(ways))]
		}
		return standin.WellBehaved
	})
}

// replace puts a server that misbehaves in the place of one that leaves.
func (f *Fleet) replace(s *standin.Server, misdo func(int64) string) {
	f.Forget(s)
	s.Announce(f.ctx, "leaving")
	time.Sleep(2500 * time.Millisecond)
	s.Close()
	bad := f.fit(&standin.Server{Network: f.W.Net(host(s.Address)), History: f.H, Service: s.Service, Zone: s.Zone, Address: s.Address, SealKey: s.SealKey, Nodes: s.Nodes, ServiceTime: s.ServiceTime, Misbehavior: misdo})
	if err := bad.Start(f.ctx); err != nil {
		panic(err)
	}
	f.mu.Lock()
	f.servers = append(f.servers, bad)
	f.mu.Unlock()
}

// storm has servers that lose many answers, while callers repeat at once; now
// and then a proxy is killed and comes back with an empty memory, or is cut off
// from the fleet and has no fresh plan by which to hand a repeat over.
func storm(f *Fleet) {
	for _, s := range f.Servers("bookings") {
		if s.Misbehavior == nil {
			f.Say("%s %s gives way to one that loses answers", s.Service, s.Instance)
			f.replace(s, func(n int64) string {
				if n%2 == 0 {
					return standin.CloseUnanswered
				}
				return standin.WellBehaved
			})
		}
	}
	f.nap(2*time.Second, 6*time.Second)
	m := f.pick(f.Proxies())
	switch f.Rand.IntN(3) {
	case 0:
		f.Say("kill %s", m.Name)
		m.Kill(false)
		f.up(m)
	case 1:
		f.Say("cut %s off", m.Name)
		f.isolate([]*Machine{m})
		f.nap(time.Second, 3*time.Second)
		f.Say("heal")
		f.W.Heal()
	}
}

// serversAnd lets a server drain and go on serving, with a fault right after
// its drain was acknowledged.
func serversAnd(fault func(f *Fleet) func()) func(*Fleet) {
	return func(f *Fleet) {
		f.nap(500*time.Millisecond, 1500*time.Millisecond)
		names := []string{"bookings", "rates"}
		service := names[f.Rand.IntN(2)]
		list := f.Servers(service)
		s := list[f.Rand.IntN(len(list))]
		f.Forget(s)
		mend := func() {}
		isFirst := f.Rand.IntN(2) == 0
		if isFirst {
			mend = fault(f)
		}
		f.Say("%s %s drains", service, s.Instance)
		ctx, end := context.WithTimeout(f.ctx, 8*time.Second)
		s.Announce(ctx, "draining")
		end()
		if !isFirst {
			mend = fault(f)
		}
		f.nap(2500*time.Millisecond, 4*time.Second)
		mend()
		s.Close()
		f.Serve(service, "", f.Rand.IntN(f.Shape.Zones))
		f.nap(time.Second, 2*time.Second)
	}
}

// slowWays holds one machine still for a moment, again and again, so that what
// it asked for comes late.
func slowWays(f *Fleet) func() {
	m := f.pick(f.Machines)
	f.Say("hold %s still again and again", m.Name)
	isOver := make(chan struct{})
	go func() {
		for {
			f.W.Hold(m.IP)
			time.Sleep(700 * time.Millisecond)
			f.W.Release(m.IP)
			select {
			case <-isOver:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	}()
	return func() { close(isOver); time.Sleep(time.Second) }
}

// killOwner kills all core nodes or one, and brings them back at once.
func killOwner(f *Fleet) func() {
	victims := []*Machine{f.pick(f.Cores())}
	if f.Rand.IntN(2) == 0 {
		victims = f.Cores()
	}
	for _, m := range victims {
		f.Say("kill %s", m.Name)
		m.Kill(false)
	}
	for _, m := range victims {
		f.up(m)
	}
	return func() {}
}
