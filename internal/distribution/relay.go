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

// relay is one pulse to the owner, shared by all proxies that wait for it.
type relay struct {
	done    chan struct{}
	sent    time.Time
	receipt *rpc.FreshnessResponse
	err     error
}

// relays are a control node's, one after another.
type relays struct {
	r   *environment.Environment
	ask func() (*rpc.FreshnessResponse, error)

	mu        sync.Mutex
	isRunning bool
	waiting   *relay
	last      time.Time // when the last was sent
	told      *relay    // the last that was answered
}

// relayShare is the least pause between two relays, as a share of that between two
// pulses of one proxy. For relayTime what the owner said is passed on, with its age,
// without asking it again.
const (
	relayShare = 10
	relayTime  = 50 * time.Millisecond
)

// get waits for a relay that is sent from now on; its ages are older by the time that
// passed since it was sent.
func (s *relays) get(ctx context.Context) (*rpc.FreshnessResponse, error) {
	s.mu.Lock()
	mine := s.waiting
	if s.told != nil && s.r.Since(s.told.sent) < relayTime {
		mine = s.told
	}
	if mine == nil {
		mine = &relay{done: make(chan struct{})}
		s.waiting = mine
		if !s.isRunning {
			s.isRunning = true
			s.r.Go(s.run)
		}
	}
	s.mu.Unlock()
	select {
	case <-mine.done:
	case <-ctx.Done():
		return nil, errcode.New(errcode.NoOwner, "%v", ctx.Err())
	}
	if mine.err != nil {
		return nil, mine.err
	}
	grown := s.r.Since(mine.sent).Microseconds() + 1
	receipt := &rpc.FreshnessResponse{Epoch: mine.receipt.Epoch, BindingEpoch: mine.receipt.BindingEpoch, AgeMicros: mine.receipt.AgeMicros + grown, ShardAgeMicros: make([]int64, len(mine.receipt.ShardAgeMicros))}
	for i, age := range mine.receipt.ShardAgeMicros {
		receipt.ShardAgeMicros[i] = age
		if age >= 0 {
			receipt.ShardAgeMicros[i] = age + grown
		}
	}
	return receipt, nil
}

// run sends relays until nobody waits for one.
func (s *relays) run() {
	for {
		s.mu.Lock()
		if s.waiting == nil {
			s.isRunning = false
			s.mu.Unlock()
			return
		}
		left := s.r.Config.FlowPulse/relayShare - s.r.Since(s.last)
		s.mu.Unlock()
		isOver := left > 0 && !s.r.Sleep(left)
		s.mu.Lock()
		now := s.waiting
		s.waiting, s.last = nil, s.r.Now()
		now.sent = s.last
		s.mu.Unlock()
		if isOver {
			now.err = errcode.New(errcode.Stopping, "")
		} else {
			now.receipt, now.err = s.ask()
		}
		close(now.done)
		if now.err == nil {
			s.mu.Lock()
			s.told = now
			s.mu.Unlock()
		}
	}
}
