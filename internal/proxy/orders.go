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

// window is how long an order is remembered, three times over.
const window = 10 * time.Second

// What can be known of an order.
const (
	unheardOf = ""
	underWay  = "under way"
	unknown   = "unknown"
	ran       = "ran"
)

type order struct {
	at      time.Time
	running int
	settled string
}

// Orders is one proxy's.
type Orders struct {
	mu    sync.Mutex
	known map[uint64]*order
	swept time.Time
}

func NewOrders() *Orders { return &Orders{known: map[uint64]*order{}} }

// orderOf is the hash by which an order is known; zero for one without a key.
func orderOf(r *http.Request) uint64 {
	key := r.Header.Get(HeaderOnce)
	if key == "" {
		return 0
	}
	return ids.Score(r.Method, r.URL.Path, key) | 1
}

func (o *order) state() string {
	switch {
	case o == nil || time.Since(o.at) > 3*window:
		return unheardOf
	case o.settled == ran:
		return ran
	case o.running > 0:
		return underWay
	}
	return o.settled
}

// Of tells what is known of an order.
func (o *Orders) Of(key uint64) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.known[key].state()
}

// Begin notes that a try of the order is under way, and tells what was known
// before. An order that is to run once has no second try beside the first.
func (o *Orders) Begin(key uint64, isOnce bool) string {
	if key == 0 {
		return unheardOf
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	known := o.known[key]
	before := known.state()
	if before != unheardOf && isOnce {
		return before
	}
	if known == nil {
		known = &order{}
		o.known[key] = known
	}
	known.at = time.Now()
	known.running++
	o.sweep()
	return before
}

// End notes how a try ended; unheardOf says that nothing was written.
func (o *Orders) End(key uint64, how string) {
	if key == 0 {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	known := o.known[key]
	if known == nil {
		return
	}
	known.at = time.Now()
	known.running--
	if known.settled != ran && how != unheardOf {
		known.settled = how
	}
	if known.running == 0 && known.settled == unheardOf {
		delete(o.known, key)
	}
}

// Heard takes orders that another proxy handed over without an answer.
func (o *Orders) Heard(keys []uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, key := range keys {
		known := o.known[key]
		if known == nil {
			known = &order{}
			o.known[key] = known
		}
		known.at = time.Now()
		if known.settled == unheardOf {
			known.settled = unknown
		}
	}
	o.sweep()
}

func (o *Orders) sweep() {
	now := time.Now()
	if now.Sub(o.swept) < window {
		return
	}
	o.swept = now
	for key, known := range o.known {
		if now.Sub(known.at) > 3*window && known.running == 0 {
			delete(o.known, key)
		}
	}
}

// ofOrder turns a refusal of a try into what is true of its order.
func ofOrder(state string, p *errcode.Problem) *errcode.Problem {
	isSpent := p.Code.No == errcode.BudgetSpent.No
	if state == unheardOf || p.Code.Outcome != "not run" && !isSpent || isSpent && state != ran {
		return p
	}
	return errcode.Of(knownOrder(state, fmt.Sprintf("a repeat, refused with %d %s", p.Code.No, p.Code.Name)))
}
