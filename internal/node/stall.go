package node

import (
	"sync/atomic"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
)

const (
	// stallInterval is between two looks whether the process runs in time.
	stallInterval = 100 * time.Millisecond
	// minStall is from how long on a delay counts as a stall.
	minStall = 100 * time.Millisecond
)

// stallWatch tells by how much the machine holds this process up. What takes too long in a
// process that was not held up is the process's own fault.
type stallWatch struct {
	env   *environment.Environment
	total atomic.Int64 // nanoseconds
}

// run looks until the environment ends.
func (w *stallWatch) run() {
	for {
		began := w.env.Now()
		goesOn := w.env.Sleep(stallInterval)
		w.observe(w.env.Since(began) - stallInterval)
		if !goesOn {
			return
		}
	}
}

// observe counts and reports a delay that is long enough to count.
func (w *stallWatch) observe(delay time.Duration) {
	if delay < minStall {
		return
	}
	w.total.Add(int64(delay))
	w.env.Events.Emit(eventlog.ProcessStalled, "ms", delay.Milliseconds())
}

// stalledFor is the sum of all stalls since the start.
func (w *stallWatch) stalledFor() time.Duration { return time.Duration(w.total.Load()) }
