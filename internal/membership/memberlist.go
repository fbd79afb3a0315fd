// Package membership maintains a node's list of the other nodes in the fleet and detects
// which of them have failed.
//
// It follows SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent
// Infection-style Process Group Membership Protocol", DSN 2002):
//
//   - each node probes one member per interval, first directly, then through other members
//     (section 3.1), in a shuffled round-robin order (section 4.3): probe.go;
//   - a member that does not acknowledge is suspected; it is declared dead unless it refutes
//     in time with a higher incarnation number (section 4.2): state.go, suspicion.go;
//   - updates are piggybacked on pings and acknowledgements (section 4.1): broadcast.go.
//
// In addition to SWIM, as in HashiCorp's memberlist and Serf, nodes periodically compare
// and exchange their lists (push/pull, pushpull.go), retry a failed probe over a connection
// before they suspect a member, and try to reconnect to dead members, since after a
// partition each side has declared the other dead (reconnect.go).
//
// The list is only a local view and may differ between nodes. It determines which nodes
// are contacted first. Decisions on which all nodes must agree do not depend on it; they
// are taken by majorities in package consensus.
package membership

import (
	"cmp"
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// Kinds of messages over connections. The values are part of the wire format and must not
// change.
const (
	kindPushPull     = "kin.sync"
	kindMemberRecord = "kin.here" // returns the receiver's own record; serves as the ping over a connection
)

// Memberlist is one node's view of the fleet. The goroutines started by Start keep it up
// to date. Its methods may be called concurrently.
type Memberlist struct {
	env       *environment.Environment
	transport *rpc.Transport
	config    protocolConfig

	// packetConn sends and receives datagrams; it is set by Start.
	packetConn net.PacketConn
	// seeds are the addresses of the nodes through which this node joins the fleet.
	seeds atomic.Pointer[[]string]

	// mu guards the fields down to announcements. It is never held during blocking calls.
	mu   sync.Mutex
	self rpc.Member
	// members holds all other nodes that were ever known, including dead ones.
	members map[ids.NodeName]*memberRecord
	// othersDigest is the XOR of memberDigest over members.
	othersDigest uint64
	// zonesChanged reports whether zoneByHost is out of date.
	zonesChanged bool
	// lastRecovery is the last time a dead member was found alive again.
	lastRecovery time.Time
	// pendingAcks holds a channel for each expected acknowledgement, by sequence number.
	// The acknowledgement closes it.
	pendingAcks  map[uint64]chan struct{}
	lastSequence uint64
	// announcements counts the acknowledgements sent at announcedIncarnation.
	announcedIncarnation uint64
	announcements        int

	// view and zoneByHost are replaced as a whole under mu and read without it.
	view       atomic.Pointer[map[ids.NodeName]NodeState]
	zoneByHost atomic.Pointer[map[string]string]

	// announcing is set while announceTo runs an exchange; there is at most one at a time.
	announcing atomic.Bool
	pushPull   pushPullState
}

// New returns a Memberlist that contains only self and registers its message handlers
// with the transport. Start must be called after the transport's Start.
func New(env *environment.Environment, transport *rpc.Transport, self rpc.Member) *Memberlist {
	self.Incarnation, self.State = 1, StateAlive
	m := &Memberlist{
		env:         env,
		transport:   transport,
		config:      newProtocolConfig(env),
		self:        self,
		members:     map[ids.NodeName]*memberRecord{},
		pendingAcks: map[uint64]chan struct{}{},
	}
	m.publishView()
	m.SetSeeds(env.Config.Seeds)
	rpc.Handle(transport, kindPushPull, func(_ context.Context, request *rpc.MembershipSync) (any, error) {
		return m.handlePushPull(request)
	})
	transport.Handle(kindMemberRecord, func(*rpc.Request) (any, error) { return m.Self(), nil })
	return m
}

// Start opens the datagram socket and starts the protocol's goroutines. They end with the
// environment, whose Shutdown waits for them.
func (m *Memberlist) Start() error {
	conn, err := m.env.Host.ListenPacket(m.config.bindAddress)
	if err != nil {
		return err
	}
	m.packetConn = conn
	m.env.Go(m.receiveLoop)
	m.env.Go(m.probeLoop)
	m.env.Go(m.pushPullLoop)
	m.env.Go(m.reconnectLoop)
	m.env.Go(func() { <-m.env.Done(); conn.Close() })
	return nil
}

// SetSeeds replaces the addresses of the seeds. It may be called at any time, since the
// settings may change while the node runs.
func (m *Memberlist) SetSeeds(seeds []string) { m.seeds.Store(&seeds) }

// Self returns this node's own record, as it is sent to other nodes.
func (m *Memberlist) Self() rpc.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self
}

