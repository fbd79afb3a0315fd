package model

import "fmt"

// Rules are variants of the protocol. The zero value is the protocol as implemented; each field
// that is set removes one safeguard.
type Rules struct {
	SingleServerChanges bool // a replacement removes one voter, then adds one, without a joint step
	OwnVotersSuffice    bool // a candidate needs a quorum of the voters in its own log only
	KeepOwnLog          bool // a new leader keeps its own log instead of the most advanced
	WipedMembersVote    bool // a member with a new member id counts as the old one
	CommitOldTerms      bool // a leader commits entries of older terms by counting replicas
	OverlappingChanges  bool // a membership change may start before the previous one is committed
	SkipJointStep       bool // a replacement takes effect at once, without the joint step
	UnconfirmedReads    bool // a leader answers reads without confirmation by a quorum
	ForgetVotes         bool // a restart forgets a vote
	AcceptStaleTerms    bool // a member accepts entries below its current term
	CommitBeforeSync    bool // a leader counts members that have not synced the entry
	LearnersVote        bool // members without a vote count towards a quorum
	CopyCommitIndex     bool // a member adopts the leader's commit index even if it is below its own
	AppendWithoutTerm   bool // a member accepts entries without raising its current term
	TermsWithoutNode    bool // two candidates may have the same term
}

// Scope bounds an exploration: the number of members, the highest term number, and how often
// each kind of action may happen.
type Scope struct {
	Members, Terms, Writes, Changes, Wipes, Restarts int
	// States is the number of states after which no new ones are visited.
	States int
}

// Names of the actions that have their own checks.
const (
	becomesLeader = "becomes leader"
	replicatesTo  = "replicates to"
	commits       = "commits"
	restarts      = "restarts"
)

// action is one step of a schedule.
type action struct {
	name      string
	actor, to int // indexes of members; to is -1 if there is none
}

func (a action) String() string {
	name := func(m int) string { return string(rune('A' + m)) }
	switch {
	case a.to < 0:
		return fmt.Sprintf("%s %s", name(a.actor), a.name)
	default:
		return fmt.Sprintf("%s %s %s", name(a.actor), a.name, name(a.to))
	}
}

// walker generates the actions that the rules allow within the scope, and calls visit with each
// action and the state after it.
type walker struct {
	rules Rules
	scope Scope
	visit func(action, state)
}

// identityOf returns the identity under which a member's votes and acknowledgements count.
func (w *walker) identityOf(s *state, m int) peerSet {
	if w.rules.WipedMembersVote {
		return identity(m, 0)
	}
	return s.identity(m)
}

func (w *walker) hasQuorum(vs voters, members peerSet) bool {
	if w.rules.LearnersVote {
		return members.size() >= 2
	}
	return vs.hasQuorum(members)
}

// next visits every state that one action reaches from s.
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

// campaign makes a follower that is a voter in its own log a candidate in a new term.
func (w *walker) campaign(s *state, m int) {
	self := &s.members[m]
	number := self.currentTerm.number() + 1
	if number > w.scope.Terms || self.role != follower || s.votersOf(&self.log).all()&s.identity(m) == 0 {
		return
	}
	next := *s
	c := &next.members[m]
	c.role, c.currentTerm = candidate, newTerm(number, m)
	if w.rules.TermsWithoutNode {
		c.currentTerm = newTerm(number, 0)
	}
	c.granted, c.bestLog = w.identityOf(s, m), c.log
	w.visit(action{name: "campaigns", actor: m, to: -1}, next)
}

// vote makes a member vote for a candidate. The vote carries the member's log.
func (w *walker) vote(s *state, m, to int) {
	if s.members[to].currentTerm >= s.members[m].currentTerm {
		return
	}
	next := *s
	c, v := &next.members[m], &next.members[to]
	v.currentTerm, v.role = c.currentTerm, follower
	v.granted, v.bestLog = 0, log{}
	if w.isVoteRequested(s, m, to) {
		c.granted |= w.identityOf(s, to)
		if !w.rules.KeepOwnLog && c.bestLog.isLessAdvanced(&v.log) {
			c.bestLog = v.log
		}
		w.visit(action{name: "receives the vote of", actor: m, to: to}, next)
	}
}

