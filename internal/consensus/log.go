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
	entryEmpty            = "own"   // no command: a leader's first entry, and barriers
	entryMembershipChange = "group" // sets the voters from this entry on
)

// Store keys of the records of a shard.
const (
	currentTermKey = "promised"
	snapshotKey    = "base"
	entryKeyPrefix = "e/"
)

// replicaLog is a replica's log: a snapshot and the entries after it. Methods that take a
// batch change the log in memory and add the same change to the batch, which the caller
// submits.
type replicaLog struct {
	shard    ids.Shard
	snapshot rpc.Snapshot
	entries  []rpc.Entry // entries[i] has the index snapshot.Index+1+i
	// retained holds the newest entries that the snapshot covers, so that a member that lags
	// only slightly needs no snapshot. It is not persisted.
	retained  []rpc.Entry
	committed ids.Index
	applied   ids.Index // at most committed
}

func shardKey(shard ids.Shard, kind string) string { return fmt.Sprintf("p/%02d/%s", shard, kind) }

func (l *replicaLog) entryKey(index ids.Index) string {
	return shardKey(l.shard, fmt.Sprintf("%s%016x", entryKeyPrefix, uint64(index)))
}

// encodeRecord encodes a term, an entry or a snapshot, which can't fail for these types.
func encodeRecord(record any) []byte {
	raw, _ := json.Marshal(record)
	return raw
}

// loadRecord reads a record of a shard into target; without a record, target is unchanged.
func loadRecord(store *storage.Store, shard ids.Shard, kind string, target any) error {
	raw, err := store.Get(shardKey(shard, kind))
	if err == nil && raw != nil {
		err = json.Unmarshal(raw, target)
	}
	if err != nil {
		return storageBrokenError(shard, "%s: %v", kind, err)
	}
	return nil
}

// storageBrokenError returns the error for invalid records in the store.
func storageBrokenError(shard ids.Shard, format string, args ...any) error {
	return errcode.New(errcode.StorageBroken, "shard %d: %s", shard, fmt.Sprintf(format, args...))
}

// invalidMessageError returns the error for a message with invalid content.
func invalidMessageError(shard ids.Shard, format string, args ...any) error {
	return errcode.New(errcode.InvalidMessage, "shard %d: %s", shard, fmt.Sprintf(format, args...))
}

// committedConflictError is returned when a leader's entry differs from a committed entry at
// the same index, which the protocol rules out.
type committedConflictError struct {
	shard ids.Shard
	index ids.Index
}

func (e *committedConflictError) Error() string {
	return fmt.Sprintf("shard %d: entry %d differs from the committed one", e.shard, e.index)
}

