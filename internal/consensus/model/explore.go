package model

import (
	"fmt"
	"hash/maphash"
)

// Invariants, by the names under which a breach is reported.
const (
	CommittedEntriesDiffer = "committed prefixes differ"
	AcknowledgedEntryLost  = "a later leader lacks what was acknowledged"
	StaleRead              = "a confirmed leader would answer a read with old state"
	CommitDecreased        = "a commit index went down on one disk"
	QuorumsDisjoint        = "successive voters share no quorum"
	TwoLeadersInTerm       = "two leaders of one term"
	EntryAboveCurrentTerm  = "an entry is above its member's current term"
)

// Breach is a broken invariant and the shortest way to it.
type Breach struct {
	Invariant string
	Schedule  []string
}

// Result is what an exploration came to.
type Result struct {
	States     int
	Depth      int
	IsComplete bool // the whole scope was walked
	Breach     *Breach
}

// origin is how a state was reached first.
type origin struct {
	from   uint64
	action action
}

// Explore visits the states of a protocol in order of their distance from the first, until
// the scope is exhausted or an invariant is broken.
func Explore(rules Rules, scope Scope) Result {
	seed := maphash.MakeSeed()
	key := func(s *state) uint64 { return maphash.Comparable(seed, *s) }
	first := initial()
	origins := map[uint64]origin{key(&first): {}}
	frontier := []state{first}
	result := Result{IsComplete: true}
	for len(frontier) > 0 && result.Breach == nil {
		var following []state
		for i := range frontier {
			before := &frontier[i]
			from := key(before)
			w := &walker{rules: rules, scope: scope}
			w.visit = func(a action, after state) {
				if result.Breach != nil {
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
					result.Breach = &Breach{Invariant: invariant, Schedule: schedule(origins, id, key(&first))}
					return
				}
				following = append(following, after)
			}
			w.next(before)
		}
		frontier = following
		result.Depth++
	}
	result.States = len(origins)
	return result
}

func schedule(origins map[uint64]origin, at, first uint64) (steps []string) {
	for at != first {
		steps = append([]string{origins[at].action.String()}, steps...)
		at = origins[at].from
	}
	return steps
}

// observe checks the invariants after an action, and notes what it acknowledged.
func (s *state) observe(before *state, a action, w *walker) string {
	for m := range w.scope.Members {
		now, old := &s.members[m], &before.members[m]
		if now.commit < old.commit && now.memberID == old.memberID && a.name != restarts {
			return CommitDecreased
		}
		if now.log.last().term > now.currentTerm {
			return EntryAboveCurrentTerm
		}
	}
	if g := s.members[a.who].log; a.name != replicatesTo && g.length > before.members[a.who].log.length && g.last().kind == kindMembershipChange {
		if !quorumsIntersect(g.last().voters, before.members[a.who].log.last().voters) {
			return QuorumsDisjoint
		}
	}
	switch a.name {
	case becomesLeader:
		if invariant := s.checkLeader(a.who, w); invariant != "" {
			return invariant
		}
	case commits:
		if invariant := s.acknowledge(a.who); invariant != "" {
			return invariant
		}
	}
	return s.checkReads(w)
}

// checkLeader demands that a new leader has what older terms acknowledged, and that no
// other has its term.
func (s *state) checkLeader(m int, w *walker) string {
	o := &s.members[m]
	for other := range w.scope.Members {
		if p := &s.members[other]; other != m && p.role == leader && p.currentTerm == o.currentTerm {
			return TwoLeadersInTerm
		}
	}
	for i := range s.acknowledged.length {
		isOlder := s.acknowledgedBy[i] < o.currentTerm
		if isOlder && (i >= o.log.length || o.log.entries[i] != s.acknowledged.entries[i]) {
			return AcknowledgedEntryLost
		}
	}
	return ""
}

// acknowledge holds a commit against all that was committed before.
func (s *state) acknowledge(m int) string {
	o := &s.members[m]
	for i := range o.commit {
		if i < s.acknowledged.length {
			if s.acknowledged.entries[i] != o.log.entries[i] {
				return CommittedEntriesDiffer
			}
			continue
		}
		s.acknowledged.append(o.log.entries[i])
		s.acknowledgedBy[i] = o.currentTerm
	}
	return ""
}

// checkReads demands that a leader whose term a quorum would confirm now has all that was
// acknowledged.
func (s *state) checkReads(w *walker) string {
	for m := range w.scope.Members {
		o := &s.members[m]
		if o.role != leader || o.commit < o.firstIndex {
			continue
		}
		var confirmed peerSet
		for v := range w.scope.Members {
			if s.members[v].currentTerm <= o.currentTerm {
				confirmed |= w.identityOf(s, v)
			}
		}
		if !w.rules.UnconfirmedReads && !w.hasQuorum(s.votersOf(&o.log), confirmed) {
			continue
		}
		if o.commit < s.acknowledged.length && !s.hasAcknowledged(o) {
			return StaleRead
		}
	}
	return ""
}

// hasAcknowledged tells whether a leader's log holds all that was acknowledged, even if its
// commit index is behind.
func (s *state) hasAcknowledged(o *member) bool {
	for i := range s.acknowledged.length {
		if i >= o.log.length || o.log.entries[i] != s.acknowledged.entries[i] {
			return false
		}
	}
	return true
}

// quorumsIntersect tells whether every quorum of a shares a member with every quorum of b.
func quorumsIntersect(a, b voters) bool {
	all := a.all() | b.all()
	for members := all; ; members = (members - 1) & all {
		if a.hasQuorum(members) && b.hasQuorum(all&^members) {
			return false
		}
		if members == 0 {
			return true
		}
	}
}

func (b *Breach) String() string { return fmt.Sprintf("%s: %q", b.Invariant, b.Schedule) }
