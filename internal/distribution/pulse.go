package distribution

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

const (
	// pulseAttempts is how many control nodes are asked in one turn until one answers, each
	// for the interval of pulses, up to maxPulseWait, and pulseGrace.
	pulseAttempts = 4
	maxPulseWait  = 400 * time.Millisecond
	pulseGrace    = 100 * time.Millisecond
	// maxPulsesInFlight bounds the pulses that are sent beside each other.
	maxPulsesInFlight = 6
	// maxSkipDelay bounds how long a control node is waited for until the next is chosen.
	maxSkipDelay = 500 * time.Millisecond
	// returnToNearestAfter is when the nearest control node is chosen again.
	returnToNearestAfter = 5 * time.Second

	// The intervals of pulses before the first answer, and while none comes, if they are
	// shorter than the setting distribution.renewal_interval.
	firstPulseInterval = 150 * time.Millisecond
	retryPulseInterval = 250 * time.Millisecond

	// catchUpDelay is what the listeners are left to bring an epoch that a pulse told of.
	catchUpDelay   = 100 * time.Millisecond
	catchUpTimeout = time.Second
)

// pulseState is what the pulses of a client share.
type pulseState struct {
	choice    atomic.Uint64             // whom to ask, counted around the sources
	skippedAt atomic.Pointer[time.Time] // when another was last chosen; nil for the nearest
	inFlight  atomic.Int32
	answered  atomic.Bool // whether the last pulse was
	catchUps  sync.Map    // the addresses at which a catch-up is under way
}

// runPulse keeps the configuration's freshness known: it asks one control node at a time, the
// nearest that answers, how old its confirmations are, and so hears of each new epoch
// whatever became of the listeners. The paper has nothing of the kind; there a change during
// a listener's pause "has no way to notify the gateway".
func (c *Client) runPulse() {
	c.pulse.answered.Store(true)
	for c.env.Sleep(environment.Jitter(c.pulseInterval())) {
		sources := c.members.ConfigReplicas()
		if !c.pulse.answered.Load() || len(sources) == 0 {
			// Those that are held for dead may be back: nothing is lost by asking them.
			sources = append(sources[:len(sources):len(sources)], c.deadSources()...)
		}
		c.returnToNearest()
		if behind := c.env.Config.DistributionUnconfirmedGrace; behind > 0 {
			c.sendPulseAside(sources, behind)
			continue
		}
		timeout := min(c.env.Config.DistributionRenewalInterval, maxPulseWait) + pulseGrace
		answered := false
		for range min(pulseAttempts, len(sources)) {
			if answered = c.sendPulse(sources, timeout); answered {
				break
			}
		}
		c.pulse.answered.Store(answered)
		c.freshness.report()
	}
}

// pulseInterval is short until the first answer, as nothing can be served before, and while
// none comes, so that freshness is back soon after the network is.
func (c *Client) pulseInterval() time.Duration {
	switch {
	case c.freshness.latest().Epoch == 0:
		return min(c.env.Config.DistributionRenewalInterval, firstPulseInterval)
	case !c.pulse.answered.Load():
		return min(c.env.Config.DistributionRenewalInterval, retryPulseInterval)
	}
	return c.env.Config.DistributionRenewalInterval
}

// sendPulseAside sends a pulse without waiting for those before it. With the setting
// distribution.unconfirmed_grace the proxy's link may be slow, and an answer that comes late
// still holds, as its age counts from when it was asked for. A control node that does not
// answer soon is skipped by the next pulse all the same: it may be gone.
func (c *Client) sendPulseAside(sources []rpc.Member, timeout time.Duration) {
	if len(sources) == 0 {
		c.pulse.answered.Store(false)
		return
	}
	if c.pulse.inFlight.Load() >= maxPulsesInFlight {
		return
	}
	c.pulse.inFlight.Add(1)
	c.env.Go(func() {
		defer c.pulse.inFlight.Add(-1)
		choice := c.pulse.choice.Load()
		skip := time.AfterFunc(min(timeout/2, maxSkipDelay), func() { c.skipSource(choice) })
		defer skip.Stop()
		c.pulse.answered.Store(c.sendPulse(sources, timeout))
		c.freshness.report()
	})
}

// sendPulse asks one control node and reports whether it answered; one that does not is
// skipped by the next pulse.
func (c *Client) sendPulse(sources []rpc.Member, timeout time.Duration) (answered bool) {
	choice := c.pulse.choice.Load()
	source := sources[choice%uint64(len(sources))]
	sent := c.env.Now()
	ctx, cancel := context.WithTimeout(c.env, timeout)
	defer cancel()
	var response rpc.FreshnessResponse
	if err := c.transport.Call(ctx, source.RPCAddress, kindPulse, &rpc.FreshnessRequest{}, &response); err != nil {
		c.skipSource(choice)
		return false
	}
	c.freshness.record(sent, &response)
	c.catchUp(source.RPCAddress, response.Epoch)
	c.rejoin(source)
	return true
}

// skipSource chooses the next control node, unless another pulse has done so since.
func (c *Client) skipSource(choice uint64) {
	if c.pulse.choice.CompareAndSwap(choice, choice+1) {
		now := c.env.Now()
		c.pulse.skippedAt.Store(&now)
	}
}

// returnToNearest chooses the nearest control node again some time after it was skipped, as
// traffic between zones costs more. It does so only with the setting
// distribution.offline_grace, where no request depends on each single pulse.
func (c *Client) returnToNearest() {
	skippedAt := c.pulse.skippedAt.Load()
	if c.env.Config.DistributionOfflineGrace > 0 && skippedAt != nil && c.env.Since(*skippedAt) > returnToNearestAfter {
		c.pulse.choice.Store(0)
		c.pulse.skippedAt.Store(nil)
	}
}

// deadSources returns the core nodes that died lately without leaving: those that held a
// replica of the configuration shard, or all if none did.
func (c *Client) deadSources() []rpc.Member {
	cores := slices.DeleteFunc(c.members.RecentlyDead(), func(m rpc.Member) bool { return !m.Core })
	if sources := slices.DeleteFunc(slices.Clone(cores), func(m rpc.Member) bool { return !m.HoldsConfiguration }); len(sources) > 0 {
		return sources
	}
	return cores
}

// rejoin makes a control node that was held for dead, and has answered, known as alive, and
// with it all that it knows of the members.
func (c *Client) rejoin(source rpc.Member) {
	if _, ok := c.members.Lookup(source.Name); !ok {
		c.env.Go(func() { c.members.PushPull(source.RPCAddress) })
	}
}

// catchUp polls the control node that told of a newer epoch, if the listeners are slow to
// bring it: their requests may be held by nodes that are gone, or they may be in a pause. A
// node that tells of an epoch and does not give it is skipped by the next pulse.
func (c *Client) catchUp(address string, epoch ids.Epoch) {
	isBehind := func() bool { inUse := c.Cache.Epoch(); return inUse > 0 && inUse < epoch }
	if !isBehind() {
		return
	}
	if _, isUnderWay := c.pulse.catchUps.LoadOrStore(address, true); isUnderWay {
		return
	}
	c.env.Go(func() {
		defer c.pulse.catchUps.Delete(address)
		if !c.env.Sleep(catchUpDelay) || !isBehind() {
			return
		}
		ctx, cancel := context.WithTimeout(c.env, catchUpTimeout)
		defer cancel()
		choice := c.pulse.choice.Load()
		// Whatever the poll failed by, what counts is whether the epoch came.
		if c.poll(ctx, address); isBehind() {
			c.skipSource(choice)
		}
	})
}
