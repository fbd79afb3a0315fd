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
	// waitsInterval is between two readings of what the kernel tells, from which those of a stall
	// are counted.
	waitsInterval = 5 * time.Second
	// minStall is from how long on a delay counts as a stall.
	minStall = 100 * time.Millisecond
)

// stallWatch tells by how much the machine holds this process up, and what the process and its
// machine have waited for meanwhile. What takes too long in a process that was not held up is the
// process's own fault.
type stallWatch struct {
	env   *environment.Environment
	total atomic.Int64 // nanoseconds

	waits  environment.Waits // when they were last read
	readAt time.Time
}

// run looks until the environment ends.
func (w *stallWatch) run() {
	w.readWaits()
	for {
		if w.env.Since(w.readAt) >= waitsInterval {
			w.readWaits()
		}
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
	before, since := w.waits, w.env.Since(w.readAt)
	w.readWaits()
	waits := w.waits.Since(before)
	w.env.Events.Emit(eventlog.ProcessStalled, "ms", delay.Milliseconds(),
		"processor_wait_ms", waits.Processor.Milliseconds(), "disk_wait_ms", waits.Disk.Milliseconds(),
		"stolen_ms", waits.Stolen.Milliseconds(), "within_ms", since.Milliseconds())
}

// readWaits asks the kernel for the process's waits so far.
func (w *stallWatch) readWaits() {
	w.readAt = w.env.Now()
	if w.env.Host.Waits != nil {
		w.waits = w.env.Host.Waits()
	}
}

// stalledFor is the sum of all stalls since the start.
func (w *stallWatch) stalledFor() time.Duration { return time.Duration(w.total.Load()) }
