package distribution

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

const (
	// relayShare is how many pulses are relayed at most in the interval of a proxy's pulses.
	relayShare = 10
	// relayReuse is for how long the leader's answer is given out without asking it again.
	relayReuse = 50 * time.Millisecond
)

// pulseRelay sends the pulses of proxies on to the configuration shard's leader: one at a
// time, each for all proxies that wait when it is sent, and with a least pause between two,
// so that the leader has as much to do in a large fleet as in a small one.
type pulseRelay struct {
	env *environment.Environment
	ask func() (*rpc.FreshnessResponse, error)

	// mu guards all below.
	mu           sync.Mutex
	running      bool
	waiting      *relayedPulse // the next to be sent; nil if nobody waits for one
	lastSent     time.Time
	lastAnswered *relayedPulse
}

// relayedPulse is one pulse to the leader. All but done is written before that is closed.
type relayedPulse struct {
	done     chan struct{}
	sent     time.Time
	response *rpc.FreshnessResponse
	err      error
}

func newPulseRelay(env *environment.Environment, ask func() (*rpc.FreshnessResponse, error)) *pulseRelay {
	return &pulseRelay{env: env, ask: ask}
}

// get returns the leader's answer to a pulse that is sent from now on, or was at most
// relayReuse before. Its ages are older by the time since it was sent.
func (r *pulseRelay) get(ctx context.Context) (*rpc.FreshnessResponse, error) {
	pulse := r.join()
	select {
	case <-pulse.done:
	case <-ctx.Done():
		return nil, errcode.New(errcode.NoLeader, "%v", ctx.Err())
	}
	if pulse.err != nil {
		return nil, pulse.err
	}
	return r.aged(pulse), nil
}

// last returns the leader's last answer, however old, with its age; nil if there was none.
func (r *pulseRelay) last() *rpc.FreshnessResponse {
	r.mu.Lock()
	pulse := r.lastAnswered
	r.mu.Unlock()
	if pulse == nil {
		return nil
	}
	return r.aged(pulse)
}

// aged is the answer to a pulse, older by the time since it was sent.
func (r *pulseRelay) aged(pulse *relayedPulse) *rpc.FreshnessResponse {
	elapsed := r.env.Since(pulse.sent).Microseconds() + 1
	response := *pulse.response
	response.AgeMicros += elapsed
	response.ShardAgeMicros = slices.Clone(response.ShardAgeMicros)
	for i, age := range response.ShardAgeMicros {
		if age >= 0 {
			response.ShardAgeMicros[i] = age + elapsed
		}
	}
	return &response
}

// join returns the pulse to wait for, and sees to it that it is sent.
func (r *pulseRelay) join() *relayedPulse {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lastAnswered != nil && r.env.Since(r.lastAnswered.sent) < relayReuse {
		return r.lastAnswered
	}
	if r.waiting == nil {
		r.waiting = &relayedPulse{done: make(chan struct{})}
		if !r.running {
			r.running = true
			r.env.Go(r.run)
		}
	}
	return r.waiting
}

// run sends pulses until nobody waits for one.
func (r *pulseRelay) run() {
	for {
		r.mu.Lock()
		if r.waiting == nil {
			r.running = false
			r.mu.Unlock()
			return
		}
		pause := r.env.Config.DistributionRenewalInterval/relayShare - r.env.Since(r.lastSent)
		r.mu.Unlock()
		isStopping := pause > 0 && !r.env.Sleep(pause)
		r.mu.Lock()
		pulse := r.waiting
		r.waiting, r.lastSent = nil, r.env.Now()
		pulse.sent = r.lastSent
		r.mu.Unlock()
		if isStopping {
			pulse.err = errcode.New(errcode.Stopping, "")
		} else {
			pulse.response, pulse.err = r.ask()
		}
		close(pulse.done)
		if pulse.err == nil {
			r.mu.Lock()
			r.lastAnswered = pulse
			r.mu.Unlock()
		}
	}
}
