// A Part is one replicated part on one member: its promised term, its log above
// a snapshot, its commit, and, while this member owns it, how far each other
// member has synced. Memory runs ahead of the disk only in the order in which
// batches are handed to the store; whatever is told to others waits for that.
package consensus

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
	"github.com/sumactrestle/sumactrestle/internal/storage"
)

// Kinds of entries that are the part's own; all others are the machine's.
const (
	entryEmpty            = "own"   // the first entry of an owner, and barriers
	entryMembershipChange = "group" // the voters from here on
)

type proposal struct {
	term ids.Term
	done chan any
}

// Replica is one part on one member.
type Replica struct {
	node         *Node
	shard        ids.Shard
	stateMachine StateMachine

	mu                 sync.Mutex
	changed            chan struct{}
	currentTerm        ids.Term
	highestTermNumber  uint64
	snapshot           rpc.Snapshot
	entries            []rpc.Entry
	commitIndex        ids.Index
	appliedIndex       ids.Index
	voters             Voters
	votersIndex        ids.Index
	leaderMatchIndex   ids.Index
	leaderMatchTerm    ids.Term
	lastLeaderContact  time.Time
	electionTimerStart time.Time

	isRemoved         bool // was told to be no member any more
	isLeader          bool
	isServing         bool
	servingSince      time.Time
	firstOwnIndex     ids.Index
	leaderCtx         context.Context
	cancelLeadership  context.CancelFunc
	matchIndex        map[rpc.Peer]ids.Index
	lastAck           map[rpc.Peer]time.Time
	replicating       map[rpc.Peer]bool
	lastProgress      map[rpc.Peer]time.Time // when each member last got something new
	snapshotsInFlight int                    // snapshots on their way to members
	packedSnapshot    *packedSnapshot
	isCompacting      bool
	retained          []rpc.Entry // the newest entries that the snapshot holds
	incomingSnapshot  *incomingSnapshot
	proposals         map[ids.Index]proposal
}

func newReplica(node *Node, shard ids.Shard, stateMachine StateMachine) *Replica {
	return &Replica{node: node, shard: shard, stateMachine: stateMachine, changed: make(chan struct{}), electionTimerStart: node.env.Now(), proposals: map[ids.Index]proposal{}}
}

func (r *Replica) key(kind string) string { return fmt.Sprintf("p/%02d/%s", r.shard, kind) }
func (r *Replica) entryKey(index ids.Index) string {
	return r.key(fmt.Sprintf("e/%016x", uint64(index)))
}

// load reads the part from the store and checks that nothing is missing.
func (r *Replica) load() error {
	readRecord := func(kind string, target any) error {
		raw, err := r.node.store.Get(r.key(kind))
		if err != nil || raw == nil {
			return err
		}
		return json.Unmarshal(raw, target)
	}
	if err := readRecord("promised", &r.currentTerm); err != nil {
		return errcode.New(errcode.StorageBroken, "part %d: promise: %v", r.shard, err)
	}
	if err := readRecord("base", &r.snapshot); err != nil {
		return errcode.New(errcode.StorageBroken, "part %d: snapshot: %v", r.shard, err)
	}
	if r.snapshot.State != nil {
		if err := r.stateMachine.Restore(r.snapshot.State); err != nil {
			return errcode.New(errcode.StorageBroken, "part %d: state: %v", r.shard, err)
		}
	}
	next := r.snapshot.Index + 1
	err := r.node.store.Scan(r.key("e/"), func(key string, value []byte) error {
		var e rpc.Entry
		if err := json.Unmarshal(value, &e); err != nil {
			return errcode.New(errcode.StorageBroken, "part %d: %s: %v", r.shard, key, err)
		}
		if e.Index != next {
			return errcode.New(errcode.StorageBroken, "part %d: entry %d stands where %d should", r.shard, e.Index, next)
		}
		if r.currentTerm.Less(e.Term) {
			return errcode.New(errcode.StorageBroken, "part %d: entry %d is above the promise", r.shard, e.Index)
		}
		r.entries = append(r.entries, e)
		next++
		return nil
	})
	if err != nil {
		return err
	}
	r.commitIndex, r.appliedIndex = r.snapshot.Index, r.snapshot.Index
	r.updateVoters()
	return nil
}

