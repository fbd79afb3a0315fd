package membership

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/sumactrestle/sumactrestle/internal/config"
	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// memoryNetwork is an in-memory network of listeners and datagram sockets, by address.
type memoryNetwork struct {
	mu             sync.Mutex
	listeners      map[string]*memoryListener
	sockets        map[string]*memorySocket
	droppedPackets map[link]bool // links that lose all datagrams
	refusedConns   map[link]bool // links on which dials fail
}

// link is one direction between two addresses.
type link struct{ from, to string }

func newMemoryNetwork() *memoryNetwork {
	return &memoryNetwork{
		listeners:      map[string]*memoryListener{},
		sockets:        map[string]*memorySocket{},
		droppedPackets: map[link]bool{},
		refusedConns:   map[link]bool{},
	}
}

type memoryListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}
func (l *memoryListener) Close() error   { l.once.Do(func() { close(l.closed) }); return nil }
func (l *memoryListener) Addr() net.Addr { return &net.TCPAddr{} }

// memorySocket is a datagram socket. It drops received datagrams while its queue is full.
type memorySocket struct {
	net.PacketConn // nil; provides the methods that are not called
	network        *memoryNetwork
	address        string
	datagrams      chan datagram
	closed         chan struct{}
	once           sync.Once
}

type datagram struct {
	from net.Addr
	raw  []byte
}

func (s *memorySocket) ReadFrom(buffer []byte) (int, net.Addr, error) {
	select {
	case d := <-s.datagrams:
		return copy(buffer, d.raw), d.from, nil
	case <-s.closed:
		return 0, nil, net.ErrClosed
	}
}

func (s *memorySocket) WriteTo(raw []byte, to net.Addr) (int, error) {
	s.network.mu.Lock()
	target, dropped := s.network.sockets[to.String()], s.network.droppedPackets[link{s.address, to.String()}]
	s.network.mu.Unlock()
	if target != nil && !dropped {
		from := net.UDPAddrFromAddrPort(netip.MustParseAddrPort(s.address))
		select {
		case target.datagrams <- datagram{from, slices.Clone(raw)}:
		default:
		}
	}
	return len(raw), nil
}

func (s *memorySocket) Close() error { s.once.Do(func() { close(s.closed) }); return nil }

// host returns an environment.Host that connects the node at localAddress to the network.
func (n *memoryNetwork) host(localAddress string) environment.Host {
	return environment.Host{
		ListenPacket: func(address string) (net.PacketConn, error) {
			socket := &memorySocket{network: n, address: address, datagrams: make(chan datagram, 100), closed: make(chan struct{})}
			n.mu.Lock()
			n.sockets[address] = socket
			n.mu.Unlock()
			return socket, nil
		},
		Listen: func(address string) (net.Listener, error) {
			listener := &memoryListener{conns: make(chan net.Conn), closed: make(chan struct{})}
			n.mu.Lock()
			n.listeners[address] = listener
			n.mu.Unlock()
			return listener, nil
		},
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			n.mu.Lock()
			listener, refused := n.listeners[address], n.refusedConns[link{localAddress, address}]
			n.mu.Unlock()
			if listener == nil || refused {
				return nil, net.ErrClosed
			}
			clientEnd, serverEnd := net.Pipe()
			select {
			case listener.conns <- serverEnd:
				return clientEnd, nil
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		},
	}
}

// cluster creates nodes on a common memoryNetwork.
type cluster struct {
	*testing.T
	ctx     context.Context
	network *memoryNetwork
}

// inCluster runs testFunc in a synctest bubble and stops its nodes afterwards.
func inCluster(t *testing.T, testFunc func(c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		testFunc(&cluster{t, ctx, newMemoryNetwork()})
	})
}

// node returns a Memberlist that answers requests over connections. Its own loops are not
// running.
func (c *cluster) node(self rpc.Member) *Memberlist {
	c.Helper()
	settings, err := config.Load("", map[string]string{"name": string(self.Name), "zone": self.Zone, "peer.address": self.RPCAddress, "api.address": "10.0.0.9:1", "proxy.address": "10.0.0.9:2"})
	if err != nil {
		c.Fatal(err)
	}
	env := environment.New(c.ctx, settings, eventlog.New(c.Output(), "error", string(self.Name)), c.network.host(self.RPCAddress))
	transport := rpc.New(env)
	m := New(env, transport, self)
	if err := transport.Start(); err != nil {
		c.Fatal(err)
	}
	return m
}

// nodeWithSocket is like node, but the Memberlist also receives datagrams.
func (c *cluster) nodeWithSocket(self rpc.Member) *Memberlist {
	c.Helper()
	m := c.node(self)
	conn, err := m.env.Host.ListenPacket(m.config.bindAddress)
	if err != nil {
		c.Fatal(err)
	}
	m.packetConn = conn
	m.env.Go(m.receiveLoop)
	context.AfterFunc(m.env, func() { conn.Close() })
	return m
}

