// Package membership tells a node which other nodes there are and which of them answer.
//
// It follows SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent
// Infection-style Process Group Membership Protocol", DSN 2002):
//
//   - each node probes one member after another, directly and then through others
//     (section 3.1), in a shuffled round-robin order (section 4.3): probe.go;
//   - a member that answers neither way is suspected, and dead only if it does not refute
//     that in time by a higher incarnation number (section 4.2): state.go, suspicion.go;
//   - updates ride on the probes and their acknowledgements (section 4.1): broadcast.go.
//
// Beside SWIM, as in HashiCorp's memberlist and Serf, nodes exchange complete lists from
// time to time (push/pull, pushpull.go), ask once more over a connection before they
// suspect a member, and look for members that died, since after a partition each side
// holds the other for dead (reconnect.go).
//
// What a node holds of others is opinion: it decides whom to ask first. No decision that
// must be right for all rests on it; those are taken by majorities in package consensus.
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

// Kinds of messages over connections. The names are on the wire and stay.
const (
	kindPushPull = "kin.sync"
	kindHere     = "kin.here" // asks a member for its own record, the ping over a connection
)

// Memberlist is one node's view of the fleet, kept up to date by the tasks that Start
// starts in the node's environment.
type Memberlist struct {
	env       *environment.Environment
	transport *rpc.Transport
	config    protocolConfig

	// packetConn sends and receives the datagrams; Start sets it.
	packetConn net.PacketConn
	// seeds are the addresses through which this node joins.
	seeds atomic.Pointer[[]string]

	// mu guards the fields down to announcements. It is never held while waiting.
	mu   sync.Mutex
	self rpc.Member
	// members are all others that were ever heard of, dead ones too.
	members map[ids.NodeName]*memberRecord
	// othersDigest is the XOR of the digests of members; see memberDigest.
	othersDigest uint64
	// zonesChanged says that zoneByHost is out of date.
	zonesChanged bool
	// lastRecovery is when a member that was held for dead was last seen alive.
	lastRecovery time.Time
	// ackHandlers are closed by the acknowledgement with their sequence number.
	ackHandlers map[uint64]chan struct{}
	sequence    uint64
	// announcements counts the acknowledgements since self has announcedIncarnation.
	announcedIncarnation uint64
	announcements        int

	// view and zoneByHost are copied on write under mu and read without it.
	view       atomic.Pointer[map[ids.NodeName]NodeState]
	zoneByHost atomic.Pointer[map[string]string]

	// introducing says that this node is presenting itself to one that does not know it.
	introducing atomic.Bool
	pushPull    pushPullState
}

// New returns the view of the node that self describes, knowing nobody else yet, and
// registers its messages at the transport. Start must follow once the transport is open.
func New(env *environment.Environment, transport *rpc.Transport, self rpc.Member) *Memberlist {
	self.Incarnation, self.State = 1, StateAlive
	m := &Memberlist{
		env:         env,
		transport:   transport,
		config:      protocolConfigOf(env),
		self:        self,
		members:     map[ids.NodeName]*memberRecord{},
		ackHandlers: map[uint64]chan struct{}{},
	}
	m.publishView()
	m.SetSeeds(env.Config.Seeds)
	rpc.Handle(transport, kindPushPull, func(_ context.Context, request *rpc.MembershipSync) (any, error) {
		return m.handlePushPull(request)
	})
	transport.Handle(kindHere, func(*rpc.Request) (any, error) { return m.Self(), nil })
	return m
}

// Start opens the socket for datagrams and starts the protocol. All its tasks end with
// the environment, whose Shutdown waits for them.
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

// SetSeeds replaces the addresses through which this node joins; settings may change
// while it runs.
func (m *Memberlist) SetSeeds(seeds []string) { m.seeds.Store(&seeds) }

// Self returns this node's own record, as others learn it.
func (m *Memberlist) Self() rpc.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self
}

// UpdateSelf changes this node's own record, under a higher incarnation so that the
// change wins at the others. It must not call the Memberlist.
func (m *Memberlist) UpdateSelf(change func(self *rpc.Member)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change(&m.self)
	m.self.Incarnation++
	m.publishView()
}

// Leave tells a few others that this node goes on purpose; these spread it.
func (m *Memberlist) Leave() {
	m.UpdateSelf(func(self *rpc.Member) { self.State = StateLeft })
	farewell := rpc.Probe{Kind: packetUpdates, Updates: []rpc.Member{m.Self()}}
	notified := 0
	for name, member := range m.View() {
		if notified == leaveFanout {
			return
		}
		if name != m.env.Name && member.State == StateAlive {
			m.sendPacket(member.RPCAddress, farewell)
			notified++
		}
	}
}

// View returns all members by name, this node and dead ones included. It is shared and
// must not be written to.
func (m *Memberlist) View() map[ids.NodeName]NodeState { return *m.view.Load() }

// Lookup returns the member of that name if it is alive or suspect.
func (m *Memberlist) Lookup(name ids.NodeName) (rpc.Member, bool) {
	member, ok := m.View()[name]
	return member.Member, ok && member.IsLive()
}

// IsLive reports whether this very life of a node is alive or suspect: a node that was
// restarted without its disk has another member ID and is another member.
func (m *Memberlist) IsLive(peer rpc.Peer) bool {
	member, ok := m.Lookup(peer.Name)
	return ok && member.ID == peer.ID
}

// InOwnZone reports whether an address is on a machine of this node's zone. An address of
// no known member counts as in the zone.
func (m *Memberlist) InOwnZone(address string) bool {
	zone, ok := (*m.zoneByHost.Load())[hostOf(address)]
	return !ok || zone == m.config.zone
}

// CoreMembers returns the live core members: those of the own zone first, then in an
// order that is fixed for this node and differs between nodes, so that load spreads.
func (m *Memberlist) CoreMembers() []rpc.Member {
	var cores []rpc.Member
	for _, member := range m.View() {
		if member.Core && member.IsLive() {
			cores = append(cores, member.Member)
		}
	}
	preference := func(member rpc.Member) uint64 { return ids.Hash(string(m.env.Name), string(member.Name)) }
	slices.SortFunc(cores, func(a, b rpc.Member) int {
		if aNear, bNear := a.Zone == m.config.zone, b.Zone == m.config.zone; aNear != bNear {
			if aNear {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(preference(a), preference(b)), cmp.Compare(a.Name, b.Name))
	})
	return cores
}

// ConfigReplicas returns the live core members that hold a replica of the configuration
// shard, in the order of CoreMembers; all core members while none is known to hold one.
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

// publishView replaces the view that readers see. The caller holds mu.
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