// updateVoters finds the newest voters in the log.
func (r *Replica) updateVoters() {
	before := r.votersIndex
	last, _ := r.lastEntry()
	r.voters, r.votersIndex = r.votersAsOf(last)
	if before != r.votersIndex {
		r.node.log(eventlog.GroupChanged, "part", int(r.shard), "members", r.voters.String(), "index", uint64(r.votersIndex))
	}
}

// votersAsOf is the voters that the log names at an index, and where it does.
func (r *Replica) votersAsOf(index ids.Index) (Voters, ids.Index) {
	for i := int(index - r.snapshot.Index); i > 0; i-- {
		if e := r.entries[i-1]; e.Kind == entryMembershipChange {
			return Voters{Current: e.Voters, Outgoing: e.OutgoingVoters}, e.Index
		}
	}
	return Voters{Current: r.snapshot.Voters, Outgoing: r.snapshot.OutgoingVoters}, r.snapshot.Index
}

// checkMembershipSteps refuses entries that don't follow one another, or of which one changes
// the voters by more than a step.
func (r *Replica) checkMembershipSteps(after ids.Index, entries []rpc.Entry) error {
	voters, _ := r.votersAsOf(after)
	for i, e := range entries {
		if e.Index != after+1+ids.Index(i) {
			return errcode.New(errcode.BadMessage, "part %d: entry %d stands where %d should", r.shard, e.Index, after+1+ids.Index(i))
		}
		next := Voters{Current: e.Voters, Outgoing: e.OutgoingVoters}
		if e.Kind != entryMembershipChange {
			continue
		}
		if !voters.canBecome(next) {
			return errcode.New(errcode.BadMessage, "part %d: entry %d skips a step from %s to %s", r.shard, e.Index, voters, next)
		}
		voters = next
	}
	return nil
}

func (r *Replica) lastEntry() (ids.Index, ids.Term) {
	if n := len(r.entries); n > 0 {
		return r.entries[n-1].Index, r.entries[n-1].Term
	}
	return r.snapshot.Index, r.snapshot.Term
}

// termAt is the entry's term; false if it is not in the log.
func (r *Replica) termAt(index ids.Index) (ids.Term, bool) {
	if index == r.snapshot.Index {
		return r.snapshot.Term, true
	}
	if index < r.snapshot.Index || index > r.snapshot.Index+ids.Index(len(r.entries)) {
		return ids.Term{}, false
	}
	return r.entries[index-r.snapshot.Index-1].Term, true
}

// entriesAfter is a copy of the entries above an index, which is in the log.
func (r *Replica) entriesAfter(index ids.Index) []rpc.Entry {
	if index < r.snapshot.Index {
		index = r.snapshot.Index
	}
	return append([]rpc.Entry(nil), r.entries[index-r.snapshot.Index:]...)
}

func (r *Replica) notifyChanged() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// putCurrentTerm and the other put verbs add to a batch what memory now says.
func (r *Replica) putCurrentTerm(batch *storage.Batch) {
	raw, _ := json.Marshal(r.currentTerm)
	batch.Put(r.key("promised"), raw)
}

func (r *Replica) putEntries(batch *storage.Batch, entries []rpc.Entry) {
	for _, e := range entries {
		raw, _ := json.Marshal(e)
		batch.Put(r.entryKey(e.Index), raw)
	}
}

// truncateAfter drops the entries above an index, on disk too.
func (r *Replica) truncateAfter(batch *storage.Batch, index ids.Index) {
	for _, e := range r.entries[index-r.snapshot.Index:] {
		batch.Delete(r.entryKey(e.Index))
	}
	r.entries = append([]rpc.Entry(nil), r.entries[:index-r.snapshot.Index]...)
}

// installSnapshot replaces everything below and including a snapshot's index.
func (r *Replica) installSnapshot(batch *storage.Batch, s *rpc.Snapshot) error {
	if err := r.stateMachine.Restore(s.State); err != nil {
		return errcode.New(errcode.BadMessage, "part %d: snapshot: %v", r.shard, err)
	}
	r.truncateAfter(batch, r.snapshot.Index)
	r.snapshot, r.retained = *s, nil
	raw, _ := json.Marshal(r.snapshot)
	batch.Put(r.key("base"), raw)
	r.commitIndex, r.appliedIndex = s.Index, s.Index
	r.updateVoters()
	return nil
}

