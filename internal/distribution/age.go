// How old an epoch is when a proxy takes it into use: what the control node said of
// its age, and what passed since its word came.
package distribution

import (
	"time"

	"github.com/sumactrestle/sumactrestle/internal/mark"
	"github.com/sumactrestle/sumactrestle/internal/wire"
)

// swap takes an epoch into use that was made then, and notes its age.
func (c *Client) swap(epoch mark.Epoch, manifest map[string]wire.Held, made time.Time) (bool, error) {
	ok, err := c.Cache.Swap(epoch, manifest)
	if ok && err == nil {
		c.r.Times.Epoch.Take(time.Since(made))
	}
	return ok, err
}
