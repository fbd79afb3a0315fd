// Package idempotency keeps requests that may not run twice from doing so, although their
// clients repeat them under the same Idempotency-Key
// (draft-ietf-httpapi-idempotency-key-header).
//
// Tracker is what one proxy knows of such requests, Records is what all proxies agree on
// through the replicated state, and LossReporter is how proxies tell one another of requests
// that got no response.
package idempotency

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
)

// State is what is known of a request with a key.
type State string

// The states. Unknown and Ran are stored in the replicated state.
const (
	Unheard State = ""          // nothing is known of it, or it surely did not run
	Running State = "under way" // an attempt has been forwarded and not ended
	Unknown State = "unknown"   // forwarded, and got no response
	Ran     State = "ran"
)

// outcomeNotRun is the outcome of error codes that say that a request surely did not run.
const outcomeNotRun = "not run"

// StateAfter is the state that an attempt leaves behind which ended with err.
func StateAfter(err error) State {
	switch {
	case err == nil || errors.Is(err, errcode.OrderRan):
		return Ran
	case errcode.From(err).Code.Outcome == "unknown" && !errors.Is(err, errcode.OrderInFlight):
		return Unknown
	}
	return Unheard
}

// Conflict is the error by which a repeat of a request is rejected, of which something is
// known.
func Conflict(state State, note string) error {
	switch state {
	case Ran:
		return errcode.New(errcode.OrderRan, "%s", note)
	case Unknown:
		return errcode.New(errcode.OrderUnknown, "%s", note)
	}
	return errcode.New(errcode.OrderInFlight, "%s", note)
}

// Refusal turns the error of one attempt into what is true of its request: one that was
// forwarded before is never called "not run" any more, whatever the reason for which its
// repeat is rejected.
func Refusal(state State, problem *errcode.Error) *errcode.Error {
	budgetSpent := problem.Code.Number == errcode.BudgetExhausted.Number
	if state == Unheard || problem.Code.Outcome != outcomeNotRun && !budgetSpent || budgetSpent && state != Ran {
		return problem
	}
	return errcode.From(Conflict(state, fmt.Sprintf("a repeat, refused with %d %s", problem.Code.Number, problem.Code.Name)))
}

const (
	// memory is how long a request is remembered after its last attempt or report.
	memory = 3 * expiryInterval

	// expiryInterval is the least time between two sweeps over what is remembered.
	expiryInterval = 10 * time.Second
)

// trackedRequest is a request with a key, by all its attempts.
type trackedRequest struct {
	lastSeen time.Time
	running  int   // attempts that have not ended
	outcome  State // of those that have
}

// state is what is known of the request; the receiver may be nil.
func (r *trackedRequest) state() State {
	switch {
	case r == nil || time.Since(r.lastSeen) > memory:
		return Unheard
	case r.outcome == Ran:
		return Ran
	case r.running > 0:
		return Running
	}
	return r.outcome
}

// Tracker remembers for a while the requests with a key that came to this proxy, or that
// another one lost, by their hashes (HashOf). It is safe for concurrent use.
type Tracker struct {
	mu        sync.Mutex // guards all that follows
	requests  map[uint64]*trackedRequest
	expiredAt time.Time // when requests were last expired
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker { return &Tracker{requests: map[uint64]*trackedRequest{}} }

// State is what is known of a request.
func (t *Tracker) State(hash uint64) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.requests[hash].state()
}

// Begin records that an attempt of a request begins, and returns the state before it. If the
// request has to be deduplicated and anything is known of it, the attempt may not be made
// and is not recorded. A hash of zero is a request without a key.
func (t *Tracker) Begin(hash uint64, deduplicate bool) State {
	if hash == 0 {
		return Unheard
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	request := t.requests[hash]
	before := request.state()
	if before != Unheard && deduplicate {
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

// End records how an attempt ended that Begin recorded; Unheard says that nothing was
// written.
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
	if request.outcome != Ran && outcome != Unheard {
		request.outcome = outcome
	}
	if request.running == 0 && request.outcome == Unheard {
		delete(t.requests, hash)
	}
}

// RecordPeerLosses takes requests that another proxy forwarded without getting a response.
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
		if request.outcome == Unheard {
			request.outcome = Unknown
		}
	}
	t.expire()
}

// expire forgets requests that were not seen for a while. t.mu is held.
func (t *Tracker) expire() {
	now := time.Now()
	if now.Sub(t.expiredAt) < expiryInterval {
		return
	}
	t.expiredAt = now
	for hash, request := range t.requests {
		if now.Sub(request.lastSeen) > memory && request.running == 0 {
			delete(t.requests, hash)
		}
	}
}
