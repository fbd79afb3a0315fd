package model

import (
	"fmt"
	"sync"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/consensus"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// Invariants checked only on running nodes, in addition to those that Explore checks.
const (
	VoteNotGranted       = "a counted vote was not granted for this term"
	ElectedWithoutQuorum = "a leader was elected without a quorum of its voters"
	TermDecreased        = "a member's persisted term decreased"
)

// Conformance checks the steps of running nodes against the invariants of the model as they
// happen. It may be used by several goroutines.
type Conformance struct {
	// OnViolation is called for each violation of an invariant, with the lock held.
	OnViolation func(invariant, detail string)

	mu     sync.Mutex
	shards map[ids.Shard]*observedShard
	steps  int
}

// observedShard is what has been observed of one shard.
type observedShard struct {
	currentTerms     map[rpc.Peer]ids.Term
	leaders          map[ids.Term]rpc.Peer
	committed        map[ids.Index]committedEntry
	highestCommitted ids.Index // the highest index that a leader has committed
	voters           consensus.Voters
	votersIndex      ids.Index
}

type committedEntry struct {
	term        ids.Term // of the entry
	committedBy ids.Term // of the first leader that committed it; zero if only followers have committed it
	committedAt time.Time
}

func newObservedShard() *observedShard {
	return &observedShard{currentTerms: map[rpc.Peer]ids.Term{}, leaders: map[ids.Term]rpc.Peer{}, committed: map[ids.Index]committedEntry{}}
}

// Observe checks one step of a node. Values other than a consensus.TraceEvent are ignored.
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
	shard := c.shards[trace.Shard]
	if shard == nil {
		shard = newObservedShard()
		c.shards[trace.Shard] = shard
	}
	reportViolation := func(invariant, format string, args ...any) {
		c.OnViolation(invariant, fmt.Sprintf("shard %d, %s, term %s: ", trace.Shard, trace.Member.Name, trace.Term)+fmt.Sprintf(format, args...))
	}
	switch trace.Kind {
	case consensus.TraceTermRaised:
		shard.observeTermRaised(trace, reportViolation)
	case consensus.TraceVoted:
		shard.observeVote(trace)
	case consensus.TraceElected:
		shard.observeElection(trace, reportViolation)
	case consensus.TraceCommitted:
		shard.observeCommit(trace, reportViolation)
	case consensus.TraceRead:
		shard.observeRead(trace, reportViolation)
	}
}

// Steps returns how many steps were checked.
func (c *Conformance) Steps() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.steps
}

type reportFunc func(invariant, format string, args ...any)

// observeTermRaised checks that a member's term is not below its last synced vote. A vote that
// was not synced may be lost in a power failure.
func (o *observedShard) observeTermRaised(step consensus.TraceEvent, reportViolation reportFunc) {
	if step.Term.Less(o.currentTerms[step.Member]) {
		reportViolation(TermDecreased, "the synced term was %s", o.currentTerms[step.Member])
	}
}

// observeVote records a synced vote. Two votes synced together may be observed in any order.
func (o *observedShard) observeVote(step consensus.TraceEvent) {
	if o.currentTerms[step.Member].Less(step.Term) {
		o.currentTerms[step.Member] = step.Term
	}
}

func (o *observedShard) observeElection(step consensus.TraceEvent, reportViolation reportFunc) {
	if other, isKnown := o.leaders[step.Term]; isKnown {
		reportViolation(TwoLeadersInTerm, "%s was already elected", other.Name)
	}
	o.leaders[step.Term] = step.Member
	if !step.Voters.HasQuorum(step.Granted) {
		reportViolation(ElectedWithoutQuorum, "votes of %v, voters %s", step.Granted, step.Voters)
	}
	for _, peer := range step.Granted {
		if o.currentTerms[peer].Less(step.Term) {
			reportViolation(VoteNotGranted, "%s has synced term %s", peer.Name, o.currentTerms[peer])
		}
	}
	for index, entry := range o.committed {
		if !entry.committedBy.Less(step.Term) || entry.committedBy == (ids.Term{}) {
			continue
		}
		if index > step.Index {
			reportViolation(AcknowledgedEntryLost, "entry %d of term %s is missing, the log ends at %d", index, entry.term, step.Index)
		} else if logTerm, isInLog := step.TermAt(index); isInLog && logTerm != entry.term {
			reportViolation(AcknowledgedEntryLost, "entry %d has term %s, want %s", index, logTerm, entry.term)
		}
	}
}

func (o *observedShard) observeCommit(step consensus.TraceEvent, reportViolation reportFunc) {
	entry, isKnown := o.committed[step.Index]
	if isKnown && entry.term != step.EntryTerm {
		reportViolation(CommittedEntriesDiffer, "entry %d has term %s, on another member %s", step.Index, step.EntryTerm, entry.term)
		return
	}
	if !isKnown {
		entry = committedEntry{term: step.EntryTerm, committedAt: time.Now()}
	}
	if step.IsLeader && entry.committedBy == (ids.Term{}) {
		entry.committedBy, entry.committedAt = step.Term, time.Now()
		o.highestCommitted = max(o.highestCommitted, step.Index)
	}
	o.committed[step.Index] = entry
	if step.IsMembershipChange && step.Index > o.votersIndex {
		if o.votersIndex > 0 && !consensus.QuorumsIntersect(o.voters, step.Voters) {
			reportViolation(QuorumsDisjoint, "entry %d: voters %s follow %s", step.Index, step.Voters, o.voters)
		}
		o.voters, o.votersIndex = step.Voters, step.Index
	}
}

// observeRead checks that a read reflects every entry that was committed before it began.
func (o *observedShard) observeRead(step consensus.TraceEvent, reportViolation reportFunc) {
	for index := o.highestCommitted; index > step.Index; index-- {
		if entry := o.committed[index]; entry.committedBy != (ids.Term{}) && entry.committedAt.Before(step.Since) {
			reportViolation(StaleRead, "read at index %d, entry %d was committed in term %s %s before the read began", step.Index, index, entry.committedBy, step.Since.Sub(entry.committedAt))
			return
		}
	}
}
