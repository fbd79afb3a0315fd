package node

import (
	"sync/atomic"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
)

const (
	// stallCheckInterval is the length of the sleeps whose delay is measured.
	stallCheckInterval = 100 * time.Millisecond
	// waitsReadInterval is how often the kernel's wait times are read. The waits reported with a
	// stall are counted from the last reading.
	waitsReadInterval = 5 * time.Second
	// minStall is the shortest delay that counts as a stall.
	minStall = 100 * time.Millisecond
)

// stallMonitor measures how long the machine keeps this process from running, and what the
// process and its machine were waiting for meanwhile. It separates delays caused by the machine
// from those caused by the process itself.
type stallMonitor struct {
	env   *environment.Environment
	total atomic.Int64 // nanoseconds

	lastWaits environment.Waits
	readAt    time.Time // when lastWaits was read
}

// run measures until the environment ends.
func (w *stallMonitor) run() {
	w.readWaits()
	for {
		if w.env.Since(w.readAt) >= waitsReadInterval {
			w.readWaits()
		}
		began := w.env.Now()
		isRunning := w.env.Sleep(stallCheckInterval)
		w.observe(w.env.Since(began) - stallCheckInterval)
		if !isRunning {
			return
		}
	}
}

// observe counts and logs a delay of at least minStall.
func (w *stallMonitor) observe(delay time.Duration) {
	if delay < minStall {
		return
	}
	w.total.Add(int64(delay))
	previous, elapsed := w.lastWaits, w.env.Since(w.readAt)
	w.readWaits()
	waits := w.lastWaits.Since(previous)
	w.env.Events.Emit(eventlog.ProcessStalled, "ms", delay.Milliseconds(),
		"processor_wait_ms", waits.Processor.Milliseconds(), "disk_wait_ms", waits.Disk.Milliseconds(),
		"stolen_ms", waits.Stolen.Milliseconds(), "within_ms", elapsed.Milliseconds())
}

// readWaits reads the process's total wait times from the kernel.
func (w *stallMonitor) readWaits() {
	w.readAt = w.env.Now()
	if w.env.Host.Waits != nil {
		w.lastWaits = w.env.Host.Waits()
	}
}

// totalStall returns the total length of all stalls since the start.
func (w *stallMonitor) totalStall() time.Duration { return time.Duration(w.total.Load()) }
