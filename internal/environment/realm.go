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

// Host is the verbs by which a node reaches others and its disk.
type Host struct {
	Dial         func(ctx context.Context, address string) (net.Conn, error)
	Listen       func(address string) (net.Listener, error)
	ListenPacket func(address string) (net.PacketConn, error)
	OpenStorage  func(folder string) (storage.Storage, error)
	Rename       func(folder, aside string) error
	// SuspendedTime is how long the machine was suspended so far; nil is for never.
	SuspendedTime func() time.Duration
}

// Environment is one life of one node.
type Environment struct {
	context.Context
	Config    *config.Props
	Events    *eventlog.Sign
	Host      Host
	Name      ids.NodeName
	Latencies *metrics.Times
	// Trace is called with the steps of the replicated parts, if it is set; the
	// simulator holds them against the model.
	Trace func(step any)

	cancel context.CancelFunc

	mu    sync.Mutex
	tasks int
	idle  *sync.Cond
}

func New(parent context.Context, settings *config.Props, events *eventlog.Sign, host Host) *Environment {
	ctx, cancel := context.WithCancel(parent)
	e := &Environment{Context: ctx, Config: settings, Events: events, Host: host, Name: ids.NodeName(settings.Name), Latencies: &metrics.Times{Services: settings.MetricsServices}, cancel: cancel}
	e.idle = sync.NewCond(&e.mu)
	return e
}

// Go runs a task that End waits for. It may be called while End waits, also from
// where no task is, such as a request's handler.
func (e *Environment) Go(task func()) {
	e.mu.Lock()
	e.tasks++
	e.mu.Unlock()
	go func() {
		defer func() {
			e.mu.Lock()
			e.tasks--
			if e.tasks == 0 {
				e.idle.Broadcast()
			}
			e.mu.Unlock()
		}()
		task()
	}()
}

// Shutdown tells all tasks to finish and waits for them.
func (e *Environment) Shutdown() {
	e.cancel()
	e.mu.Lock()
	defer e.mu.Unlock()
	for e.tasks > 0 {
		e.idle.Wait()
	}
}

func (e *Environment) IsStopping() bool { return e.Err() != nil }

// Sleep waits, and tells whether life goes on.
func (e *Environment) Sleep(d time.Duration) bool {
	if d <= 0 {
		return !e.IsStopping()
	}
	wakeup := time.NewTimer(d)
	defer wakeup.Stop()
	select {
	case <-e.Done():
		return false
	case <-wakeup.C:
		return true
	}
}

// Now is the time by which ages and grants count: the monotonic clock, which
// stands still while a machine is suspended, and what it stood still.
func (e *Environment) Now() time.Time {
	if e.Host.SuspendedTime == nil {
		return time.Now()
	}
	return time.Now().Add(e.Host.SuspendedTime())
}

// Since is the age of a time that Now gave.
func (e *Environment) Since(t time.Time) time.Duration { return e.Now().Sub(t) }

// suspendedTime is what the boot clock is ahead of the monotonic one.
func suspendedTime() time.Duration {
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

// NewHost is the real network and disk; connections go out from the IP number of
// the address given, if there is one.
func NewHost(sourceAddress string) Host {
	// A peer that went silent is known within seconds, also on an idle connection.
	keepAlive := net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3}
	dialer := net.Dialer{KeepAliveConfig: keepAlive}
	listener := net.ListenConfig{KeepAliveConfig: keepAlive}
	if source, err := netip.ParseAddrPort(sourceAddress); err == nil && !source.Addr().IsUnspecified() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(source.Addr(), 0))
	}
	return Host{
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		},
		Listen: func(address string) (net.Listener, error) {
			return listener.Listen(context.Background(), "tcp", address)
		},
		ListenPacket: func(address string) (net.PacketConn, error) { return net.ListenPacket("udp", address) },
		OpenStorage: func(folder string) (storage.Storage, error) {
			return storage.OpenFile(folder, false)
		},
		Rename:        os.Rename,
		SuspendedTime: suspendedTime,
	}
}

// ChanMutex is a lock that may be held while waiting for others, and that a bubble
// of virtual time sees through.
type ChanMutex chan struct{}

func NewChanMutex() ChanMutex { return make(ChanMutex, 1) }

func (m ChanMutex) Lock()   { m <- struct{}{} }
func (m ChanMutex) Unlock() { <-m }

// TryLockFor gives up after a time; it tells whether the lock is held.
func (m ChanMutex) TryLockFor(d time.Duration) bool {
	wakeup := time.NewTimer(d)
	defer wakeup.Stop()
	select {
	case m <- struct{}{}:
		return true
	case <-wakeup.C:
		return false
	}
}
