// Package fencing lets targets, the programs that serve requests behind the gateway, reject
// requests that were routed under an outdated epoch.
//
// A proxy checks that its epoch is fresh right before it writes a request. But its process may
// be suspended after the check, and a written request may wait in the target's socket. So only
// the target can determine the age of a request's epoch at the time of execution. Fence does
// that: the epoch is the request's fencing token, and the responses to the target's heartbeats
// contain the current epoch.
package fencing

import (
	"errors"
	"sync"
	"time"
)

// MaxConfirmationAge is the maximum age of the confirmation by which a request is checked, and
// the maximum time for which a target accepts requests after it has reported that it drains. It
// is less than the two seconds after which a superseded epoch must no longer be used.
const MaxConfirmationAge = 1900 * time.Millisecond

// Errors returned by Check. The request must not be executed. They say nothing about later
// requests.
var (
	// ErrSuperseded is returned for a request whose epoch may have been superseded more than
	// MaxConfirmationAge ago.
	ErrSuperseded = errors.New("the request's epoch is superseded")
	// ErrUnconfirmed is returned if the current epoch has not been confirmed for longer than
	// MaxConfirmationAge, for example after this process was suspended.
	ErrUnconfirmed = errors.New("the current epoch is not confirmed")
	// ErrDraining is returned for requests that arrive more than MaxConfirmationAge after the
	// target reported that it drains.
	ErrDraining = errors.New("the target has been draining for too long")
)

// confirmation records that an epoch was current at a time: no later epoch was acknowledged
// before then.
type confirmation struct {
	epoch uint64
	asOf  time.Time
}

// Fence checks requests by the epochs that they name. The zero value accepts every request
// until Announce is called. A Fence is safe for concurrent use. All times must be from one clock
// that continues while the machine is suspended (CLOCK_BOOTTIME on Linux).
//
// Invariant, once a response to a heartbeat has named an epoch: a request accepted at time t
// names an epoch that no acknowledged epoch had superseded at t - MaxConfirmationAge, and t is
// at most MaxConfirmationAge after the target reported that it drains.
type Fence struct {
	mu sync.Mutex
	// confirmations are sorted by time, the oldest first.
	confirmations []confirmation
	// firstHeartbeatAt is when the target started to send its first heartbeat; no epoch that
	// includes the target is older. isAwaitingResponse is set from then until the first response.
	firstHeartbeatAt   time.Time
	isAwaitingResponse bool
	drainingSince      time.Time // zero unless the target drains
}

// Confirm records that an epoch was current at a time. It ignores a confirmation that is not
// later than the last one, because responses may arrive out of order.
func (f *Fence) Confirm(epoch uint64, asOf time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := len(f.confirmations); n > 0 && !asOf.After(f.confirmations[n-1].asOf) {
		return
	}
	f.confirmations = append(f.confirmations, confirmation{epoch, asOf})
	f.isAwaitingResponse = false
	f.dropExpired(asOf) // asOf is not later than now
}

// Announce records when the target started to send its first heartbeat. Later calls have no
// effect.
func (f *Fence) Announce(sentAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.firstHeartbeatAt.IsZero() {
		f.firstHeartbeatAt, f.isAwaitingResponse = sentAt, true
	}
}

// Lift records that a gateway responded to a heartbeat without naming an epoch. Until the next
// confirmation, Check rejects requests only because of a drain.
func (f *Fence) Lift() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirmations, f.isAwaitingResponse = nil, false
}

// Drain records when the target started to report to the gateway that it drains or leaves. Later
// calls have no effect until Serve is called.
func (f *Fence) Drain(drainingSince time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.drainingSince.IsZero() {
		f.drainingSince = drainingSince
	}
}

// Serve records that the target serves again after a drain.
func (f *Fence) Serve() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.drainingSince = time.Time{}
}

// Check returns nil if a request that names an epoch may be executed now, and otherwise the
// reason why not.
func (f *Fence) Check(epoch uint64, now time.Time) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.drainingSince.IsZero() && now.Sub(f.drainingSince) > MaxConfirmationAge {
		return ErrDraining
	}
	if len(f.confirmations) == 0 {
		if f.isAwaitingResponse && now.Sub(f.firstHeartbeatAt) > MaxConfirmationAge {
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

// dropExpired drops the confirmations older than MaxConfirmationAge, except the last one.
func (f *Fence) dropExpired(now time.Time) {
	for len(f.confirmations) > 1 && now.Sub(f.confirmations[0].asOf) > MaxConfirmationAge {
		f.confirmations = f.confirmations[1:]
	}
}
