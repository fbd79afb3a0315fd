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
	// renewalAttempts limits the control nodes that one renewal tries until one responds. The
	// timeout of each is the renewal interval, at most maxRenewalWait, plus renewalGrace.
	renewalAttempts = 4
	maxRenewalWait  = 400 * time.Millisecond
	renewalGrace    = 100 * time.Millisecond
	// maxRenewalsInFlight limits the concurrent requests of renewAsync.
	maxRenewalsInFlight = 6
	// maxSkipDelay limits how long renewAsync waits for a response before later renewals go to
	// the next control node.
	maxSkipDelay = 500 * time.Millisecond
	// returnToNearestAfter is the time since the last skip after which renewals use the nearest
	// control node again.
	returnToNearestAfter = 5 * time.Second

	// The renewal intervals before the first response and after a failed renewal, if shorter
	// than distribution.renewal_interval.
	initialRenewalInterval = 150 * time.Millisecond
	retryRenewalInterval   = 250 * time.Millisecond

	// catchUpDelay is how long the listeners may take to activate an epoch reported by a
	// renewal before catchUp polls for it.
	catchUpDelay   = 100 * time.Millisecond
	catchUpTimeout = time.Second
)

// renewalState is the state shared by a client's renewals.
type renewalState struct {
	cursor        atomic.Uint64             // index of the source to request from, modulo the number of sources
	skippedAt     atomic.Pointer[time.Time] // time of the last skip; nil while the nearest source is used
	inFlight      atomic.Int32
	lastSucceeded atomic.Bool // whether the last renewal got a response
	catchUps      sync.Map    // addresses of the control nodes with a catch-up in progress
}

// runRenewal renews the configuration's freshness until the node stops. Each renewal requests
// the age of the confirmations from the nearest control node that responds. The response also
// reports new epochs, independently of the listeners. The paper has no equivalent: there, a
// change during a listener's pause "has no way to notify the gateway".
func (c *Client) runRenewal() {
	c.renewal.lastSucceeded.Store(true)
	for c.env.Sleep(environment.Jitter(c.renewalInterval())) {
		sources := c.members.ConfigReplicas()
		if !c.renewal.lastSucceeded.Load() || len(sources) == 0 {
			// Nodes that membership considers dead may have recovered; a request to them does
			// no harm.
			sources = append(sources[:len(sources):len(sources)], c.deadSources()...)
		}
		c.returnToNearest()
		if unconfirmedGrace := c.env.Config.DistributionUnconfirmedGrace; unconfirmedGrace > 0 {
			c.renewAsync(sources, unconfirmedGrace)
			continue
		}
		timeout := min(c.env.Config.DistributionRenewalInterval, maxRenewalWait) + renewalGrace
		answered := false
		for range min(renewalAttempts, len(sources)) {
			if answered = c.renew(sources, timeout); answered {
				break
			}
		}
		c.renewal.lastSucceeded.Store(answered)
		c.freshness.report()
	}
}

// renewalInterval returns the pause before the next renewal. It is shorter before the first
// response, because nothing can be served until then, and after a failed renewal, so that
// freshness is regained soon after the network recovers.
func (c *Client) renewalInterval() time.Duration {
	switch {
	case c.freshness.latest().Epoch == 0:
		return min(c.env.Config.DistributionRenewalInterval, initialRenewalInterval)
	case !c.renewal.lastSucceeded.Load():
		return min(c.env.Config.DistributionRenewalInterval, retryRenewalInterval)
	}
	return c.env.Config.DistributionRenewalInterval
}

// renewAsync starts a renewal without waiting for earlier ones. It is used with
// distribution.unconfirmed_grace, where the proxy's link may be slow: a late response is still
// valid, because its age counts from the time of the request. Later renewals nevertheless skip
// a control node that does not respond within half the timeout, at most maxSkipDelay, because
// it may be down.
func (c *Client) renewAsync(sources []rpc.Member, timeout time.Duration) {
	if len(sources) == 0 {
		c.renewal.lastSucceeded.Store(false)
		return
	}
	if c.renewal.inFlight.Load() >= maxRenewalsInFlight {
		return
	}
	c.renewal.inFlight.Add(1)
	c.env.Go(func() {
		defer c.renewal.inFlight.Add(-1)
		cursor := c.renewal.cursor.Load()
		skip := time.AfterFunc(min(timeout/2, maxSkipDelay), func() { c.skipSource(cursor) })
		defer skip.Stop()
		c.renewal.lastSucceeded.Store(c.renew(sources, timeout))
		c.freshness.report()
	})
}

