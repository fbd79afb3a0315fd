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

// Open starts once, however often it is called.
func (c *Client) Open() {
	if !c.began.CompareAndSwap(false, true) {
		return
	}
	c.r.Go(func() {
		first := min(c.r.Config.FlowRetry, firstPause)
		pause := first
		for {
			isDone, isLoaded, later := c.fetchAll()
			if isDone {
				break
			}
			if isLoaded {
				pause = min(2*max(pause, c.r.Config.FlowRetry), max(c.r.Config.FlowCool, c.r.Config.FlowRetry))
			} else {
				pause = first
			}
			if !c.r.Sleep(environment.Jitter(max(pause, later))) {
				return
			}
		}
		c.keepListening()
	})
	c.r.Go(c.pulse)
}

// fetchAll tries the control nodes in order until one gives every group. It tells
// whether some were loaded, by their word or as an answer did not come in time, and
// the least time after which one of them asked to be tried again.
func (c *Client) fetchAll() (isDone, isLoaded bool, later time.Duration) {
	for _, m := range c.k.ConfigReplicas() {
		ctx, end := context.WithTimeout(c.r, 5*time.Second)
		receipt, err := c.fetch(ctx, m.RPCAddress, &rpc.FetchRequest{})
		end()
		if err != nil {
			isLoaded = isLoaded || errcode.Is(err, errcode.ReplyLost)
			c.r.Events.Say(eventlog.FetchFailed, "node", string(m.Name), "cause", err.Error())
			continue
		}
		if receipt.RetryAfterMillis > 0 {
			told := time.Duration(receipt.RetryAfterMillis) * time.Millisecond
			if later == 0 || told < later {
				later = told
			}
			isLoaded = true
			continue
		}
		if receipt.Epoch == 0 {
			continue
		}
		c.heard()
		c.Cache.Stage(receipt.Groups)
		if ok, err := c.Cache.Swap(receipt.Epoch, receipt.Manifest); ok && err == nil {
			return true, false, 0
		}
	}
	return false, isLoaded, later
}
