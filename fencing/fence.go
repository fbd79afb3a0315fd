// Package fencing is for programs that serve requests behind the gateway.
//
// A proxy asks whether its epoch is fresh right before it writes a request. It may stand still
// between the two, and what it has written may wait in the target's socket. So only the target
// can tell how old the epoch of a request is when it begins to work on it. Fence does that: the
// epoch of a request is its fencing token, and the responses to the target's heartbeats tell
// which tokens have been superseded.
package fencing

import (
	"errors"
	"sync"
	"time"
)

// MaxConfirmationAge bounds how old the confirmation may be by which a request is judged, and how
// long after the word of its drain a target takes requests. It stays below the two seconds after which a superseded epoch must not be used any more.
const MaxConfirmationAge = 1900 * time.Millisecond

// A request for which Check returns one of these errors must not be executed. Neither error
// says anything of later requests.
var (
	// ErrSuperseded is returned for a request whose epoch was superseded too long ago.
	ErrSuperseded = errors.New("the request's epoch is superseded")
	// ErrUnconfirmed is returned while the epoch in force has not been confirmed for longer
	// than MaxConfirmationAge, for instance after this process stood still.
	ErrUnconfirmed = errors.New("the epoch in force is not confirmed")
	// ErrDraining is returned for what comes too long after the target said that it drains.
	ErrDraining = errors.New("the target has been draining for too long")
)

// confirmation says that an epoch was in force at a time; any later one was not acknowledged then.
type confirmation struct {
	epoch uint64
	asOf  time.Time
}

// Fence judges requests by the epochs that they name. The zero value lets every request pass until
// Announce. It is safe for concurrent use. All times must be of one clock that goes on while the
// machine is suspended (CLOCK_BOOTTIME on Linux).
//
// The invariant, for a target that was answered with an epoch: a request that passes at a time t names an epoch that no acknowledged epoch had
// superseded at t - MaxConfirmationAge, and comes no later than MaxConfirmationAge after the target
// said that it drains.
type Fence struct {
	mu sync.Mutex
	// confirmations are in the order of their times, the oldest first.
	confirmations []confirmation
	// announcedAt is when the target began to send its first heartbeat; no epoch that names it is
	// older. isUnanswered is set from then until the first answer.
	announcedAt   time.Time
	isUnanswered  bool
	drainingSince time.Time // zero while the target does not drain
}

// Confirm takes over that an epoch was in force at a time. A time that is earlier than that of a
// confirmation before is ignored: responses may overtake each other.
func (f *Fence) Confirm(epoch uint64, asOf time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := len(f.confirmations); n > 0 && !asOf.After(f.confirmations[n-1].asOf) {
		return
	}
	f.confirmations = append(f.confirmations, confirmation{epoch, asOf})
	f.isUnanswered = false
	f.dropExpired(asOf) // it is not later than now
}

// Announce says that the target began to send its first heartbeat at a time. Only the first counts.
func (f *Fence) Announce(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.announcedAt.IsZero() {
		f.announcedAt, f.isUnanswered = at, true
	}
}

// Lift says that a gateway answered a heartbeat without naming an epoch. Nothing is refused then
// until the next confirmation, but for what comes long after a drain.
func (f *Fence) Lift() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirmations, f.isUnanswered = nil, false
}

// Drain says that the target told, or began to tell, the gateway at a time that it drains or leaves.
// Only the first such time counts.
func (f *Fence) Drain(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.drainingSince.IsZero() {
		f.drainingSince = at
	}
}

// Serve says that the target serves again after it drained.
func (f *Fence) Serve() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.drainingSince = time.Time{}
}

// Check returns why a request that names an epoch must not be executed now; nil if it may be.
func (f *Fence) Check(epoch uint64, now time.Time) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.drainingSince.IsZero() && now.Sub(f.drainingSince) > MaxConfirmationAge {
		return ErrDraining
	}
	if len(f.confirmations) == 0 {
		if f.isUnanswered && now.Sub(f.announcedAt) > MaxConfirmationAge {
			return ErrUnconfirmed
		}
		return nil
	}
	f.dropExpired(now)
	switch oldest := f.confirmations[0]; {
	case now.Sub(oldest.asOf) > MaxConfirmationAge:
		return ErrUnconfirmed
	case epoch < oldest.epoch:
		return ErrSuperseded
	}
	return nil
}

// dropExpired drops the confirmations that are too old to judge by, but for the last.
func (f *Fence) dropExpired(now time.Time) {
	for len(f.confirmations) > 1 && now.Sub(f.confirmations[0].asOf) > MaxConfirmationAge {
		f.confirmations = f.confirmations[1:]
	}
}
