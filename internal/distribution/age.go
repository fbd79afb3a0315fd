// How old an epoch is when a proxy takes it into use: what the control node said of
// its age, and what passed since its word came.
package distribution

import (
	"time"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// activate takes an epoch into use that was made then, and notes its age.
func (c *Client) activate(epoch ids.Epoch, manifest map[string]rpc.GroupVersion, made time.Time) (bool, error) {
	ok, err := c.Cache.Activate(epoch, manifest)
	if ok && err == nil {
		c.env.Latencies.Epoch.Take(time.Since(made))
	}
	return ok, err
}