// isVoteRequested reports whether a candidate requests a member's vote: the candidate asks the
// voters of its own log and those of the most advanced log that it has received.
func (w *walker) isVoteRequested(s *state, m, to int) bool {
	c := &s.members[m]
	requested := s.votersOf(&c.log).all()
	if !w.rules.OwnVotersSuffice {
		requested |= s.votersOf(&c.bestLog).all()
	}
	return requested&w.identityOf(s, to) != 0 || w.rules.LearnersVote
}

// becomeLeader makes a candidate with a quorum the leader: it adopts the most advanced log and
// appends its first entry.
func (w *walker) becomeLeader(s *state, m int) {
	c := &s.members[m]
	newestVoters := s.votersOf(&c.bestLog)
	if w.rules.OwnVotersSuffice {
		newestVoters = s.votersOf(&c.log)
	} else if newestVoters.all()&w.identityOf(s, m) == 0 {
		return
	}
	if !w.hasQuorum(newestVoters, c.granted) || c.bestLog.length >= maxLog {
		return
	}
	next := *s
	newLeader := &next.members[m]
	newLeader.role, newLeader.log = leader, c.bestLog
	newLeader.append(entry{term: newLeader.currentTerm, kind: kindEmpty})
	newLeader.firstIndex, newLeader.granted, newLeader.bestLog = newLeader.log.length, 0, log{}
	newLeader.match = [maxMembers]uint8{}
	newLeader.match[m] = newLeader.log.length
	w.visit(action{name: becomesLeader, actor: m, to: -1}, next)
}

// append adds an entry. Unless it is a membership change, it gets the newest voters.
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
	next := *s
	next.writes++
	self := &next.members[m]
	self.append(entry{term: self.currentTerm, kind: kindCommand, id: next.writes})
	self.match[m] = self.log.length
	w.visit(action{name: "writes", actor: m, to: -1}, next)
}

// replicate sends a member the leader's log, either whole or up to the first entry that the
// member lacks. The member syncs and acknowledges it.
func (w *walker) replicate(s *state, m, to int) {
	self, receiver := &s.members[m], &s.members[to]
	if receiver.currentTerm > self.currentTerm && !w.rules.AcceptStaleTerms {
		return
	}
	common := self.log.commonPrefix(&receiver.log)
	w.replicateUpTo(s, m, to, self.log.length)
	if common+1 < self.log.length {
		w.replicateUpTo(s, m, to, common+1)
	}
}

func (w *walker) replicateUpTo(s *state, m, to int, length uint8) {
	next := *s
	self, receiver := &next.members[m], &next.members[to]
	if !w.rules.AppendWithoutTerm {
		receiver.currentTerm = max(receiver.currentTerm, self.currentTerm)
	}
	receiver.role, receiver.granted, receiver.bestLog = follower, 0, log{}
	if receiver.log.commonPrefix(&self.log) < length {
		receiver.log = self.log.prefix(length)
	}
	commit := min(self.commit, length)
	if !w.rules.CopyCommitIndex {
		commit = max(commit, receiver.commit)
	}
	receiver.commit = commit
	self.match[to] = max(self.match[to], length)
	if next != *s {
		w.visit(action{name: replicatesTo, actor: m, to: to}, next)
	}
}

// commit raises the leader's commit index to the last entry that a quorum has synced.
func (w *walker) commit(s *state, m int) {
	self := &s.members[m]
	for index := self.log.length; index > self.commit; index-- {
		var synced peerSet
		for v := range w.scope.Members {
			if self.match[v] >= index || w.rules.CommitBeforeSync && self.match[v] > 0 {
				synced |= w.identityOf(s, v)
			}
		}
		isOfCurrentTerm := self.log.entries[index-1].term == self.currentTerm || w.rules.CommitOldTerms
		if isOfCurrentTerm && w.hasQuorum(s.votersOf(&self.log), synced) {
			next := *s
			next.members[m].commit = index
			w.visit(action{name: commits, actor: m, to: -1}, next)
			return
		}
	}
}

