package environment

import (
	"context"
	"net"
	"net/netip"
	"os"
	"time"

	"github.com/syndtr/goleveldb/leveldb/storage"
)

// Host is the machine as a node sees it: how it reaches others, its disk, and its sleep.
// Addresses are IP numbers with ports.
type Host struct {
	Dial         func(ctx context.Context, address string) (net.Conn, error)
	Listen       func(address string) (net.Listener, error)
	ListenPacket func(address string) (net.PacketConn, error)
	// OpenStorage opens a folder for the database and locks it against other processes.
	OpenStorage func(folder string) (storage.Storage, error)
	Rename      func(oldFolder, newFolder string) error
	// SuspendedTime returns for how long the machine has been suspended so far; nil is for
	// a machine that never is.
	SuspendedTime func() time.Duration
	// Waits returns what the kernel tells of this process's waits; nil is for one that tells
	// nothing.
	Waits func() Waits
}

// keepAlive lets a node know within some ten seconds that a peer has gone silent, also on
// an idle connection.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3}

// NewHost returns the real machine. Connections go out from the IP number of the source
// address, if that has a certain one.
func NewHost(sourceAddress string) Host {
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
		ListenPacket:  func(address string) (net.PacketConn, error) { return net.ListenPacket("udp", address) },
		OpenStorage:   func(folder string) (storage.Storage, error) { return storage.OpenFile(folder, false) },
		Rename:        os.Rename,
		SuspendedTime: suspendedTime,
		Waits:         readWaits,
	}
}
