package consensus

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
	"github.com/sumactrestle/sumactrestle/internal/storage"
)

// Kinds of entries.
const (
	entryCommand          = ""      // a command of the state machine
	entryEmpty            = "own"   // the first entry of a leader, and barriers
	entryMembershipChange = "group" // names the voters from this entry on
)

// Keys of a shard's records in the store.
const (
	currentTermKey = "promised"
	snapshotKey    = "base"
	entryKeyPrefix = "e/"
)

// replicaLog is a replica's log: a snapshot and the entries above it. Its methods change
// memory at once and add the same change to a batch; the caller submits the batch.
type replicaLog struct {
	shard    ids.Shard
	snapshot rpc.Snapshot
	entries  []rpc.Entry // entries[i] has the index snapshot.Index+1+i
	// retained is the newest entries that the snapshot covers, in memory only, for
	// members that are a little behind.
	retained  []rpc.Entry
	committed ids.Index
	applied   ids.Index // at most committed
}

func shardKey(shard ids.Shard, kind string) string { return fmt.Sprintf("p/%02d/%s", shard, kind) }

func (l *replicaLog) entryKey(index ids.Index) string {
	return shardKey(l.shard, fmt.Sprintf("%s%016x", entryKeyPrefix, uint64(index)))
}

// encodeRecord encodes a term, an entry or a snapshot; their types always can be.
func encodeRecord(record any) []byte {
	raw, _ := json.Marshal(record)
	return raw
}

// loadRecord reads one of a shard's records into target, which stays as it is if there is none.
func loadRecord(store *storage.Store, shard ids.Shard, kind string, target any) error {
	raw, err := store.Get(shardKey(shard, kind))
	if err == nil && raw != nil {
		err = json.Unmarshal(raw, target)
	}
	if err != nil {
		return damaged(shard, "%s: %v", kind, err)
	}
	return nil
}

// damaged is the error for a store whose records can't be right.
func damaged(shard ids.Shard, format string, args ...any) error {
	return errcode.New(errcode.StorageBroken, "shard %d: %s", shard, fmt.Sprintf(format, args...))
}

// rejected is the error for a message whose content can't be right.
func rejected(shard ids.Shard, format string, args ...any) error {
	return errcode.New(errcode.InvalidMessage, "shard %d: %s", shard, fmt.Sprintf(format, args...))
}

// committedConflictError says that a leader sent an entry that differs from one that is
// committed here, which the protocol rules out.
type committedConflictError struct {
	shard ids.Shard
	index ids.Index
}

func (e *committedConflictError) Error() string {
	return fmt.Sprintf("shard %d: entry %d is committed and differs", e.shard, e.index)
}

// load reads the log from the store; currentTerm bounds the terms of its entries.
func (l *replicaLog) load(store *storage.Store, currentTerm ids.Term) error {
	if err := loadRecord(store, l.shard, snapshotKey, &l.snapshot); err != nil {
		return err
	}
	err := store.Scan(shardKey(l.shard, entryKeyPrefix), func(key string, value []byte) error {
		var entry rpc.Entry
		if err := json.Unmarshal(value, &entry); err != nil {
			return damaged(l.shard, "%s: %v", key, err)
		}
		if last, _ := l.last(); entry.Index != last+1 {
			return damaged(l.shard, "entry %d where %d should be", entry.Index, last+1)
		}
		if currentTerm.Less(entry.Term) {
			return damaged(l.shard, "entry %d is above the current term", entry.Index)
		}
		l.entries = append(l.entries, entry)
		return nil
	})
	if err != nil {
		return err
	}
	l.committed, l.applied = l.snapshot.Index, l.snapshot.Index
	return nil
}

// last returns index and term of the last entry, or of the snapshot if there is none.
func (l *replicaLog) last() (ids.Index, ids.Term) {
	if n := len(l.entries); n > 0 {
		return l.entries[n-1].Index, l.entries[n-1].Term
	}
	return l.snapshot.Index, l.snapshot.Term
}

// entry returns the entry at an index above the snapshot.
func (l *replicaLog) entry(index ids.Index) rpc.Entry { return l.entries[index-l.snapshot.Index-1] }

// termAt returns the term of an entry; false if the index is beyond the log or below the snapshot.
func (l *replicaLog) termAt(index ids.Index) (term ids.Term, found bool) {
	if index == l.snapshot.Index {
		return l.snapshot.Term, true
	}
	if last, _ := l.last(); index < l.snapshot.Index || index > last {
		return ids.Term{}, false
	}
	return l.entry(index).Term, true
}

// contains tells whether the log runs through an entry.
func (l *replicaLog) contains(index ids.Index, term ids.Term) bool {
	found, ok := l.termAt(index)
	return ok && found == term
}

// isLessAdvanced compares two logs by their last entries: term first, then index.
func isLessAdvanced(index ids.Index, term ids.Term, otherIndex ids.Index, otherTerm ids.Term) bool {
	return term.Less(otherTerm) || term == otherTerm && index < otherIndex
}

// after returns a copy of the entries above an index, and above the snapshot. It is made
// by slices.Concat, as a Clone of nothing would keep the old array alive.
func (l *replicaLog) after(index ids.Index) []rpc.Entry {
	index = max(index, l.snapshot.Index)
	return slices.Concat(l.entries[index-l.snapshot.Index:])
}