// mergeEntries writes entries that follow prev into the log; those already there
// under the same term stay, the first that differs cuts all after it.
func (r *Replica) mergeEntries(batch *storage.Batch, entries []rpc.Entry) error {
	for i, e := range entries {
		if e.Index <= r.snapshot.Index {
			continue
		}
		term, found := r.termAt(e.Index)
		if found && term == e.Term {
			continue
		}
		if last, _ := r.lastEntry(); e.Index > last+1 {
			return errcode.New(errcode.BadMessage, "part %d: entry %d does not follow %d", r.shard, e.Index, last)
		}
		if err := r.checkMembershipSteps(e.Index-1, entries[i:]); err != nil {
			return err
		}
		if found {
			if e.Index <= r.commitIndex {
				return errcode.New(errcode.Internal, "part %d: entry %d is committed and differs", r.shard, e.Index)
			}
			r.truncateAfter(batch, e.Index-1)
			r.failProposals(e.Index)
		}
		r.entries = append(r.entries, entries[i:]...)
		r.putEntries(batch, entries[i:])
		break
	}
	r.updateVoters()
	return nil
}

func (r *Replica) failProposals(from ids.Index) {
	for index, waiting := range r.proposals {
		if index >= from {
			close(waiting.done)
			delete(r.proposals, index)
		}
	}
}

// advanceCommit moves the commit and folds what it now covers.
func (r *Replica) advanceCommit(commit ids.Index) {
	if last, _ := r.lastEntry(); commit > last {
		commit = last
	}
	if commit <= r.commitIndex {
		return
	}
	r.commitIndex = commit
	for r.appliedIndex < r.commitIndex {
		e := r.entries[r.appliedIndex-r.snapshot.Index]
		r.appliedIndex++
		r.trace(TraceEvent{Kind: TraceCommitted, Term: r.currentTerm, Index: e.Index, EntryTerm: e.Term, IsLeader: r.isLeader, IsMembershipChange: e.Kind == entryMembershipChange, Voters: Voters{Current: e.Voters, Outgoing: e.OutgoingVoters}})
		var response any
		if e.Kind == "" {
			response = r.stateMachine.Apply(e.Index, e.Body)
		}
		if waiting, ok := r.proposals[e.Index]; ok {
			delete(r.proposals, e.Index)
			if waiting.term == e.Term {
				waiting.done <- response
			} else {
				close(waiting.done)
			}
		}
	}
	if r.isLeader && !r.isServing && r.commitIndex >= r.firstOwnIndex {
		r.isServing, r.servingSince = true, r.node.env.Now()
		r.node.log(eventlog.PartOwned, "part", int(r.shard), "term", r.currentTerm.String(), "commit", uint64(r.commitIndex))
	}
	r.notifyChanged()
	r.maybeCompact()
}

// maybeCommit commits what a majority has synced under the owner's own term.
func (r *Replica) maybeCommit() {
	if !r.isLeader {
		return
	}
	index := ids.Index(r.voters.QuorumValue(func(peer rpc.Peer) int64 { return int64(r.matchIndex[peer]) }))
	if term, ok := r.termAt(index); ok && term == r.currentTerm && index > r.commitIndex {
		r.advanceCommit(index)
	}
}

func (r *Replica) IsLeader() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isLeader
}

func (r *Replica) IsServing() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isServing
}

// LeadershipSince tells since when this member serves the part, and under which term.
func (r *Replica) LeadershipSince() (ids.Term, time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.currentTerm, r.servingSince, r.isServing
}

// Changed is closed at the next change of the part.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Status is what the shell shows of a part.
type Status struct {
	Shard           ids.Shard
	CurrentTerm     ids.Term
	CommitIndex     ids.Index
	LastIndex       ids.Index
	IsLeader        bool
	IsServing       bool
	Voters          []rpc.Peer
	OutgoingVoters  []rpc.Peer // not empty while a change of members is under way
	ConfirmationAge time.Duration
}

func (r *Replica) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	last, _ := r.lastEntry()
	status := Status{Shard: r.shard, CurrentTerm: r.currentTerm, CommitIndex: r.commitIndex, LastIndex: last, IsLeader: r.isLeader, IsServing: r.isServing, Voters: r.voters.Current, OutgoingVoters: r.voters.Outgoing, ConfirmationAge: -1}
	if r.isLeader {
		status.ConfirmationAge = r.node.env.Since(r.confirmedAt())
	}
	return status
}
