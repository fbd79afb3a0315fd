// Pulses that a control node passes on to the owner of the configuration part: one
// serves all proxies that wait when it is sent, and between two lies a least pause, so
// that the owner hears as much of a large fleet as of a small one.
package distribution

import (
	"context"
	"sync"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// relayedPulse is one pulse to the owner, shared by all proxies that wait for it.
type relayedPulse struct {
	done    chan struct{}
	sent    time.Time
	receipt *rpc.FreshnessResponse
	err     error
}

// pulseRelay are a control node's, one after another.
type pulseRelay struct {
	env       *environment.Environment
	askLeader func() (*rpc.FreshnessResponse, error)

	mu           sync.Mutex
	running      bool
	waiting      *relayedPulse
	lastSent     time.Time     // when the last was sent
	lastAnswered *relayedPulse // the last that was answered
}

// relayShare is the least pause between two relays, as a share of that between two
// pulses of one proxy. For relayReuse what the owner said is passed on, with its age,
// without asking it again.
const (
	relayShare = 10
	relayReuse = 50 * time.Millisecond
)

// get waits for a relay that is sent from now on; its ages are older by the time that
// passed since it was sent.
func (r *pulseRelay) get(ctx context.Context) (*rpc.FreshnessResponse, error) {
	r.mu.Lock()
	mine := r.waiting
	if r.lastAnswered != nil && r.env.Since(r.lastAnswered.sent) < relayReuse {
		mine = r.lastAnswered
	}
	if mine == nil {
		mine = &relayedPulse{done: make(chan struct{})}
		r.waiting = mine
		if !r.running {
			r.running = true
			r.env.Go(r.run)
		}
	}
	r.mu.Unlock()
	select {
	case <-mine.done:
	case <-ctx.Done():
		return nil, errcode.New(errcode.NoOwner, "%v", ctx.Err())
	}
	if mine.err != nil {
		return nil, mine.err
	}
	grown := r.env.Since(mine.sent).Microseconds() + 1
	response := &rpc.FreshnessResponse{Epoch: mine.receipt.Epoch, BindingEpoch: mine.receipt.BindingEpoch, AgeMicros: mine.receipt.AgeMicros + grown, ShardAgeMicros: make([]int64, len(mine.receipt.ShardAgeMicros))}
	for i, age := range mine.receipt.ShardAgeMicros {
		response.ShardAgeMicros[i] = age
		if age >= 0 {
			response.ShardAgeMicros[i] = age + grown
		}
	}
	return response, nil
}

// run sends relays until nobody waits for one.
func (r *pulseRelay) run() {
	for {
		r.mu.Lock()
		if r.waiting == nil {
			r.running = false
			r.mu.Unlock()
			return
		}
		left := r.env.Config.FlowPulse/relayShare - r.env.Since(r.lastSent)
		r.mu.Unlock()
		isOver := left > 0 && !r.env.Sleep(left)
		r.mu.Lock()
		now := r.waiting
		r.waiting, r.lastSent = nil, r.env.Now()
		now.sent = r.lastSent
		r.mu.Unlock()
		if isOver {
			now.err = errcode.New(errcode.Stopping, "")
		} else {
			now.receipt, now.err = r.askLeader()
		}
		close(now.done)
		if now.err == nil {
			r.mu.Lock()
			r.lastAnswered = now
			r.mu.Unlock()
		}
	}
}
