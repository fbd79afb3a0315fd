// The links of machines: a narrow one carries so many bytes a second in each direction,
// and what is sent beyond that waits in its queue, whatever it is, in the order in which
// it was sent. A machine that was not narrowed has all the room there is.

package simulator

import "time"

const (
	packetMost = 16 << 10
	packetSize = 60 // of one that carries nothing
	// queueMost is how long the queue of a link may be before datagrams are lost.
	queueMost = time.Second
)

// link is one machine's, with when each direction has nothing more to carry.
type link struct {
	rate    float64 // bytes a second
	in, out time.Time
}

// transmit is when so many bytes that come at that time are through.
func (l *link) transmit(free *time.Time, at time.Time, bytes int) time.Time {
	if l == nil {
		return at
	}
	if free.After(at) {
		at = *free
	}
	*free = at.Add(time.Duration(float64(bytes) / l.rate * float64(time.Second)))
	return *free
}

// LimitBandwidth gives a machine's link a rate in bytes a second.
func (n *Network) LimitBandwidth(ip string, rate int) {
	n.mu.Lock()
	n.links[ip] = &link{rate: float64(rate)}
	n.mu.Unlock()
}

// QueueDelay is how long what comes to a machine now waits at its link, and what leaves it.
func (n *Network) QueueDelay(ip string) (in, out time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l := n.links[ip]; l != nil {
		in, out = max(0, time.Until(l.in)), max(0, time.Until(l.out))
	}
	return in, out
}

// arrivalTime is when what leaves one machine at that time is at the other.
func (n *Network) arrivalTime(from, to string, at time.Time, bytes int) time.Time {
	one, two := n.links[from], n.links[to]
	if one != nil {
		at = one.transmit(&one.out, at, bytes)
	}
	at = at.Add(n.delay(from, to))
	if two != nil {
		at = two.transmit(&two.in, at, bytes)
	}
	return at
}

// isLimited tells whether a link on the way bounds what goes over it.
func (n *Network) isLimited(from, to string) bool { return n.links[from] != nil || n.links[to] != nil }