// from returns the entries from an index on, with the term of the one before; false if
// some of them are only in the snapshot.
func (l *replicaLog) from(next ids.Index) (prevTerm ids.Term, entries []rpc.Entry, found bool) {
	if next > l.snapshot.Index {
		prevTerm, found = l.termAt(next - 1)
		return prevTerm, l.entries[next-1-l.snapshot.Index:], found
	}
	firstRetained := l.snapshot.Index + 1 - ids.Index(len(l.retained))
	if next <= firstRetained {
		return ids.Term{}, nil, false
	}
	return l.retained[next-1-firstRetained].Term, slices.Concat(l.retained[next-firstRetained:], l.entries), true
}

// votersAt returns the voters that the log names as of an index, and the index of the
// entry or snapshot that names them.
func (l *replicaLog) votersAt(index ids.Index) (Voters, ids.Index) {
	for ; index > l.snapshot.Index; index-- {
		if entry := l.entry(index); entry.Kind == entryMembershipChange {
			return votersOf(entry), entry.Index
		}
	}
	return Voters{Current: l.snapshot.Voters, Outgoing: l.snapshot.OutgoingVoters}, l.snapshot.Index
}

// append adds entries that follow the last one.
func (l *replicaLog) append(batch *storage.Batch, entries ...rpc.Entry) {
	l.entries = append(l.entries, entries...)
	for _, entry := range entries {
		batch.Put(l.entryKey(entry.Index), encodeRecord(entry))
	}
}

// truncateAfter drops the entries above an index.
func (l *replicaLog) truncateAfter(batch *storage.Batch, index ids.Index) {
	keep := index - l.snapshot.Index
	for _, entry := range l.entries[keep:] {
		batch.Delete(l.entryKey(entry.Index))
	}
	l.entries = slices.Concat(l.entries[:keep])
}

// merge adds a leader's entries, of which some may be here already. The first one that
// differs displaces everything from it on; its index is returned, or zero if nothing is
// displaced. An entry that is committed is never displaced (committedConflictError).
func (l *replicaLog) merge(batch *storage.Batch, entries []rpc.Entry) (displaced ids.Index, err error) {
	for i, entry := range entries {
		if entry.Index <= l.snapshot.Index || l.contains(entry.Index, entry.Term) {
			continue
		}
		last, _ := l.last()
		if entry.Index > last+1 {
			return 0, rejected(l.shard, "entry %d does not follow %d", entry.Index, last)
		}
		if err := l.checkFollowing(entry.Index-1, entries[i:]); err != nil {
			return 0, err
		}
		if entry.Index <= last {
			if entry.Index <= l.committed {
				return 0, &committedConflictError{l.shard, entry.Index}
			}
			l.truncateAfter(batch, entry.Index-1)
			displaced = entry.Index
		}
		l.append(batch, entries[i:]...)
		break
	}
	return displaced, nil
}

// checkFollowing rejects entries that don't follow one another after an index, or that
// skip a step of a membership change.
func (l *replicaLog) checkFollowing(index ids.Index, entries []rpc.Entry) error {
	voters, _ := l.votersAt(index)
	for _, entry := range entries {
		index++
		if entry.Index != index {
			return rejected(l.shard, "entry %d where %d should be", entry.Index, index)
		}
		if entry.Kind != entryMembershipChange {
			continue
		}
		next := votersOf(entry)
		if !voters.canBecome(next) {
			return rejected(l.shard, "entry %d skips a step from %s to %s", entry.Index, voters, next)
		}
		voters = next
	}
	return nil
}

// install replaces the whole log by a snapshot.
func (l *replicaLog) install(batch *storage.Batch, snapshot *rpc.Snapshot) {
	l.truncateAfter(batch, l.snapshot.Index)
	l.putSnapshot(batch, *snapshot)
	l.retained = nil
	l.committed, l.applied = snapshot.Index, snapshot.Index
}

// compact puts the state as of an applied index in the place of the entries up to it, and
// retains the newest of them: at most as many, and as many bytes.
func (l *replicaLog) compact(batch *storage.Batch, index ids.Index, state json.RawMessage, retainedEntries, retainedBytes int) {
	term, _ := l.termAt(index)
	voters, _ := l.votersAt(index)
	compacted, rest := l.entries[:index-l.snapshot.Index], l.after(index)
	for _, entry := range compacted {
		batch.Delete(l.entryKey(entry.Index))
	}
	l.retained = newestWithin(slices.Concat(l.retained, compacted), retainedEntries, retainedBytes)
	l.entries = rest
	l.putSnapshot(batch, rpc.Snapshot{Index: index, Term: term, Voters: voters.Current, OutgoingVoters: voters.Outgoing, State: state})
}

func (l *replicaLog) putSnapshot(batch *storage.Batch, snapshot rpc.Snapshot) {
	l.snapshot = snapshot
	batch.Put(shardKey(l.shard, snapshotKey), encodeRecord(snapshot))
}

// newestWithin returns a copy of the newest entries within bounds of number and bytes.
func newestWithin(entries []rpc.Entry, maxEntries, maxBytes int) []rpc.Entry {
	start, size := len(entries), 0
	for start > 0 && len(entries)-start < maxEntries {
		if size += len(entries[start-1].Body); size > maxBytes {
			break
		}
		start--
	}
	return slices.Concat(entries[start:])
}

// bodyBytes is the size of the bodies of entries.
func bodyBytes(entries []rpc.Entry) (size int) {
	for _, entry := range entries {
		size += len(entry.Body)
	}
	return size
}
