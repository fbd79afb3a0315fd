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

	lostKept = 10 * time.Minute

	presentOften, presentSeldom = 32, 16
)

// known is a member with what this node alone knows of it.
type known struct {
	member rpc.Member
	since  time.Time
	sum    uint64
	sent   int // how often it was passed on
	heard  int // how often others told of it that knew it already
}

// Memberlist is one node's view of the fleet. View is copy-on-write.
type Memberlist struct {
	r    *environment.Environment
	w    *rpc.Wire
	conn net.PacketConn

	mu      sync.Mutex
	me      rpc.Member
	members map[ids.NodeName]*known
	seq     uint64
	acks    map[uint64]chan struct{}
	order   []ids.NodeName
	turn    uint64
	view    atomic.Pointer[map[ids.NodeName]NodeState]
	zones   atomic.Pointer[map[string]string]

	sum     uint64 // of all members but this one
	stirred time.Time
	listed  atomic.Pointer[listed]
	lists   atomic.Int64 // whole lists under way

	isPresenting atomic.Bool
	isRefused    atomic.Bool // the last exchange was, as the other was loaded
	seeds        atomic.Pointer[[]string]

	isMoved bool // some member has a new address or zone

	shownAt uint64
	shown   int
}

// NodeState is a member and since when it stands as it does.
type NodeState struct {
	rpc.Member
	StateChange time.Time
}

func New(r *environment.Environment, w *rpc.Wire, me rpc.Member) *Memberlist {
	me.Incarnation, me.State = 1, StateAlive
	k := &Memberlist{r: r, w: w, me: me, members: map[ids.NodeName]*known{}, acks: map[uint64]chan struct{}{}}
	k.publish()
	k.SetSeeds(r.Config.Seeds)
	w.Handle("kin.sync", func(c *rpc.Call) (any, error) {
		var ask rpc.MembershipSync
		if err := c.Read(&ask); err != nil {
			return nil, err
		}
		return k.compare(&ask)
	})
	w.Handle("kin.here", func(c *rpc.Call) (any, error) { return k.Self(), nil })
	return k
}

// Start starts probing.
func (k *Memberlist) Start() error {
	conn, err := k.r.Host.ListenPacket(k.r.Config.WireAddress)
	if err != nil {
		return err
	}
	k.conn = conn
	k.r.Go(k.receive)
	k.r.Go(k.probe)
	k.r.Go(k.sync)
	k.r.Go(k.search)
	k.r.Go(func() { <-k.r.Done(); conn.Close() })
	return nil
}

// SetSeeds takes other seeds into use, as the settings may change while a node runs.
func (k *Memberlist) SetSeeds(seeds []string) { k.seeds.Store(&seeds) }

func hostOf(address string) string {
	if host, _, err := net.SplitHostPort(address); err == nil {
		return host
	}
	return address
}

// InOwnZone tells whether an address belongs to a machine of the own zone; one
// that belongs to no member does.
func (k *Memberlist) InOwnZone(address string) bool {
	zone, ok := (*k.zones.Load())[hostOf(address)]
	return !ok || zone == k.r.Config.Zone
}

// Self is how this node shows itself.
func (k *Memberlist) Self() rpc.Member {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.me
}

// UpdateSelf changes what this node shows of itself.
func (k *Memberlist) UpdateSelf(change func(*rpc.Member)) {
	k.mu.Lock()
	change(&k.me)
	k.me.Incarnation++
	k.publish()
	k.mu.Unlock()
}

// View is all members by name, this one included; not to be written to.
func (k *Memberlist) View() map[ids.NodeName]NodeState { return *k.view.Load() }

// Lookup finds a member that is not down.
func (k *Memberlist) Lookup(name ids.NodeName) (rpc.Member, bool) {
	s, ok := k.View()[name]
	return s.Member, ok && (s.State == StateAlive || s.State == StateSuspect)
}

