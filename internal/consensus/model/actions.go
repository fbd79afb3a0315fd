package model

import "fmt"

// Rules is the protocol that is explored. The zero value is the one that the code follows;
// each field takes one safeguard out.
type Rules struct {
	SingleSteps       bool // a replacement takes one member out, then puts one in
	OwnVotersSuffice  bool // a candidate needs a quorum of the voters of its own log only
	KeepOwnLog        bool // a new leader keeps its own log, not the most advanced
	WipedMembersVote  bool // member ids are not told apart
	CommitOldTerms    bool // a leader commits entries of an older term by counting
	ChangeOnChange    bool // the voters may change before the last change is committed
	SkipJointStep     bool // a replacement takes effect without its joint step
	UnconfirmedReads  bool // a leader answers reads without a quorum's confirmation
	ForgetVotes       bool // a restart forgets a vote
	AcceptStaleTerms  bool // a member accepts entries below its current term
	CommitBeforeSync  bool // a leader counts members that have not synced
	LearnersVote      bool // whoever follows the leader counts for a quorum
	CopyCommit        bool // a member takes the leader's commit index, be it below its own
	AppendWithoutTerm bool // a member accepts entries without their term
	TermsWithoutNode  bool // two candidates may have the same term
}

// Scope bounds what is explored.
type Scope struct {
	Members, Terms, Writes, Changes, Wipes, Restarts int
	// States ends the walk after so many states.
	States int
}

// Names of the actions that are checked in a way of their own.
const (
	becomesLeader = "becomes leader"
	replicatesTo  = "replicates to"
	commits       = "commits"
	restarts      = "restarts"
)

