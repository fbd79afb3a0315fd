package harness

import (
	"context"
	"sync"
	"syscall"
	"time"
)

// throttlePeriod is one cycle of a throttled process.
const throttlePeriod = 20 * time.Millisecond

// throttle gives each machine its share of one processor, by stopping and continuing its
// process in a fixed cycle. This is harder than a quota of the system: a process that has
// nothing to do is stopped as well. The function that it returns ends it and waits.
func (r *run) throttle() (stop func()) {
	ctx, cancel := context.WithCancel(r.ctx)
	var tasks sync.WaitGroup
	for _, m := range r.fleet.Machines {
		share := r.Shape.ProxyCPU
		if m.role == roleCore {
			share = r.Shape.CoreCPU
		}
		if share > 0 && share < 1 {
			tasks.Go(func() { m.throttle(ctx, share) })
		}
	}
	return func() {
		cancel()
		tasks.Wait()
	}
}

// throttle lets the process run for a share of each period, until the context ends. One that
// is frozen stays so.
func (m *Machine) throttle(ctx context.Context, share float64) {
	running := time.Duration(float64(throttlePeriod) * share)
	for ctx.Err() == nil {
		time.Sleep(running)
		m.signal(syscall.SIGSTOP)
		time.Sleep(throttlePeriod - running)
		if !m.frozen.Load() {
			m.signal(syscall.SIGCONT)
		}
	}
}
