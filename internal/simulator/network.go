package simulator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/syndtr/goleveldb/leveldb/storage"

	"github.com/sumactrestle/sumactrestle/internal/environment"
)

// firstClientPort is the lowest local port of dialing machines.
const firstClientPort = 40000

// Network is the simulated network, together with the disks of its machines. It simulates
// delays, lost datagrams, limited bandwidth, partitions in one direction or both, paused
// machines, killed processes and power losses. Machines are identified by their IP addresses.
type Network struct {
	mu      sync.Mutex // guards all below
	rand    *rand.Rand
	changed chan struct{} // closed and replaced when reachability changes

	zones       map[string]string
	partitions  map[[2]string]bool // from, to
	paused      map[string]bool
	generations map[string]int           // number of processes killed on each machine
	suspended   map[string]time.Duration // total suspension of each machine
	frozenUntil map[string]time.Time
	writeHolds  map[writeDirection]*writeHold // each applies to one write
	links       map[string]*link
	disks       map[string]*Disk
	lossRate    float64 // fraction of datagrams that are lost, 0 to 1
	faultCount  int     // faults injected so far

	listeners   map[string]*listener   // by address
	packetConns map[string]*packetConn // by address
	conns       map[*conn]bool
	nextPort    int

	// BytesBetweenZones and BytesWithinZones count the bytes sent since the start.
	BytesBetweenZones, BytesWithinZones int64
}

// NewNetwork returns a network without faults. Its delays and losses are drawn from the seed.
func NewNetwork(seed uint64) *Network {
	return &Network{
		rand:        rand.New(rand.NewPCG(seed, 1)),
		changed:     make(chan struct{}),
		zones:       map[string]string{},
		partitions:  map[[2]string]bool{},
		paused:      map[string]bool{},
		generations: map[string]int{},
		suspended:   map[string]time.Duration{},
		frozenUntil: map[string]time.Time{},
		writeHolds:  map[writeDirection]*writeHold{},
		links:       map[string]*link{},
		disks:       map[string]*Disk{},
		listeners:   map[string]*listener{},
		packetConns: map[string]*packetConn{},
		conns:       map[*conn]bool{},
		nextPort:    firstClientPort,
	}
}

// hostOf returns the IP address within an address with a port.
func hostOf(address string) string {
	ap, err := netip.ParseAddrPort(address)
	if err != nil {
		return address
	}
	return ap.Addr().String()
}

func tcpAddr(address string) net.Addr {
	return net.TCPAddrFromAddrPort(netip.MustParseAddrPort(address))
}

// broadcast wakes all goroutines that wait for a change of reachability. The caller holds mu.
func (n *Network) broadcast() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// SetZone assigns a machine to a zone. Delays between zones are longer than within one.
func (n *Network) SetZone(ip, zone string) {
	n.mu.Lock()
	n.zones[ip] = zone
	n.mu.Unlock()
}

// Partition blocks traffic from one machine to another, in this direction only, until Heal.
func (n *Network) Partition(from, to string) {
	n.mu.Lock()
	n.partitions[[2]string{from, to}] = true
	n.faultCount++
	n.mu.Unlock()
}

// Heal ends all partitions and pauses.
func (n *Network) Heal() {
	n.mu.Lock()
	n.partitions, n.paused = map[[2]string]bool{}, map[string]bool{}
	n.broadcast()
	n.mu.Unlock()
}

// Pause blocks all traffic from and to a machine until Unpause or Heal.
func (n *Network) Pause(ip string) {
	n.mu.Lock()
	n.paused[ip] = true
	n.faultCount++
	n.mu.Unlock()
}

// Suspend adds d to the machine's suspended time, as if it had been suspended for d: its
// monotonic clock stopped while everything else continued.
func (n *Network) Suspend(ip string, d time.Duration) {
	n.mu.Lock()
	n.suspended[ip] += d
	n.faultCount++
	n.mu.Unlock()
}

// Unpause ends a Pause.
func (n *Network) Unpause(ip string) {
	n.mu.Lock()
	delete(n.paused, ip)
	n.broadcast()
	n.mu.Unlock()
}

// status reports whether the network has no partitions, pauses or losses, and how many faults
// were injected so far.
func (n *Network) status() (isIntact bool, faults int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.partitions) == 0 && len(n.paused) == 0 && n.lossRate == 0, n.faultCount
}

// SetLossRate sets the fraction of datagrams that are lost, 0 to 1.
func (n *Network) SetLossRate(rate float64) {
	n.mu.Lock()
	n.lossRate = rate
	n.mu.Unlock()
}

