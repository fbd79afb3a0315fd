// Frozen processes. A real machine may stop scheduling a process at any point: the process makes
// no progress, while its kernel still receives and acknowledges data and all other machines
// continue.

package simulator

import "time"

// writeHold delays the next write of a machine to an address.
type writeHold struct {
	duration       time.Duration
	freezesMachine bool          // freezes the whole machine, not only the writing goroutine
	started        chan struct{} // closed when the delay begins
}

// writeDirection identifies the writes of a machine (an IP address) to a remote address with a
// port.
type writeDirection struct{ from, to string }

// HoldNextWrite delays the next write of a machine to an address by d. The delay comes after the
// check of the connection's write deadline and before the kernel accepts the bytes. The channel is
// closed when the delay begins.
func (n *Network) HoldNextWrite(from, to string, d time.Duration) (started <-chan struct{}) {
	return n.armWriteHold(from, to, &writeHold{duration: d, started: make(chan struct{})})
}

// FreezeAtNextWrite freezes a machine for d at the beginning of its next write to an address. The
// channel is closed when the freeze begins.
func (n *Network) FreezeAtNextWrite(from, to string, d time.Duration) (started <-chan struct{}) {
	return n.armWriteHold(from, to, &writeHold{duration: d, freezesMachine: true, started: make(chan struct{})})
}

func (n *Network) armWriteHold(from, to string, hold *writeHold) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.writeHolds[writeDirection{from, to}] = hold
	n.faultCount++
	return hold.started
}

// Freeze stops the network activity of a machine's process for d: it reads, accepts and writes
// nothing. Its kernel still acknowledges and queues received data. The process's timers run, so
// actions that depend only on timers still happen on time.
func (n *Network) Freeze(ip string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.freeze(ip, d)
}

// freeze implements Freeze. The caller holds mu.
func (n *Network) freeze(ip string, d time.Duration) {
	n.frozenUntil[ip] = time.Now().Add(d)
	n.faultCount++
}

// awaitUnfrozen waits until a machine is not frozen, and returns the end of its last freeze, or the
// zero time if it was never frozen.
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

// beginWrite runs at the beginning of each write. It applies the write hold, if one is set, and
// waits until the machine is not frozen.
func (n *Network) beginWrite(from, to string) {
	n.mu.Lock()
	direction := writeDirection{from, to}
	hold := n.writeHolds[direction]
	delete(n.writeHolds, direction)
	if hold != nil && hold.freezesMachine {
		n.freeze(from, hold.duration)
	}
	n.mu.Unlock()
	if hold != nil {
		close(hold.started)
		time.Sleep(hold.duration)
	}
	n.awaitUnfrozen(from)
}
