// Package model is an executable model of one replicated part: terms, promises,
// the log, commits, membership changes, restarts and lost disks. Explore walks
// every interleaving of its actions within a scope and checks the invariants in
// every state; docs/topics/replication.md states them in words. A message that
// is lost or late is an action that is not taken, or taken later.
package model

import "math/bits"

// Bounds of the arrays that a state is made of; a Scope stays within them.
const (
	maxMembers = 5
	maxLog     = 9
)

// Kinds of entries.
const (
	kindOwn    = 1 // the first entry of an owner
	kindWrite  = 2 // a write of a client
	kindGroup  = 3 // a new group of voters
	livesOfOne = 2 // how many births of one member the identities have room for
)

// term orders ownerships: the round first, then the member, so that two
// candidates never have the same one.
type term uint8

const membersInTerm = 8

func makeTerm(round, member int) term { return term(round*membersInTerm + member) }
func (t term) round() int             { return int(t) / membersInTerm }

// voters is a set of identities, one bit for each birth of each member.
type voters uint16

func identity(member, life int) voters { return 1 << (member*livesOfOne + life) }

func (v voters) isMajorityIn(some voters) bool {
	return 2*bits.OnesCount16(uint16(v&some)) > bits.OnesCount16(uint16(v))
}

// group is who decides; while former is not empty a change is under way and a
// decision needs a majority of both.
type group struct{ current, former voters }

func (g group) all() voters { return g.current | g.former }

func (g group) isDecidedBy(some voters) bool {
	return g.current.isMajorityIn(some) && (g.former == 0 || g.former.isMajorityIn(some))
}

// entry is one entry of a log; id tells writes of one term apart.
type entry struct {
	term  term
	kind  uint8
	id    uint8
	group group
}

// log is a member's entries; the group of an entry is the one in force from it on.
type log struct {
	entries [maxLog]entry
	length  uint8
}

func (l *log) last() entry {
	if l.length == 0 {
		return entry{}
	}
	return l.entries[l.length-1]
}

func (l *log) append(e entry) {
	l.entries[l.length] = e
	l.length++
}

// sharedWith is how many first entries two logs have in common.
func (l *log) sharedWith(other *log) uint8 {
	for i := range min(l.length, other.length) {
		if l.entries[i] != other.entries[i] {
			return i
		}
	}
	return min(l.length, other.length)
}

// prefix is the first entries of a log.
func (l *log) prefix(length uint8) (first log) {
	copy(first.entries[:length], l.entries[:length])
	first.length = length
	return first
}

// groupAt is where the newest group of the log stands; 0 if it is the first one.
func (l *log) groupAt() uint8 {
	for i := l.length; i > 0; i-- {
		if l.entries[i-1].kind == kindGroup {
			return i
		}
	}
	return 0
}

// isBehind tells whether another log is more advanced.
func (l *log) isBehind(other *log) bool {
	if l.last().term != other.last().term {
		return l.last().term < other.last().term
	}
	return l.length < other.length
}

// Roles of a member.
const (
	follower = iota
	candidate
	owner
)

// member is one member: what is on its disk first, then what a restart loses.
type member struct {
	promised term
	log      log
	life     uint8

	role    uint8
	commit  uint8
	began   uint8             // where the owner's first entry stands
	granted voters            // who promised the candidate
	best    log               // the most advanced log among the promises
	match   [maxMembers]uint8 // up to where each member has synced the owner's log
}

// state is the whole: all members, and what an outside observer knows.
type state struct {
	members [maxMembers]member
	// acked is the longest prefix that some owner has committed, with the highest
	// term under which each entry was committed first.
	acked   log
	ackedBy [maxLog]term

	writes, changes, wipes, restarts uint8
}

func (s *state) identity(m int) voters { return identity(m, int(s.members[m].life)) }

func (s *state) groupOf(l *log) group {
	if l.length == 0 {
		return group{}
	}
	return l.last().group
}

// initial is a group of three whose first member owns the part and has its
// first entry committed everywhere; the other members are spares.
func initial() state {
	var s state
	t := makeTerm(1, 0)
	g := group{current: identity(0, 0) | identity(1, 0) | identity(2, 0)}
	for m := range 3 {
		s.members[m].promised = t
		s.members[m].log.append(entry{term: t, kind: kindOwn, group: g})
		s.members[m].commit = 1
	}
	s.members[0].role, s.members[0].began = owner, 1
	s.members[0].match = [maxMembers]uint8{1, 1, 1}
	s.acked, s.ackedBy[0] = s.members[0].log, t
	return s
}
