// Package model is an executable model of one replicated shard: terms, votes, the log,
// commits, membership changes, restarts and lost disks. Explore visits every interleaving
// of its actions within a scope and checks the invariants in every state;
// docs/topics/replication.md states them in words. A message that is lost or late is an
// action that is not taken, or taken later. Conformance checks the invariants on the steps
// of running nodes.
package model

import "math/bits"

// Bounds of the arrays that a state is made of; a Scope stays within them.
const (
	maxMembers = 5
	maxLog     = 9
)

// Kinds of entries.
const (
	kindEmpty            = 1 // the first entry of a leader
	kindCommand          = 2 // a write of a client
	kindMembershipChange = 3 // names the voters from here on
	maxMemberIDs         = 2 // how many disks of one member the identities have room for
)

// term orders leaderships: the number first, then the member, so that no two candidates
// have the same one.
type term uint8

const membersPerTerm = 8

func newTerm(number, member int) term { return term(number*membersPerTerm + member) }
func (t term) number() int            { return int(t) / membersPerTerm }

// peerSet is a set of identities, one bit for each member id of each member.
type peerSet uint16

func identity(member, memberID int) peerSet { return 1 << (member*maxMemberIDs + memberID) }

// hasMajority tells whether more than half of the set are among others.
func (s peerSet) hasMajority(others peerSet) bool { return 2*(s&others).size() > s.size() }

func (s peerSet) size() int { return bits.OnesCount16(uint16(s)) }

// voters is who decides; while outgoing is not empty a change is under way, and a decision
// needs a majority of both.
type voters struct{ current, outgoing peerSet }

func (v voters) all() peerSet { return v.current | v.outgoing }

func (v voters) hasQuorum(members peerSet) bool {
	return v.current.hasMajority(members) && (v.outgoing == 0 || v.outgoing.hasMajority(members))
}

// entry is one entry of a log; id tells writes of one term apart.
type entry struct {
	term   term
	kind   uint8
	id     uint8
	voters voters
}

// log is a member's entries; the voters of an entry are those from it on.
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

// commonPrefix is how many first entries two logs have in common.
func (l *log) commonPrefix(other *log) uint8 {
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

// votersIndex is the length of the log up to its newest membership change; 0 if there is none.
func (l *log) votersIndex() uint8 {
	for i := l.length; i > 0; i-- {
		if l.entries[i-1].kind == kindMembershipChange {
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
	leader
)

// member is one member: what is on its disk first, then what a restart loses.
type member struct {
	currentTerm term
	log         log
	memberID    uint8

	role       uint8
	commit     uint8
	firstIndex uint8             // index of the leader's first entry
	granted    peerSet           // who voted for the candidate
	best       log               // the most advanced log among the votes
	match      [maxMembers]uint8 // up to where each member has synced the leader's log
}

// state is all members, and what an outside observer knows.
type state struct {
	members [maxMembers]member
	// acknowledged is the longest prefix that some leader has committed, with the highest
	// term under which each entry was committed first.
	acknowledged   log
	acknowledgedBy [maxLog]term

	writes, changes, wipes, restarts uint8
}

func (s *state) identity(m int) peerSet { return identity(m, int(s.members[m].memberID)) }

func (s *state) votersOf(l *log) voters {
	if l.length == 0 {
		return voters{}
	}
	return l.last().voters
}

// initial is three voters, of whom the first leads and has its first entry committed
// everywhere; the other members are spares.
func initial() state {
	var s state
	t := newTerm(1, 0)
	g := voters{current: identity(0, 0) | identity(1, 0) | identity(2, 0)}
	for m := range 3 {
		s.members[m].currentTerm = t
		s.members[m].log.append(entry{term: t, kind: kindEmpty, voters: g})
		s.members[m].commit = 1
	}
	s.members[0].role, s.members[0].firstIndex = leader, 1
	s.members[0].match = [maxMembers]uint8{1, 1, 1}
	s.acknowledged, s.acknowledgedBy[0] = s.members[0].log, t
	return s
}
