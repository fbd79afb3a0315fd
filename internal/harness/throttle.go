package harness

import (
	"context"
	"sync"
	"syscall"
	"time"
)

// throttlePeriod is the length of one cycle in which a throttled process is resumed and stopped.
const throttlePeriod = 20 * time.Millisecond

// throttle limits each machine to its share of one processor by stopping and resuming its process
// in a fixed cycle. This is stricter than a CPU quota, because an idle process is stopped as well.
// The returned function ends the throttling and waits until it has ended.
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

// throttle lets the process run for a share of each period until the context ends. It doesn't
// resume a frozen process.
func (m *Machine) throttle(ctx context.Context, share float64) {
	runTime := time.Duration(float64(throttlePeriod) * share)
	for ctx.Err() == nil {
		time.Sleep(runTime)
		m.signal(syscall.SIGSTOP)
		time.Sleep(throttlePeriod - runTime)
		if !m.frozen.Load() {
			m.signal(syscall.SIGCONT)
		}
	}
}
