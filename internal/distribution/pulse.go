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
	catchUpPause = 100 * time.Millisecond
	catchUpTime  = time.Second
	pulseTries   = 4
	pulsesMost   = 6
	soon         = 500 * time.Millisecond
	homeTime     = 5 * time.Second
)

// pulse renews freshness through one control node, the nearest that answers. Until
// the first plan is fresh it asks more often, for so long nothing can be served; and
// while none answers, so that word comes soon after the way to one is back.
func (c *Client) pulse() {
	c.isAnswered.Store(true)
	for c.r.Sleep(environment.Jitter(c.pulsePause())) {
		cores := c.k.ConfigReplicas()
		if !c.isAnswered.Load() || len(cores) == 0 {
			// Those held for down here may be back: nothing hangs on that opinion.
			cores = append(cores[:len(cores):len(cores)], c.lostKeepers()...)
		}
		c.goHome()
		if behind := c.r.Config.FlowBehind; behind > 0 {
			c.pulseBeside(cores, behind)
			continue
		}
		isAnswered := false
		for range min(pulseTries, len(cores)) {
			if isAnswered = c.pulseTo(cores, min(c.r.Config.FlowPulse, 400*time.Millisecond)+100*time.Millisecond); isAnswered {
				break
			}
		}
		c.isAnswered.Store(isAnswered)
		c.tell()
	}
}

// pulseBeside sends a pulse without waiting for those before it. Where a proxy goes by
// flow.behind its link may be slow, and a word that comes late is still right, as it
// counts from when it was asked for. A control node that does not answer soon is passed
// by in the next pulse all the same: it may be gone.
func (c *Client) pulseBeside(cores []rpc.Member, limit time.Duration) {
	if len(cores) == 0 {
		c.isAnswered.Store(false)
		return
	}
	if c.pulses.Load() >= pulsesMost {
		return
	}
	c.pulses.Add(1)
	c.r.Go(func() {
		defer c.pulses.Add(-1)
		pick := c.pick.Load()
		late := time.AfterFunc(min(limit/2, soon), func() { c.passBy(pick) })
		defer late.Stop()
		c.isAnswered.Store(c.pulseTo(cores, limit))
		c.tell()
	})
}

// pulseTo asks one control node; one that does not answer is passed by in the next.
func (c *Client) pulseTo(cores []rpc.Member, limit time.Duration) bool {
	pick := c.pick.Load()
	m := cores[pick%uint64(len(cores))]
	sent := c.r.Now()
	ctx, end := context.WithTimeout(c.r, limit)
	defer end()
	var receipt rpc.FreshnessResponse
	if err := c.w.Ask(ctx, m.RPCAddress, "flow.pulse", &rpc.FreshnessRequest{}, &receipt); err != nil {
		c.passBy(pick)
		return false
	}
	c.renew(sent, &receipt)
	c.catchUp(m.RPCAddress, receipt.Epoch)
	c.meet(m)
	return true
}

// passBy has the next control node asked, unless another pulse saw to that.
func (c *Client) passBy(pick uint64) {
	if c.pick.CompareAndSwap(pick, pick+1) {
		now := c.r.Now()
		c.picked.Store(&now)
	}
}

// goHome has the nearest asked again some time after it was passed by, where no request
// hangs on each pulse: what goes to another zone costs more.
func (c *Client) goHome() {
	if at := c.picked.Load(); c.r.Config.FlowStay > 0 && at != nil && c.r.Since(*at) > homeTime {
		c.pick.Store(0)
		c.picked.Store(nil)
	}
}

// lostKeepers is who of those held for down, without a word that they go, held the
// configuration; all core nodes of them if none is known to.
func (c *Client) lostKeepers() []rpc.Member {
	cores := slices.DeleteFunc(c.k.RecentlyDead(), func(m rpc.Member) bool { return !m.Core })
	if keepers := slices.DeleteFunc(slices.Clone(cores), func(m rpc.Member) bool { return !m.HoldsConfiguration }); len(keepers) > 0 {
		return keepers
	}
	return cores
}

// meet lets one that was held for down and has answered be known to be there, and
// through its list all that it knows.
func (c *Client) meet(m rpc.Member) {
	if _, isKnown := c.k.Lookup(m.Name); !isKnown {
		c.r.Go(func() { c.k.PushPull(m.RPCAddress) })
	}
}

// catchUp asks where a newer epoch was heard of, if those listened to are slow to
// tell of it: their held requests may hang at nodes that went, or wait out a pause.
// Whoever heard of an epoch and does not give it is passed by in the next pulse.
func (c *Client) catchUp(address string, epoch ids.Epoch) {
	isBehind := func() bool { now, _ := c.Cache.Have(); return now > 0 && now < epoch }
	if !isBehind() {
		return
	}
	if _, isUnderWay := c.catching.LoadOrStore(address, true); isUnderWay {
		return
	}
	c.r.Go(func() {
		defer c.catching.Delete(address)
		if !c.r.Sleep(catchUpPause) || !isBehind() {
			return
		}
		limited, end := context.WithTimeout(c.r, catchUpTime)
		defer end()
		pick := c.pick.Load()
		if c.poll(limited, address); isBehind() {
			c.passBy(pick)
		}
	})
}

// pulsePause is short until the first word has come, and while none comes.
func (c *Client) pulsePause() time.Duration {
	switch {
	case c.Ages().Epoch == 0:
		return min(c.r.Config.FlowPulse, 150*time.Millisecond)
	case !c.isAnswered.Load():
		return min(c.r.Config.FlowPulse, 250*time.Millisecond)
	}
	return c.r.Config.FlowPulse
}
