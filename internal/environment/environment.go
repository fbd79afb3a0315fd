// Package environment holds what every task of a node needs: its settings, its log of
// events, the network and the disk that it may use, its clock, and the end of its life.
// It is handed on in place of many arguments and is the context.Context of all that the
// node does. The simulator makes environments with a network and disks of its own and
// runs everything else as it is.
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

// Environment is that of one run of one node. It is done, as a context, as soon as its
// Shutdown is called or its parent is done.
type Environment struct {
	context.Context
	Config    *config.Settings
	Events    *eventlog.Log
	Host      Host
	Name      ids.NodeName
	Latencies *metrics.Latencies
	// Trace is called with each step of the replicated shards, if it is set; the simulator
	// holds the steps against the model of the protocol.
	Trace func(step any)

	cancel context.CancelFunc
	tasks  *taskGroup
}

// New returns the environment of a node with these settings.
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

// Go runs a task in a goroutine of its own that Shutdown waits for. It may be called
// while Shutdown waits, also from outside any task, such as a request's handler.
func (e *Environment) Go(task func()) { e.tasks.start(task) }

// Shutdown tells all tasks to finish and waits until they have.
func (e *Environment) Shutdown() {
	e.cancel()
	e.tasks.wait()
}

// IsStopping reports whether the environment is done; tasks may still be running.
func (e *Environment) IsStopping() bool { return e.Err() != nil }

// Sleep pauses and reports whether the node goes on; it returns early when the
// environment is done. A pause of nothing makes no timer: one that is due at once is run
// by whoever selects on it, and in a bubble of virtual time under the race detector that
// ends the process.
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

// WaitUntil waits for a moment or a signal, whichever comes first, and tells whether it was the
// signal; the error is that of a context that ended. It makes a timer only for a moment that is
// still to come: one that expires while nobody waits for it ends the process as Sleep's would.
func WaitUntil(ctx context.Context, due time.Time, signal <-chan struct{}) (isSignalled bool, err error) {
	left := time.Until(due)
	if left <= 0 {
		select {
		case <-signal:
			return true, ctx.Err()
		default:
			return false, ctx.Err()
		}
	}
	timer := time.NewTimer(left)
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

// Jitter returns a pause spread evenly by a quarter to both sides, so that nodes that
// began together don't go on together.
func Jitter(pause time.Duration) time.Duration {
	return pause*3/4 + time.Duration(rand.Int64N(int64(pause)/2+1))
}
