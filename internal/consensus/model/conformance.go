package model

import (
	"fmt"
	"sync"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/consensus"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// Invariants that only running code can break, beside those of the walk.
const (
	VoteWithoutPromise = "a vote counts that was not promised under this term"
	NoMajority         = "an owner was chosen by no majority of its voters"
	PromiseWentDown    = "a disk promised a lower term than before"
)

// Conformance holds the steps of running nodes against the invariants of the
// model, as they happen.
type Conformance struct {
	// Breached is called with every broken invariant.
	Breached func(invariant, detail string)

	mu    sync.Mutex
	parts map[ids.Shard]*observed
	steps int
}

// observed is what the steps of one part have shown so far.
type observed struct {
	promised  map[rpc.Peer]ids.Term
	owners    map[ids.Term]rpc.Peer
	committed map[ids.Index]committedEntry
	newest    ids.Index // the highest index that an owner has committed
	voters    consensus.Voters
	votersAt  ids.Index
}

type committedEntry struct {
	term ids.Term // of the entry
	by   ids.Term // of the first owner that committed it; none if a member told first
	at   time.Time
}

func newObserved() *observed {
	return &observed{promised: map[rpc.Peer]ids.Term{}, owners: map[ids.Term]rpc.Peer{}, committed: map[ids.Index]committedEntry{}}
}

// Observe takes one step of a node; steps that are no Trace are passed over.
func (c *Conformance) Observe(step any) {
	trace, ok := step.(consensus.TraceEvent)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.steps++
	if c.parts == nil {
		c.parts = map[ids.Shard]*observed{}
	}
	o := c.parts[trace.Shard]
	if o == nil {
		o = newObserved()
		c.parts[trace.Shard] = o
	}
	breach := func(invariant, format string, args ...any) {
		c.Breached(invariant, fmt.Sprintf("part %d, %s, term %s: ", trace.Shard, trace.Member.Name, trace.Term)+fmt.Sprintf(format, args...))
	}
	switch trace.Kind {
	case consensus.TraceTermRaised:
		o.raise(trace, breach)
	case consensus.TraceVoted:
		o.promise(trace)
	case consensus.TraceElected:
		o.elect(trace, breach)
	case consensus.TraceCommitted:
		o.commit(trace, breach)
	case consensus.TraceRead:
		o.read(trace, breach)
	}
}

// Steps is how many steps were followed so far.
func (c *Conformance) Steps() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.steps
}

type breachFunc func(invariant, format string, args ...any)

// raise demands that a disk forgets no promise; one that was not synced may be gone
// after a loss of power.
func (o *observed) raise(step consensus.TraceEvent, breach breachFunc) {
	if step.Term.Less(o.promised[step.Member]) {
		breach(PromiseWentDown, "it had promised %s", o.promised[step.Member])
	}
}

// promise notes a synced promise; two that are synced at once are told in any order.
func (o *observed) promise(step consensus.TraceEvent) {
	if o.promised[step.Member].Less(step.Term) {
		o.promised[step.Member] = step.Term
	}
}

func (o *observed) elect(step consensus.TraceEvent, breach breachFunc) {
	if other, isKnown := o.owners[step.Term]; isKnown {
		breach(OwnersOfOneTerm, "it was %s's", other.Name)
	}
	o.owners[step.Term] = step.Member
	if !step.Voters.HasQuorum(step.Granted) {
		breach(NoMajority, "%v of %s", step.Granted, step.Voters)
	}
	for _, peer := range step.Granted {
		if o.promised[peer].Less(step.Term) {
			breach(VoteWithoutPromise, "%s had promised %s", peer.Name, o.promised[peer])
		}
	}
	for index, entry := range o.committed {
		if !entry.by.Less(step.Term) || entry.by == (ids.Term{}) {
			continue
		}
		if index > step.Index {
			breach(AckedLost, "entry %d of %s, its log ends at %d", index, entry.term, step.Index)
		} else if has, isThere := step.TermAt(index); isThere && has != entry.term {
			breach(AckedLost, "entry %d is of %s, not of %s", index, has, entry.term)
		}
	}
}

func (o *observed) commit(step consensus.TraceEvent, breach breachFunc) {
	entry, isKnown := o.committed[step.Index]
	if isKnown && entry.term != step.EntryTerm {
		breach(CommittedDiffer, "entry %d is of %s, and of %s elsewhere", step.Index, step.EntryTerm, entry.term)
		return
	}
	if !isKnown {
		entry = committedEntry{term: step.EntryTerm, at: time.Now()}
	}
	if step.IsLeader && entry.by == (ids.Term{}) {
		entry.by, entry.at = step.Term, time.Now()
		o.newest = max(o.newest, step.Index)
	}
	o.committed[step.Index] = entry
	if step.IsMembershipChange && step.Index > o.votersAt {
		if o.votersAt > 0 && !consensus.QuorumsIntersect(o.voters, step.Voters) {
			breach(GroupsDontMeet, "entry %d: %s after %s", step.Index, step.Voters, o.voters)
		}
		o.voters, o.votersAt = step.Voters, step.Index
	}
}

// read demands that what was committed before a read began is answered from.
func (o *observed) read(step consensus.TraceEvent, breach breachFunc) {
	for index := o.newest; index > step.Index; index-- {
		if entry := o.committed[index]; entry.by != (ids.Term{}) && entry.at.Before(step.Since) {
			breach(ReadIsOld, "answered up to %d, entry %d was committed under %s %s before", step.Index, index, entry.by, step.Since.Sub(entry.at))
			return
		}
	}
}