// action is one step, named so that a schedule can be read.
type action struct {
	name    string
	who, to int // members; to is below zero if there is none
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

// identityOf is the identity under which a member's answers are counted.
func (w *walker) identityOf(s *state, m int) peerSet {
	if w.rules.WipedMembersVote {
		return identity(m, 0)
	}
	return s.identity(m)
}

func (w *walker) hasQuorum(g voters, members peerSet) bool {
	if w.rules.LearnersVote {
		return members.size() >= 2
	}
	return g.hasQuorum(members)
}

// next visits every state that one action leads to.
func (w *walker) next(s *state) {
	for m := range w.scope.Members {
		w.campaign(s, m)
		w.restart(s, m)
		w.wipe(s, m)
		switch s.members[m].role {
		case candidate:
			w.becomeLeader(s, m)
		case leader:
			w.write(s, m)
			w.commit(s, m)
			w.startChange(s, m)
			w.finishChange(s, m)
		}
		for to := range w.scope.Members {
			if to != m && s.members[m].role == candidate {
				w.vote(s, m, to)
			}
			if to != m && s.members[m].role == leader {
				w.replicate(s, m, to)
			}
		}
	}
}

// campaign has a member that votes, by its own log, campaign under a new term.
func (w *walker) campaign(s *state, m int) {
	me := &s.members[m]
	number := me.currentTerm.number() + 1
	if number > w.scope.Terms || me.role != follower || s.votersOf(&me.log).all()&s.identity(m) == 0 {
		return
	}
	n := *s
	c := &n.members[m]
	c.role, c.currentTerm = candidate, newTerm(number, m)
	if w.rules.TermsWithoutNode {
		c.currentTerm = newTerm(number, 0)
	}
	c.granted, c.best = w.identityOf(s, m), c.log
	w.visit(action{name: "campaigns", who: m, to: -1}, n)
}

// vote has a member vote for a candidate and show its log.
func (w *walker) vote(s *state, m, to int) {
	if s.members[to].currentTerm >= s.members[m].currentTerm {
		return
	}
	n := *s
	c, v := &n.members[m], &n.members[to]
	v.currentTerm, v.role = c.currentTerm, follower
	v.granted, v.best = 0, log{}
	if w.isRequested(s, m, to) {
		c.granted |= w.identityOf(s, to)
		if !w.rules.KeepOwnLog && c.best.isBehind(&v.log) {
			c.best = v.log
		}
		w.visit(action{name: "gets the vote of", who: m, to: to}, n)
	}
}

// isRequested tells whether a candidate asks a member for its vote: it asks the voters of
// its own log, and those of the most advanced log.
func (w *walker) isRequested(s *state, m, to int) bool {
	c := &s.members[m]
	asked := s.votersOf(&c.log).all()
	if !w.rules.OwnVotersSuffice {
		asked |= s.votersOf(&c.best).all()
	}
	return asked&w.identityOf(s, to) != 0 || w.rules.LearnersVote
}

// becomeLeader makes a candidate the leader: it adopts the most advanced log and appends
// its first entry.
func (w *walker) becomeLeader(s *state, m int) {
	c := &s.members[m]
	g := s.votersOf(&c.best)
	if w.rules.OwnVotersSuffice {
		g = s.votersOf(&c.log)
	} else if g.all()&w.identityOf(s, m) == 0 {
		return
	}
	if !w.hasQuorum(g, c.granted) || c.best.length >= maxLog {
		return
	}
	n := *s
	o := &n.members[m]
	o.role, o.log = leader, c.best
	o.append(entry{term: o.currentTerm, kind: kindEmpty})
	o.firstIndex, o.granted, o.best = o.log.length, 0, log{}
	o.match = [maxMembers]uint8{}
	o.match[m] = o.log.length
	w.visit(action{name: becomesLeader, who: m, to: -1}, n)
}

// append adds an entry under the newest voters, unless it names its own.
func (m *member) append(e entry) {
	if e.kind != kindMembershipChange {
		e.voters = m.log.last().voters
	}
	m.log.append(e)
}

func (w *walker) isServing(m *member) bool {
	return m.role == leader && m.commit >= m.firstIndex
}

func (w *walker) write(s *state, m int) {
	if int(s.writes) >= w.scope.Writes || s.members[m].commit < s.members[m].firstIndex || s.members[m].log.length >= maxLog {
		return
	}
	n := *s
	n.writes++
	o := &n.members[m]
	o.append(entry{term: o.currentTerm, kind: kindCommand, id: n.writes})
	o.match[m] = o.log.length
	w.visit(action{name: "writes", who: m, to: -1}, n)
}

// replicate has a member take the leader's log, all of it or the first entry that it
// lacks, and answer once that is synced.
func (w *walker) replicate(s *state, m, to int) {
	o, v := &s.members[m], &s.members[to]
	if v.currentTerm > o.currentTerm && !w.rules.AcceptStaleTerms {
		return
	}
	shared := o.log.commonPrefix(&v.log)
	w.replicateUpTo(s, m, to, o.log.length)
	if shared+1 < o.log.length {
		w.replicateUpTo(s, m, to, shared+1)
	}
}

func (w *walker) replicateUpTo(s *state, m, to int, length uint8) {
	n := *s
	o, f := &n.members[m], &n.members[to]
	if !w.rules.AppendWithoutTerm {
		f.currentTerm = max(f.currentTerm, o.currentTerm)
	}
	f.role, f.granted, f.best = follower, 0, log{}
	if f.log.commonPrefix(&o.log) < length {
		f.log = o.log.prefix(length)
	}
	commit := min(o.commit, length)
	if !w.rules.CopyCommit {
		commit = max(commit, f.commit)
	}
	f.commit = commit
	o.match[to] = max(o.match[to], length)
	if n != *s {
		w.visit(action{name: replicatesTo, who: m, to: to}, n)
	}
}

// commit moves the leader's commit index to what a quorum has synced.
func (w *walker) commit(s *state, m int) {
	o := &s.members[m]
	for index := o.log.length; index > o.commit; index-- {
		var synced peerSet
		for v := range w.scope.Members {
			if o.match[v] >= index || w.rules.CommitBeforeSync && o.match[v] > 0 {
				synced |= w.identityOf(s, v)
			}
		}
		isOwn := o.log.entries[index-1].term == o.currentTerm || w.rules.CommitOldTerms
		if isOwn && w.hasQuorum(s.votersOf(&o.log), synced) {
			n := *s
			n.members[m].commit = index
			w.visit(action{name: commits, who: m, to: -1}, n)
			return
		}
	}
}

// startChange starts to replace one voter by a member that has no vote.
func (w *walker) startChange(s *state, m int) {
	o := &s.members[m]
	g := s.votersOf(&o.log)
	isStable := o.commit >= o.log.votersIndex() || w.rules.ChangeOnChange
	if int(s.changes) >= w.scope.Changes || !w.isServing(o) || !isStable || g.outgoing != 0 && !w.rules.ChangeOnChange || o.log.length >= maxLog-1 {
		return
	}
	propose := func(name string, to int, next voters) {
		n := *s
		n.changes++
		c := &n.members[m]
		c.append(entry{term: c.currentTerm, kind: kindMembershipChange, voters: next})
		c.match[m] = c.log.length
		w.visit(action{name: name, who: m, to: to}, n)
	}
	for in := range w.scope.Members {
		joining := s.identity(in)
		if g.all()&joining != 0 {
			continue
		}
		if w.rules.SingleSteps && g.current.size() < 3 {
			propose("adds", in, voters{current: g.current | joining})
		}
		if w.rules.SingleSteps {
			continue
		}
		for out := range w.scope.Members {
			for id := range maxMemberIDs {
				leaving := identity(out, id)
				if g.current&leaving == 0 || out == m {
					continue
				}
				next := voters{current: g.current&^leaving | joining, outgoing: g.current}
				if w.rules.SkipJointStep {
					next.outgoing = 0
				}
				propose(fmt.Sprintf("replaces %c by", 'A'+out), in, next)
			}
		}
	}
	for out := range w.scope.Members {
		if leaving := s.identity(out); w.rules.SingleSteps && out != m && g.current&leaving != 0 && g.current.size() == 3 {
			propose("removes", out, voters{current: g.current &^ leaving})
		}
	}
}

// finishChange ends the joint step once that is committed, whoever began it.
func (w *walker) finishChange(s *state, m int) {
	o := &s.members[m]
	g := s.votersOf(&o.log)
	if g.outgoing == 0 || o.commit < o.log.votersIndex() || o.commit < o.firstIndex || o.log.length >= maxLog {
		return
	}
	n := *s
	c := &n.members[m]
	c.append(entry{term: c.currentTerm, kind: kindMembershipChange, voters: voters{current: g.current}})
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
	n.members[m] = member{currentTerm: old.currentTerm, log: old.log, memberID: old.memberID}
	if w.rules.ForgetVotes {
		n.members[m].currentTerm = old.log.last().term
	}
	w.visit(action{name: restarts, who: m, to: -1}, n)
}

// wipe gives a member an empty disk, and so another member id.
func (w *walker) wipe(s *state, m int) {
	if int(s.wipes) >= w.scope.Wipes || s.members[m].memberID+1 >= maxMemberIDs {
		return
	}
	n := *s
	n.wipes++
	n.members[m] = member{memberID: s.members[m].memberID + 1}
	w.visit(action{name: "loses its disk", who: m, to: -1}, n)
}
