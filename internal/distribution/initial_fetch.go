package distribution

import (
	"context"
	"errors"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

const (
	// initialFetchRetry limits the pause between attempts at the initial fetch while no control
	// node is overloaded. It is short because the proxy serves nothing before that fetch.
	initialFetchRetry = 60 * time.Millisecond
	fullFetchTimeout  = 5 * time.Second
)

// fetchInitial performs the full fetch at start (fetchGroupConfig in the paper). Unlike the
// paper's, it retries until it succeeds; it returns false if the node stops first. While
// control nodes are overloaded, the pause between attempts doubles up to
// distribution.retry_cooldown and is at least the shortest delay that they requested. Jitter
// is then applied to the pause.
func (c *Client) fetchInitial() bool {
	settings := c.env.Config
	minPause := min(settings.DistributionRetryDelay, initialFetchRetry)
	pause := minPause
	for {
		result := c.fetchAll()
		if result.done {
			return true
		}
		if result.overloaded {
			pause = min(2*max(pause, settings.DistributionRetryDelay), max(settings.DistributionRetryCooldown, settings.DistributionRetryDelay))
		} else {
			pause = minPause
		}
		if !c.env.Sleep(environment.Jitter(max(pause, result.retryAfter))) {
			return false
		}
	}
}

// fullFetchResult is the result of one attempt to fetch all groups.
type fullFetchResult struct {
	done bool
	// overloaded is set if a control node requested a retry delay or did not reply in time.
	overloaded bool
	retryAfter time.Duration // shortest delay requested by a control node; 0 if none did
}

// fetchAll requests all groups from the control nodes in list order until it has activated an
// epoch.
func (c *Client) fetchAll() (result fullFetchResult) {
	for _, source := range c.members.ConfigReplicas() {
		ctx, cancel := context.WithTimeout(c.env, fullFetchTimeout)
		response, err := c.fetch(ctx, source.RPCAddress, &rpc.FetchRequest{})
		cancel()
		if err != nil {
			result.overloaded = result.overloaded || errors.Is(err, errcode.ReplyLost)
			c.env.Events.Emit(eventlog.FetchFailed, "node", string(source.Name), "cause", err.Error())
			continue
		}
		if response.RetryAfterMillis > 0 {
			retryAfter := time.Duration(response.RetryAfterMillis) * time.Millisecond
			if result.retryAfter == 0 || retryAfter < result.retryAfter {
				result.retryAfter = retryAfter
			}
			result.overloaded = true
			continue
		}
		if response.Epoch == 0 {
			continue // the control node has no quorum contact
		}
		c.freshness.recordContact()
		c.Cache.Stage(response.Groups)
		if activated, err := c.Cache.Activate(response.Epoch, response.Manifest); activated && err == nil {
			return fullFetchResult{done: true}
		}
	}
	return result
}