// IsLive tells whether exactly this life of a node seems live.
func (k *Memberlist) IsLive(peer rpc.Peer) bool {
	m, ok := k.Lookup(peer.Name)
	return ok && m.ID == peer.ID
}

// CoreMembers is the live core members, own zone first, then by a fixed order.
func (k *Memberlist) CoreMembers() []rpc.Member {
	var cores []rpc.Member
	for _, s := range k.View() {
		if s.Core && (s.State == StateAlive || s.State == StateSuspect) {
			cores = append(cores, s.Member)
		}
	}
	zone := k.r.Config.Zone
	sort.Slice(cores, func(i, j int) bool {
		a, b := cores[i], cores[j]
		if (a.Zone == zone) != (b.Zone == zone) {
			return a.Zone == zone
		}
		x, y := ids.Hash(string(k.r.Name), string(a.Name)), ids.Hash(string(k.r.Name), string(b.Name))
		if x != y {
			return x < y
		}
		return a.Name < b.Name
	})
	return cores
}

// ConfigReplicas is the live core members that hold the configuration part, in the order
// of Cores; all of them while none is known to.
func (k *Memberlist) ConfigReplicas() []rpc.Member {
	cores := k.CoreMembers()
	var keepers []rpc.Member
	for _, m := range cores {
		if m.HoldsConfiguration {
			keepers = append(keepers, m)
		}
	}
	if len(keepers) == 0 {
		return cores
	}
	return keepers
}

func (k *Memberlist) publish() {
	view := make(map[ids.NodeName]NodeState, len(k.members)+1)
	for name, m := range k.members {
		view[name] = NodeState{m.member, m.since}
	}
	view[k.me.Name] = NodeState{k.me, time.Time{}}
	k.view.Store(&view)
	if old := k.zones.Load(); old != nil && !k.isMoved {
		return
	}
	k.isMoved = false
	zones := make(map[string]string, len(view))
	for _, m := range view {
		zones[hostOf(m.RPCAddress)] = m.Zone
	}
	k.zones.Store(&zones)
}

func rank(state string) int {
	switch state {
	case StateAlive:
		return 0
	case StateSuspect:
		return 1
	}
	return 2
}

// learn folds others' news into the view. Within one birth the higher
// incarnation wins, and at the same one the worse state; another birth wins
// over one that is known to be down, or by coming from the node itself.
func (k *Memberlist) learn(news []rpc.Member) { k.take(news, false) }

