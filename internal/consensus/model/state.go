// Package model is an executable model of one replicated shard: terms, votes, the log,
// commits, membership changes, restarts and lost disks. Explore visits every interleaving
// of its actions within a scope and checks the invariants in every state; a lost or delayed
// message is an action that is not taken, or taken later. Conformance checks the invariants
// on the steps of running nodes. docs/topics/replication.md describes the invariants.
package model

import "math/bits"

// Sizes of the arrays in a state, which a Scope must not exceed.
const (
	maxMembers = 5
	maxLog     = 9
)

// Kinds of entries.
const (
	kindEmpty            = 1 // the first entry of a leader
	kindCommand          = 2 // a write of a client
	kindMembershipChange = 3 // sets the voters from this entry on
	maxMemberIDs         = 2 // disks, and so member ids, that one member can have in turn
)

// term is a term number and the candidate's member index, ordered by the number first. No two
// candidates have the same term.
type term uint8

const membersPerTerm = 8

func newTerm(number, member int) term { return term(number*membersPerTerm + member) }
func (t term) number() int            { return int(t) / membersPerTerm }

// peerSet is a set of identities, with one bit for each member id of each member.
type peerSet uint16

func identity(member, memberID int) peerSet { return 1 << (member*maxMemberIDs + memberID) }

// hasMajority reports whether more than half of the set are in others.
func (s peerSet) hasMajority(others peerSet) bool { return 2*(s&others).size() > s.size() }

func (s peerSet) size() int { return bits.OnesCount16(uint16(s)) }

// voters are the members that decide. While outgoing is not empty, a membership change is in
// progress and a decision needs a majority of both sets.
type voters struct{ current, outgoing peerSet }

func (v voters) all() peerSet { return v.current | v.outgoing }

func (v voters) hasQuorum(members peerSet) bool {
	return v.current.hasMajority(members) && (v.outgoing == 0 || v.outgoing.hasMajority(members))
}

// entry is one entry of a log. voters are those in effect from this entry on; id
// distinguishes the writes of one term.
type entry struct {
	term   term
	kind   uint8
	id     uint8
	voters voters
}

// log is a member's log.
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

// commonPrefix returns the length of the longest common prefix of two logs.
func (l *log) commonPrefix(other *log) uint8 {
	for i := range min(l.length, other.length) {
		if l.entries[i] != other.entries[i] {
			return i
		}
	}
	return min(l.length, other.length)
}

// prefix returns a log of the first entries.
func (l *log) prefix(length uint8) (result log) {
	copy(result.entries[:length], l.entries[:length])
	result.length = length
	return result
}

// votersIndex returns the index, counted from 1, of the newest membership change; 0 if none.
func (l *log) votersIndex() uint8 {
	for i := l.length; i > 0; i-- {
		if l.entries[i-1].kind == kindMembershipChange {
			return i
		}
	}
	return 0
}

// isLessAdvanced reports whether another log is more up-to-date: the term of the last entry
// decides first, then the length.
func (l *log) isLessAdvanced(other *log) bool {
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

// member is the state of one member.
type member struct {
	// The disk, which a restart keeps.
	currentTerm term
	log         log
	memberID    uint8

	// Memory, which a restart loses.
	role       uint8
	commit     uint8
	firstIndex uint8             // index of the leader's first entry
	granted    peerSet           // the candidate's votes
	bestLog    log               // the most advanced log among the votes
	match      [maxMembers]uint8 // last entry of the leader's log that each member has synced
}

// state is the state of all members, the acknowledged entries, and how often each bounded
// action has happened.
type state struct {
	members [maxMembers]member
	// acknowledged is the longest prefix that a leader has committed; acknowledgedBy is the
	// term of the leader that committed each entry first.
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

// initial returns the first state: three voters with one committed entry, of which the first
// is the leader. The other members have no vote and an empty log.
func initial() state {
	var s state
	t := newTerm(1, 0)
	initialVoters := voters{current: identity(0, 0) | identity(1, 0) | identity(2, 0)}
	for m := range 3 {
		s.members[m].currentTerm = t
		s.members[m].log.append(entry{term: t, kind: kindEmpty, voters: initialVoters})
		s.members[m].commit = 1
	}
	s.members[0].role, s.members[0].firstIndex = leader, 1
	s.members[0].match = [maxMembers]uint8{1, 1, 1}
	s.acknowledged, s.acknowledgedBy[0] = s.members[0].log, t
	return s
}