// Kill ends the process of a machine: its connections break, and its disk operations fail. With a
// power loss, peers are not notified, and only a random prefix of the unsynced data remains.
func (n *Network) Kill(ip string, isPowerLost bool) {
	n.mu.Lock()
	n.generations[ip]++
	n.faultCount++
	for c := range n.conns {
		if c.localHost == ip || c.remoteHost == ip {
			c.reset(c.localHost == ip, !isPowerLost, n.rand.IntN(2) == 0)
			delete(n.conns, c)
		}
	}
	for address, l := range n.listeners {
		if hostOf(address) == ip {
			l.close()
			delete(n.listeners, address)
		}
	}
	for address, p := range n.packetConns {
		if hostOf(address) == ip {
			p.close()
			delete(n.packetConns, address)
		}
	}
	disk := n.disks[ip]
	n.broadcast()
	n.mu.Unlock()
	if disk != nil {
		disk.detach(isPowerLost)
	}
}

// Disk returns the machine's disk, which outlives its processes.
func (n *Network) Disk(ip string) *Disk {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.disks[ip] == nil {
		n.disks[ip] = newDisk(rand.New(rand.NewPCG(n.rand.Uint64(), 2)))
	}
	return n.disks[ip]
}

// blocked reports whether traffic from one machine to another is blocked. The caller holds mu.
func (n *Network) blocked(from, to string) bool {
	return n.partitions[[2]string{from, to}] || n.paused[from] || n.paused[to]
}

// delay draws the delay of one delivery: 200 to 400 µs within a zone, 1 to 2 ms between zones.
func (n *Network) delay(from, to string) time.Duration {
	base := 200 * time.Microsecond
	if n.zones[from] != n.zones[to] {
		base = time.Millisecond
	}
	return base + time.Duration(n.rand.Int64N(int64(base)))
}

func (n *Network) countBytes(from, to string, bytes int) {
	if n.zones[from] == n.zones[to] {
		n.BytesWithinZones += int64(bytes)
	} else {
		n.BytesBetweenZones += int64(bytes)
	}
}

// HostAt returns the environment.Host of a machine for its current process. After the process is
// killed, dialing and listening fail.
func (n *Network) HostAt(ip string) environment.Host {
	n.mu.Lock()
	generation := n.generations[ip]
	n.mu.Unlock()
	isAlive := func() bool { return n.generations[ip] == generation }
	return environment.Host{
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return n.dial(ctx, ip, address, isAlive)
		},
		Listen: func(address string) (net.Listener, error) {
			n.mu.Lock()
			defer n.mu.Unlock()
			if !isAlive() || n.listeners[address] != nil {
				return nil, fmt.Errorf("listen %s: address in use", address)
			}
			l := &listener{network: n, address: address, queue: make(chan *conn, 256), closed: make(chan struct{})}
			n.listeners[address] = l
			return l, nil
		},
		ListenPacket: func(address string) (net.PacketConn, error) {
			n.mu.Lock()
			defer n.mu.Unlock()
			if !isAlive() || n.packetConns[address] != nil {
				return nil, fmt.Errorf("packet %s: address in use", address)
			}
			p := &packetConn{network: n, address: address, closed: make(chan struct{}), queue: make(chan packet, 1024)}
			n.packetConns[address] = p
			return p, nil
		},
		OpenStorage: func(string) (storage.Storage, error) { return n.Disk(ip).attach() },
		SuspendedTime: func() time.Duration {
			n.mu.Lock()
			defer n.mu.Unlock()
			return n.suspended[ip]
		},
		Rename: func(string, string) error { n.Disk(ip).Wipe(); return nil },
	}
}

func (n *Network) dial(ctx context.Context, ip, address string, isAlive func() bool) (net.Conn, error) {
	remoteHost := hostOf(address)
	for {
		n.awaitUnfrozen(ip)
		n.mu.Lock()
		if !isAlive() {
			n.mu.Unlock()
			return nil, fmt.Errorf("dial %s: the dialing process was killed", address)
		}
		if !n.blocked(ip, remoteHost) && !n.blocked(remoteHost, ip) {
			arrival := n.arrivalTime(ip, remoteHost, time.Now(), emptyPacketBytes)
			replyArrival := arrival.Add(n.delay(remoteHost, ip))
			n.mu.Unlock()
			if err := sleep(ctx, time.Until(replyArrival)); err != nil {
				return nil, err
			}
			n.mu.Lock()
			l := n.listeners[address]
			if l == nil || !isAlive() {
				n.mu.Unlock()
				return nil, fmt.Errorf("dial %s: connection refused", address)
			}
			n.nextPort++
			localAddress := fmt.Sprintf("%s:%d", ip, 40000+n.nextPort%20000)
			dialer, accepted := newConnPair(n, localAddress, address)
			n.conns[dialer], n.conns[accepted] = true, true
			n.mu.Unlock()
			select {
			case l.queue <- accepted:
				return dialer, nil
			case <-l.closed:
				dialer.Close()
				accepted.Close()
				return nil, fmt.Errorf("dial %s: connection refused", address)
			case <-ctx.Done():
				dialer.Close()
				accepted.Close()
				return nil, ctx.Err()
			}
		}
		changed := n.changed
		n.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
