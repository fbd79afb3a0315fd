// How old an epoch is when a proxy takes it into use: what the control node said of
// its age, and what passed since its word came.
package distribution

import (
	"time"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// swap takes an epoch into use that was made then, and notes its age.
func (c *Client) swap(epoch ids.Epoch, manifest map[string]rpc.GroupVersion, made time.Time) (bool, error) {
	ok, err := c.Cache.Swap(epoch, manifest)
	if ok && err == nil {
		c.r.Latencies.Epoch.Take(time.Since(made))
	}
	return ok, err
}
