package node

import (
	"context"
	"time"

	"github.com/sumactrestle/sumactrestle/fencing"
	"github.com/sumactrestle/sumactrestle/internal/ids"
)

// confirmationTimeout bounds the wait for a confirmation that goes with the response to a
// heartbeat. A response without one is as good for all but the target's fence.
const confirmationTimeout = 150 * time.Millisecond

// heartbeatsPerConfirmation is how many periods of heartbeats have to fit into the age of the
// confirmation by which a target judges.
const heartbeatsPerConfirmation = 3

// fencesTargets tells whether targets are told the epoch in force, so that they refuse requests under
// one that is long past. With the setting distribution.offline_grace proxies may go on under an
// older epoch, so no target may refuse it; and where heartbeats are rare, one that is lost would
// leave a target without a confirmation.
func (n *Node) fencesTargets() bool {
	settings := n.Env.Config
	return settings.DistributionOfflineGrace == 0 && heartbeatsPerConfirmation*settings.ControlplaneHeartbeatPeriod <= fencing.MaxConfirmationAge
}

// confirmedEpoch returns the epoch in force, and how long ago that was confirmed; epoch zero if
// that is not known.
func (n *Node) confirmedEpoch(ctx context.Context) (ids.Epoch, time.Duration) {
	if n.Distribution != nil {
		latest := n.Distribution.LatestConfirmation()
		return latest.Epoch, n.Env.Since(latest.ConfigAsOf)
	}
	if n.configServer == nil {
		return 0, 0
	}
	limited, end := context.WithTimeout(ctx, confirmationTimeout)
	defer end()
	epoch, age, err := n.configServer.Confirmation(limited)
	if err != nil {
		return 0, 0
	}
	return epoch, age
}
