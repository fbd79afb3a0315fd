package node

import (
	"context"
	"time"

	"github.com/sumactrestle/sumactrestle/fencing"
	"github.com/sumactrestle/sumactrestle/internal/ids"
)

// confirmationTimeout limits how long the response to a heartbeat waits for a confirmation.
// Only the target's fence needs the confirmation; the heartbeat takes effect without it.
const confirmationTimeout = 150 * time.Millisecond

// heartbeatsPerConfirmation is the number of heartbeat periods that must fit into
// fencing.MaxConfirmationAge, so that a lost heartbeat does not leave a target without a
// confirmation.
const heartbeatsPerConfirmation = 3

// fencesTargets reports whether responses to heartbeats carry the epoch in force, by which
// targets reject requests sent under an outdated epoch. They don't if distribution.offline_grace
// is set, because proxies may then keep using an older epoch, or if the heartbeat period is too
// long for heartbeatsPerConfirmation.
func (n *Node) fencesTargets() bool {
	settings := n.Env.Config
	return settings.DistributionOfflineGrace == 0 && heartbeatsPerConfirmation*settings.ControlplaneHeartbeatPeriod <= fencing.MaxConfirmationAge
}

// confirmedEpoch returns the epoch in force and the time since it was confirmed. The epoch is
// zero if it is not known.
func (n *Node) confirmedEpoch(ctx context.Context) (ids.Epoch, time.Duration) {
	if n.Distribution != nil {
		latest := n.Distribution.LatestConfirmation()
		return latest.Epoch, n.Env.Since(latest.ConfigAsOf)
	}
	if n.configServer == nil {
		return 0, 0
	}
	confirmationCtx, cancel := context.WithTimeout(ctx, confirmationTimeout)
	defer cancel()
	epoch, age, err := n.configServer.Confirmation(confirmationCtx)
	if err != nil {
		return 0, 0
	}
	return epoch, age
}
