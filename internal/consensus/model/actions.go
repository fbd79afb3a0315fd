package model

import "fmt"

// Rules is the protocol that is explored. The zero value is the one that the
// code follows; each field takes one safeguard out.
type Rules struct {
	SingleSteps       bool // a replacement takes one member out, then puts one in
	OwnGroupIsEnough  bool // a candidate needs a majority of its own last group only
	OwnLogIsKept      bool // a new owner keeps its own log, not the most advanced
	WipedMayVote      bool // identities don't tell births apart
	OldTermCommits    bool // an owner commits entries of an older term by counting
	ChangeOnChange    bool // a group may change before the last change is committed
	JumpToNewGroup    bool // a replacement takes effect without its joint step
	ReadsUnconfirmed  bool // an owner answers reads without a majority's word
	PromiseIsForgot   bool // a restart forgets a promise
	AppendBelowTerm   bool // a member takes entries below its promised term
	CommitBeforeSync  bool // an owner counts members that have not synced
	LearnersAreVoters bool // whoever follows the owner counts for a majority
	CommitIsCopied    bool // a member takes the owner's commit, be it below its own
	AppendNoPromise   bool // a member takes entries without promising their term
	TermsHaveNoNames  bool // two candidates may have the same term
}

// Scope bounds what is explored.
type Scope struct {
	Members, Rounds, Writes, Changes, Wipes, Restarts int
	// States ends the walk after so many states.
	States int
}

// action is one step, told so that a schedule can be read.
type action struct {
	name    string
	who, to int
}

func (a action) String() string {
	name := func(m int) string { return string(rune('A' + m)) }
	switch {
	case a.to < 0:
		return fmt.Sprintf("%s %s", name(a.who), a.name)
	default:
		return fmt.Sprintf("%s %s %s", name(a.who), a.name, name(a.to))
	}
}

// walker takes the actions of one protocol within one scope.
type walker struct {
	rules Rules
	scope Scope
	visit func(action, state)
}

// voterOf is the identity by which a member's word is counted.
func (w *walker) voterOf(s *state, m int) voters {
	if w.rules.WipedMayVote {
		return identity(m, 0)
	}
	return s.identity(m)
}

func (w *walker) decides(g group, some voters) bool {
	if w.rules.LearnersAreVoters {
		return popCount(some) >= 2
	}
	return g.isDecidedBy(some)
}

// next visits every state that one action leads to.
func (w *walker) next(s *state) {
	for m := range w.scope.Members {
		w.campaign(s, m)
		w.restart(s, m)
		w.wipe(s, m)
		switch s.members[m].role {
		case candidate:
			w.win(s, m)
		case owner:
			w.write(s, m)
			w.commit(s, m)
			w.change(s, m)
			w.finishChange(s, m)
		}
		for to := range w.scope.Members {
			if to != m && s.members[m].role == candidate {
				w.grant(s, m, to)
			}
			if to != m && s.members[m].role == owner {
				w.replicate(s, m, to)
			}
		}
	}
}

// campaign has a member that is in its own last group stand under a new term.
func (w *walker) campaign(s *state, m int) {
	me := &s.members[m]
	round := me.promised.round() + 1
	if round > w.scope.Rounds || me.role != follower || s.groupOf(&me.log).all()&s.identity(m) == 0 {
		return
	}
	n := *s
	c := &n.members[m]
	c.role, c.promised = candidate, makeTerm(round, m)
	if w.rules.TermsHaveNoNames {
		c.promised = makeTerm(round, 0)
	}
	c.granted, c.best = w.voterOf(s, m), c.log
	w.visit(action{name: "campaigns", who: m, to: -1}, n)
}

// grant has a member promise a candidate's term and show its log.
func (w *walker) grant(s *state, m, to int) {
	if s.members[to].promised >= s.members[m].promised {
		return
	}
	n := *s
	c, v := &n.members[m], &n.members[to]
	v.promised, v.role = c.promised, follower
	v.granted, v.best = 0, log{}
	if w.isAsked(s, m, to) {
		c.granted |= w.voterOf(s, to)
		if !w.rules.OwnLogIsKept && c.best.isBehind(&v.log) {
			c.best = v.log
		}
		w.visit(action{name: "is promised by", who: m, to: to}, n)
	}
}

// isAsked tells whether a candidate asks a member: those of its own group, and
// those of the group that the most advanced log names.
func (w *walker) isAsked(s *state, m, to int) bool {
	c := &s.members[m]
	asked := s.groupOf(&c.log).all()
	if !w.rules.OwnGroupIsEnough {
		asked |= s.groupOf(&c.best).all()
	}
	return asked&w.voterOf(s, to) != 0 || w.rules.LearnersAreVoters
}

// win makes a candidate the owner: it takes the most advanced log over and
// appends its first entry.
func (w *walker) win(s *state, m int) {
	c := &s.members[m]
	g := s.groupOf(&c.best)
	if w.rules.OwnGroupIsEnough {
		g = s.groupOf(&c.log)
	} else if g.all()&w.voterOf(s, m) == 0 {
		return
	}
	if !w.decides(g, c.granted) || c.best.length >= maxLog {
		return
	}
	n := *s
	o := &n.members[m]
	o.role, o.log = owner, c.best
	o.append(entry{term: o.promised, kind: kindOwn})
	o.began, o.granted, o.best = o.log.length, 0, log{}
	o.match = [maxMembers]uint8{}
	o.match[m] = o.log.length
	w.visit(action{name: "becomes owner", who: m, to: -1}, n)
}

// append adds an entry under the group in force, unless it brings its own.
func (m *member) append(e entry) {
	if e.kind != kindGroup {
		e.group = m.log.last().group
	}
	m.log.append(e)
}