// take is learn, also of whole lists: those in a list are known to others already.
func (k *Memberlist) take(news []rpc.Member, isList bool) {
	if isList && !k.isNews(news) {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	didChange := false
	for _, m := range news {
		if m.Name == k.me.Name {
			if refuted := refutes(k.me, m); refuted > 0 {
				k.me.Incarnation = refuted
				didChange = true
			}
			continue
		}
		old, ok := k.members[m.Name]
		before := rpc.Member{}
		if ok {
			before = old.member
		}
		if !isNewer(before, ok, m) {
			if ok && m.ID == before.ID && m.State == StateAlive && m.Incarnation == before.Incarnation && !isList {
				old.heard++
			}
			continue
		}
		switch {
		case !ok:
			k.r.Events.Say(eventlog.MemberUp, "member", string(m.Name), "wire", m.RPCAddress, "zone", m.Zone)
		case before.ID != m.ID:
			k.r.Events.Say(eventlog.MemberReborn, "member", string(m.Name), "birth", string(m.ID), "wire", m.RPCAddress)
		default:
			k.tell(before.State, m)
			if before.State == StateDead && m.State == StateAlive {
				k.stirred = time.Now()
			}
		}
		fresh := &known{member: m, since: time.Now(), sum: sumOf(m)}
		if ok && before.ID == m.ID && rank(before.State) == rank(m.State) {
			fresh.since = old.since
		}
		if isList && !ok {
			fresh.sent = k.tellings() - 1
		}
		if ok {
			k.sum ^= old.sum
		}
		k.sum ^= fresh.sum
		k.isMoved = k.isMoved || !ok || before.RPCAddress != m.RPCAddress || before.Zone != m.Zone
		k.members[m.Name] = fresh
		didChange = true
	}
	if didChange {
		k.publish()
	}
}

// isNewer tells whether word of a member says more than what is known of it, if
// anything is.
func isNewer(old rpc.Member, isKnown bool, m rpc.Member) bool {
	switch {
	case m.Name == "" || m.ID == "" || m.RPCAddress == "":
		return false
	case !isKnown:
		return rank(m.State) < 2
	case old.ID != m.ID:
		return m.State == StateAlive && m.Incarnation > old.Incarnation
	}
	return m.Incarnation > old.Incarnation || m.Incarnation == old.Incarnation && rank(m.State) > rank(old.State)
}

// refutes is the incarnation by which this node answers word of itself; 0 for none.
func refutes(me, m rpc.Member) uint64 {
	isDoubted := m.ID == me.ID && m.State != StateAlive && me.State == StateAlive
	if m.Incarnation >= me.Incarnation && (isDoubted || m.ID != me.ID) {
		return m.Incarnation + 1
	}
	return 0
}

// isNews tells, without the lock, whether a list says anything that is not known: so
// that lists of what is known already don't wait for one another.
func (k *Memberlist) isNews(list []rpc.Member) bool {
	view := k.View()
	for _, m := range list {
		old, ok := view[m.Name]
		if m.Name == k.r.Name && refutes(old.Member, m) > 0 || m.Name != k.r.Name && isNewer(old.Member, ok, m) {
			return true
		}
	}
	return false
}

func (k *Memberlist) tell(before string, m rpc.Member) {
	if before == m.State {
		return
	}
	switch m.State {
	case StateAlive:
		k.r.Events.Say(eventlog.MemberUp, "member", string(m.Name), "wire", m.RPCAddress, "zone", m.Zone)
	case StateSuspect:
		k.r.Events.Say(eventlog.MemberSuspect, "member", string(m.Name))
	default:
		k.r.Events.Say(eventlog.MemberDown, "member", string(m.Name), "state", m.State)
	}
}

// gossipMost is how many members one datagram tells of. Whatever others keep telling
// this node has gone round, and is told toldLeast times only.
const gossipMost, toldLeast = 6, 4

// gossip picks the news that was passed on least often, so that what is new goes
// round before what most know already.
func (k *Memberlist) gossip() []rpc.Member {
	k.mu.Lock()
	defer k.mu.Unlock()
	limit := k.tellings()
	var picked []*known
	for _, m := range k.members {
		if m.sent >= limit || m.sent >= toldLeast && m.sent+2*m.heard >= limit {
			continue
		}
		at := len(picked)
		for at > 0 && m.sent < picked[at-1].sent {
			at--
		}
		if at < gossipMost {
			picked = slices.Insert(picked, at, m)
			picked = picked[:min(len(picked), gossipMost)]
		}
	}
	news := make([]rpc.Member, 0, len(picked))
	for _, m := range picked {
		m.sent++
		news = append(news, m.member)
	}
	return news
}

// tellings is how often a piece of news is passed on; the lock is held.
func (k *Memberlist) tellings() int {
	limit := 6
	for n := len(k.members) + 1; n > 1; n /= 2 {
		limit++
	}
	return limit
}

// Leave tells a few others that this node goes on purpose.
func (k *Memberlist) Leave() {
	k.UpdateSelf(func(m *rpc.Member) { m.State = StateLeft })
	me := k.Self()
	told := 0
	for name, s := range k.View() {
		if name != k.r.Name && s.State == StateAlive && told < 4 {
			k.send(s.RPCAddress, rpc.Probe{Kind: "news", Updates: []rpc.Member{me}})
			told++
		}
	}
}
