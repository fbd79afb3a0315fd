// Orders is what a proxy remembers of requests that bore a caller's key, so that
// what it says of a repeat is true of the order and not just of that try: an
// order that was handed over is never called "not run" any more, whatever the
// reason for which its repeat is refused. The key is known by the hash of the
// method, the path and the caller's word, so that a change set which moves the
// mapping to another service does not make a new order of it.
package proxy

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/ids"
)

// Window is how long an order is remembered, three times over.
const Window = 10 * time.Second

// What can be known of an order.
const (
	Unheard = ""
	Running = "under way"
	Unknown = "unknown"
	Ran     = "ran"
)

type trackedOrder struct {
	lastSeen time.Time
	running  int
	outcome  string
}

// Tracker is one proxy's.
type Tracker struct {
	mu        sync.Mutex
	orders    map[uint64]*trackedOrder
	expiredAt time.Time
}

func NewTracker() *Tracker { return &Tracker{orders: map[uint64]*trackedOrder{}} }

// KeyOf is the hash by which an order is known; zero for one without a key.
func KeyOf(r *http.Request) uint64 {
	key := r.Header.Get(HeaderIdempotencyKey)
	if key == "" {
		return 0
	}
	return ids.Hash(r.Method, r.URL.Path, key) | 1
}

func (o *trackedOrder) state() string {
	switch {
	case o == nil || time.Since(o.lastSeen) > 3*Window:
		return Unheard
	case o.outcome == Ran:
		return Ran
	case o.running > 0:
		return Running
	}
	return o.outcome
}

// State tells what is known of an order.
func (t *Tracker) State(key uint64) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.orders[key].state()
}

// Begin notes that a try of the order is under way, and tells what was known
// before. An order that is to run once has no second try beside the first.
func (t *Tracker) Begin(key uint64, once bool) string {
	if key == 0 {
		return Unheard
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	order := t.orders[key]
	before := order.state()
	if before != Unheard && once {
		return before
	}
	if order == nil {
		order = &trackedOrder{}
		t.orders[key] = order
	}
	order.lastSeen = time.Now()
	order.running++
	t.expire()
	return before
}

// End notes how a try ended; Unheard says that nothing was written.
func (t *Tracker) End(key uint64, outcome string) {
	if key == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	order := t.orders[key]
	if order == nil {
		return
	}
	order.lastSeen = time.Now()
	order.running--
	if order.outcome != Ran && outcome != Unheard {
		order.outcome = outcome
	}
	if order.running == 0 && order.outcome == Unheard {
		delete(t.orders, key)
	}
}

// RecordPeerLosses takes orders that another proxy handed over without an answer.
func (t *Tracker) RecordPeerLosses(keys []uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, key := range keys {
		order := t.orders[key]
		if order == nil {
			order = &trackedOrder{}
			t.orders[key] = order
		}
		order.lastSeen = time.Now()
		if order.outcome == Unheard {
			order.outcome = Unknown
		}
	}
	t.expire()
}

func (t *Tracker) expire() {
	now := time.Now()
	if now.Sub(t.expiredAt) < Window {
		return
	}
	t.expiredAt = now
	for key, order := range t.orders {
		if now.Sub(order.lastSeen) > 3*Window && order.running == 0 {
			delete(t.orders, key)
		}
	}
}

// Refusal turns a refusal of a try into what is true of its order.
func Refusal(state string, problem *errcode.Problem) *errcode.Problem {
	budgetSpent := problem.Code.No == errcode.BudgetSpent.No
	if state == Unheard || problem.Code.Outcome != "not run" && !budgetSpent || budgetSpent && state != Ran {
		return problem
	}
	return errcode.Of(errKnown(state, fmt.Sprintf("a repeat, refused with %d %s", problem.Code.No, problem.Code.Name)))
}
