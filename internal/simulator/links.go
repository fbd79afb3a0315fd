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

// take is when so many bytes that come at that time are through.
func (l *link) take(free *time.Time, at time.Time, bytes int) time.Time {
	if l == nil {
		return at
	}
	if free.After(at) {
		at = *free
	}
	*free = at.Add(time.Duration(float64(bytes) / l.rate * float64(time.Second)))
	return *free
}

// Narrow gives a machine's link a rate in bytes a second.
func (w *World) Narrow(ip string, rate int) {
	w.mu.Lock()
	w.links[ip] = &link{rate: float64(rate)}
	w.mu.Unlock()
}

// Queue is how long what comes to a machine now waits at its link, and what leaves it.
func (w *World) Queue(ip string) (in, out time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if l := w.links[ip]; l != nil {
		in, out = max(0, time.Until(l.in)), max(0, time.Until(l.out))
	}
	return in, out
}

// arrival is when what leaves one machine at that time is at the other.
func (w *World) arrival(from, to string, at time.Time, bytes int) time.Time {
	one, two := w.links[from], w.links[to]
	if one != nil {
		at = one.take(&one.out, at, bytes)
	}
	at = at.Add(w.delay(from, to))
	if two != nil {
		at = two.take(&two.in, at, bytes)
	}
	return at
}

// isNarrow tells whether a link on the way bounds what goes over it.
func (w *World) isNarrow(from, to string) bool { return w.links[from] != nil || w.links[to] != nil }
