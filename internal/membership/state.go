package membership

import (
	"time"

	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// States of a member, as in SWIM. A member in StateLeft left deliberately: it is treated
// like a dead one, except that no node tries to reconnect to it. The values are part of the
// wire format and must not change.
const (
	StateAlive   = "alive"
	StateSuspect = "suspect"
	StateDead    = "down"
	StateLeft    = "left"
)

// NodeState is a member's record as known to this node.
type NodeState struct {
	rpc.Member
	// StateChange is the local time at which the member entered its state; zero for this
	// node itself.
	StateChange time.Time
}

// IsLive reports whether the member is alive or suspect. A suspect still receives
// requests until it is declared dead.
func (n NodeState) IsLive() bool { return isLive(n.State) }

func isLive(state string) bool { return state == StateAlive || state == StateSuspect }

// memberRecord is a member with this node's bookkeeping about it.
type memberRecord struct {
	NodeState
	// digest is memberDigest of the member.
	digest uint64
	// transmits counts how often this node sent the update; duplicates counts how often it
	// received an update that it already knew.
	transmits, duplicates int
}

// updateSource identifies how an update reached this node.
type updateSource int

const (
	// fromGossip marks updates received in datagrams or detected by this node. They are
	// disseminated.
	fromGossip updateSource = iota
	// fromList marks the members of a list. Other nodes know these already, so a member
	// that is new to this node is sent at most once.
	fromList
)

// statePrecedence orders the states at one incarnation: the higher value wins.
func statePrecedence(state string) int {
	switch state {
	case StateAlive:
		return 0
	case StateSuspect:
		return 1
	}
	return 2
}

// supersedes reports whether an update replaces the known record of a member; known is
// ignored unless isKnown. Under the same member ID, the higher incarnation wins, and at
// the same incarnation the state of higher precedence (SWIM, section 4.2). Under another
// member ID, an update wins only if it is alive at a higher incarnation. An unknown
// member is added only if it is live. Incomplete updates never win.
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

// refutingIncarnation returns the incarnation with which a node refutes an update about
// itself, or 0 if the update need not be refuted. It is higher than the update's
// incarnation, so that the refutation supersedes the update. An update with the node's
// name but another member ID is refuted too.
func refutingIncarnation(self, update rpc.Member) uint64 {
	reportedNotAlive := update.ID == self.ID && update.State != StateAlive && self.State == StateAlive
	if update.Incarnation >= self.Incarnation && (reportedNotAlive || update.ID != self.ID) {
		return update.Incarnation + 1
	}
	return 0
}

// applyUpdates merges updates that were received in a datagram or detected by this node.
func (m *Memberlist) applyUpdates(updates []rpc.Member) { m.merge(updates, fromGossip) }

// mergeList merges the members of a list. A list without updates is detected without
// taking the lock, so that such lists don't contend for it.
func (m *Memberlist) mergeList(list []rpc.Member) {
	if m.hasUpdates(list) {
		m.merge(list, fromList)
	}
}

// hasUpdates reports whether merging a list would change a record.
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

// refute raises this node's incarnation if an update about it must be refuted, and
// reports whether it did. Other nodes learn the new incarnation from this node's
// acknowledgements and lists. The caller holds mu.
func (m *Memberlist) refute(update rpc.Member) bool {
	incarnation := refutingIncarnation(m.self, update)
	if incarnation == 0 {
		return false
	}
	m.self.Incarnation = incarnation
	return true
}

// mergeMember merges an update about another member and reports whether it changed the
// member's record. The caller holds mu.
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

	newRecord := &memberRecord{NodeState: NodeState{Member: update, StateChange: time.Now()}, digest: memberDigest(update)}
	switch {
	case isKnown:
		m.othersDigest ^= record.digest
		if known.ID == update.ID && statePrecedence(known.State) == statePrecedence(update.State) {
			newRecord.StateChange = record.StateChange
		}
		if known.ID == update.ID && known.State == StateDead && update.State == StateAlive {
			m.lastRecovery = time.Now()
		}
	case source == fromList:
		newRecord.transmits = m.transmitLimit() - 1
	}
	m.othersDigest ^= newRecord.digest
	if !isKnown || known.RPCAddress != update.RPCAddress || known.Zone != update.Zone {
		m.zonesChanged = true
	}
	m.members[update.Name] = newRecord
	return true
}

// logChange logs the event of an update that superseded the known record.
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
