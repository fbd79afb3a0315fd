package consensus

import (
	"sync"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
	"github.com/sumactrestle/sumactrestle/internal/storage"
)

// Replica is one member's replica of a shard.
type Replica struct {
	node         *Node
	shard        ids.Shard
	stateMachine StateMachine

	// mu guards everything below, and the calls into stateMachine.
	mu      sync.Mutex
	changed chan struct{} // closed and replaced at each change
	// currentTerm is the highest term accepted, by a vote or from a leader. Messages
	// below it are rejected. It is persisted.
	currentTerm ids.Term
	log         replicaLog
	voters      Voters    // the newest ones in the log, committed or not
	votersIndex ids.Index // of the entry or snapshot that names voters
	election    electionState
	follower    followerState
	leadership  leadership
	transfer    snapshotTransfer
	proposals   map[ids.Index]proposal
}

// electionState is what decides whether and when this member campaigns.
type electionState struct {
	// highestTermNumber is the highest number heard of; a campaign must exceed it.
	highestTermNumber uint64
	// timerStart is when the election timer was last reset other than by a leader.
	timerStart time.Time
	// lastLeaderContact is when a leader was last heard; zero since the start of the process.
	lastLeaderContact time.Time
	// startedAt is when this replica was made; until a leader is heard its silence counts
	// from then.
	startedAt time.Time
	// isLeaderless says that the leader's silence has been reported.
	isLeaderless bool
	// isRemoved says that a voter answered that this member has no vote any more. It
	// does not campaign until a leader sends it entries again.
	isRemoved bool
}

// followerState is how far the log is known to equal that of a term's leader.
type followerState struct {
	// matchTerm is the term that was voted for or followed last in this process; zero
	// if there is none.
	matchTerm ids.Term
	// matchIndex is the last entry that the leader of matchTerm is known to have too.
	// Only entries up to it may be committed on the leader's word.
	matchIndex ids.Index
}

func newReplica(node *Node, shard ids.Shard, stateMachine StateMachine) *Replica {
	return &Replica{
		node:         node,
		shard:        shard,
		stateMachine: stateMachine,
		changed:      make(chan struct{}),
		log:          replicaLog{shard: shard},
		election:     electionState{timerStart: node.env.Now(), startedAt: node.env.Now()},
		leadership:   leadership{progress: map[rpc.Peer]*progress{}},
		proposals:    map[ids.Index]proposal{},
	}
}

// load reads the replica from the store. Gaps, unreadable records and entries above the
// current term are damage (StorageBroken).
func (r *Replica) load() error {
	if err := loadRecord(r.node.store, r.shard, currentTermKey, &r.currentTerm); err != nil {
		return err
	}
	if err := r.log.load(r.node.store, r.currentTerm); err != nil {
		return err
	}
	if state := r.log.snapshot.State; state != nil {
		if err := r.stateMachine.Restore(state); err != nil {
			return damaged(r.shard, "state: %v", err)
		}
	}
	r.updateVoters()
	return nil
}

// raiseTerm makes a higher term the current one and adds it to a batch.
func (r *Replica) raiseTerm(batch *storage.Batch, term ids.Term) {
	r.currentTerm = term
	r.follower = followerState{matchTerm: term}
	r.trace(TraceEvent{Kind: TraceTermRaised, Term: term})
	batch.Put(shardKey(r.shard, currentTermKey), encodeRecord(term))
}

// updateVoters takes the newest voters from the log.
func (r *Replica) updateVoters() {
	before := r.votersIndex
	last, _ := r.log.last()
	r.voters, r.votersIndex = r.log.votersAt(last)
	if before != r.votersIndex {
		r.logEvent(eventlog.ReplicasChanged, "members", r.voters.String(), "index", uint64(r.votersIndex))
	}
}

// currentVoters returns the newest voters.
func (r *Replica) currentVoters() Voters {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.voters
}

// hasStableVoters tells whether the newest voters are known to be committed.
func (r *Replica) hasStableVoters() bool { return r.log.committed >= r.votersIndex }

