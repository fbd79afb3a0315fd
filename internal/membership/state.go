package membership

import (
	"time"

	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// States of a member, as in SWIM; a member that left on purpose is dead under its own
// name. The values are on the wire and stay.
const (
	StateAlive   = "alive"
	StateSuspect = "suspect"
	StateDead    = "down"
	StateLeft    = "left"
)

// NodeState is a member as this node sees it.
type NodeState struct {
	rpc.Member
	// StateChange is when the member came into its state, by this node's clock; zero for
	// this node itself.
	StateChange time.Time
}

// IsLive reports whether the member is alive or suspect: a suspect is still asked, until
// it is declared dead.
func (n NodeState) IsLive() bool { return isLive(n.State) }

func isLive(state string) bool { return state == StateAlive || state == StateSuspect }

// memberRecord is a member with what this node alone counts of it.
type memberRecord struct {
	NodeState
	digest uint64
	// transmits is how often this node sent the update on; duplicates is how often others
	// told it of what it knew already.
	transmits, duplicates int
}

// updateSource tells how updates came to this node.
type updateSource int

const (
	// fromGossip are updates on datagrams and this node's own findings. They are sent on.
	fromGossip updateSource = iota
	// fromList are the members of a list. Others know these already, so a member that was
	// not known is sent on once at most.
	fromList
)

// statePrecedence orders states of one incarnation: the worse state wins.
func statePrecedence(state string) int {
	switch state {
	case StateAlive:
		return 0
	case StateSuspect:
		return 1
	}
	return 2
}

// supersedes reports whether an update says more than what is known of a member, if it
// is known at all. Of one life, the higher incarnation wins, and at the same one the
// worse state (SWIM, section 4.2). Another life wins only as alive, at a higher
// incarnation. Nothing is learnt of a member that is gone already when first heard of.
func supersedes(update, known rpc.Member, isKnown bool) bool {
	switch {
	case update.Name == "" || update.ID == "" || update.RPCAddress == "":
		return false
	case !isKnown:
		return isLive(update.State)
	case known.ID != update.ID:
		return update.State == StateAlive && update.Incarnation > known.Incarnation
	case known.Incarnation != update.Incarnation:
		return update.Incarnation > known.Incarnation
	}
	return statePrecedence(update.State) > statePrecedence(known.State)
}

// refutingIncarnation returns the incarnation under which a node refutes an update about
// itself: above the update's, which would win otherwise. It is 0 if there is nothing to
// refute. An update of another life under the node's name is refuted too.
func refutingIncarnation(self, update rpc.Member) uint64 {
	doubted := update.ID == self.ID && update.State != StateAlive && self.State == StateAlive
	if update.Incarnation >= self.Incarnation && (doubted || update.ID != self.ID) {
		return update.Incarnation + 1
	}
	return 0
}

// applyUpdates takes in updates that came with a datagram, or that this node found out.
func (m *Memberlist) applyUpdates(updates []rpc.Member) { m.merge(updates, fromGossip) }

// mergeList takes in the members of a list. A list that says nothing new is found out
// without the lock, so that such lists don't wait for one another.
func (m *Memberlist) mergeList(list []rpc.Member) {
	if m.hasUpdates(list) {
		m.merge(list, fromList)
	}
}

// hasUpdates reports whether a list says anything that is not known.
func (m *Memberlist) hasUpdates(list []rpc.Member) bool {
	view := m.View()
	for _, update := range list {
		known, isKnown := view[update.Name]
		if update.Name == m.env.Name {
			if refutingIncarnation(known.Member, update) > 0 {
				return true
			}
		} else if supersedes(update, known.Member, isKnown) {
			return true
		}
	}
	return false
}

func (m *Memberlist) merge(updates []rpc.Member, source updateSource) {
	m.mu.Lock()
	defer m.mu.Unlock()
	changed := false
	for _, update := range updates {
		if update.Name == m.self.Name {
			changed = m.refute(update) || changed
		} else {
			changed = m.mergeMember(update, source) || changed
		}
	}
	if changed {
		m.publishView()
	}
}

// refute answers an update about this node itself; others learn the new incarnation from
// its acknowledgements and lists. It reports whether there was a need. The caller holds mu.
func (m *Memberlist) refute(update rpc.Member) bool {
	incarnation := refutingIncarnation(m.self, update)
	if incarnation == 0 {
		return false
	}
	m.self.Incarnation = incarnation
	return true
}

// mergeMember takes in an update about another member and reports whether it changed
// anything. The caller holds mu.
func (m *Memberlist) mergeMember(update rpc.Member, source updateSource) bool {
	record, isKnown := m.members[update.Name]
	var known rpc.Member
	if isKnown {
		known = record.Member
	}
	if !supersedes(update, known, isKnown) {
		isDuplicate := isKnown && update.ID == known.ID && update.State == StateAlive && update.Incarnation == known.Incarnation
		if isDuplicate && source == fromGossip {
			record.duplicates++
		}
		return false
	}
	m.logChange(known, isKnown, update)

	fresh := &memberRecord{NodeState: NodeState{Member: update, StateChange: time.Now()}, digest: memberDigest(update)}
	switch {
	case isKnown:
		m.othersDigest ^= record.digest
		if known.ID == update.ID && statePrecedence(known.State) == statePrecedence(update.State) {
			fresh.StateChange = record.StateChange
		}
		if known.ID == update.ID && known.State == StateDead && update.State == StateAlive {
			m.lastRecovery = time.Now()
		}
	case source == fromList:
		fresh.transmits = m.transmitLimit() - 1
	}
	m.othersDigest ^= fresh.digest
	if !isKnown || known.RPCAddress != update.RPCAddress || known.Zone != update.Zone {
		m.zonesChanged = true
	}
	m.members[update.Name] = fresh
	return true
}

// logChange writes the event of an update that superseded what was known.
func (m *Memberlist) logChange(known rpc.Member, isKnown bool, update rpc.Member) {
	name := string(update.Name)
	switch {
	case isKnown && known.ID != update.ID:
		m.env.Events.Emit(eventlog.MemberIDChanged, "member", name, "member_id", string(update.ID), "address", update.RPCAddress)
	case isKnown && known.State == update.State:
	case update.State == StateAlive || !isKnown:
		m.env.Events.Emit(eventlog.MemberUp, "member", name, "address", update.RPCAddress, "zone", update.Zone)
	case update.State == StateSuspect:
		m.env.Events.Emit(eventlog.MemberSuspect, "member", name)
	default:
		m.env.Events.Emit(eventlog.MemberDown, "member", name, "state", update.State)
	}
}
