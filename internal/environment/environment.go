// Package environment provides what every task of a node needs: its settings, event log,
// network, disk, clock and shutdown. An Environment is passed instead of these as separate
// arguments, and is the context.Context of everything that the node does. The simulator
// creates environments with a simulated network and disks and runs all other code unchanged.
package environment

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/config"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/metrics"
)

// Environment belongs to one run of one node. As a context, it is done as soon as Shutdown is
// called or its parent is done.
type Environment struct {
	context.Context
	Config    *config.Settings
	Events    *eventlog.Log
	Host      Host
	Name      ids.NodeName
	Latencies *metrics.Latencies
	// Trace, if set, is called with each step of the replicated shards; the simulator checks
	// the steps against the model of the protocol.
	Trace func(step any)

	cancel context.CancelFunc
	tasks  *taskGroup
}

// New returns the environment of a node. Call Shutdown to release it.
func New(parent context.Context, settings *config.Settings, events *eventlog.Log, host Host) *Environment {
	ctx, cancel := context.WithCancel(parent)
	return &Environment{
		Context:   ctx,
		Config:    settings,
		Events:    events,
		Host:      host,
		Name:      ids.NodeName(settings.Name),
		Latencies: &metrics.Latencies{MaxServices: settings.MetricsServices},
		cancel:    cancel,
		tasks:     newTaskGroup(),
	}
}

// Go runs a task in a new goroutine that Shutdown waits for. It may be called while Shutdown
// waits, also from outside any task, such as from a request handler.
func (e *Environment) Go(task func()) { e.tasks.start(task) }

// Shutdown cancels the environment and waits until all tasks have returned.
func (e *Environment) Shutdown() {
	e.cancel()
	e.tasks.wait()
}

// IsStopping reports whether the environment is done; tasks may still be running.
func (e *Environment) IsStopping() bool { return e.Err() != nil }

// Sleep waits for the given time and reports whether the environment is still running; it
// returns early when the environment is done. It creates no timer for a pause of zero: a
// timer that is due at once is run by the goroutine that selects on it, which crashes the
// process in a synctest bubble under the race detector.
func (e *Environment) Sleep(pause time.Duration) bool {
	if pause <= 0 {
		return !e.IsStopping()
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-e.Done():
		return false
	case <-timer.C:
		return true
	}
}

// WaitUntil waits until the due time or a signal, whichever comes first, and reports whether it
// was the signal; the error is that of the context if it is done. It creates a timer only if due
// is in the future: a timer that expires before anyone waits for it crashes the process in the
// case described at Sleep.
func WaitUntil(ctx context.Context, due time.Time, signal <-chan struct{}) (isSignaled bool, err error) {
	remaining := time.Until(due)
	if remaining <= 0 {
		select {
		case <-signal:
			return true, ctx.Err()
		default:
			return false, ctx.Err()
		}
	}
	timer := time.NewTimer(remaining)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false, ctx.Err()
	case <-signal:
		return true, nil
	case <-timer.C:
		return false, nil
	}
}

// Jitter returns a random duration, uniformly distributed within 25 % of pause, so that nodes
// that started at the same time do not stay synchronized.
func Jitter(pause time.Duration) time.Duration {
	return pause*3/4 + time.Duration(rand.Int64N(int64(pause)/2+1))
}
