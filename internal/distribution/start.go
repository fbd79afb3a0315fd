// The proxy's start: one full fetch, for which the control nodes are tried in list
// order. A control node that is loaded says in how long to ask again; the next in the
// list is tried at once, and if none gives, the pause is what they said, and grows from
// try to try, spread, as long as they are loaded.
package distribution

import (
	"context"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// Start starts once, however often it is called.
func (c *Client) Start() {
	if !c.started.CompareAndSwap(false, true) {
		return
	}
	c.env.Go(func() {
		first := min(c.env.Config.FlowRetry, firstFetchRetry)
		pause := first
		for {
			done, overloaded, retryAfter := c.fetchFull()
			if done {
				break
			}
			if overloaded {
				pause = min(2*max(pause, c.env.Config.FlowRetry), max(c.env.Config.FlowCool, c.env.Config.FlowRetry))
			} else {
				pause = first
			}
			if !c.env.Sleep(environment.Jitter(max(pause, retryAfter))) {
				return
			}
		}
		c.manageListeners()
	})
	c.env.Go(c.runPulse)
}

// fetchFull tries the control nodes in order until one gives every group. It tells
// whether some were loaded, by their word or as an answer did not come in time, and
// the least time after which one of them asked to be tried again.
func (c *Client) fetchFull() (done, overloaded bool, retryAfter time.Duration) {
	for _, source := range c.members.ConfigReplicas() {
		ctx, end := context.WithTimeout(c.env, 5*time.Second)
		response, err := c.fetch(ctx, source.RPCAddress, &rpc.FetchRequest{})
		end()
		if err != nil {
			overloaded = overloaded || errcode.Is(err, errcode.ReplyLost)
			c.env.Events.Say(eventlog.FetchFailed, "node", string(source.Name), "cause", err.Error())
			continue
		}
		if response.RetryAfterMillis > 0 {
			told := time.Duration(response.RetryAfterMillis) * time.Millisecond
			if retryAfter == 0 || told < retryAfter {
				retryAfter = told
			}
			overloaded = true
			continue
		}
		if response.Epoch == 0 {
			continue
		}
		c.noteContact()
		c.Cache.Stage(response.Groups)
		if ok, err := c.Cache.Activate(response.Epoch, response.Manifest); ok && err == nil {
			return true, false, 0
		}
	}
	return false, overloaded, retryAfter
}
