package model

import (
	"fmt"
	"hash/maphash"
	"math/bits"
)

// Invariants, by the names under which a breach is told.
const (
	CommittedDiffer  = "committed prefixes differ"
	AckedLost        = "a later owner lacks what was acknowledged"
	ReadIsOld        = "a confirmed owner would answer a read with old state"
	CommitWentDown   = "a commit went down on one disk"
	GroupsDontMeet   = "successive groups share no majority"
	OwnersOfOneTerm  = "two owners of one term"
	EntryAbovePledge = "an entry stands above its member's promise"
)

// Breach is a broken invariant and the shortest way to it.
type Breach struct {
	Invariant string
	Schedule  []string
}

// Result is what a walk came to.
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

// Explore walks the states of a protocol in order of their distance from the
// first, until the scope is exhausted or an invariant is broken.
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
		if now.commit < old.commit && now.life == old.life && a.name != "restarts" {
			return CommitWentDown
		}
		if now.log.last().term > now.promised {
			return EntryAbovePledge
		}
	}
	if g := s.members[a.who].log; a.name != "replicates to" && g.length > before.members[a.who].log.length && g.last().kind == kindGroup {
		if !meet(g.last().group, before.members[a.who].log.last().group) {
			return GroupsDontMeet
		}
	}
	switch a.name {
	case "becomes owner":
		if invariant := s.checkOwner(a.who, w); invariant != "" {
			return invariant
		}
	case "commits":
		if invariant := s.acknowledge(a.who); invariant != "" {
			return invariant
		}
	}
	return s.checkReads(w)
}

// checkOwner demands that a new owner has what older terms acknowledged, and
// that its term is its alone.
func (s *state) checkOwner(m int, w *walker) string {
	o := &s.members[m]
	for other := range w.scope.Members {
		if p := &s.members[other]; other != m && p.role == owner && p.promised == o.promised {
			return OwnersOfOneTerm
		}
	}
	for i := range s.acked.length {
		isOlder := s.ackedBy[i] < o.promised
		if isOlder && (i >= o.log.length || o.log.entries[i] != s.acked.entries[i]) {
			return AckedLost
		}
	}
	return ""
}

// acknowledge holds a commit against all that was committed before.
func (s *state) acknowledge(m int) string {
	o := &s.members[m]
	for i := range o.commit {
		if i < s.acked.length {
			if s.acked.entries[i] != o.log.entries[i] {
				return CommittedDiffer
			}
			continue
		}
		s.acked.append(o.log.entries[i])
		s.ackedBy[i] = o.promised
	}
	return ""
}

// checkReads demands that an owner whose term a majority would confirm now has
// all that was acknowledged.
func (s *state) checkReads(w *walker) string {
	for m := range w.scope.Members {
		o := &s.members[m]
		if o.role != owner || o.commit < o.began {
			continue
		}
		var word voters
		for v := range w.scope.Members {
			if s.members[v].promised <= o.promised {
				word |= w.voterOf(s, v)
			}
		}
		if !w.rules.ReadsUnconfirmed && !w.decides(s.groupOf(&o.log), word) {
			continue
		}
		if o.commit < s.acked.length && !s.isAhead(o) {
			return ReadIsOld
		}
	}
	return ""
}

// isAhead tells whether an owner's log holds all that was acknowledged, be its
// own knowledge of the commit behind.
func (s *state) isAhead(o *member) bool {
	for i := range s.acked.length {
		if i >= o.log.length || o.log.entries[i] != s.acked.entries[i] {
			return false
		}
	}
	return true
}

// meet tells whether every two sets that decide for two groups share a member.
func meet(a, b group) bool {
	all := a.all() | b.all()
	for some := all; ; some = (some - 1) & all {
		if a.isDecidedBy(some) && b.isDecidedBy(all&^some) {
			return false
		}
		if some == 0 {
			return true
		}
	}
}

func popCount(v voters) int { return bits.OnesCount16(uint16(v)) }

func (b *Breach) String() string { return fmt.Sprintf("%s: %q", b.Invariant, b.Schedule) }
