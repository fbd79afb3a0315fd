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
	ownEntry   = "own"   // the first entry of an owner, and barriers
	groupEntry = "group" // the voters from here on
)

type waiter struct {
	term ids.Term
	done chan any
}

// Part is one part on one member.
type Part struct {
	p       *Node
	no      ids.Part
	machine Machine

	mu       sync.Mutex
	change   chan struct{}
	promised ids.Term
	seen     uint64
	base     rpc.Snapshot
	entries  []rpc.Entry
	commit   ids.Stamp
	applied  ids.Stamp
	voters   Voters
	votersAt ids.Stamp
	matched  ids.Stamp
	matchIn  ids.Term
	heard    time.Time
	since    time.Time

	isOutside   bool // was told to be no member any more
	isOwner     bool
	isServing   bool
	served      time.Time
	began       ids.Stamp
	ctx         context.Context
	end         context.CancelFunc
	match       map[rpc.Peer]ids.Stamp
	acks        map[rpc.Peer]time.Time
	replicating map[rpc.Peer]bool
	progress    map[rpc.Peer]time.Time // when each member last got something new
	sending     int                    // snapshots on their way to members
	sent        *packedSnapshot
	isFolding   bool
	tail        []rpc.Entry // the newest entries that the snapshot holds
	incoming    *incoming
	waiters     map[ids.Stamp]waiter
}

func newPart(p *Node, no ids.Part, machine Machine) *Part {
	return &Part{p: p, no: no, machine: machine, change: make(chan struct{}), since: p.r.Now(), waiters: map[ids.Stamp]waiter{}}
}

func (t *Part) key(kind string) string { return fmt.Sprintf("p/%02d/%s", t.no, kind) }
func (t *Part) entryKey(index ids.Stamp) string {
	return t.key(fmt.Sprintf("e/%016x", uint64(index)))
}

// load reads the part from the store and checks that nothing is missing.
func (t *Part) load() error {
	read := func(kind string, into any) error {
		raw, err := t.p.store.Get(t.key(kind))
		if err != nil || raw == nil {
			return err
		}
		return json.Unmarshal(raw, into)
	}
	if err := read("promised", &t.promised); err != nil {
		return errcode.New(errcode.StorageBroken, "part %d: promise: %v", t.no, err)
	}
	if err := read("base", &t.base); err != nil {
		return errcode.New(errcode.StorageBroken, "part %d: snapshot: %v", t.no, err)
	}
	if t.base.State != nil {
		if err := t.machine.Load(t.base.State); err != nil {
			return errcode.New(errcode.StorageBroken, "part %d: state: %v", t.no, err)
		}
	}
	next := t.base.Index + 1
	err := t.p.store.Walk(t.key("e/"), func(key string, value []byte) error {
		var e rpc.Entry
		if err := json.Unmarshal(value, &e); err != nil {
			return errcode.New(errcode.StorageBroken, "part %d: %s: %v", t.no, key, err)
		}
		if e.Index != next {
			return errcode.New(errcode.StorageBroken, "part %d: entry %d stands where %d should", t.no, e.Index, next)
		}
		if t.promised.Less(e.Term) {
			return errcode.New(errcode.StorageBroken, "part %d: entry %d is above the promise", t.no, e.Index)
		}
		t.entries = append(t.entries, e)
		next++
		return nil
	})
	if err != nil {
		return err
	}
	t.commit, t.applied = t.base.Index, t.base.Index
	t.refreshVoters()
	return nil
}

// refreshVoters finds the newest voters in the log.
func (t *Part) refreshVoters() {
	before := t.votersAt
	last, _ := t.last()
	t.voters, t.votersAt = t.votersAsOf(last)
	if before != t.votersAt {
		t.p.say(eventlog.GroupChanged, "part", int(t.no), "members", t.voters.String(), "index", uint64(t.votersAt))
	}
}

// votersAsOf is the voters that the log names at an index, and where it does.
func (t *Part) votersAsOf(index ids.Stamp) (Voters, ids.Stamp) {
	for i := int(index - t.base.Index); i > 0; i-- {
		if e := t.entries[i-1]; e.Kind == groupEntry {
			return Voters{Current: e.Group, Former: e.Former}, e.Index
		}
	}
	return Voters{Current: t.base.Group, Former: t.base.Former}, t.base.Index
}

// checkSteps refuses entries that don't follow one another, or of which one changes
// the voters by more than a step.
func (t *Part) checkSteps(after ids.Stamp, entries []rpc.Entry) error {
	voters, _ := t.votersAsOf(after)
	for i, e := range entries {
		if e.Index != after+1+ids.Stamp(i) {
			return errcode.New(errcode.BadMessage, "part %d: entry %d stands where %d should", t.no, e.Index, after+1+ids.Stamp(i))
		}
		next := Voters{Current: e.Group, Former: e.Former}
		if e.Kind != groupEntry {
			continue
		}
		if !voters.mayBecome(next) {
			return errcode.New(errcode.BadMessage, "part %d: entry %d skips a step from %s to %s", t.no, e.Index, voters, next)
		}
		voters = next
	}
	return nil
}

func (t *Part) last() (ids.Stamp, ids.Term) {
	if n := len(t.entries); n > 0 {
		return t.entries[n-1].Index, t.entries[n-1].Term
	}
	return t.base.Index, t.base.Term
}

// at is the entry's term; false if it is not in the log.
func (t *Part) at(index ids.Stamp) (ids.Term, bool) {
	if index == t.base.Index {
		return t.base.Term, true
	}
	if index < t.base.Index || index > t.base.Index+ids.Stamp(len(t.entries)) {
		return ids.Term{}, false
	}
	return t.entries[index-t.base.Index-1].Term, true
}

