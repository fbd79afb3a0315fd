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
	datagramRetryDelay = 10 * time.Millisecond // after a failed read, for example while the node is down
)

// Relay listens at the peer address of every node of a fleet, forwards TCP and UDP to the nodes,
// and can cut links between machines. It identifies the sending machine by its IP address. On a cut
// link, streams are delayed until the link is healed and datagrams are dropped, as in a network
// partition; neither side is notified.
type Relay struct {
	ctx        context.Context
	cancel     context.CancelFunc
	fleet      *Fleet
	closeFuncs []func() error // close the listeners
	tasks      sync.WaitGroup // all goroutines of the relay

	mu     sync.Mutex // guards cuts and healed
	cuts   map[link]bool
	healed chan struct{} // closed and replaced by Heal
}

// link is one direction between two machines, given by their IP addresses.
type link struct{ from, to string }

// NewRelay returns a relay that listens at the peer address of every machine of the fleet. The
// fleet's Relay field must be set to it before the machines are started.
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
	r.closeFuncs = append(r.closeFuncs, listener.Close)
	packets, err := net.ListenPacket("udp", m.RPCAddress())
	if err != nil {
		return err
	}
	r.closeFuncs = append(r.closeFuncs, packets.Close)
	r.tasks.Go(func() { r.accept(listener, m) })
	r.tasks.Go(func() { r.forwardDatagrams(packets, m) })
	return nil
}

// Close closes the listeners and all relayed connections, and waits for the relay's goroutines.
func (r *Relay) Close() {
	r.cancel()
	for _, closeListener := range r.closeFuncs {
		closeListener()
	}
	r.tasks.Wait()
}

// Cut cuts the link from one machine to another, in this direction only.
func (r *Relay) Cut(from, to *Machine) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cuts[link{from.IP, to.IP}] = true
}

// Isolate cuts the links between the machines of a group and all others, in both directions.
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

// Heal restores all links that are cut.
func (r *Relay) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cuts = map[link]bool{}
	close(r.healed)
	r.healed = make(chan struct{})
}

// isCut reports whether a link is cut. The returned channel is closed by the next Heal.
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

// forwardConnection connects to the node and forwards both directions until one of them ends.
func (r *Relay) forwardConnection(peerConn net.Conn, m *Machine) {
	defer peerConn.Close()
	peer := peerConn.RemoteAddr().(*net.TCPAddr).IP.String()
	nodeConn, err := net.DialTimeout("tcp", m.relayedAddress(), relayDialTimeout)
	if err != nil {
		return
	}
	defer nodeConn.Close()
	stop := context.AfterFunc(r.ctx, func() { peerConn.Close(); nodeConn.Close() })
	defer stop()
	done := make(chan struct{}, 2)
	r.tasks.Go(func() { r.forwardStream(nodeConn, peerConn, link{peer, m.IP}); done <- struct{}{} })
	r.tasks.Go(func() { r.forwardStream(peerConn, nodeConn, link{m.IP, peer}); done <- struct{}{} })
	<-done
}

// forwardStream copies one direction of a connection. While the link is cut, it holds the bytes
// that it has read and reads no more.
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

// forwardDatagrams forwards datagrams to a machine's node. Each sender has its own socket toward
// the node, so that the node's replies can be returned to the sender.
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
		socket.Write(buffer[:n]) // errors are ignored: datagrams may be lost
	}
}

// returnDatagrams forwards a node's replies to one sender until the relay is closed.
func (r *Relay) returnDatagrams(packets net.PacketConn, socket *net.UDPConn, sender net.Addr, l link) {
	buffer := make([]byte, maxDatagram)
	for {
		n, err := socket.Read(buffer)
		if err != nil {
			if r.ctx.Err() != nil {
				return
			}
			time.Sleep(datagramRetryDelay)
			continue
		}
		if isCut, _ := r.isCut(l); !isCut {
			packets.WriteTo(buffer[:n], sender) // errors are ignored: datagrams may be lost
		}
	}
}
