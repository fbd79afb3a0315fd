// Package simulator is the simulator: the real, straight-down code of the nodes in
// a bubble of virtual time, on a network and on disks made here. A World holds
// the network: delays, lost datagrams, cuts one way and both ways, machines
// held still, processes killed and machines that lose power. What a seed
// decides is the faults and their times; the order in which tasks run is the
// scheduler's, so a seed given again makes the same faults, not the same steps.
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

// World is one network with its disks.
type World struct {
	mu        sync.Mutex
	rand      *rand.Rand
	change    chan struct{}
	zones     map[string]string
	cuts      map[[2]string]bool
	held      map[string]bool
	life      map[string]int
	slept     map[string]time.Duration
	listeners map[string]*listener
	packets   map[string]*packetConn
	conns     map[*conn]bool
	disks     map[string]*Disk
	links     map[string]*link
	nextPort  int
	loss      float64
	hurts     int // how often something was done to a way or a machine

	// Bytes sent between zones and within them, in all.
	Between, Within int64
}

func NewWorld(seed uint64) *World {
	return &World{rand: rand.New(rand.NewPCG(seed, 1)), change: make(chan struct{}), zones: map[string]string{}, cuts: map[[2]string]bool{}, held: map[string]bool{}, life: map[string]int{}, slept: map[string]time.Duration{},
		listeners: map[string]*listener{}, packets: map[string]*packetConn{}, conns: map[*conn]bool{}, disks: map[string]*Disk{}, links: map[string]*link{}, nextPort: 40000}
}

func host(address string) string {
	ap, err := netip.ParseAddrPort(address)
	if err != nil {
		return address
	}
	return ap.Addr().String()
}

func addr(address string) net.Addr {
	return net.TCPAddrFromAddrPort(netip.MustParseAddrPort(address))
}

func (w *World) stir() {
	close(w.change)
	w.change = make(chan struct{})
}

// Place puts a machine into a zone.
func (w *World) Place(ip, zone string) { w.mu.Lock(); w.zones[ip] = zone; w.mu.Unlock() }

// Cut stops what goes from one machine to another; Heal lets it through.
func (w *World) Cut(from, to string) {
	w.mu.Lock()
	w.cuts[[2]string{from, to}] = true
	w.hurts++
	w.mu.Unlock()
}

// Heal ends all cuts and holds.
func (w *World) Heal() {
	w.mu.Lock()
	w.cuts, w.held = map[[2]string]bool{}, map[string]bool{}
	w.stir()
	w.mu.Unlock()
}

// Hold keeps back all that a machine sends and gets, until Release.
func (w *World) Hold(ip string) { w.mu.Lock(); w.held[ip] = true; w.hurts++; w.mu.Unlock() }

// Suspend is a suspension as the machine sees it: its monotonic clock stands
// still, and all else has gone on meanwhile.
func (w *World) Suspend(ip string, d time.Duration) {
	w.mu.Lock()
	w.slept[ip] += d
	w.hurts++
	w.mu.Unlock()
}

func (w *World) Release(ip string) {
	w.mu.Lock()
	delete(w.held, ip)
	w.stir()
	w.mu.Unlock()
}

// state tells whether all ways are whole, and how often something was hurt.
func (w *World) state() (isWhole bool, hurts int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.cuts) == 0 && len(w.held) == 0 && w.loss == 0, w.hurts
}

// Lose sets the share of datagrams that are lost.
func (w *World) Lose(share float64) { w.mu.Lock(); w.loss = share; w.mu.Unlock() }

// Kill ends a process: its connections break, and its disk no longer obeys it.
// When the machine loses power, peers hear nothing, and what was not synced is
// gone but for a torn beginning.
func (w *World) Kill(ip string, isPowerLost bool) {
	w.mu.Lock()
	w.life[ip]++
	w.hurts++
	for c := range w.conns {
		if c.local == ip || c.remote == ip {
			c.reset(c.local == ip, !isPowerLost, w.rand.IntN(2) == 0)
			delete(w.conns, c)
		}
	}
	for at, l := range w.listeners {
		if host(at) == ip {
			l.close()
			delete(w.listeners, at)
		}
	}
	for at, p := range w.packets {
		if host(at) == ip {
			p.shut()
			delete(w.packets, at)
		}
	}
	disk := w.disks[ip]
	w.stir()
	w.mu.Unlock()
	if disk != nil {
		disk.detach(isPowerLost)
	}
}