// renew sends a freshness request to one control node and reports whether it responded. If it
// did not, the next renewal skips it.
func (c *Client) renew(sources []rpc.Member, timeout time.Duration) (answered bool) {
	cursor := c.renewal.cursor.Load()
	source := sources[cursor%uint64(len(sources))]
	sent := c.env.Now()
	ctx, cancel := context.WithTimeout(c.env, timeout)
	defer cancel()
	var response rpc.FreshnessResponse
	if err := c.transport.Call(ctx, source.RPCAddress, kindFreshness, &rpc.FreshnessRequest{}, &response); err != nil {
		c.skipSource(cursor)
		return false
	}
	c.freshness.record(sent, &response)
	c.catchUp(source.RPCAddress, response.Epoch)
	c.rejoin(source)
	return true
}

// skipSource advances the cursor to the next control node, unless the cursor has changed since
// the caller read it.
func (c *Client) skipSource(cursor uint64) {
	if c.renewal.cursor.CompareAndSwap(cursor, cursor+1) {
		now := c.env.Now()
		c.renewal.skippedAt.Store(&now)
	}
}

// returnToNearest resets the cursor to the nearest control node if the last skip is more than
// returnToNearestAfter ago, because traffic between zones costs more. It does so only with
// distribution.offline_grace, where no request depends on any single renewal.
func (c *Client) returnToNearest() {
	skippedAt := c.renewal.skippedAt.Load()
	if c.env.Config.DistributionOfflineGrace > 0 && skippedAt != nil && c.env.Since(*skippedAt) > returnToNearestAfter {
		c.renewal.cursor.Store(0)
		c.renewal.skippedAt.Store(nil)
	}
}

// deadSources returns the recently dead core nodes that did not leave: those that held a
// replica of the configuration shard, or all of them if none did.
func (c *Client) deadSources() []rpc.Member {
	cores := slices.DeleteFunc(c.members.RecentlyDead(), func(m rpc.Member) bool { return !m.Core })
	if sources := slices.DeleteFunc(slices.Clone(cores), func(m rpc.Member) bool { return !m.HoldsConfiguration }); len(sources) > 0 {
		return sources
	}
	return cores
}

// rejoin starts a push-pull with a control node that responded although it is not in the list
// of live members. This marks it alive and adds the other members that it knows.
func (c *Client) rejoin(source rpc.Member) {
	if _, ok := c.members.Lookup(source.Name); !ok {
		c.env.Go(func() { c.members.PushPull(source.RPCAddress) })
	}
}

// catchUp polls a control node that reported a newer epoch if the listeners have not activated
// that epoch after catchUpDelay: their requests may be pending at nodes that are down, or they
// may be pausing. If the poll does not lead to the epoch, the next renewal skips that node.
func (c *Client) catchUp(address string, epoch ids.Epoch) {
	isBehind := func() bool { active := c.Cache.Epoch(); return active > 0 && active < epoch }
	if !isBehind() {
		return
	}
	if _, isUnderWay := c.renewal.catchUps.LoadOrStore(address, true); isUnderWay {
		return
	}
	c.env.Go(func() {
		defer c.renewal.catchUps.Delete(address)
		if !c.env.Sleep(catchUpDelay) || !isBehind() {
			return
		}
		ctx, cancel := context.WithTimeout(c.env, catchUpTimeout)
		defer cancel()
		cursor := c.renewal.cursor.Load()
		// The poll's error is ignored; only whether the epoch was activated matters.
		if c.poll(ctx, address); isBehind() {
			c.skipSource(cursor)
		}
	})
}
