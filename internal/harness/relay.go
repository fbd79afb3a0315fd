// The Relay stands before the wire address of every node of a run, for TCP and
// UDP, and can cut ways between machines: it tells who sends by the sender's IP
// number. What is cut is held back (TCP) or lost (UDP), as on a broken network;
// nobody is told.
package harness

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Relay is a run's.
type Relay struct {
	ctx    context.Context
	end    context.CancelFunc
	fleet  *Fleet
	mu     sync.Mutex
	cuts   map[[2]string]bool
	healed chan struct{}
	closes []func() error
}

// NewRelay listens for every machine of the fleet.
func NewRelay(parent context.Context, f *Fleet) (*Relay, error) {
	ctx, end := context.WithCancel(parent)
	r := &Relay{ctx: ctx, end: end, fleet: f, cuts: map[[2]string]bool{}, healed: make(chan struct{})}
	for _, m := range f.Machines {
		listener, err := net.Listen("tcp", m.RPCAddress())
		if err != nil {
			r.Close()
			return nil, err
		}
		r.closes = append(r.closes, listener.Close)
		packet, err := net.ListenPacket("udp", m.RPCAddress())
		if err != nil {
			r.Close()
			return nil, err
		}
		r.closes = append(r.closes, packet.Close)
		go r.accept(listener, m)
		go r.forwardDatagrams(packet, m)
	}
	return r, nil
}

// Close ends the relay and what goes through it.
func (r *Relay) Close() {
	r.end()
	for _, verb := range r.closes {
		verb()
	}
}

// Cut stops what goes from one machine to another.
func (r *Relay) Cut(from, to *Machine) {
	r.mu.Lock()
	r.cuts[[2]string{from.IP, to.IP}] = true
	r.mu.Unlock()
}

// Isolate cuts some machines off from all others.
func (r *Relay) Isolate(isIn func(*Machine) bool) {
	for _, a := range r.fleet.Machines {
		for _, b := range r.fleet.Machines {
			if isIn(a) && !isIn(b) {
				r.Cut(a, b)
				r.Cut(b, a)
			}
		}
	}
}

// Heal ends all cuts.
func (r *Relay) Heal() {
	r.mu.Lock()
	r.cuts = map[[2]string]bool{}
	close(r.healed)
	r.healed = make(chan struct{})
	r.mu.Unlock()
}

func (r *Relay) isCut(from, to string) (bool, chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cuts[[2]string{from, to}], r.healed
}

func (r *Relay) accept(listener net.Listener, m *Machine) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go r.forwardConnection(conn, m)
	}
}

// forwardConnection joins two connections, each way by a task of its own.
func (r *Relay) forwardConnection(near net.Conn, m *Machine) {
	defer near.Close()
	from := near.RemoteAddr().(*net.TCPAddr).IP.String()
	far, err := net.DialTimeout("tcp", m.relayedAddress(), time.Second)
	if err != nil {
		return
	}
	defer far.Close()
	stop := context.AfterFunc(r.ctx, func() { near.Close(); far.Close() })
	defer stop()
	done := make(chan struct{}, 2)
	go func() { r.forwardStream(far, near, from, m.IP); done <- struct{}{} }()
	go func() { r.forwardStream(near, far, m.IP, from); done <- struct{}{} }()
	<-done
}

func (r *Relay) forwardStream(to, from net.Conn, sender, getter string) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		for {
			isCut, change := r.isCut(sender, getter)
			if !isCut {
				break
			}
			select {
			case <-change:
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

// forwardDatagrams passes on what comes for a machine, through one socket for each
// sender, so that what it answers finds its way back.
func (r *Relay) forwardDatagrams(packet net.PacketConn, m *Machine) {
	behind := net.UDPAddrFromAddrPort(netip.MustParseAddrPort(m.relayedAddress()))
	ways := map[string]*net.UDPConn{}
	defer func() {
		for _, way := range ways {
			way.Close()
		}
	}()
	buffer := make([]byte, 64<<10)
	for {
		n, from, err := packet.ReadFrom(buffer)
		if err != nil {
			return
		}
		sender := from.(*net.UDPAddr).IP.String()
		if isCut, _ := r.isCut(sender, m.IP); isCut {
			continue
		}
		way := ways[from.String()]
		if way == nil {
			if way, err = net.DialUDP("udp", nil, behind); err != nil {
				continue
			}
			ways[from.String()] = way
			go func() {
				back := make([]byte, 64<<10)
				for {
					n, err := way.Read(back)
					if err != nil {
						if r.ctx.Err() != nil {
							return
						}
						time.Sleep(10 * time.Millisecond)
						continue
					}
					if isCut, _ := r.isCut(m.IP, sender); !isCut {
						packet.WriteTo(back[:n], from)
					}
				}
			}()
		}
		way.Write(buffer[:n])
	}
}