// load reads the log from the store. An entry of a term above currentTerm is an error.
func (l *replicaLog) load(store *storage.Store, currentTerm ids.Term) error {
	if err := loadRecord(store, l.shard, snapshotKey, &l.snapshot); err != nil {
		return err
	}
	err := store.Scan(shardKey(l.shard, entryKeyPrefix), func(key string, value []byte) error {
		var entry rpc.Entry
		if err := json.Unmarshal(value, &entry); err != nil {
			return storageBrokenError(l.shard, "%s: %v", key, err)
		}
		if last, _ := l.last(); entry.Index != last+1 {
			return storageBrokenError(l.shard, "found entry %d, want %d", entry.Index, last+1)
		}
		if currentTerm.Less(entry.Term) {
			return storageBrokenError(l.shard, "entry %d has a term above the current one", entry.Index)
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

// last returns the index and term of the last entry, or of the snapshot if there are no
// entries.
func (l *replicaLog) last() (ids.Index, ids.Term) {
	if n := len(l.entries); n > 0 {
		return l.entries[n-1].Index, l.entries[n-1].Term
	}
	return l.snapshot.Index, l.snapshot.Term
}

// entry returns the entry at an index, which must be in the log and above the snapshot.
func (l *replicaLog) entry(index ids.Index) rpc.Entry { return l.entries[index-l.snapshot.Index-1] }

// termAt returns the term of the entry at an index; false if the index is past the end of the
// log or below the snapshot's.
func (l *replicaLog) termAt(index ids.Index) (term ids.Term, found bool) {
	if index == l.snapshot.Index {
		return l.snapshot.Term, true
	}
	if last, _ := l.last(); index < l.snapshot.Index || index > last {
		return ids.Term{}, false
	}
	return l.entry(index).Term, true
}

// contains reports whether the entry at an index is in the log with the given term.
func (l *replicaLog) contains(index ids.Index, term ids.Term) bool {
	localTerm, ok := l.termAt(index)
	return ok && localTerm == term
}

// isLessAdvanced reports whether a log whose last entry has the given index and term is less
// up-to-date than another: the term decides first, then the index.
func isLessAdvanced(index ids.Index, term ids.Term, otherIndex ids.Index, otherTerm ids.Term) bool {
	return term.Less(otherTerm) || term == otherTerm && index < otherIndex
}

// entriesAfter returns a copy of the entries above both an index and the snapshot. It uses
// slices.Concat because slices.Clone of an empty slice would keep the old array alive.
func (l *replicaLog) entriesAfter(index ids.Index) []rpc.Entry {
	index = max(index, l.snapshot.Index)
	return slices.Concat(l.entries[index-l.snapshot.Index:])
}

// entriesFrom returns the entries from index next on, and the term of the entry before next;
// false if these are no longer all in memory and the snapshot is needed.
func (l *replicaLog) entriesFrom(next ids.Index) (prevTerm ids.Term, entries []rpc.Entry, found bool) {
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

// votersAt returns the voters in effect at an index, and the index of the entry or snapshot
// that set them.
func (l *replicaLog) votersAt(index ids.Index) (Voters, ids.Index) {
	for ; index > l.snapshot.Index; index-- {
		if entry := l.entry(index); entry.Kind == entryMembershipChange {
			return votersOf(entry), entry.Index
		}
	}
	return Voters{Current: l.snapshot.Voters, Outgoing: l.snapshot.OutgoingVoters}, l.snapshot.Index
}

// append adds entries, whose indexes must follow the last one.
func (l *replicaLog) append(batch *storage.Batch, entries ...rpc.Entry) {
	l.entries = append(l.entries, entries...)
	for _, entry := range entries {
		batch.Put(l.entryKey(entry.Index), encodeRecord(entry))
	}
}

// truncateAfter removes the entries above an index.
func (l *replicaLog) truncateAfter(batch *storage.Batch, index ids.Index) {
	kept := index - l.snapshot.Index
	for _, entry := range l.entries[kept:] {
		batch.Delete(l.entryKey(entry.Index))
	}
	l.entries = slices.Concat(l.entries[:kept])
}

// merge adds a leader's entries, some of which may be in the log already. From the first one
// that conflicts on, the log's entries are replaced; firstReplaced is that index, or zero if
// there is no conflict. A conflict with a committed entry is a committedConflictError.
func (l *replicaLog) merge(batch *storage.Batch, entries []rpc.Entry) (firstReplaced ids.Index, err error) {
	for i, entry := range entries {
		if entry.Index <= l.snapshot.Index || l.contains(entry.Index, entry.Term) {
			continue
		}
		last, _ := l.last()
		if entry.Index > last+1 {
			return 0, invalidMessageError(l.shard, "entry %d does not follow %d", entry.Index, last)
		}
		if err := l.checkSequence(entry.Index-1, entries[i:]); err != nil {
			return 0, err
		}
		if entry.Index <= last {
			if entry.Index <= l.committed {
				return 0, &committedConflictError{l.shard, entry.Index}
			}
			l.truncateAfter(batch, entry.Index-1)
			firstReplaced = entry.Index
		}
		l.append(batch, entries[i:]...)
		break
	}
	return firstReplaced, nil
}

// checkSequence returns an error if entries don't have consecutive indexes from index+1 on, or
// skip a step of a membership change.
func (l *replicaLog) checkSequence(index ids.Index, entries []rpc.Entry) error {
	voters, _ := l.votersAt(index)
	for _, entry := range entries {
		index++
		if entry.Index != index {
			return invalidMessageError(l.shard, "found entry %d, want %d", entry.Index, index)
		}
		if entry.Kind != entryMembershipChange {
			continue
		}
		next := votersOf(entry)
		if !voters.canBecome(next) {
			return invalidMessageError(l.shard, "entry %d skips a step of the membership change from %s to %s", entry.Index, voters, next)
		}
		voters = next
	}
	return nil
}

// install replaces the whole log by a snapshot, whose index becomes the commit index.
func (l *replicaLog) install(batch *storage.Batch, snapshot *rpc.Snapshot) {
	l.truncateAfter(batch, l.snapshot.Index)
	l.putSnapshot(batch, *snapshot)
	l.retained = nil
	l.committed, l.applied = snapshot.Index, snapshot.Index
}

// compact replaces the entries up to an applied index by a snapshot with the state at that
// index. The newest of them are retained in memory, up to retainedEntries entries and
// retainedBytes of bodies.
func (l *replicaLog) compact(batch *storage.Batch, index ids.Index, state json.RawMessage, retainedEntries, retainedBytes int) {
	term, _ := l.termAt(index)
	voters, _ := l.votersAt(index)
	compacted, remaining := l.entries[:index-l.snapshot.Index], l.entriesAfter(index)
	for _, entry := range compacted {
		batch.Delete(l.entryKey(entry.Index))
	}
	l.retained = newestEntries(slices.Concat(l.retained, compacted), retainedEntries, retainedBytes)
	l.entries = remaining
	l.putSnapshot(batch, rpc.Snapshot{Index: index, Term: term, Voters: voters.Current, OutgoingVoters: voters.Outgoing, State: state})
}

func (l *replicaLog) putSnapshot(batch *storage.Batch, snapshot rpc.Snapshot) {
	l.snapshot = snapshot
	batch.Put(shardKey(l.shard, snapshotKey), encodeRecord(snapshot))
}

// newestEntries returns a copy of the newest entries, at most maxEntries of them and maxBytes
// of bodies.
func newestEntries(entries []rpc.Entry, maxEntries, maxBytes int) []rpc.Entry {
	start, size := len(entries), 0
	for start > 0 && len(entries)-start < maxEntries {
		if size += len(entries[start-1].Body); size > maxBytes {
			break
		}
		start--
	}
	return slices.Concat(entries[start:])
}

// bodyBytes returns the total size of the entries' bodies.
func bodyBytes(entries []rpc.Entry) (size int) {
	for _, entry := range entries {
		size += len(entry.Body)
	}
	return size
}