// Disk is a machine's disk, which outlives its processes.
func (w *World) Disk(ip string) *Disk {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.disks[ip] == nil {
		w.disks[ip] = newDisk(rand.New(rand.NewPCG(w.rand.Uint64(), 2)))
	}
	return w.disks[ip]
}

// blocked tells whether nothing gets from one machine to another now.
func (w *World) blocked(from, to string) bool {
	return w.cuts[[2]string{from, to}] || w.held[from] || w.held[to]
}

func (w *World) delay(from, to string) time.Duration {
	base := 200 * time.Microsecond
	if w.zones[from] != w.zones[to] {
		base = time.Millisecond
	}
	return base + time.Duration(w.rand.Int64N(int64(base)))
}

func (w *World) count(from, to string, n int) {
	if w.zones[from] == w.zones[to] {
		w.Within += int64(n)
	} else {
		w.Between += int64(n)
	}
}

// Net is the network as one machine has it, for one life of its process.
func (w *World) Net(ip string) environment.Host {
	w.mu.Lock()
	life := w.life[ip]
	w.mu.Unlock()
	isAlive := func() bool { return w.life[ip] == life }
	return environment.Host{
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return w.dial(ctx, ip, address, isAlive)
		},
		Listen: func(address string) (net.Listener, error) {
			w.mu.Lock()
			defer w.mu.Unlock()
			if !isAlive() || w.listeners[address] != nil {
				return nil, fmt.Errorf("listen %s: address in use", address)
			}
			l := &listener{w: w, address: address, queue: make(chan *conn, 256), closed: make(chan struct{})}
			w.listeners[address] = l
			return l, nil
		},
		ListenPacket: func(address string) (net.PacketConn, error) {
			w.mu.Lock()
			defer w.mu.Unlock()
			if !isAlive() || w.packets[address] != nil {
				return nil, fmt.Errorf("packet %s: address in use", address)
			}
			p := &packetConn{w: w, address: address, closed: make(chan struct{}), queue: make(chan packet, 1024)}
			w.packets[address] = p
			return p, nil
		},
		OpenStorage: func(string) (storage.Storage, error) { return w.Disk(ip).attach() },
		SuspendedTime: func() time.Duration {
			w.mu.Lock()
			defer w.mu.Unlock()
			return w.slept[ip]
		},
		Rename: func(string, string) error { w.Disk(ip).Wipe(); return nil },
	}
}

func (w *World) dial(ctx context.Context, ip, address string, isAlive func() bool) (net.Conn, error) {
	to := host(address)
	for {
		w.mu.Lock()
		if !isAlive() {
			w.mu.Unlock()
			return nil, fmt.Errorf("dial %s: no network", address)
		}
		if !w.blocked(ip, to) && !w.blocked(to, ip) {
			there := w.arrival(ip, to, time.Now(), packetSize)
			back := there.Add(w.delay(to, ip))
			w.mu.Unlock()
			if err := sleep(ctx, time.Until(back)); err != nil {
				return nil, err
			}
			w.mu.Lock()
			l := w.listeners[address]
			if l == nil || !isAlive() {
				w.mu.Unlock()
				return nil, fmt.Errorf("dial %s: connection refused", address)
			}
			w.nextPort++
			here := fmt.Sprintf("%s:%d", ip, 40000+w.nextPort%20000)
			a, b := pair(w, here, address)
			w.conns[a], w.conns[b] = true, true
			w.mu.Unlock()
			select {
			case l.queue <- b:
				return a, nil
			case <-l.closed:
				a.Close()
				b.Close()
				return nil, fmt.Errorf("dial %s: connection refused", address)
			case <-ctx.Done():
				a.Close()
				b.Close()
				return nil, ctx.Err()
			}
		}
		change := w.change
		w.mu.Unlock()
		select {
		case <-change:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	wakeup := time.NewTimer(d)
	defer wakeup.Stop()
	select {
	case <-wakeup.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