// UpdateSelf applies change to this node's own record and increments the incarnation, so
// that the new record supersedes the old one at other nodes. change must not call methods
// of the Memberlist.
func (m *Memberlist) UpdateSelf(change func(self *rpc.Member)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change(&m.self)
	m.self.Incarnation++
	m.publishView()
}

// Leave sets this node's state to StateLeft and notifies leaveFanout members, which
// disseminate it.
func (m *Memberlist) Leave() {
	m.UpdateSelf(func(self *rpc.Member) { self.State = StateLeft })
	leaveMessage := rpc.Probe{Kind: packetUpdates, Updates: []rpc.Member{m.Self()}}
	notified := 0
	for name, member := range m.View() {
		if notified == leaveFanout {
			return
		}
		if name != m.env.Name && member.State == StateAlive {
			m.sendPacket(member.RPCAddress, leaveMessage)
			notified++
		}
	}
}

// View returns all members by name, including this node and dead members. The map is
// shared and must not be modified.
func (m *Memberlist) View() map[ids.NodeName]NodeState { return *m.view.Load() }

// Lookup returns the member with the given name if it is live.
func (m *Memberlist) Lookup(name ids.NodeName) (rpc.Member, bool) {
	member, ok := m.View()[name]
	return member.Member, ok && member.IsLive()
}

// IsLive reports whether the member with the peer's name and member ID is live. A node that
// was restarted without its disk has another member ID and counts as another member.
func (m *Memberlist) IsLive(peer rpc.Peer) bool {
	member, ok := m.Lookup(peer.Name)
	return ok && member.ID == peer.ID
}

// InOwnZone reports whether the host of an address is in this node's zone. An unknown host
// counts as in the zone.
func (m *Memberlist) InOwnZone(address string) bool {
	zone, ok := (*m.zoneByHost.Load())[hostOf(address)]
	return !ok || zone == m.config.zone
}

// CoreMembers returns the live core members, those in this node's zone first. The order
// is otherwise fixed for a node but differs between nodes, to spread load.
func (m *Memberlist) CoreMembers() []rpc.Member {
	var cores []rpc.Member
	for _, member := range m.View() {
		if member.Core && member.IsLive() {
			cores = append(cores, member.Member)
		}
	}
	nodeHash := func(member rpc.Member) uint64 { return ids.Hash(string(m.env.Name), string(member.Name)) }
	slices.SortFunc(cores, func(a, b rpc.Member) int {
		if aInZone, bInZone := a.Zone == m.config.zone, b.Zone == m.config.zone; aInZone != bInZone {
			if aInZone {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(nodeHash(a), nodeHash(b)), cmp.Compare(a.Name, b.Name))
	})
	return cores
}

// ConfigReplicas returns the live core members that hold a replica of the configuration
// shard, in the order of CoreMembers. If none is known to hold one, it returns all live
// core members.
func (m *Memberlist) ConfigReplicas() []rpc.Member {
	cores := m.CoreMembers()
	var replicas []rpc.Member
	for _, member := range cores {
		if member.HoldsConfiguration {
			replicas = append(replicas, member)
		}
	}
	if len(replicas) == 0 {
		return cores
	}
	return replicas
}

// publishView replaces view, and zoneByHost if zones changed. The caller holds mu.
func (m *Memberlist) publishView() {
	view := make(map[ids.NodeName]NodeState, len(m.members)+1)
	for name, record := range m.members {
		view[name] = record.NodeState
	}
	view[m.self.Name] = NodeState{Member: m.self}
	m.view.Store(&view)
	if m.zoneByHost.Load() != nil && !m.zonesChanged {
		return
	}
	m.zonesChanged = false
	zoneByHost := make(map[string]string, len(view))
	for _, member := range view {
		zoneByHost[hostOf(member.RPCAddress)] = member.Zone
	}
	m.zoneByHost.Store(&zoneByHost)
}

// hostOf returns an address without its port.
func hostOf(address string) string {
	if host, _, err := net.SplitHostPort(address); err == nil {
		return host
	}
	return address
}
