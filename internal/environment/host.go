package environment

import (
	"context"
	"net"
	"net/netip"
	"os"
	"time"

	"github.com/syndtr/goleveldb/leveldb/storage"
)

// Host provides a node's access to its machine: network, disk, suspended time and kernel
// statistics. Addresses are IP addresses with ports.
type Host struct {
	Dial         func(ctx context.Context, address string) (net.Conn, error)
	Listen       func(address string) (net.Listener, error)
	ListenPacket func(address string) (net.PacketConn, error)
	// OpenStorage opens a database folder and locks it against other processes.
	OpenStorage func(folder string) (storage.Storage, error)
	Rename      func(oldFolder, newFolder string) error
	// SuspendedTime returns the total time for which the machine has been suspended; nil if it
	// never is.
	SuspendedTime func() time.Duration
	// Waits returns the wait times that the kernel has counted so far; nil if the host provides none.
	Waits func() Waits
}

// keepAlive detects an unresponsive peer within about ten seconds, also on an idle connection.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3}

// NewHost returns the machine that the process runs on. Outgoing connections are bound to the
// IP address of sourceAddress unless that is empty, invalid or unspecified.
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
