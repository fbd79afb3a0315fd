// The proxy's pulse: it asks one control node how fresh the epoch in use is, and
// so hears of every newer one within a bound of its own, whatever became of the held
// requests. It goes on to others until one answers, those held for down included.
package distribution

import (
	"context"
	"slices"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

const (
	catchUpDelay         = 100 * time.Millisecond
	catchUpTimeout       = time.Second
	pulseAttempts        = 4
	maxPulsesInFlight    = 6
	maxSkipDelay         = 500 * time.Millisecond
	returnToNearestAfter = 5 * time.Second
)

// runPulse renews freshness through one control node, the nearest that answers. Until
// the first plan is fresh it asks more often, for so long nothing can be served; and
// while none answers, so that word comes soon after the way to one is back.
func (c *Client) runPulse() {
	c.pulseAnswered.Store(true)
	for c.env.Sleep(environment.Jitter(c.pulseInterval())) {
		sources := c.members.ConfigReplicas()
		if !c.pulseAnswered.Load() || len(sources) == 0 {
			// Those held for down here may be back: nothing hangs on that opinion.
			sources = append(sources[:len(sources):len(sources)], c.suspectedSources()...)
		}
		c.returnToNearest()
		if behind := c.env.Config.FlowBehind; behind > 0 {
			c.pulseConcurrently(sources, behind)
			continue
		}
		isAnswered := false
		for range min(pulseAttempts, len(sources)) {
			if isAnswered = c.pulseOnce(sources, min(c.env.Config.FlowPulse, 400*time.Millisecond)+100*time.Millisecond); isAnswered {
				break
			}
		}
		c.pulseAnswered.Store(isAnswered)
		c.reportFreshness()
	}
}

// pulseConcurrently sends a pulse without waiting for those before it. Where a proxy goes by
// flow.behind its link may be slow, and a word that comes late is still right, as it
// counts from when it was asked for. A control node that does not answer soon is passed
// by in the next pulse all the same: it may be gone.
func (c *Client) pulseConcurrently(sources []rpc.Member, limit time.Duration) {
	if len(sources) == 0 {
		c.pulseAnswered.Store(false)
		return
	}
	if c.pulsesInFlight.Load() >= maxPulsesInFlight {
		return
	}
	c.pulsesInFlight.Add(1)
	c.env.Go(func() {
		defer c.pulsesInFlight.Add(-1)
		choice := c.pulseChoice.Load()
		late := time.AfterFunc(min(limit/2, maxSkipDelay), func() { c.skipSource(choice) })
		defer late.Stop()
		c.pulseAnswered.Store(c.pulseOnce(sources, limit))
		c.reportFreshness()
	})
}

// pulseOnce asks one control node; one that does not answer is passed by in the next.
func (c *Client) pulseOnce(sources []rpc.Member, limit time.Duration) bool {
	choice := c.pulseChoice.Load()
	source := sources[choice%uint64(len(sources))]
	sent := c.env.Now()
	ctx, end := context.WithTimeout(c.env, limit)
	defer end()
	var response rpc.FreshnessResponse
	if err := c.transport.Call(ctx, source.RPCAddress, "flow.pulse", &rpc.FreshnessRequest{}, &response); err != nil {
		c.skipSource(choice)
		return false
	}
	c.recordPulse(sent, &response)
	c.catchUp(source.RPCAddress, response.Epoch)
	c.rejoin(source)
	return true
}

// skipSource has the next control node asked, unless another pulse saw to that.
func (c *Client) skipSource(choice uint64) {
	if c.pulseChoice.CompareAndSwap(choice, choice+1) {
		now := c.env.Now()
		c.chosenAt.Store(&now)
	}
}

// returnToNearest has the nearest asked again some time after it was passed by, where no request
// hangs on each pulse: what goes to another zone costs more.
func (c *Client) returnToNearest() {
	if at := c.chosenAt.Load(); c.env.Config.FlowStay > 0 && at != nil && c.env.Since(*at) > returnToNearestAfter {
		c.pulseChoice.Store(0)
		c.chosenAt.Store(nil)
	}
}

// suspectedSources is who of those held for down, without a word that they go, held the
// configuration; all core nodes of them if none is known to.
func (c *Client) suspectedSources() []rpc.Member {
	sources := slices.DeleteFunc(c.members.RecentlyDead(), func(source rpc.Member) bool { return !source.Core })
	if keepers := slices.DeleteFunc(slices.Clone(sources), func(source rpc.Member) bool { return !source.HoldsConfiguration }); len(keepers) > 0 {
		return keepers
	}
	return sources
}

// rejoin lets one that was held for down and has answered be known to be there, and
// through its list all that it knows.
func (c *Client) rejoin(source rpc.Member) {
	if _, isKnown := c.members.Lookup(source.Name); !isKnown {
		c.env.Go(func() { c.members.PushPull(source.RPCAddress) })
	}
}

// catchUp asks where a newer epoch was heard of, if those listened to are slow to
// tell of it: their held requests may hang at nodes that went, or wait out a pause.
// Whoever heard of an epoch and does not give it is passed by in the next pulse.
func (c *Client) catchUp(address string, epoch ids.Epoch) {
	isBehind := func() bool { now, _ := c.Cache.Current(); return now > 0 && now < epoch }
	if !isBehind() {
		return
	}
	if _, isUnderWay := c.catchUps.LoadOrStore(address, true); isUnderWay {
		return
	}
	c.env.Go(func() {
		defer c.catchUps.Delete(address)
		if !c.env.Sleep(catchUpDelay) || !isBehind() {
			return
		}
		limited, end := context.WithTimeout(c.env, catchUpTimeout)
		defer end()
		choice := c.pulseChoice.Load()
		if c.poll(limited, address); isBehind() {
			c.skipSource(choice)
		}
	})
}

// pulseInterval is short until the first word has come, and while none comes.
func (c *Client) pulseInterval() time.Duration {
	switch {
	case c.LatestConfirmation().Epoch == 0:
		return min(c.env.Config.FlowPulse, 150*time.Millisecond)
	case !c.pulseAnswered.Load():
		return min(c.env.Config.FlowPulse, 250*time.Millisecond)
	}
	return c.env.Config.FlowPulse
}