// after is a copy of the entries above an index, which is in the log.
func (t *Part) after(index ids.Stamp) []rpc.Entry {
	if index < t.base.Index {
		index = t.base.Index
	}
	return append([]rpc.Entry(nil), t.entries[index-t.base.Index:]...)
}

func (t *Part) notify() {
	close(t.change)
	t.change = make(chan struct{})
}

// putPromise and the other put verbs add to a batch what memory now says.
func (t *Part) putPromise(w *storage.Batch) {
	raw, _ := json.Marshal(t.promised)
	w.Put(t.key("promised"), raw)
}

func (t *Part) putEntries(w *storage.Batch, entries []rpc.Entry) {
	for _, e := range entries {
		raw, _ := json.Marshal(e)
		w.Put(t.entryKey(e.Index), raw)
	}
}

// cut drops the entries above an index, on disk too.
func (t *Part) cut(w *storage.Batch, index ids.Stamp) {
	for _, e := range t.entries[index-t.base.Index:] {
		w.Delete(t.entryKey(e.Index))
	}
	t.entries = append([]rpc.Entry(nil), t.entries[:index-t.base.Index]...)
}

// install replaces everything below and including a snapshot's index.
func (t *Part) install(w *storage.Batch, s *rpc.Snapshot) error {
	if err := t.machine.Load(s.State); err != nil {
		return errcode.New(errcode.BadMessage, "part %d: snapshot: %v", t.no, err)
	}
	t.cut(w, t.base.Index)
	t.base, t.tail = *s, nil
	raw, _ := json.Marshal(t.base)
	w.Put(t.key("base"), raw)
	t.commit, t.applied = s.Index, s.Index
	t.refreshVoters()
	return nil
}

// adopt writes entries that follow prev into the log; those already there
// under the same term stay, the first that differs cuts all after it.
func (t *Part) adopt(w *storage.Batch, entries []rpc.Entry) error {
	for i, e := range entries {
		if e.Index <= t.base.Index {
			continue
		}
		term, isThere := t.at(e.Index)
		if isThere && term == e.Term {
			continue
		}
		if last, _ := t.last(); e.Index > last+1 {
			return errcode.New(errcode.BadMessage, "part %d: entry %d does not follow %d", t.no, e.Index, last)
		}
		if err := t.checkSteps(e.Index-1, entries[i:]); err != nil {
			return err
		}
		if isThere {
			if e.Index <= t.commit {
				return errcode.New(errcode.Internal, "part %d: entry %d is committed and differs", t.no, e.Index)
			}
			t.cut(w, e.Index-1)
			t.failWaiters(e.Index)
		}
		t.entries = append(t.entries, entries[i:]...)
		t.putEntries(w, entries[i:])
		break
	}
	t.refreshVoters()
	return nil
}

func (t *Part) failWaiters(from ids.Stamp) {
	for index, wait := range t.waiters {
		if index >= from {
			close(wait.done)
			delete(t.waiters, index)
		}
	}
}

// advance moves the commit and folds what it now covers.
func (t *Part) advance(commit ids.Stamp) {
	if last, _ := t.last(); commit > last {
		commit = last
	}
	if commit <= t.commit {
		return
	}
	t.commit = commit
	for t.applied < t.commit {
		e := t.entries[t.applied-t.base.Index]
		t.applied++
		t.trace(Trace{Kind: TraceCommitted, Term: t.promised, Index: e.Index, EntryTerm: e.Term, IsOwner: t.isOwner, IsChange: e.Kind == groupEntry, Voters: Voters{Current: e.Group, Former: e.Former}})
		var receipt any
		if e.Kind == "" {
			receipt = t.machine.Apply(e.Index, e.Body)
		}
		if wait, ok := t.waiters[e.Index]; ok {
			delete(t.waiters, e.Index)
			if wait.term == e.Term {
				wait.done <- receipt
			} else {
				close(wait.done)
			}
		}
	}
	if t.isOwner && !t.isServing && t.commit >= t.began {
		t.isServing, t.served = true, t.p.r.Now()
		t.p.say(eventlog.PartOwned, "part", int(t.no), "term", t.promised.String(), "commit", uint64(t.commit))
	}
	t.notify()
	t.fold()
}

// count commits what a majority has synced under the owner's own term.
func (t *Part) count() {
	if !t.isOwner {
		return
	}
	index := ids.Stamp(t.voters.Reached(func(peer rpc.Peer) int64 { return int64(t.match[peer]) }))
	if term, ok := t.at(index); ok && term == t.promised && index > t.commit {
		t.advance(index)
	}
}

func (t *Part) IsOwner() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isOwner
}

func (t *Part) IsServing() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isServing
}

// Serving tells since when this member serves the part, and under which term.
func (t *Part) Serving() (ids.Term, time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.promised, t.served, t.isServing
}

// Watch is closed at the next change of the part.
func (t *Part) Watch() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.change
}

// Status is what the shell shows of a part.
type Status struct {
	Part      ids.Part
	Promised  ids.Term
	Commit    ids.Stamp
	Last      ids.Stamp
	IsOwner   bool
	IsServing bool
	Group     []rpc.Peer
	Former    []rpc.Peer // not empty while a change of members is under way
	Age       time.Duration
}

func (t *Part) Status() Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	last, _ := t.last()
	o := Status{Part: t.no, Promised: t.promised, Commit: t.commit, Last: last, IsOwner: t.isOwner, IsServing: t.isServing, Group: t.voters.Current, Former: t.voters.Former, Age: -1}
	if t.isOwner {
		o.Age = t.p.r.Since(t.confirmed())
	}
	return o
}
