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

// firstClientPort is the first port that a dialling machine uses.
const firstClientPort = 40000

// Network is the simulated network with the disks of its machines: delays, lost datagrams,
// partitions in one direction or both, machines that are paused, processes that are killed
// and machines that lose power. Machines are named by their IP addresses.
type Network struct {
	mu      sync.Mutex // guards all below
	rand    *rand.Rand
	changed chan struct{} // closed and replaced when what may pass changes

	zones       map[string]string
	partitions  map[[2]string]bool // from, to
	paused      map[string]bool
	generations map[string]int // a killed process of a machine counts up its generation
	suspended   map[string]time.Duration
	frozenUntil map[string]time.Time
	writeHolds  map[writeDirection]*writeHold // armed, each for one write
	links       map[string]*link
	disks       map[string]*Disk
	lossRate    float64 // share of the datagrams that are lost
	faultCount  int     // how often something was done to a link or a machine

	listeners   map[string]*listener // by address, as the two below
	packetConns map[string]*packetConn
	conns       map[*conn]bool
	nextPort    int

	// BytesBetweenZones and BytesWithinZones count what was sent since the start.
	BytesBetweenZones, BytesWithinZones int64
}

// NewNetwork makes an undisturbed network. Its delays and losses are drawn from the seed.
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

// broadcast wakes all that wait for the network to change. The caller holds mu.
func (n *Network) broadcast() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// SetZone puts a machine into a zone; delays follow from the zones.
func (n *Network) SetZone(ip, zone string) {
	n.mu.Lock()
	n.zones[ip] = zone
	n.mu.Unlock()
}

// Partition stops what goes from one machine to another; Heal lets it through.
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

// Pause keeps back all that a machine sends and gets, until Unpause or Heal.
func (n *Network) Pause(ip string) {
	n.mu.Lock()
	n.paused[ip] = true
	n.faultCount++
	n.mu.Unlock()
}

// Suspend is a suspension as the machine sees it: its monotonic clock stands
// still, and all else has gone on meanwhile.
func (n *Network) Suspend(ip string, d time.Duration) {
	n.mu.Lock()
	n.suspended[ip] += d
	n.faultCount++
	n.mu.Unlock()
}

// Unpause lets through what Pause kept back.
func (n *Network) Unpause(ip string) {
	n.mu.Lock()
	delete(n.paused, ip)
	n.broadcast()
	n.mu.Unlock()
}

// status reports whether nothing is partitioned, paused or lossy, and how many faults there were.
func (n *Network) status() (isIntact bool, faults int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.partitions) == 0 && len(n.paused) == 0 && n.lossRate == 0, n.faultCount
}

// SetLossRate sets the share of datagrams that are lost.
func (n *Network) SetLossRate(rate float64) {
	n.mu.Lock()
	n.lossRate = rate
	n.mu.Unlock()
}

// Kill ends a process: its connections break, and its disk no longer obeys it.
// When the machine loses power, peers hear nothing, and what was not synced is
// gone but for a torn beginning.
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

// Disk is a machine's disk, which outlives its processes.
func (n *Network) Disk(ip string) *Disk {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.disks[ip] == nil {
		n.disks[ip] = newDisk(rand.New(rand.NewPCG(n.rand.Uint64(), 2)))
	}
	return n.disks[ip]
}

// blocked tells whether nothing gets from one machine to another now.
func (n *Network) blocked(from, to string) bool {
	return n.partitions[[2]string{from, to}] || n.paused[from] || n.paused[to]
}

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

// HostAt is the network as one machine has it, for one life of its process.
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
			return nil, fmt.Errorf("dial %s: no network", address)
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
