// Freshness: by what the pulses brought it is told whether a chart may be acted on.
package distribution

import (
	"time"

	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// noteContact notes word from a control node.
func (c *Client) noteContact() {
	now := c.env.Now()
	c.lastContact.Store(&now)
}

// recordPulse takes over what a pulse brought. Ages that name an epoch newer than the
// one in use can't vouch for it, but those held before still do until they are
// too old; so both are kept.
func (c *Client) recordPulse(sent time.Time, response *rpc.FreshnessResponse) {
	c.noteContact()
	c.mu.Lock()
	defer c.mu.Unlock()
	held := c.confirmations.Load()
	if response.Epoch < held.latest.Epoch || len(response.ShardAgeMicros) != ids.ShardCount {
		return
	}
	next := Confirmation{Epoch: response.Epoch, BindingEpoch: response.BindingEpoch, ConfigAsOf: sent.Add(-time.Duration(response.AgeMicros) * time.Microsecond)}
	if next.BindingEpoch == 0 || next.BindingEpoch > next.Epoch {
		next.BindingEpoch = next.Epoch // an older build tells none
	}
	for i, age := range response.ShardAgeMicros {
		if age >= 0 {
			next.ShardsAsOf[i] = sent.Add(-time.Duration(age) * time.Microsecond)
		}
	}
	both := &confirmations{latest: next, previous: held.previous}
	if response.Epoch == held.latest.Epoch {
		both.latest.mergeLater(&held.latest)
	} else if snapshot := c.Cache.Snapshot(); snapshot != nil && snapshot.Epoch >= held.latest.Epoch {
		both.previous = held.latest
	}
	c.confirmations.Store(both)
}

// mergeLater keeps the later of two words about one epoch.
func (a *Confirmation) mergeLater(o *Confirmation) {
	if a.ConfigAsOf.Before(o.ConfigAsOf) {
		a.ConfigAsOf = o.ConfigAsOf
	}
	for i := range a.ShardsAsOf {
		if a.ShardsAsOf[i].Before(o.ShardsAsOf[i]) {
			a.ShardsAsOf[i] = o.ShardsAsOf[i]
		}
	}
}

// IsFresh tells whether a chart may be acted on for a service now. Ages that
// name an older epoch vouch for a newer chart too: what was known then is in it.
// Word from before this process was started vouches for nothing: an earlier life
// of this proxy may have used an epoch that a deposed owner does not know.
func (c *Client) IsFresh(snapshot *Snapshot, service string) bool {
	if snapshot == nil {
		return false
	}
	if stay := c.env.Config.FlowStay; stay > 0 {
		word := c.lastContact.Load()
		if word == nil || c.env.Since(*word) >= stay {
			return false
		}
		behind := c.env.Config.FlowBehind
		return behind == 0 || c.isNewest(snapshot, behind)
	}
	held := c.confirmations.Load()
	no, bound := ids.ShardOf(service), c.env.Config.FlowFresh
	for _, a := range []*Confirmation{&held.latest, &held.previous} {
		if a.Epoch <= snapshot.Epoch && c.env.Since(a.ConfigAsOf) < bound && a.ConfigAsOf.After(c.startedAt) && (service == "" || c.env.Since(a.ShardsAsOf[no]) < bound) {
			return true
		}
	}
	return false
}

// isNewest tells whether within that time no epoch was known that binds and is newer
// than the chart.
func (c *Client) isNewest(snapshot *Snapshot, bound time.Duration) bool {
	held := c.confirmations.Load()
	for _, a := range []*Confirmation{&held.latest, &held.previous} {
		if a.Epoch > 0 && a.BindingEpoch <= snapshot.Epoch && c.env.Since(a.ConfigAsOf) < bound {
			return true
		}
	}
	return false
}

// LatestConfirmation is what the shell shows.
func (c *Client) LatestConfirmation() Confirmation { return c.confirmations.Load().latest }

// reportFreshness writes an event when freshness of the configuration is lost or back.
func (c *Client) reportFreshness() {
	c.mu.Lock()
	defer c.mu.Unlock()
	snapshot, ages := c.Cache.Snapshot(), c.LatestConfirmation()
	isFresh := snapshot != nil && snapshot.Epoch >= ages.Epoch && c.env.Since(ages.ConfigAsOf) < max(c.env.Config.FlowFresh, 3*c.env.Config.FlowPulse)
	if isFresh != c.wasFresh {
		c.wasFresh = isFresh
		if isFresh {
			c.env.Events.Say(eventlog.FreshAgain, "epoch", uint64(ages.Epoch))
		} else {
			c.env.Events.Say(eventlog.FreshLost, "epoch", uint64(ages.Epoch))
		}
	}
}