// startChange starts the replacement of one voter by a member without a vote.
func (w *walker) startChange(s *state, m int) {
	self := &s.members[m]
	newestVoters := s.votersOf(&self.log)
	isCommitted := self.commit >= self.log.votersIndex() || w.rules.OverlappingChanges
	if int(s.changes) >= w.scope.Changes || !w.isServing(self) || !isCommitted || newestVoters.outgoing != 0 && !w.rules.OverlappingChanges || self.log.length >= maxLog-1 {
		return
	}
	propose := func(name string, to int, newVoters voters) {
		next := *s
		next.changes++
		updated := &next.members[m]
		updated.append(entry{term: updated.currentTerm, kind: kindMembershipChange, voters: newVoters})
		updated.match[m] = updated.log.length
		w.visit(action{name: name, actor: m, to: to}, next)
	}
	for in := range w.scope.Members {
		joining := s.identity(in)
		if newestVoters.all()&joining != 0 {
			continue
		}
		if w.rules.SingleServerChanges && newestVoters.current.size() < 3 {
			propose("adds", in, voters{current: newestVoters.current | joining})
		}
		if w.rules.SingleServerChanges {
			continue
		}
		for out := range w.scope.Members {
			for id := range maxMemberIDs {
				leaving := identity(out, id)
				if newestVoters.current&leaving == 0 || out == m {
					continue
				}
				next := voters{current: newestVoters.current&^leaving | joining, outgoing: newestVoters.current}
				if w.rules.SkipJointStep {
					next.outgoing = 0
				}
				propose(fmt.Sprintf("replaces %c by", 'A'+out), in, next)
			}
		}
	}
	for out := range w.scope.Members {
		if leaving := s.identity(out); w.rules.SingleServerChanges && out != m && newestVoters.current&leaving != 0 && newestVoters.current.size() == 3 {
			propose("removes", out, voters{current: newestVoters.current &^ leaving})
		}
	}
}

// finishChange appends the second entry of a membership change once the joint step is
// committed, whichever leader started it.
func (w *walker) finishChange(s *state, m int) {
	self := &s.members[m]
	newestVoters := s.votersOf(&self.log)
	if newestVoters.outgoing == 0 || self.commit < self.log.votersIndex() || self.commit < self.firstIndex || self.log.length >= maxLog {
		return
	}
	next := *s
	updated := &next.members[m]
	updated.append(entry{term: updated.currentTerm, kind: kindMembershipChange, voters: voters{current: newestVoters.current}})
	updated.match[m] = updated.log.length
	w.visit(action{name: "finishes the change", actor: m, to: -1}, next)
}

// restart restarts a member from its disk.
func (w *walker) restart(s *state, m int) {
	if int(s.restarts) >= w.scope.Restarts {
		return
	}
	next := *s
	next.restarts++
	old := next.members[m]
	next.members[m] = member{currentTerm: old.currentTerm, log: old.log, memberID: old.memberID}
	if w.rules.ForgetVotes {
		next.members[m].currentTerm = old.log.last().term
	}
	w.visit(action{name: restarts, actor: m, to: -1}, next)
}

// wipe replaces a member's disk by an empty one, which gives the member a new member id.
func (w *walker) wipe(s *state, m int) {
	if int(s.wipes) >= w.scope.Wipes || s.members[m].memberID+1 >= maxMemberIDs {
		return
	}
	next := *s
	next.wipes++
	next.members[m] = member{memberID: s.members[m].memberID + 1}
	w.visit(action{name: "loses its disk", actor: m, to: -1}, next)
}
