// Package membership knows who is there: each node probes a few others in turn, asks
// third parties for a second opinion, suspects before it removes, and refutes
// suspicion of itself by a higher incarnation. What it holds are opinions on
// liveness; nothing that must be true hangs on them.
package membership

import (
	"net"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

const (
	StateAlive   = "alive"
	StateSuspect = "suspect"
	StateDead    = "down"
	StateLeft    = "left"

	reconnectTimeout = 10 * time.Minute

	initialAnnouncements, announceEvery = 32, 16
)

// memberRecord is a member with what this node alone knows of it.
type memberRecord struct {
	member      rpc.Member
	stateChange time.Time
	digest      uint64
	transmits   int // how often it was passed on
	duplicates  int // how often others told of it that knew it already
}

// Memberlist is one node's view of the fleet. View is copy-on-write.
type Memberlist struct {
	env        *environment.Environment
	transport  *rpc.Wire
	packetConn net.PacketConn

	mu          sync.Mutex
	self        rpc.Member
	members     map[ids.NodeName]*memberRecord
	sequence    uint64
	ackHandlers map[uint64]chan struct{}
	probeOrder  []ids.NodeName
	probeRound  uint64
	view        atomic.Pointer[map[ids.NodeName]NodeState]
	zoneByHost  atomic.Pointer[map[string]string]

	digestOfOthers uint64 // of all members but this one
	lastRecovery   time.Time
	encoded        atomic.Pointer[encodedView]
	fullSyncs      atomic.Int64 // whole lists under way

	introducing atomic.Bool
	refused     atomic.Bool // the last exchange was, as the other was loaded
	seeds       atomic.Pointer[[]string]

	zonesChanged bool // some member has a new address or zone

	announcedIncarnation uint64
	announcements        int
}

// NodeState is a member and since when it stands as it does.
type NodeState struct {
	rpc.Member
	StateChange time.Time
}

func New(env *environment.Environment, transport *rpc.Wire, self rpc.Member) *Memberlist {
	self.Incarnation, self.State = 1, StateAlive
	m := &Memberlist{env: env, transport: transport, self: self, members: map[ids.NodeName]*memberRecord{}, ackHandlers: map[uint64]chan struct{}{}}
	m.publishView()
	m.SetSeeds(env.Config.Seeds)
	transport.Handle("kin.sync", func(c *rpc.Call) (any, error) {
		var ask rpc.MembershipSync
		if err := c.Read(&ask); err != nil {
			return nil, err
		}
		return m.handlePushPull(&ask)
	})
	transport.Handle("kin.here", func(c *rpc.Call) (any, error) { return m.Self(), nil })
	return m
}

// Start starts probing.
func (m *Memberlist) Start() error {
	conn, err := m.env.Host.ListenPacket(m.env.Config.WireAddress)
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

// SetSeeds takes other seeds into use, as the settings may change while a node runs.
func (m *Memberlist) SetSeeds(seeds []string) { m.seeds.Store(&seeds) }

func hostOf(address string) string {
	if host, _, err := net.SplitHostPort(address); err == nil {
		return host
	}
	return address
}

// InOwnZone tells whether an address belongs to a machine of the own zone; one
// that belongs to no member does.
func (m *Memberlist) InOwnZone(address string) bool {
	zone, ok := (*m.zoneByHost.Load())[hostOf(address)]
	return !ok || zone == m.env.Config.Zone
}

// Self is how this node shows itself.
func (m *Memberlist) Self() rpc.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self
}

// UpdateSelf changes what this node shows of itself.
func (m *Memberlist) UpdateSelf(change func(*rpc.Member)) {
	m.mu.Lock()
	change(&m.self)
	m.self.Incarnation++
	m.publishView()
	m.mu.Unlock()
}

// View is all members by name, this one included; not to be written to.
func (m *Memberlist) View() map[ids.NodeName]NodeState { return *m.view.Load() }

// Lookup finds a member that is not down.
func (m *Memberlist) Lookup(name ids.NodeName) (rpc.Member, bool) {
	s, ok := m.View()[name]
	return s.Member, ok && (s.State == StateAlive || s.State == StateSuspect)
}

// IsLive tells whether exactly this life of a node seems live.
func (m *Memberlist) IsLive(peer rpc.Peer) bool {
	member, ok := m.Lookup(peer.Name)
	return ok && member.ID == peer.ID
}

// CoreMembers is the live core members, own zone first, then by a fixed order.
func (m *Memberlist) CoreMembers() []rpc.Member {
	var cores []rpc.Member
	for _, s := range m.View() {
		if s.Core && (s.State == StateAlive || s.State == StateSuspect) {
			cores = append(cores, s.Member)
		}
	}
	zone := m.env.Config.Zone
	sort.Slice(cores, func(i, j int) bool {
		a, b := cores[i], cores[j]
		if (a.Zone == zone) != (b.Zone == zone) {
			return a.Zone == zone
		}
		x, y := ids.Hash(string(m.env.Name), string(a.Name)), ids.Hash(string(m.env.Name), string(b.Name))
		if x != y {
			return x < y
		}
		return a.Name < b.Name
	})
	return cores
}

// ConfigReplicas is the live core members that hold the configuration part, in the order
// of Cores; all of them while none is known to.
func (m *Memberlist) ConfigReplicas() []rpc.Member {
	cores := m.CoreMembers()
	var keepers []rpc.Member
	for _, member := range cores {
		if member.HoldsConfiguration {
			keepers = append(keepers, member)
		}
	}
	if len(keepers) == 0 {
		return cores
	}
	return keepers
}

func (m *Memberlist) publishView() {
	view := make(map[ids.NodeName]NodeState, len(m.members)+1)
	for name, member := range m.members {
		view[name] = NodeState{member.member, member.stateChange}
	}
	view[m.self.Name] = NodeState{m.self, time.Time{}}
	m.view.Store(&view)
	if old := m.zoneByHost.Load(); old != nil && !m.zonesChanged {
		return
	}
	m.zonesChanged = false
	zones := make(map[string]string, len(view))
	for _, member := range view {
		zones[hostOf(member.RPCAddress)] = member.Zone
	}
	m.zoneByHost.Store(&zones)
}

func statePrecedence(state string) int {
	switch state {
	case StateAlive:
		return 0
	case StateSuspect:
		return 1
	}
	return 2
}

// applyUpdates folds others' news into the view. Within one birth the higher
// incarnation wins, and at the same one the worse state; another birth wins
// over one that is known to be down, or by coming from the node itself.
func (m *Memberlist) applyUpdates(updates []rpc.Member) { m.merge(updates, false) }

// merge is learn, also of whole lists: those in a list are known to others already.
func (m *Memberlist) merge(updates []rpc.Member, isList bool) {
	if isList && !m.hasUpdates(updates) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	didChange := false
	for _, member := range updates {
		if member.Name == m.self.Name {
			if refuted := refutingIncarnation(m.self, member); refuted > 0 {
				m.self.Incarnation = refuted
				didChange = true
			}
			continue
		}
		old, ok := m.members[member.Name]
		before := rpc.Member{}
		if ok {
			before = old.member
		}
		if !supersedes(before, ok, member) {
			if ok && member.ID == before.ID && member.State == StateAlive && member.Incarnation == before.Incarnation && !isList {
				old.duplicates++
			}
			continue
		}
		switch {
		case !ok:
			m.env.Events.Say(eventlog.MemberUp, "member", string(member.Name), "wire", member.RPCAddress, "zone", member.Zone)
		case before.ID != member.ID:
			m.env.Events.Say(eventlog.MemberReborn, "member", string(member.Name), "birth", string(member.ID), "wire", member.RPCAddress)
		default:
			m.logStateChange(before.State, member)
			if before.State == StateDead && member.State == StateAlive {
				m.lastRecovery = time.Now()
			}
		}
		fresh := &memberRecord{member: member, stateChange: time.Now(), digest: memberDigest(member)}
		if ok && before.ID == member.ID && statePrecedence(before.State) == statePrecedence(member.State) {
			fresh.stateChange = old.stateChange
		}
		if isList && !ok {
			fresh.transmits = m.transmitLimit() - 1
		}
		if ok {
			m.digestOfOthers ^= old.digest
		}
		m.digestOfOthers ^= fresh.digest
		m.zonesChanged = m.zonesChanged || !ok || before.RPCAddress != member.RPCAddress || before.Zone != member.Zone
		m.members[member.Name] = fresh
		didChange = true
	}
	if didChange {
		m.publishView()
	}
}

// supersedes tells whether word of a member says more than what is known of it, if
// anything is.
func supersedes(old rpc.Member, isKnown bool, m rpc.Member) bool {
	switch {
	case m.Name == "" || m.ID == "" || m.RPCAddress == "":
		return false
	case !isKnown:
		return statePrecedence(m.State) < 2
	case old.ID != m.ID:
		return m.State == StateAlive && m.Incarnation > old.Incarnation
	}
	return m.Incarnation > old.Incarnation || m.Incarnation == old.Incarnation && statePrecedence(m.State) > statePrecedence(old.State)
}

// refutingIncarnation is the incarnation by which this node answers word of itself; 0 for none.
func refutingIncarnation(me, m rpc.Member) uint64 {
	isDoubted := m.ID == me.ID && m.State != StateAlive && me.State == StateAlive
	if m.Incarnation >= me.Incarnation && (isDoubted || m.ID != me.ID) {
		return m.Incarnation + 1
	}
	return 0
}

// hasUpdates tells, without the lock, whether a list says anything that is not known: so
// that lists of what is known already don't wait for one another.
func (m *Memberlist) hasUpdates(list []rpc.Member) bool {
	view := m.View()
	for _, member := range list {
		old, ok := view[member.Name]
		if member.Name == m.env.Name && refutingIncarnation(old.Member, member) > 0 || member.Name != m.env.Name && supersedes(old.Member, ok, member) {
			return true
		}
	}
	return false
}

func (m *Memberlist) logStateChange(before string, member rpc.Member) {
	if before == member.State {
		return
	}
	switch member.State {
	case StateAlive:
		m.env.Events.Say(eventlog.MemberUp, "member", string(member.Name), "wire", member.RPCAddress, "zone", member.Zone)
	case StateSuspect:
		m.env.Events.Say(eventlog.MemberSuspect, "member", string(member.Name))
	default:
		m.env.Events.Say(eventlog.MemberDown, "member", string(member.Name), "state", member.State)
	}
}

// maxUpdatesPerPacket is how many members one datagram tells of. Whatever others keep telling
// this node has gone round, and is told minTransmits times only.
const maxUpdatesPerPacket, minTransmits = 6, 4

// nextBroadcasts picks the news that was passed on least often, so that what is new goes
// round before what most know already.
func (m *Memberlist) nextBroadcasts() []rpc.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	limit := m.transmitLimit()
	var picked []*memberRecord
	for _, member := range m.members {
		if member.transmits >= limit || member.transmits >= minTransmits && member.transmits+2*member.duplicates >= limit {
			continue
		}
		at := len(picked)
		for at > 0 && member.transmits < picked[at-1].transmits {
			at--
		}
		if at < maxUpdatesPerPacket {
			picked = slices.Insert(picked, at, member)
			picked = picked[:min(len(picked), maxUpdatesPerPacket)]
		}
	}
	updates := make([]rpc.Member, 0, len(picked))
	for _, member := range picked {
		member.transmits++
		updates = append(updates, member.member)
	}
	return updates
}

// transmitLimit is how often a piece of news is passed on; the lock is held.
func (m *Memberlist) transmitLimit() int {
	limit := 6
	for n := len(m.members) + 1; n > 1; n /= 2 {
		limit++
	}
	return limit
}

// Leave tells a few others that this node goes on purpose.
func (m *Memberlist) Leave() {
	m.UpdateSelf(func(member *rpc.Member) { member.State = StateLeft })
	me := m.Self()
	told := 0
	for name, s := range m.View() {
		if name != m.env.Name && s.State == StateAlive && told < 4 {
			m.sendPacket(s.RPCAddress, rpc.Probe{Kind: "news", Updates: []rpc.Member{me}})
			told++
		}
	}
}
