package harness

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	relayDialTimeout   = time.Second
	relayStreamBuffer  = 32 << 10
	maxDatagram        = 64 << 10
	datagramRetryPause = 10 * time.Millisecond // after a read failed, as when the node is down
)

// Relay stands before the wire address of every node of a fleet, for TCP and UDP, and can cut
// links between machines. It tells the sender by its IP number. On a link that is cut, streams
// are held back and datagrams lost, as on a broken network: neither side is notified.
type Relay struct {
	ctx    context.Context
	cancel context.CancelFunc
	fleet  *Fleet
	closes []func() error // of the listeners
	tasks  sync.WaitGroup // every goroutine of the relay

	mu     sync.Mutex // guards cuts and healed
	cuts   map[link]bool
	healed chan struct{} // closed and replaced when all cuts end
}

// link is one direction between two machines, by their IP numbers.
type link struct{ from, to string }

// NewRelay listens at the wire address of every machine of the fleet. The machines must be
// started after it.
func NewRelay(parent context.Context, fleet *Fleet) (*Relay, error) {
	ctx, cancel := context.WithCancel(parent)
	r := &Relay{ctx: ctx, cancel: cancel, fleet: fleet, cuts: map[link]bool{}, healed: make(chan struct{})}
	for _, m := range fleet.Machines {
		if err := r.listen(m); err != nil {
			r.Close()
			return nil, err
		}
	}
	return r, nil
}

func (r *Relay) listen(m *Machine) error {
	listener, err := net.Listen("tcp", m.RPCAddress())
	if err != nil {
		return err
	}
	r.closes = append(r.closes, listener.Close)
	packets, err := net.ListenPacket("udp", m.RPCAddress())
	if err != nil {
		return err
	}
	r.closes = append(r.closes, packets.Close)
	r.tasks.Go(func() { r.accept(listener, m) })
	r.tasks.Go(func() { r.forwardDatagrams(packets, m) })
	return nil
}

// Close ends the relay and what goes through it, and waits for its goroutines.
func (r *Relay) Close() {
	r.cancel()
	for _, closeListener := range r.closes {
		closeListener()
	}
	r.tasks.Wait()
}

// Cut stops what goes from one machine to another.
func (r *Relay) Cut(from, to *Machine) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cuts[link{from.IP, to.IP}] = true
}

// Isolate cuts the machines that are in a group off from all others, both ways.
func (r *Relay) Isolate(inGroup func(*Machine) bool) {
	for _, a := range r.fleet.Machines {
		for _, b := range r.fleet.Machines {
			if inGroup(a) && !inGroup(b) {
				r.Cut(a, b)
				r.Cut(b, a)
			}
		}
	}
}

// Heal ends all cuts.
func (r *Relay) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cuts = map[link]bool{}
	close(r.healed)
	r.healed = make(chan struct{})
}

// isCut reports whether a link is cut, and a channel that is closed when all cuts end.
func (r *Relay) isCut(l link) (isCut bool, healed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cuts[l], r.healed
}

func (r *Relay) accept(listener net.Listener, m *Machine) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		r.tasks.Go(func() { r.forwardConnection(conn, m) })
	}
}

// forwardConnection joins a connection to the node behind, until either way ends.
func (r *Relay) forwardConnection(near net.Conn, m *Machine) {
	defer near.Close()
	peer := near.RemoteAddr().(*net.TCPAddr).IP.String()
	far, err := net.DialTimeout("tcp", m.relayedAddress(), relayDialTimeout)
	if err != nil {
		return
	}
	defer far.Close()
	stop := context.AfterFunc(r.ctx, func() { near.Close(); far.Close() })
	defer stop()
	done := make(chan struct{}, 2)
	r.tasks.Go(func() { r.forwardStream(far, near, link{peer, m.IP}); done <- struct{}{} })
	r.tasks.Go(func() { r.forwardStream(near, far, link{m.IP, peer}); done <- struct{}{} })
	<-done
}

// forwardStream copies one way of a connection. Bytes that come while the link is cut wait
// until it is healed, and the reading with them.
func (r *Relay) forwardStream(to, from net.Conn, l link) {
	buffer := make([]byte, relayStreamBuffer)
	for {
		n, err := from.Read(buffer)
		for {
			isCut, healed := r.isCut(l)
			if !isCut {
				break
			}
			select {
			case <-healed:
			case <-r.ctx.Done():
				return
			}
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// forwardDatagrams forwards what comes for a machine, through one socket for each sender, so
// that the node's answers find their way back.
func (r *Relay) forwardDatagrams(packets net.PacketConn, m *Machine) {
	node := net.UDPAddrFromAddrPort(netip.MustParseAddrPort(m.relayedAddress()))
	sockets := map[string]*net.UDPConn{}
	defer func() {
		for _, socket := range sockets {
			socket.Close()
		}
	}()
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := packets.ReadFrom(buffer)
		if err != nil {
			return
		}
		sender := from.(*net.UDPAddr).IP.String()
		if isCut, _ := r.isCut(link{sender, m.IP}); isCut {
			continue
		}
		socket := sockets[from.String()]
		if socket == nil {
			if socket, err = net.DialUDP("udp", nil, node); err != nil {
				continue
			}
			sockets[from.String()] = socket
			r.tasks.Go(func() { r.returnDatagrams(packets, socket, from, link{m.IP, sender}) })
		}
		socket.Write(buffer[:n]) // a datagram may be lost
	}
}

// returnDatagrams sends a node's answers back to one sender, until the relay ends.
func (r *Relay) returnDatagrams(packets net.PacketConn, socket *net.UDPConn, sender net.Addr, l link) {
	buffer := make([]byte, maxDatagram)
	for {
		n, err := socket.Read(buffer)
		if err != nil {
			if r.ctx.Err() != nil {
				return
			}
			time.Sleep(datagramRetryPause)
			continue
		}
		if isCut, _ := r.isCut(l); !isCut {
			packets.WriteTo(buffer[:n], sender) // a datagram may be lost
		}
	}
}
