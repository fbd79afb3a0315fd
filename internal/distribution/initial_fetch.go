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
	// initialFetchRetry is the pause between attempts of the first fetch, without which
	// nothing is served, as long as no control node is overloaded.
	initialFetchRetry = 60 * time.Millisecond
	fullFetchTimeout  = 5 * time.Second
)

// fetchInitial makes the full fetch of the start (the paper's fetchGroupConfig), and reports
// false if the node ended before it succeeded. Unlike in the paper it never gives up. As long
// as control nodes are overloaded the pause doubles, up to the setting
// distribution.retry_cooldown, with jitter, and is no shorter than they asked for.
func (c *Client) fetchInitial() bool {
	settings := c.env.Config
	shortest := min(settings.DistributionRetryDelay, initialFetchRetry)
	pause := shortest
	for {
		result := c.fetchAll()
		if result.done {
			return true
		}
		if result.overloaded {
			pause = min(2*max(pause, settings.DistributionRetryDelay), max(settings.DistributionRetryCooldown, settings.DistributionRetryDelay))
		} else {
			pause = shortest
		}
		if !c.env.Sleep(environment.Jitter(max(pause, result.retryAfter))) {
			return false
		}
	}
}

// fullFetchResult is what became of an attempt to fetch all groups.
type fullFetchResult struct {
	done bool
	// overloaded tells that a control node said so or did not answer in time.
	overloaded bool
	retryAfter time.Duration // the least that any asked for; 0 if none did
}

// fetchAll tries the control nodes in list order until one gives all groups.
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
			continue // it has no contact with a quorum
		}
		c.freshness.noteContact()
		c.Cache.Stage(response.Groups)
		if activated, err := c.Cache.Activate(response.Epoch, response.Manifest); activated && err == nil {
			return fullFetchResult{done: true}
		}
	}
	return result
}
