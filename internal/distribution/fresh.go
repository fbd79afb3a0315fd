// Freshness: by what the pulses brought it is told whether a chart may be acted on.
package distribution

import (
	"time"

	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// heard notes word from a control node.
func (c *Client) heard() {
	now := c.r.Now()
	c.word.Store(&now)
}

// renew takes over what a pulse brought. Ages that name an epoch newer than the
// one in use can't vouch for it, but those held before still do until they are
// too old; so both are kept.
func (c *Client) renew(sent time.Time, receipt *rpc.FreshnessResponse) {
	c.heard()
	c.mu.Lock()
	defer c.mu.Unlock()
	held := c.ages.Load()
	if receipt.Epoch < held.Newest.Epoch || len(receipt.ShardAgeMicros) != ids.ShardCount {
		return
	}
	next := Ages{Epoch: receipt.Epoch, Binding: receipt.BindingEpoch, Config: sent.Add(-time.Duration(receipt.AgeMicros) * time.Microsecond)}
	if next.Binding == 0 || next.Binding > next.Epoch {
		next.Binding = next.Epoch // an older build tells none
	}
	for i, age := range receipt.ShardAgeMicros {
		if age >= 0 {
			next.Parts[i] = sent.Add(-time.Duration(age) * time.Microsecond)
		}
	}
	both := &Vouched{Newest: next, Before: held.Before}
	if receipt.Epoch == held.Newest.Epoch {
		both.Newest.raise(&held.Newest)
	} else if chart := c.Cache.Chart(); chart != nil && chart.Epoch >= held.Newest.Epoch {
		both.Before = held.Newest
	}
	c.ages.Store(both)
}

// raise keeps the later of two words about one epoch.
func (a *Ages) raise(o *Ages) {
	if a.Config.Before(o.Config) {
		a.Config = o.Config
	}
	for i := range a.Parts {
		if a.Parts[i].Before(o.Parts[i]) {
			a.Parts[i] = o.Parts[i]
		}
	}
}

// IsFresh tells whether a chart may be acted on for a service now. Ages that
// name an older epoch vouch for a newer chart too: what was known then is in it.
// Word from before this process was started vouches for nothing: an earlier life
// of this proxy may have used an epoch that a deposed owner does not know.
func (c *Client) IsFresh(chart *Chart, service string) bool {
	if chart == nil {
		return false
	}
	if stay := c.r.Config.FlowStay; stay > 0 {
		word := c.word.Load()
		if word == nil || c.r.Since(*word) >= stay {
			return false
		}
		behind := c.r.Config.FlowBehind
		return behind == 0 || c.isNewest(chart, behind)
	}
	held := c.ages.Load()
	no, bound := ids.ShardOf(service), c.r.Config.FlowFresh
	for _, a := range []*Ages{&held.Newest, &held.Before} {
		if a.Epoch <= chart.Epoch && c.r.Since(a.Config) < bound && a.Config.After(c.born) && (service == "" || c.r.Since(a.Parts[no]) < bound) {
			return true
		}
	}
	return false
}

// isNewest tells whether within that time no epoch was known that binds and is newer
// than the chart.
func (c *Client) isNewest(chart *Chart, bound time.Duration) bool {
	held := c.ages.Load()
	for _, a := range []*Ages{&held.Newest, &held.Before} {
		if a.Epoch > 0 && a.Binding <= chart.Epoch && c.r.Since(a.Config) < bound {
			return true
		}
	}
	return false
}

// Ages is what the shell shows.
func (c *Client) Ages() Ages { return c.ages.Load().Newest }

// tell writes an event when freshness of the configuration is lost or back.
func (c *Client) tell() {
	c.mu.Lock()
	defer c.mu.Unlock()
	chart, ages := c.Cache.Chart(), c.Ages()
	isFresh := chart != nil && chart.Epoch >= ages.Epoch && c.r.Since(ages.Config) < max(c.r.Config.FlowFresh, 3*c.r.Config.FlowPulse)
	if isFresh != c.isFresh {
		c.isFresh = isFresh
		if isFresh {
			c.r.Events.Say(eventlog.FreshAgain, "epoch", uint64(ages.Epoch))
		} else {
			c.r.Events.Say(eventlog.FreshLost, "epoch", uint64(ages.Epoch))
		}
	}
}
