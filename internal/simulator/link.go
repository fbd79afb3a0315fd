// Bandwidth limits of machines. A limited link carries a fixed number of bytes per second in each
// direction. Traffic beyond that waits in one first-in-first-out queue per direction. Machines
// without a limit have unlimited bandwidth.

package simulator

import "time"

const (
	maxSegmentBytes  = 16 << 10
	emptyPacketBytes = 60 // a packet without payload
	// maxQueueDelay is the delivery delay beyond which datagrams are dropped.
	maxQueueDelay = time.Second
)

// link is the limited link of one machine.
type link struct {
	rate                float64   // bytes per second
	inFreeAt, outFreeAt time.Time // when all queued traffic of the direction is transmitted
}

// transmit queues bytes at the time start and returns when they have been transmitted. On a nil
// link this is start.
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

// LimitBandwidth limits a machine's link to a rate in bytes per second in each direction.
func (n *Network) LimitBandwidth(ip string, rate int) {
	n.mu.Lock()
	n.links[ip] = &link{rate: float64(rate)}
	n.mu.Unlock()
}

// QueueDelay returns how long traffic to and from a machine currently waits in its link's queues.
func (n *Network) QueueDelay(ip string) (inbound, outbound time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l := n.links[ip]; l != nil {
		inbound, outbound = max(0, time.Until(l.inFreeAt)), max(0, time.Until(l.outFreeAt))
	}
	return inbound, outbound
}

// arrivalTime queues bytes sent at time t on the links of both machines, and returns when they
// arrive. The caller holds mu.
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

// isLimited reports whether either machine has a bandwidth limit. The caller holds mu.
func (n *Network) isLimited(from, to string) bool { return n.links[from] != nil || n.links[to] != nil }
