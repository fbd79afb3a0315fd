package model

import (
	"fmt"
	"sync"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/consensus"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// Invariants that only running code can break, beside those that Explore checks.
const (
	VoteNotGranted       = "a vote counts that was not given for this term"
	ElectedWithoutQuorum = "a leader was elected by no quorum of its voters"
	TermDecreased        = "a disk has a lower term than before"
)

// Conformance holds the steps of running nodes against the invariants of the
// model, as they happen.
type Conformance struct {
	// OnBreach is called with every broken invariant.
	OnBreach func(invariant, detail string)

	mu     sync.Mutex
	shards map[ids.Shard]*observedShard
	steps  int
}

// observedShard is what the steps of one part have shown so far.
type observedShard struct {
	currentTerms    map[rpc.Peer]ids.Term
	leaders         map[ids.Term]rpc.Peer
	committed       map[ids.Index]committedEntry
	newestCommitted ids.Index // the highest index that a leader has committed
	voters          consensus.Voters
	votersIndex     ids.Index
}

type committedEntry struct {
	term        ids.Term // of the entry
	committedBy ids.Term // of the first leader that committed it; zero if only followers have
	at          time.Time
}

func newObserved() *observedShard {
	return &observedShard{currentTerms: map[rpc.Peer]ids.Term{}, leaders: map[ids.Term]rpc.Peer{}, committed: map[ids.Index]committedEntry{}}
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
	if c.shards == nil {
		c.shards = map[ids.Shard]*observedShard{}
	}
	o := c.shards[trace.Shard]
	if o == nil {
		o = newObserved()
		c.shards[trace.Shard] = o
	}
	breach := func(invariant, format string, args ...any) {
		c.OnBreach(invariant, fmt.Sprintf("shard %d, %s, term %s: ", trace.Shard, trace.Member.Name, trace.Term)+fmt.Sprintf(format, args...))
	}
	switch trace.Kind {
	case consensus.TraceTermRaised:
		o.observeTermRaised(trace, breach)
	case consensus.TraceVoted:
		o.observeVote(trace)
	case consensus.TraceElected:
		o.observeElection(trace, breach)
	case consensus.TraceCommitted:
		o.observeCommit(trace, breach)
	case consensus.TraceRead:
		o.observeRead(trace, breach)
	}
}

// Steps is how many steps were followed so far.
func (c *Conformance) Steps() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.steps
}

type breachFunc func(invariant, format string, args ...any)

// observeTermRaised demands that a disk forgets no vote; one that was not synced may be
// gone after a loss of power.
func (o *observedShard) observeTermRaised(step consensus.TraceEvent, breach breachFunc) {
	if step.Term.Less(o.currentTerms[step.Member]) {
		breach(TermDecreased, "it had %s", o.currentTerms[step.Member])
	}
}

// observeVote notes a synced vote; two that are synced at once come in any order.
func (o *observedShard) observeVote(step consensus.TraceEvent) {
	if o.currentTerms[step.Member].Less(step.Term) {
		o.currentTerms[step.Member] = step.Term
	}
}

func (o *observedShard) observeElection(step consensus.TraceEvent, breach breachFunc) {
	if other, isKnown := o.leaders[step.Term]; isKnown {
		breach(TwoLeadersInTerm, "it was %s's", other.Name)
	}
	o.leaders[step.Term] = step.Member
	if !step.Voters.HasQuorum(step.Granted) {
		breach(ElectedWithoutQuorum, "%v of %s", step.Granted, step.Voters)
	}
	for _, peer := range step.Granted {
		if o.currentTerms[peer].Less(step.Term) {
			breach(VoteNotGranted, "%s had %s", peer.Name, o.currentTerms[peer])
		}
	}
	for index, entry := range o.committed {
		if !entry.committedBy.Less(step.Term) || entry.committedBy == (ids.Term{}) {
			continue
		}
		if index > step.Index {
			breach(AcknowledgedEntryLost, "entry %d of %s, its log ends at %d", index, entry.term, step.Index)
		} else if has, isThere := step.TermAt(index); isThere && has != entry.term {
			breach(AcknowledgedEntryLost, "entry %d is of %s, not of %s", index, has, entry.term)
		}
	}
}

func (o *observedShard) observeCommit(step consensus.TraceEvent, breach breachFunc) {
	entry, isKnown := o.committed[step.Index]
	if isKnown && entry.term != step.EntryTerm {
		breach(CommittedEntriesDiffer, "entry %d is of %s, and of %s elsewhere", step.Index, step.EntryTerm, entry.term)
		return
	}
	if !isKnown {
		entry = committedEntry{term: step.EntryTerm, at: time.Now()}
	}
	if step.IsLeader && entry.committedBy == (ids.Term{}) {
		entry.committedBy, entry.at = step.Term, time.Now()
		o.newestCommitted = max(o.newestCommitted, step.Index)
	}
	o.committed[step.Index] = entry
	if step.IsMembershipChange && step.Index > o.votersIndex {
		if o.votersIndex > 0 && !consensus.QuorumsIntersect(o.voters, step.Voters) {
			breach(QuorumsDisjoint, "entry %d: %s after %s", step.Index, step.Voters, o.voters)
		}
		o.voters, o.votersIndex = step.Voters, step.Index
	}
}

// observeRead demands that what was committed before a read began is answered from.
func (o *observedShard) observeRead(step consensus.TraceEvent, breach breachFunc) {
	for index := o.newestCommitted; index > step.Index; index-- {
		if entry := o.committed[index]; entry.committedBy != (ids.Term{}) && entry.at.Before(step.Since) {
			breach(StaleRead, "answered up to %d, entry %d was committed under %s %s before", step.Index, index, entry.committedBy, step.Since.Sub(entry.at))
			return
		}
	}
}