func (w *walker) isServing(m *member) bool {
	return m.role == owner && m.commit >= m.began
}

func (w *walker) write(s *state, m int) {
	if int(s.writes) >= w.scope.Writes || s.members[m].commit < s.members[m].began || s.members[m].log.length >= maxLog {
		return
	}
	n := *s
	n.writes++
	o := &n.members[m]
	o.append(entry{term: o.promised, kind: kindWrite, id: n.writes})
	o.match[m] = o.log.length
	w.visit(action{name: "writes", who: m, to: -1}, n)
}

// replicate has a member take the owner's log, all of it or the first entry that
// it lacks, and answer once it is synced.
func (w *walker) replicate(s *state, m, to int) {
	o, v := &s.members[m], &s.members[to]
	if v.promised > o.promised && !w.rules.AppendBelowTerm {
		return
	}
	shared := o.log.sharedWith(&v.log)
	w.replicateUpTo(s, m, to, o.log.length)
	if shared+1 < o.log.length {
		w.replicateUpTo(s, m, to, shared+1)
	}
}

func (w *walker) replicateUpTo(s *state, m, to int, length uint8) {
	n := *s
	o, f := &n.members[m], &n.members[to]
	if !w.rules.AppendNoPromise {
		f.promised = max(f.promised, o.promised)
	}
	f.role, f.granted, f.best = follower, 0, log{}
	if f.log.sharedWith(&o.log) < length {
		f.log = o.log.prefix(length)
	}
	commit := min(o.commit, length)
	if !w.rules.CommitIsCopied {
		commit = max(commit, f.commit)
	}
	f.commit = commit
	o.match[to] = max(o.match[to], length)
	if n != *s {
		w.visit(action{name: "replicates to", who: m, to: to}, n)
	}
}

// commit moves the owner's commit to what a majority has synced.
func (w *walker) commit(s *state, m int) {
	o := &s.members[m]
	for index := o.log.length; index > o.commit; index-- {
		var synced voters
		for v := range w.scope.Members {
			if o.match[v] >= index || w.rules.CommitBeforeSync && o.match[v] > 0 {
				synced |= w.voterOf(s, v)
			}
		}
		isOwn := o.log.entries[index-1].term == o.promised || w.rules.OldTermCommits
		if isOwn && w.decides(s.groupOf(&o.log), synced) {
			n := *s
			n.members[m].commit = index
			w.visit(action{name: "commits", who: m, to: -1}, n)
			return
		}
	}
}

// change starts a replacement of one member by one that is not in the group.
func (w *walker) change(s *state, m int) {
	o := &s.members[m]
	g := s.groupOf(&o.log)
	isSettled := o.commit >= o.log.groupAt() || w.rules.ChangeOnChange
	if int(s.changes) >= w.scope.Changes || !w.isServing(o) || !isSettled || g.former != 0 && !w.rules.ChangeOnChange || o.log.length >= maxLog-1 {
		return
	}
	put := func(name string, to int, next group) {
		n := *s
		n.changes++
		c := &n.members[m]
		c.append(entry{term: c.promised, kind: kindGroup, group: next})
		c.match[m] = c.log.length
		w.visit(action{name: name, who: m, to: to}, n)
	}
	for in := range w.scope.Members {
		joining := s.identity(in)
		if g.all()&joining != 0 {
			continue
		}
		if w.rules.SingleSteps && popCount(g.current) < 3 {
			put("adds", in, group{current: g.current | joining})
		}
		if w.rules.SingleSteps {
			continue
		}
		for out := range w.scope.Members {
			for life := range livesOfOne {
				leaving := identity(out, life)
				if g.current&leaving == 0 || out == m {
					continue
				}
				next := group{current: g.current&^leaving | joining, former: g.current}
				if w.rules.JumpToNewGroup {
					next.former = 0
				}
				put(fmt.Sprintf("replaces %c by", 'A'+out), in, next)
			}
		}
	}
	for out := range w.scope.Members {
		if leaving := s.identity(out); w.rules.SingleSteps && out != m && g.current&leaving != 0 && popCount(g.current) == 3 {
			put("removes", out, group{current: g.current &^ leaving})
		}
	}
}

// finishChange ends the joint step once it is committed, whoever began it.
func (w *walker) finishChange(s *state, m int) {
	o := &s.members[m]
	g := s.groupOf(&o.log)
	if g.former == 0 || o.commit < o.log.groupAt() || o.commit < o.began || o.log.length >= maxLog {
		return
	}
	n := *s
	c := &n.members[m]
	c.append(entry{term: c.promised, kind: kindGroup, group: group{current: g.current}})
	c.match[m] = c.log.length
	w.visit(action{name: "finishes the change", who: m, to: -1}, n)
}

// restart ends a member's process and starts it again from its disk.
func (w *walker) restart(s *state, m int) {
	if int(s.restarts) >= w.scope.Restarts {
		return
	}
	n := *s
	n.restarts++
	old := n.members[m]
	n.members[m] = member{promised: old.promised, log: old.log, life: old.life}
	if w.rules.PromiseIsForgot {
		n.members[m].promised = old.log.last().term
	}
	w.visit(action{name: "restarts", who: m, to: -1}, n)
}

// wipe gives a member an empty disk, and so another birth.
func (w *walker) wipe(s *state, m int) {
	if int(s.wipes) >= w.scope.Wipes || s.members[m].life+1 >= livesOfOne {
		return
	}
	n := *s
	n.wipes++
	n.members[m] = member{life: s.members[m].life + 1}
	w.visit(action{name: "loses its disk", who: m, to: -1}, n)
}
