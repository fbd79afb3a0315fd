// The proxy's pulse: it asks one control node how fresh the epoch in use is, and
// so hears of every newer one within a bound of its own, whatever became of the held
// requests. It goes on to others until one answers, those held for down included.
package flow

import (
	"context"
	"slices"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/mark"
	"github.com/sumactrestle/sumactrestle/internal/realm"
	"github.com/sumactrestle/sumactrestle/internal/wire"
)

const (
	catchUpPause = 100 * time.Millisecond
	catchUpTime  = time.Second
	pulseTries   = 4
)

// pulse renews freshness through one control node, the nearest that answers. Until
// the first plan is fresh it asks more often, for so long nothing can be served; and
// while none answers, so that word comes soon after the way to one is back.
func (c *Client) pulse() {
	isAnswered := true
	for c.r.Pause(realm.Jitter(c.pulsePause(isAnswered))) {
		cores := c.k.Keepers()
		if !isAnswered || len(cores) == 0 {
			// Those held for down here may be back: nothing hangs on that opinion.
			cores = append(cores[:len(cores):len(cores)], c.lostKeepers()...)
		}
		isAnswered = false
		for range min(pulseTries, len(cores)) {
			m := cores[c.pick.Load()%uint64(len(cores))]
			sent := c.r.Now()
			ctx, end := context.WithTimeout(c.r, min(c.r.Props.FlowPulse, 400*time.Millisecond)+100*time.Millisecond)
			var receipt wire.PulseReceipt
			err := c.w.Ask(ctx, m.Wire, "flow.pulse", &wire.PulseAsk{}, &receipt)
			end()
			if err == nil {
				isAnswered = true
				c.renew(sent, &receipt)
				c.catchUp(m.Wire, receipt.Epoch)
				c.meet(m)
				break
			}
			c.pick.Add(1)
		}
		c.tell()
	}
}

// lostKeepers is who of those held for down, without a word that they go, held the
// configuration; all core nodes of them if none is known to.
func (c *Client) lostKeepers() []wire.Member {
	cores := slices.DeleteFunc(c.k.Lost(), func(m wire.Member) bool { return !m.Core })
	if keepers := slices.DeleteFunc(slices.Clone(cores), func(m wire.Member) bool { return !m.Keeps }); len(keepers) > 0 {
		return keepers
	}
	return cores
}

// meet lets one that was held for down and has answered be known to be there, and
// through its list all that it knows.
func (c *Client) meet(m wire.Member) {
	if _, isKnown := c.k.Of(m.Name); !isKnown {
		c.r.Go(func() { c.k.Sync(m.Wire) })
	}
}

// catchUp asks where a newer epoch was heard of, if those listened to are slow to
// tell of it: their held requests may hang at nodes that went, or wait out a pause.
// Whoever heard of an epoch and does not give it is passed by in the next pulse.
func (c *Client) catchUp(address string, epoch mark.Epoch) {
	isBehind := func() bool { now, _ := c.Cache.Have(); return now > 0 && now < epoch }
	if !isBehind() {
		return
	}
	if _, isUnderWay := c.catching.LoadOrStore(address, true); isUnderWay {
		return
	}
	c.r.Go(func() {
		defer c.catching.Delete(address)
		if !c.r.Pause(catchUpPause) || !isBehind() {
			return
		}
		limited, end := context.WithTimeout(c.r, catchUpTime)
		defer end()
		if c.poll(limited, address); isBehind() {
			c.pick.Add(1)
		}
	})
}

// pulsePause is short until the first word has come, and while none comes.
func (c *Client) pulsePause(isAnswered bool) time.Duration {
	switch {
	case c.Ages().Epoch == 0:
		return min(c.r.Props.FlowPulse, 150*time.Millisecond)
	case !isAnswered:
		return min(c.r.Props.FlowPulse, 250*time.Millisecond)
	}
	return c.r.Props.FlowPulse
}
