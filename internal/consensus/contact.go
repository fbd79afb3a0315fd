package consensus

import (
	"time"

	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// peerContact is what a heartbeater knows of its peer's silence. Silence is counted by
// questions that were not answered, so a peer that nobody asked is not silent, however long
// ago it was heard. It is the evidence on which a leader replaces a voter: the member list
// tells the same some seconds later, for it lets a suspect refute.
type peerContact struct {
	// unansweredSince is when the first message was sent that nothing of the peer followed;
	// zero if the last one was answered.
	unansweredSince time.Time
	lastSent        time.Time
}

// recordSent notes that the peer is asked. After a pause in which this node itself did not
// ask, as while it stood still, the silence begins anew.
func (c *peerContact) recordSent(now time.Time, longestPause time.Duration) {
	hasPaused := now.Sub(c.lastSent) > longestPause
	if c.unansweredSince.IsZero() || hasPaused {
		c.unansweredSince = now
	}
	c.lastSent = now
}

// recordHeard notes that something came from the peer.
func (c *peerContact) recordHeard() { c.unansweredSince = time.Time{} }

// silence returns for how long the peer has not answered.
func (c *peerContact) silence(now time.Time) time.Duration {
	if c.unansweredSince.IsZero() {
		return 0
	}
	return now.Sub(c.unansweredSince)
}

// longestHeartbeatPause is the longest pause between two heartbeats to one peer while this
// node runs as it should: the idle pause, and a message that times out.
func (n *Node) longestHeartbeatPause() time.Duration {
	return idleHeartbeatFactor*n.env.Config.ConsensusHeartbeatPeriod + 2*heartbeatTimeout
}

// recordSent notes that a heartbeat goes out.
func (n *Node) recordSent(h *heartbeater, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	h.contact.recordSent(now, n.longestHeartbeatPause())
}

// recordHeard notes that a message or an answer came from a core node.
func (n *Node) recordHeard(peer rpc.Peer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if h := n.heartbeaters[peer]; h != nil {
		h.contact.recordHeard()
	}
}

// silenceOf returns for how long a core node has left this node's questions unanswered; zero
// if it answers, or is not asked.
func (n *Node) silenceOf(peer rpc.Peer) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if h := n.heartbeaters[peer]; h != nil {
		return h.contact.silence(n.env.Now())
	}
	return 0
}

// newlyGonePeriod is how long a core node counts as newly gone.
const newlyGonePeriod = time.Second

// hasNewlyGonePeer tells whether some core node has become silent for
// consensus.replacement_delay less than newlyGonePeriod ago.
func (n *Node) hasNewlyGonePeer() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now, delay := n.env.Now(), n.env.Config.ConsensusReplacementDelay
	for _, h := range n.heartbeaters {
		if silence := h.contact.silence(now); silence > delay && silence < delay+newlyGonePeriod {
			return true
		}
	}
	return false
}

// isAnswering tells whether a core node answered the last question that it had time for.
func (n *Node) isAnswering(peer rpc.Peer) bool { return n.silenceOf(peer) <= heartbeatTimeout }