// dropPackets drops all datagrams between two nodes, in both directions.
func (c *cluster) dropPackets(a, b *Memberlist) {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	c.network.droppedPackets[link{a.config.bindAddress, b.config.bindAddress}] = true
	c.network.droppedPackets[link{b.config.bindAddress, a.config.bindAddress}] = true
}

// refuseConns makes dials from one node to another fail.
func (c *cluster) refuseConns(from, to *Memberlist) {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	c.network.refusedConns[link{from.config.bindAddress, to.config.bindAddress}] = true
}

// testMember returns the member with the given index, alive at incarnation 1.
func testMember(index int) rpc.Member {
	return rpc.Member{
		Name:        ids.NodeName(fmt.Sprint("node", index)),
		ID:          ids.MemberID(fmt.Sprint("birth", index)),
		RPCAddress:  fmt.Sprintf("10.1.%d.%d:7000", index/200, index%200),
		Zone:        fmt.Sprint("z", index%7),
		Strength:    100,
		Incarnation: 1,
		State:       StateAlive,
	}
}

func testMembers(count int) (list []rpc.Member) {
	for index := range count {
		list = append(list, testMember(index))
	}
	return list
}

// inState returns the member with the given state.
func inState(member rpc.Member, state string) rpc.Member {
	member.State = state
	return member
}

func bytesSent(nodes ...*Memberlist) (bytes int64) {
	for _, m := range nodes {
		for _, traffic := range m.transport.Traffic() {
			bytes += traffic.Bytes
		}
	}
	return bytes
}

// sameLiveMembers reports whether the live members of both have equal records.
func sameLiveMembers(a, b *Memberlist) bool {
	liveMembers := func(m *Memberlist) map[ids.NodeName]rpc.Member {
		members := map[ids.NodeName]rpc.Member{}
		for name, member := range m.View() {
			if member.IsLive() {
				members[name] = member.Member
			}
		}
		return members
	}
	return maps.Equal(liveMembers(a), liveMembers(b))
}

func namesOf(members []rpc.Member) (list []ids.NodeName) {
	for _, member := range members {
		list = append(list, member.Name)
	}
	return list
}

func TestCoreMembers_ListsOwnZoneFirstAndOmitsDead(t *testing.T) {
	inCluster(t, func(c *cluster) {
		m := c.node(testMember(0)) // in zone z0, as members 7 and 14 are
		members := testMembers(20)
		for _, index := range []int{1, 2, 3, 7, 14} {
			members[index].Core = true
		}
		m.mergeList(members)
		cores := namesOf(m.CoreMembers())
		if len(cores) != 5 || !slices.Contains(cores[:2], "node7") || !slices.Contains(cores[:2], "node14") {
			c.Fatalf("CoreMembers: %v, want node7 and node14 first", cores)
		}
		if second := namesOf(m.CoreMembers()); !slices.Equal(cores, second) {
			c.Errorf("CoreMembers: %v in the second call, %v in the first", second, cores)
		}
		m.applyUpdates([]rpc.Member{inState(members[7], StateDead), inState(members[1], StateSuspect)})
		cores = namesOf(m.CoreMembers())
		if len(cores) != 4 || slices.Contains(cores, "node7") || !slices.Contains(cores, "node1") {
			c.Errorf("CoreMembers with node7 dead and node1 suspect: %v", cores)
		}

		if replicas := namesOf(m.ConfigReplicas()); !slices.Equal(replicas, cores) {
			c.Errorf("ConfigReplicas without known replicas: %v, want all core members", replicas)
		}
		holder := members[3]
		holder.HoldsConfiguration, holder.Incarnation = true, 2
		m.applyUpdates([]rpc.Member{holder})
		if replicas := namesOf(m.ConfigReplicas()); !slices.Equal(replicas, []ids.NodeName{"node3"}) {
			c.Errorf("ConfigReplicas: %v, want node3", replicas)
		}
	})
}

func TestInOwnZone(t *testing.T) {
	inCluster(t, func(c *cluster) {
		m := c.node(testMember(0))
		m.mergeList(testMembers(10))
		sameZone, otherZone := testMember(7), testMember(1)
		if !m.InOwnZone(sameZone.RPCAddress) || m.InOwnZone(otherZone.RPCAddress) || !m.InOwnZone("10.9.9.9:1") {
			c.Error("wrong zone reported")
		}
		otherZone.Zone, otherZone.Incarnation = m.Self().Zone, 2
		m.applyUpdates([]rpc.Member{otherZone})
		if !m.InOwnZone(otherZone.RPCAddress) {
			c.Error("a member that moved to this zone is still reported in the other zone")
		}
	})
}

func TestLeave_OthersMarkNodeAsLeft(t *testing.T) {
	inCluster(t, func(c *cluster) {
		nodes := newProbeCluster(c, 3)
		leaving := nodes[0]
		leaving.Leave()
		synctest.Wait()
		for _, m := range nodes[1:] {
			if state := m.View()[leaving.Self().Name].State; state != StateLeft {
				c.Errorf("the leaving node is in state %s", state)
			}
			if dead := m.RecentlyDead(); len(dead) != 0 {
				c.Errorf("RecentlyDead: %v, want none", namesOf(dead))
			}
		}
	})
}
