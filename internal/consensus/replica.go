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

	// mu guards the fields below and the calls into stateMachine.
	mu      sync.Mutex
	changed chan struct{} // closed and replaced at each change
	// currentTerm is the highest term accepted, by a vote or from a leader. Messages of lower
	// terms are rejected. It is persisted.
	currentTerm ids.Term
	log         replicaLog
	voters      Voters    // the newest in the log, committed or not
	votersIndex ids.Index // of the entry or snapshot that names voters
	election    electionState
	follower    followerState
	leadership  leadership
	transfer    snapshotTransfer
	proposals   map[ids.Index]proposal
}

// electionState determines whether and when this member campaigns.
type electionState struct {
	// highestTermNumber is the highest term number that other members reported; a campaign
	// must exceed it.
	highestTermNumber uint64
	// timerStart is when the election timer was last reset by an event other than a leader's
	// message.
	timerStart time.Time
	// lastLeaderContact is when a leader's message was last accepted; zero if none was since
	// the process started.
	lastLeaderContact time.Time
	// startedAt is when this replica was created. The time without a leader counts from here
	// until there has been contact with one.
	startedAt time.Time
	// isLeaderless is set while the shard is reported as having no leader.
	isLeaderless bool
	// isRemoved is set when a voter answered that this member is no longer a voter. The member
	// does not campaign until a leader sends it entries or a snapshot.
	isRemoved bool
}

// followerState is the prefix of the log that is known to match the leader's.
type followerState struct {
	// matchTerm is the term that this process last voted for or followed; zero if none.
	matchTerm ids.Term
	// matchIndex is the last entry known to be in the log of matchTerm's leader too. A
	// leader's commit index takes effect only up to it.
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

// load reads the replica from the store. The error is StorageBroken for gaps, unreadable
// records and entries of a term above the current one.
func (r *Replica) load() error {
	if err := loadRecord(r.node.store, r.shard, currentTermKey, &r.currentTerm); err != nil {
		return err
	}
	if err := r.log.load(r.node.store, r.currentTerm); err != nil {
		return err
	}
	if state := r.log.snapshot.State; state != nil {
		if err := r.stateMachine.Restore(state); err != nil {
			return storageBrokenError(r.shard, "state: %v", err)
		}
	}
	r.updateVoters()
	return nil
}

// raiseTerm sets a higher current term and adds it to the batch.
func (r *Replica) raiseTerm(batch *storage.Batch, term ids.Term) {
	r.currentTerm = term
	r.follower = followerState{matchTerm: term}
	r.trace(TraceEvent{Kind: TraceTermRaised, Term: term})
	batch.Put(shardKey(r.shard, currentTermKey), encodeRecord(term))
}

// updateVoters sets voters from the newest membership change in the log, and logs a change.
func (r *Replica) updateVoters() {
	previousIndex := r.votersIndex
	last, _ := r.log.last()
	r.voters, r.votersIndex = r.log.votersAt(last)
	if previousIndex != r.votersIndex {
		r.logEvent(eventlog.ReplicasChanged, "members", r.voters.String(), "index", uint64(r.votersIndex))
	}
}

// currentVoters returns the newest voters, committed or not.
func (r *Replica) currentVoters() Voters {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.voters
}

// hasCommittedVoters reports whether the newest voters are known to be committed.
func (r *Replica) hasCommittedVoters() bool { return r.log.committed >= r.votersIndex }

// installSnapshot replaces the state machine's state and the whole log by a snapshot.
func (r *Replica) installSnapshot(batch *storage.Batch, snapshot *rpc.Snapshot) error {
	if err := r.stateMachine.Restore(snapshot.State); err != nil {
		return invalidMessageError(r.shard, "snapshot: %v", err)
	}
	r.log.install(batch, snapshot)
	r.updateVoters()
	return nil
}

// mergeEntries merges a leader's entries into the log, and fails the proposals whose
// entries they replace.
func (r *Replica) mergeEntries(batch *storage.Batch, entries []rpc.Entry) error {
	firstReplaced, err := r.log.merge(batch, entries)
	if err != nil {
		return err
	}
	if firstReplaced > 0 {
		r.failProposals(firstReplaced)
	}
	r.updateVoters()
	return nil
}

// advanceCommit raises the commit index to index, or to the end of the log if that is lower,
// and applies the newly committed entries.
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

// apply applies a committed entry and resolves its proposal.
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

// notifyChanged wakes the goroutines that wait on Changed.
func (r *Replica) notifyChanged() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// logEvent logs an event with the shard's number.
func (r *Replica) logEvent(event eventlog.Event, fields ...any) {
	r.node.logEvent(event, append([]any{"shard", int(r.shard)}, fields...)...)
}

// IsLeader reports whether this member is the shard's leader, even if it does not serve yet.
func (r *Replica) IsLeader() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leadership.isLeader
}

// IsServing reports whether this member is the shard's leader and has committed an entry of
// its own term, so that its state machine contains every acknowledged write.
func (r *Replica) IsServing() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leadership.isServing
}

// LeadershipSince returns the current term and since when this member has served the shard;
// since is meaningful only if isServing is true.
func (r *Replica) LeadershipSince() (term ids.Term, since time.Time, isServing bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.currentTerm, r.leadership.servingSince, r.leadership.isServing
}

// Changed returns a channel that is closed at the next change of the replica: an appended or
// committed entry, a member's acknowledgement, or the end of its leadership.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Status is a summary of a replica for operators and metrics.
type Status struct {
	Shard           ids.Shard
	CurrentTerm     ids.Term
	CommitIndex     ids.Index
	LastIndex       ids.Index
	IsLeader        bool
	IsServing       bool
	Voters          []rpc.Peer
	OutgoingVoters  []rpc.Peer    // empty unless a membership change is in progress
	ConfirmationAge time.Duration // time since a quorum confirmed the leader's term; -1 if not leader
}

// Status returns the current status.
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