// installSnapshot replaces the state and the whole log by a snapshot.
func (r *Replica) installSnapshot(batch *storage.Batch, snapshot *rpc.Snapshot) error {
	if err := r.stateMachine.Restore(snapshot.State); err != nil {
		return rejected(r.shard, "snapshot: %v", err)
	}
	r.log.install(batch, snapshot)
	r.updateVoters()
	return nil
}

// mergeEntries merges a leader's entries into the log, and fails the proposals whose
// entries they displace.
func (r *Replica) mergeEntries(batch *storage.Batch, entries []rpc.Entry) error {
	displaced, err := r.log.merge(batch, entries)
	if err != nil {
		return err
	}
	if displaced > 0 {
		r.failProposals(displaced)
	}
	r.updateVoters()
	return nil
}

// advanceCommit commits up to an index, as far as the log goes, and applies what is newly
// committed.
func (r *Replica) advanceCommit(index ids.Index) {
	last, _ := r.log.last()
	index = min(index, last)
	if index <= r.log.committed {
		return
	}
	r.log.committed = index
	for r.log.applied < r.log.committed {
		entry := r.log.entry(r.log.applied + 1)
		r.log.applied++
		r.apply(entry)
	}
	if r.leadership.isLeader && !r.leadership.isServing && r.log.committed >= r.leadership.firstIndex {
		r.leadership.isServing, r.leadership.servingSince = true, r.node.env.Now()
		r.logEvent(eventlog.LeadershipAcquired, "term", r.currentTerm.String(), "commit", uint64(r.log.committed))
	}
	r.notifyChanged()
	r.maybeCompact()
}

// apply applies a committed entry and answers whoever proposed it.
func (r *Replica) apply(entry rpc.Entry) {
	r.trace(TraceEvent{
		Kind: TraceCommitted, Term: r.currentTerm, Index: entry.Index, EntryTerm: entry.Term, IsLeader: r.leadership.isLeader,
		IsMembershipChange: entry.Kind == entryMembershipChange, Voters: votersOf(entry),
	})
	var response any
	if entry.Kind == entryCommand {
		response = r.stateMachine.Apply(entry.Index, entry.Body)
	}
	r.resolveProposal(entry, response)
}

// notifyChanged wakes whoever waits for a change.
func (r *Replica) notifyChanged() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// logEvent logs an event of this shard.
func (r *Replica) logEvent(event eventlog.Event, fields ...any) {
	r.node.logEvent(event, append([]any{"shard", int(r.shard)}, fields...)...)
}

// IsLeader tells whether this member leads the shard, serving or not.
func (r *Replica) IsLeader() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leadership.isLeader
}

// IsServing tells whether this member leads the shard and has committed an entry of its
// own term, so that its state machine has everything that was acknowledged.
func (r *Replica) IsServing() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leadership.isServing
}

// LeadershipSince tells under which term and since when this member serves the shard.
func (r *Replica) LeadershipSince() (term ids.Term, since time.Time, isServing bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.currentTerm, r.leadership.servingSince, r.leadership.isServing
}

// Changed returns a channel that is closed at the next change of the replica: an entry
// appended or committed, an acknowledgement, or the end of a leadership.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Status is a replica as operators and metrics see it.
type Status struct {
	Shard           ids.Shard
	CurrentTerm     ids.Term
	CommitIndex     ids.Index
	LastIndex       ids.Index
	IsLeader        bool
	IsServing       bool
	Voters          []rpc.Peer
	OutgoingVoters  []rpc.Peer    // not empty while a membership change is under way
	ConfirmationAge time.Duration // of the leader's term; below zero if this member does not lead
}

// Status returns the replica's status.
func (r *Replica) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	last, _ := r.log.last()
	status := Status{
		Shard: r.shard, CurrentTerm: r.currentTerm, CommitIndex: r.log.committed, LastIndex: last,
		IsLeader: r.leadership.isLeader, IsServing: r.leadership.isServing,
		Voters: r.voters.Current, OutgoingVoters: r.voters.Outgoing, ConfirmationAge: -1,
	}
	if r.leadership.isLeader {
		status.ConfirmationAge = r.node.env.Since(r.confirmedAt())
	}
	return status
}
