package consensus

import (
	"time"

	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// peerContact records for how long a peer has not responded. The time counts from the first
// unanswered heartbeat, so a peer that was sent none is not unresponsive. Leaders replace
// voters by this measure; the member list reports a dead node some seconds later, because
// it gives suspects time to refute.
type peerContact struct {
	// unansweredSince is when the first heartbeat was sent after the last message from the
	// peer; zero if none was sent since.
	unansweredSince time.Time
	lastSent        time.Time
}

// recordSent records that a heartbeat is sent. The measurement restarts if the previous one
// was sent more than longestPause ago, as after a pause of this process.
func (c *peerContact) recordSent(now time.Time, longestPause time.Duration) {
	hasPaused := now.Sub(c.lastSent) > longestPause
	if c.unansweredSince.IsZero() || hasPaused {
		c.unansweredSince = now
	}
	c.lastSent = now
}

// recordReceived records that a message or response arrived from the peer.
func (c *peerContact) recordReceived() { c.unansweredSince = time.Time{} }

// unresponsiveFor returns for how long the peer has not responded; zero if it has.
func (c *peerContact) unresponsiveFor(now time.Time) time.Duration {
	if c.unansweredSince.IsZero() {
		return 0
	}
	return now.Sub(c.unansweredSince)
}

// longestHeartbeatPause returns the longest normal pause between two heartbeats to one peer:
// the idle interval plus twice heartbeatTimeout.
func (n *Node) longestHeartbeatPause() time.Duration {
	return idleHeartbeatFactor*n.env.Config.ConsensusHeartbeatPeriod + 2*heartbeatTimeout
}

// recordSent records that a heartbeater sends a heartbeat.
func (n *Node) recordSent(h *heartbeater, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	h.contact.recordSent(now, n.longestHeartbeatPause())
}

// recordReceived records that a message or response arrived from a core node.
func (n *Node) recordReceived(peer rpc.Peer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if h := n.heartbeaters[peer]; h != nil {
		h.contact.recordReceived()
	}
}

// unresponsiveFor returns for how long a core node has not responded to this node; zero if
// it responds or is sent no heartbeats.
func (n *Node) unresponsiveFor(peer rpc.Peer) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if h := n.heartbeaters[peer]; h != nil {
		return h.contact.unresponsiveFor(n.env.Now())
	}
	return 0
}

// newlyUnresponsivePeriod is how long a core node counts as newly unresponsive.
const newlyUnresponsivePeriod = time.Second

// hasNewlyUnresponsivePeer reports whether a core node exceeded consensus.replacement_delay
// without a response less than newlyUnresponsivePeriod ago.
func (n *Node) hasNewlyUnresponsivePeer() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now, delay := n.env.Now(), n.env.Config.ConsensusReplacementDelay
	for _, h := range n.heartbeaters {
		if unresponsive := h.contact.unresponsiveFor(now); unresponsive > delay && unresponsive < delay+newlyUnresponsivePeriod {
			return true
		}
	}
	return false
}

// isResponsive reports whether a core node has no heartbeat unanswered for longer than
// heartbeatTimeout.
func (n *Node) isResponsive(peer rpc.Peer) bool { return n.unresponsiveFor(peer) <= heartbeatTimeout }
