// Package idempotency prevents requests from running twice when clients repeat them with the
// same Idempotency-Key (draft-ietf-httpapi-idempotency-key-header).
//
// Tracker holds the state of such requests at one proxy, Records holds the state that all
// proxies agree on through the replicated state, and LossReporter notifies the other proxies
// of requests that got no response.
package idempotency

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
)

// State is the known state of a request with a key.
type State string

// The states. Unknown and Ran are also stored in the replicated state.
const (
	Unrecorded State = ""          // no attempt is known that ran or may have run
	Running    State = "under way" // an attempt is in progress
	Unknown    State = "unknown"   // forwarded without a response; may have run
	Ran        State = "ran"
)

// outcomeNotRun is the outcome of error codes for requests that certainly did not run.
const outcomeNotRun = "not run"

// StateAfter returns the state of a request after an attempt that ended with err.
func StateAfter(err error) State {
	switch {
	case err == nil || errors.Is(err, errcode.DuplicateRan):
		return Ran
	case errcode.From(err).Code.Outcome == "unknown" && !errors.Is(err, errcode.DuplicateInFlight):
		return Unknown
	}
	return Unrecorded
}

// Conflict returns the error with which a repeat is rejected if the request has a known state.
func Conflict(state State, note string) error {
	switch state {
	case Ran:
		return errcode.New(errcode.DuplicateRan, "%s", note)
	case Unknown:
		return errcode.New(errcode.DuplicateUnknown, "%s", note)
	}
	return errcode.New(errcode.DuplicateInFlight, "%s", note)
}

// Rejection returns the error with which an attempt of a request is rejected, where state is
// the request's state and problem the error of this attempt. If another attempt ran or may
// have run, the error never says "not run", whatever the reason for the rejection.
func Rejection(state State, problem *errcode.Error) *errcode.Error {
	budgetSpent := problem.Code.Number == errcode.BudgetExhausted.Number
	if state == Unrecorded || problem.Code.Outcome != outcomeNotRun && !budgetSpent || budgetSpent && state != Ran {
		return problem
	}
	return errcode.From(Conflict(state, fmt.Sprintf("a repeat, refused with %d %s", problem.Code.Number, problem.Code.Name)))
}

const (
	// retention is how long a request is remembered after its last attempt or report.
	retention = 3 * expiryInterval

	// expiryInterval is the least time between two sweeps of expired requests.
	expiryInterval = 10 * time.Second
)

// trackedRequest is the combined state of all attempts of a request with a key.
type trackedRequest struct {
	lastSeen time.Time
	running  int   // attempts in progress
	outcome  State // combined outcome of the ended attempts
}

// state returns the state of the request; the receiver may be nil.
func (r *trackedRequest) state() State {
	switch {
	case r == nil || time.Since(r.lastSeen) > retention:
		return Unrecorded
	case r.outcome == Ran:
		return Ran
	case r.running > 0:
		return Running
	}
	return r.outcome
}

// Tracker holds, for the retention period, the requests with a key that this proxy received
// or that another proxy reported as lost, by their hashes (HashOf). It is safe for concurrent
// use.
type Tracker struct {
	mu        sync.Mutex // guards the fields below
	requests  map[uint64]*trackedRequest
	expiredAt time.Time // time of the last sweep
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker { return &Tracker{requests: map[uint64]*trackedRequest{}} }

// State returns the state of a request.
func (t *Tracker) State(hash uint64) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.requests[hash].state()
}

// Begin records the start of an attempt, and returns the state before it. If the request must
// be deduplicated and that state is not Unrecorded, the attempt is not recorded and must not
// be made. A hash of zero means a request without a key, which is not tracked.
func (t *Tracker) Begin(hash uint64, deduplicate bool) State {
	if hash == 0 {
		return Unrecorded
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	request := t.requests[hash]
	before := request.state()
	if before != Unrecorded && deduplicate {
		return before
	}
	if request == nil {
		request = &trackedRequest{}
		t.requests[hash] = request
	}
	request.lastSeen = time.Now()
	request.running++
	t.expire()
	return before
}

// End records the outcome of an attempt that Begin recorded; Unrecorded means that it
// certainly did not run.
func (t *Tracker) End(hash uint64, outcome State) {
	if hash == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	request := t.requests[hash]
	if request == nil {
		return
	}
	request.lastSeen = time.Now()
	request.running--
	if request.outcome != Ran && outcome != Unrecorded {
		request.outcome = outcome
	}
	if request.running == 0 && request.outcome == Unrecorded {
		delete(t.requests, hash)
	}
}

// RecordPeerLosses records requests that another proxy forwarded without getting a response.
func (t *Tracker) RecordPeerLosses(hashes []uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, hash := range hashes {
		request := t.requests[hash]
		if request == nil {
			request = &trackedRequest{}
			t.requests[hash] = request
		}
		request.lastSeen = time.Now()
		if request.outcome == Unrecorded {
			request.outcome = Unknown
		}
	}
	t.expire()
}

// expire deletes requests that have exceeded the retention period, at most once per
// expiryInterval. The caller holds t.mu.
func (t *Tracker) expire() {
	now := time.Now()
	if now.Sub(t.expiredAt) < expiryInterval {
		return
	}
	t.expiredAt = now
	for hash, request := range t.requests {
		if now.Sub(request.lastSeen) > retention && request.running == 0 {
			delete(t.requests, hash)
		}
	}
}
