// The links of machines: a narrow one carries so many bytes a second in each direction,
// and what is sent beyond that waits in its queue, whatever it is, in the order in which
// it was sent. A machine that was not narrowed has all the room there is.

package simulator

import "time"

const (
	maxSegmentBytes  = 16 << 10
	emptyPacketBytes = 60 // of one that carries nothing
	// queueMost is how long the queue of a link may be before datagrams are lost.
	maxQueueDelay = time.Second
)

// link is one machine's, with when each direction has nothing more to carry.
type link struct {
	rate                float64 // bytes a second
	inFreeAt, outFreeAt time.Time
}

// transmit is when so many bytes that come at that time are through.
func (l *link) transmit(freeAt *time.Time, start time.Time, bytes int) time.Time {
	if l == nil {
		return start
	}
	if freeAt.After(start) {
		start = *freeAt
	}
	*freeAt = start.Add(time.Duration(float64(bytes) / l.rate * float64(time.Second)))
	return *freeAt
}

// LimitBandwidth gives a machine's link a rate in bytes a second.
func (n *Network) LimitBandwidth(ip string, rate int) {
	n.mu.Lock()
	n.links[ip] = &link{rate: float64(rate)}
	n.mu.Unlock()
}

// QueueDelay is how long what comes to a machine now waits at its link, and what leaves it.
func (n *Network) QueueDelay(ip string) (inbound, outbound time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l := n.links[ip]; l != nil {
		inbound, outbound = max(0, time.Until(l.inFreeAt)), max(0, time.Until(l.outFreeAt))
	}
	return inbound, outbound
}

// arrivalTime is when what leaves one machine at that time is at the other.
func (n *Network) arrivalTime(from, to string, t time.Time, bytes int) time.Time {
	sender, receiver := n.links[from], n.links[to]
	if sender != nil {
		t = sender.transmit(&sender.outFreeAt, t, bytes)
	}
	t = t.Add(n.delay(from, to))
	if receiver != nil {
		t = receiver.transmit(&receiver.inFreeAt, t, bytes)
	}
	return t
}

// isLimited tells whether a link on the way bounds what goes over it.
func (n *Network) isLimited(from, to string) bool { return n.links[from] != nil || n.links[to] != nil }
