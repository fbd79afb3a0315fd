// Package realm is the project's one context: what every task of a node needs
// (settings, events, the network and the disk it may use, and the end of its
// life), handed on in place of many arguments. The simulator makes realms with
// a network and disks of its own; everything else stays the same.
package environment

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/syndtr/goleveldb/leveldb/storage"
	"golang.org/x/sys/unix"

	"github.com/sumactrestle/sumactrestle/internal/config"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/metrics"
)

// Net is the verbs by which a node reaches others and its disk.
type Net struct {
	Dial   func(ctx context.Context, address string) (net.Conn, error)
	Listen func(address string) (net.Listener, error)
	Packet func(address string) (net.PacketConn, error)
	Store  func(folder string) (storage.Storage, error)
	Aside  func(folder, aside string) error
	// Slept is how long the machine was suspended so far; nil is for never.
	Slept func() time.Duration
}

// Realm is one life of one node.
type Realm struct {
	context.Context
	Props *config.Props
	Sign  *eventlog.Sign
	Net   Net
	Name  ids.NodeName
	Times *metrics.Times
	// Trace is called with the steps of the replicated parts, if it is set; the
	// simulator holds them against the model.
	Trace func(step any)

	end context.CancelFunc

	mu    sync.Mutex
	tasks int
	idle  *sync.Cond
}

func New(parent context.Context, p *config.Props, s *eventlog.Sign, n Net) *Realm {
	ctx, end := context.WithCancel(parent)
	r := &Realm{Context: ctx, Props: p, Sign: s, Net: n, Name: ids.NodeName(p.Name), Times: &metrics.Times{Services: p.MetricsServices}, end: end}
	r.idle = sync.NewCond(&r.mu)
	return r
}

// Go runs a task that End waits for. It may be called while End waits, also from
// where no task is, such as a request's handler.
func (r *Realm) Go(task func()) {
	r.mu.Lock()
	r.tasks++
	r.mu.Unlock()
	go func() {
		defer func() {
			r.mu.Lock()
			r.tasks--
			if r.tasks == 0 {
				r.idle.Broadcast()
			}
			r.mu.Unlock()
		}()
		task()
	}()
}

// End tells all tasks to finish and waits for them.
func (r *Realm) End() {
	r.end()
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.tasks > 0 {
		r.idle.Wait()
	}
}

func (r *Realm) IsOver() bool { return r.Err() != nil }

// Pause waits, and tells whether life goes on.
func (r *Realm) Pause(d time.Duration) bool {
	if d <= 0 {
		return !r.IsOver()
	}
	wakeup := time.NewTimer(d)
	defer wakeup.Stop()
	select {
	case <-r.Done():
		return false
	case <-wakeup.C:
		return true
	}
}

// Now is the time by which ages and grants count: the monotonic clock, which
// stands still while a machine is suspended, and what it stood still.
func (r *Realm) Now() time.Time {
	if r.Net.Slept == nil {
		return time.Now()
	}
	return time.Now().Add(r.Net.Slept())
}

// Since is the age of a time that Now gave.
func (r *Realm) Since(t time.Time) time.Duration { return r.Now().Sub(t) }

// slept is what the boot clock is ahead of the monotonic one.
func slept() time.Duration {
	var boot, running unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &running) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - running.Nano()).Truncate(10 * time.Millisecond)
}

// Jitter spreads a pause by a quarter to both sides.
func Jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(rand.Int64N(int64(d)/2+1))
}

// Host is the real network and disk; connections go out from the IP number of
// the address given, if there is one.
func Host(from string) Net {
	// A peer that went silent is known within seconds, also on an idle connection.
	alive := net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3}
	dialer := net.Dialer{KeepAliveConfig: alive}
	listener := net.ListenConfig{KeepAliveConfig: alive}
	if ap, err := netip.ParseAddrPort(from); err == nil && !ap.Addr().IsUnspecified() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(ap.Addr(), 0))
	}
	return Net{
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		},
		Listen: func(address string) (net.Listener, error) {
			return listener.Listen(context.Background(), "tcp", address)
		},
		Packet: func(address string) (net.PacketConn, error) { return net.ListenPacket("udp", address) },
		Store: func(folder string) (storage.Storage, error) {
			return storage.OpenFile(folder, false)
		},
		Aside: os.Rename,
		Slept: slept,
	}
}

// Turn is a lock that may be held while waiting for others, and that a bubble
// of virtual time sees through.
type Turn chan struct{}

func NewTurn() Turn { return make(Turn, 1) }

func (t Turn) Lock()   { t <- struct{}{} }
func (t Turn) Unlock() { <-t }

// LockWithin gives up after a time; it tells whether the lock is held.
func (t Turn) LockWithin(d time.Duration) bool {
	wakeup := time.NewTimer(d)
	defer wakeup.Stop()
	select {
	case t <- struct{}{}:
		return true
	case <-wakeup.C:
		return false
	}
}
