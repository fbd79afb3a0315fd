package model

import (
	"fmt"
	"hash/maphash"
)

// Invariants, by the texts with which violations are reported.
const (
	CommittedEntriesDiffer = "committed prefixes differ"
	AcknowledgedEntryLost  = "a later leader lacks an acknowledged entry"
	StaleRead              = "a confirmed leader would answer a read with stale state"
	CommitDecreased        = "a member's commit index decreased without a restart"
	QuorumsDisjoint        = "successive voters have disjoint quorums"
	TwoLeadersInTerm       = "two leaders in one term"
	EntryAboveCurrentTerm  = "an entry's term is above its member's current term"
)

// Violation is a violated invariant and a shortest schedule of actions that leads to it.
type Violation struct {
	Invariant string
	Schedule  []string
}

// Result is the result of an exploration.
type Result struct {
	States     int
	Depth      int
	IsComplete bool // every state in the scope was visited
	Violation  *Violation
}

// origin is the state and the action from which a state was first reached.
type origin struct {
	from   uint64
	action action
}

// Explore visits the states of the protocol breadth-first, until the scope is exhausted or an
// invariant is violated.
func Explore(rules Rules, scope Scope) Result {
	seed := maphash.MakeSeed()
	key := func(s *state) uint64 { return maphash.Comparable(seed, *s) }
	first := initial()
	origins := map[uint64]origin{key(&first): {}}
	frontier := []state{first}
	result := Result{IsComplete: true}
	for len(frontier) > 0 && result.Violation == nil {
		var nextFrontier []state
		for i := range frontier {
			before := &frontier[i]
			from := key(before)
			w := &walker{rules: rules, scope: scope}
			w.visit = func(a action, after state) {
				if result.Violation != nil {
					return
				}
				invariant := after.observe(before, a, w)
				id := key(&after)
				if _, isKnown := origins[id]; isKnown && invariant == "" {
					return
				}
				if len(origins) >= scope.States {
					result.IsComplete = false
					if invariant == "" {
						return
					}
				}
				origins[id] = origin{from: from, action: a}
				if invariant != "" {
					result.Violation = &Violation{Invariant: invariant, Schedule: schedule(origins, id, key(&first))}
					return
				}
				nextFrontier = append(nextFrontier, after)
			}
			w.next(before)
		}
		frontier = nextFrontier
		result.Depth++
	}
	result.States = len(origins)
	return result
}

// schedule returns the actions that lead from the first state to a state.
func schedule(origins map[uint64]origin, id, firstID uint64) (steps []string) {
	for id != firstID {
		steps = append([]string{origins[id].action.String()}, steps...)
		id = origins[id].from
	}
	return steps
}

// observe records what an action acknowledged, and returns the invariant that the action
// violated, or an empty string.
func (s *state) observe(before *state, a action, w *walker) string {
	for m := range w.scope.Members {
		current, previous := &s.members[m], &before.members[m]
		if current.commit < previous.commit && current.memberID == previous.memberID && a.name != restarts {
			return CommitDecreased
		}
		if current.log.last().term > current.currentTerm {
			return EntryAboveCurrentTerm
		}
	}
	if actorLog := s.members[a.actor].log; a.name != replicatesTo && actorLog.length > before.members[a.actor].log.length && actorLog.last().kind == kindMembershipChange {
		if !quorumsIntersect(actorLog.last().voters, before.members[a.actor].log.last().voters) {
			return QuorumsDisjoint
		}
	}
	switch a.name {
	case becomesLeader:
		if invariant := s.checkLeader(a.actor, w); invariant != "" {
			return invariant
		}
	case commits:
		if invariant := s.acknowledge(a.actor); invariant != "" {
			return invariant
		}
	}
	return s.checkReads(w)
}

// checkLeader checks that a new leader has all entries acknowledged in older terms, and that
// no other leader has its term.
func (s *state) checkLeader(m int, w *walker) string {
	newLeader := &s.members[m]
	for other := range w.scope.Members {
		if otherMember := &s.members[other]; other != m && otherMember.role == leader && otherMember.currentTerm == newLeader.currentTerm {
			return TwoLeadersInTerm
		}
	}
	for i := range s.acknowledged.length {
		isOlder := s.acknowledgedBy[i] < newLeader.currentTerm
		if isOlder && (i >= newLeader.log.length || newLeader.log.entries[i] != s.acknowledged.entries[i]) {
			return AcknowledgedEntryLost
		}
	}
	return ""
}

// acknowledge checks a leader's committed prefix against the acknowledged entries, and adds
// newly committed ones to them.
func (s *state) acknowledge(m int) string {
	self := &s.members[m]
	for i := range self.commit {
		if i < s.acknowledged.length {
			if s.acknowledged.entries[i] != self.log.entries[i] {
				return CommittedEntriesDiffer
			}
			continue
		}
		s.acknowledged.append(self.log.entries[i])
		s.acknowledgedBy[i] = self.currentTerm
	}
	return ""
}

// checkReads checks that every leader that could confirm a read now has all acknowledged
// entries.
func (s *state) checkReads(w *walker) string {
	for m := range w.scope.Members {
		reader := &s.members[m]
		if reader.role != leader || reader.commit < reader.firstIndex {
			continue
		}
		var confirmed peerSet
		for v := range w.scope.Members {
			if s.members[v].currentTerm <= reader.currentTerm {
				confirmed |= w.identityOf(s, v)
			}
		}
		if !w.rules.UnconfirmedReads && !w.hasQuorum(s.votersOf(&reader.log), confirmed) {
			continue
		}
		if reader.commit < s.acknowledged.length && !s.hasAcknowledged(reader) {
			return StaleRead
		}
	}
	return ""
}

// hasAcknowledged reports whether a leader's log contains all acknowledged entries, even if its
// commit index is lower.
func (s *state) hasAcknowledged(reader *member) bool {
	for i := range s.acknowledged.length {
		if i >= reader.log.length || reader.log.entries[i] != s.acknowledged.entries[i] {
			return false
		}
	}
	return true
}

// quorumsIntersect reports whether every quorum of a shares a member with every quorum of b.
func quorumsIntersect(a, b voters) bool {
	union := a.all() | b.all()
	for members := union; ; members = (members - 1) & union {
		if a.hasQuorum(members) && b.hasQuorum(union&^members) {
			return false
		}
		if members == 0 {
			return true
		}
	}
}

func (b *Violation) String() string { return fmt.Sprintf("%s: %q", b.Invariant, b.Schedule) }
