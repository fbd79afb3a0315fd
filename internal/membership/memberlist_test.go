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

// memoryNetwork connects nodes by pipes and carries datagrams; each address has a listener
// and a socket. A link that is cut loses datagrams one way, and connections are refused.
type memoryNetwork struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener
	sockets   map[string]*memorySocket
	cut       map[link]bool // of datagrams
	refused   map[link]bool // of connections
}

// link is a way from one node's address to another's.
type link struct{ from, to string }

func newMemoryNetwork() *memoryNetwork {
	return &memoryNetwork{
		listeners: map[string]*memoryListener{},
		sockets:   map[string]*memorySocket{},
		cut:       map[link]bool{},
		refused:   map[link]bool{},
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

// memorySocket receives datagrams; one that finds its queue full is lost.
type memorySocket struct {
	net.PacketConn // of the methods not needed here
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
	target, cut := s.network.sockets[to.String()], s.network.cut[link{s.address, to.String()}]
	s.network.mu.Unlock()
	if target != nil && !cut {
		from := net.UDPAddrFromAddrPort(netip.MustParseAddrPort(s.address))
		select {
		case target.datagrams <- datagram{from, slices.Clone(raw)}:
		default:
		}
	}
	return len(raw), nil
}

func (s *memorySocket) Close() error { s.once.Do(func() { close(s.closed) }); return nil }

// host is the network as the node with that address sees it.
func (n *memoryNetwork) host(own string) environment.Host {
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
			listener, refused := n.listeners[address], n.refused[link{own, address}]
			n.mu.Unlock()
			if listener == nil || refused {
				return nil, net.ErrClosed
			}
			near, far := net.Pipe()
			select {
			case listener.conns <- far:
				return near, nil
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		},
	}
}

// cluster makes nodes on one network in a bubble of virtual time.
type cluster struct {
	*testing.T
	ctx     context.Context
	network *memoryNetwork
}

// inCluster runs a test in a bubble of virtual time; its nodes end with it.
func inCluster(t *testing.T, test func(c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		test(&cluster{t, ctx, newMemoryNetwork()})
	})
}

// node returns a node's view that answers others; it neither probes nor exchanges lists
// by itself.
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

// probedNode is a node that also answers datagrams, and still does nothing by itself.
func (c *cluster) probedNode(self rpc.Member) *Memberlist {
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

// cut loses the datagrams both ways between two nodes.
func (c *cluster) cut(a, b *Memberlist) {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	c.network.cut[link{a.config.bindAddress, b.config.bindAddress}] = true
	c.network.cut[link{b.config.bindAddress, a.config.bindAddress}] = true
}

// refuse has connections from one node to another fail.
func (c *cluster) refuse(from, to *Memberlist) {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	c.network.refused[link{from.config.bindAddress, to.config.bindAddress}] = true
}

// testMember returns the member with that index, alive at incarnation 1.
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

// inState returns the member in another state.
func inState(member rpc.Member, state string) rpc.Member {
	member.State = state
	return member
}

func bytesSent(nodes ...*Memberlist) (bytes int64) {
	for _, m := range nodes {
		for _, sent := range m.transport.Traffic() {
			bytes += sent.Bytes
		}
	}
	return bytes
}

// sameLive reports whether both hold the same of all members that are live.
func sameLive(a, b *Memberlist) bool {
	live := func(m *Memberlist) map[ids.NodeName]rpc.Member {
		members := map[ids.NodeName]rpc.Member{}
		for name, member := range m.View() {
			if member.IsLive() {
				members[name] = member.Member
			}
		}
		return members
	}
	return maps.Equal(live(a), live(b))
}

func names(members []rpc.Member) (list []ids.NodeName) {
	for _, member := range members {
		list = append(list, member.Name)
	}
	return list
}

func TestCoreMembers_LiveOnesOfTheOwnZoneFirst(t *testing.T) {
	inCluster(t, func(c *cluster) {
		m := c.node(testMember(0)) // in zone z0, as members 7 and 14 are
		members := testMembers(20)
		for _, index := range []int{1, 2, 3, 7, 14} {
			members[index].Core = true
		}
		m.mergeList(members)
		cores := names(m.CoreMembers())
		if len(cores) != 5 || !slices.Contains(cores[:2], "node7") || !slices.Contains(cores[:2], "node14") {
			c.Fatalf("the order is %v", cores)
		}
		if again := names(m.CoreMembers()); !slices.Equal(cores, again) {
			c.Errorf("the order is %v now, %v before", again, cores)
		}
		m.applyUpdates([]rpc.Member{inState(members[7], StateDead), inState(members[1], StateSuspect)})
		cores = names(m.CoreMembers())
		if len(cores) != 4 || slices.Contains(cores, "node7") || !slices.Contains(cores, "node1") {
			c.Errorf("with one dead and one suspect the core is %v", cores)
		}

		if replicas := names(m.ConfigReplicas()); !slices.Equal(replicas, cores) {
			c.Errorf("while none is known to hold the configuration, %v are asked", replicas)
		}
		holder := members[3]
		holder.HoldsConfiguration, holder.Incarnation = true, 2
		m.applyUpdates([]rpc.Member{holder})
		if replicas := names(m.ConfigReplicas()); !slices.Equal(replicas, []ids.NodeName{"node3"}) {
			c.Errorf("%v hold the configuration", replicas)
		}
	})
}

func TestInOwnZone(t *testing.T) {
	inCluster(t, func(c *cluster) {
		m := c.node(testMember(0))
		m.mergeList(testMembers(10))
		near, far := testMember(7), testMember(1)
		if !m.InOwnZone(near.RPCAddress) || m.InOwnZone(far.RPCAddress) || !m.InOwnZone("10.9.9.9:1") {
			c.Error("zones are taken for others")
		}
		far.Zone, far.Incarnation = m.Self().Zone, 2
		m.applyUpdates([]rpc.Member{far})
		if !m.InOwnZone(far.RPCAddress) {
			c.Error("a member that moved is still taken for far")
		}
	})
}

func TestLeave_OthersHoldTheNodeForLeftNotDead(t *testing.T) {
	inCluster(t, func(c *cluster) {
		nodes := probeCluster(c, 3)
		leaving := nodes[0]
		leaving.Leave()
		synctest.Wait()
		for _, m := range nodes[1:] {
			if state := m.View()[leaving.Self().Name].State; state != StateLeft {
				c.Errorf("the node is %s", state)
			}
			if dead := m.RecentlyDead(); len(dead) != 0 {
				c.Errorf("%v are looked for", names(dead))
			}
		}
	})
}
