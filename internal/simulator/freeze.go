// Processes that stand still between two of their own lines, as the machine may hold up any
// process at any time: nothing of what it does next happens, while the system goes on to take in
// what comes for it, and all else goes on too.

package simulator

import "time"

// standstill is what is to happen at the next write of a machine to an address.
type writeHold struct {
	duration       time.Duration
	freezesMachine bool
	started        chan struct{} // closed when it begins
}

// writeDirection names what one machine writes to an address.
type writeDirection struct{ from, to string }

// HoldNextWrite has the next write of a machine to an address stand still right at its beginning:
// all that the process did before is done, the look at the connection's deadline too, and the
// system takes the bytes only when the time is over. The channel is closed when that begins.
func (n *Network) HoldNextWrite(from, to string, d time.Duration) (started <-chan struct{}) {
	return n.armWriteHold(from, to, &writeHold{duration: d, started: make(chan struct{})})
}

// FreezeAtNextWrite has the whole machine stand still from the beginning of its next write to an
// address. The channel is closed when that begins.
func (n *Network) FreezeAtNextWrite(from, to string, d time.Duration) (started <-chan struct{}) {
	return n.armWriteHold(from, to, &writeHold{duration: d, freezesMachine: true, started: make(chan struct{})})
}

func (n *Network) armWriteHold(from, to string, s *writeHold) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.writeHolds[writeDirection{from, to}] = s
	n.faultCount++
	return s.started
}

// Freeze has the process of a machine stand still as far as others can tell: from now on, for that
// time, it reads, accepts and writes nothing. Its system works: what comes is acknowledged and kept.
// The process's timers run, so what it decides by them alone meanwhile it decides in time.
func (n *Network) Freeze(ip string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.freeze(ip, d)
}

// freeze is Freeze for a caller that holds mu.
func (n *Network) freeze(ip string, d time.Duration) {
	n.frozenUntil[ip] = time.Now().Add(d)
	n.faultCount++
}

// awaitThaw waits until a machine does not stand still, and returns when it last began to go on
// again; the zero time if it never stood still.
func (n *Network) awaitUnfrozen(ip string) time.Time {
	for {
		n.mu.Lock()
		until := n.frozenUntil[ip]
		n.mu.Unlock()
		remaining := time.Until(until)
		if remaining <= 0 {
			return until
		}
		time.Sleep(remaining)
	}
}

// beginWrite is the beginning of each write of a machine to an address.
func (n *Network) beginWrite(from, to string) {
	n.mu.Lock()
	direction := writeDirection{from, to}
	s := n.writeHolds[direction]
	delete(n.writeHolds, direction)
	if s != nil && s.freezesMachine {
		n.freeze(from, s.duration)
	}
	n.mu.Unlock()
	if s != nil {
		close(s.started)
		time.Sleep(s.duration)
	}
	n.awaitUnfrozen(from)
}
