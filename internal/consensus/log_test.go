package consensus

import (
	"encoding/json"
	"errors"
	"slices"
	"testing"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
	"github.com/sumactrestle/sumactrestle/internal/storage"
)

// logOf returns a log with a snapshot at index 4 of term 1, followed by entries of the given
// terms.
func logOf(terms ...uint64) *replicaLog {
	l := &replicaLog{snapshot: rpc.Snapshot{Index: 4, Term: testTerm(1), Voters: peers("ABC")}, committed: 4, applied: 4}
	l.entries = entriesOf(5, terms...)
	return l
}

// entriesOf returns entries of the given terms, from index first on.
func entriesOf(first ids.Index, terms ...uint64) (entries []rpc.Entry) {
	for i, number := range terms {
		entries = append(entries, rpc.Entry{Index: first + ids.Index(i), Term: testTerm(number), Body: json.RawMessage(`"x"`)})
	}
	return entries
}

// termsOf returns the entries' term numbers.
func termsOf(entries []rpc.Entry) (terms []uint64) {
	for _, entry := range entries {
		terms = append(terms, entry.Term.Number)
	}
	return terms
}

func requireTerms(t *testing.T, got []rpc.Entry, want ...uint64) {
	t.Helper()
	if !slices.Equal(termsOf(got), want) {
		t.Errorf("entries of terms %v, want %v", termsOf(got), want)
	}
}

func TestReplicaLog_Merge(t *testing.T) {
	for _, test := range []struct {
		name          string
		committed     ids.Index
		entries       []rpc.Entry
		want          []uint64
		firstReplaced ids.Index
	}{
		{"no entries", 4, nil, []uint64{2, 2, 3}, 0},
		{"all present already", 7, entriesOf(5, 2, 2, 3), []uint64{2, 2, 3}, 0},
		{"a prefix of those present", 7, entriesOf(5, 2), []uint64{2, 2, 3}, 0},
		{"new entries", 7, entriesOf(8, 3, 4), []uint64{2, 2, 3, 3, 4}, 0},
		{"overlap with new entries", 5, entriesOf(6, 2, 3, 5), []uint64{2, 2, 3, 5}, 0},
		{"start below the snapshot", 4, entriesOf(3, 1, 1, 2, 2, 3, 3), []uint64{2, 2, 3, 3}, 0},
		{"conflict at the first entry", 5, entriesOf(6, 4), []uint64{2, 4}, 6},
		{"conflict at a later entry", 5, entriesOf(6, 2, 4, 4), []uint64{2, 2, 4, 4}, 7},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := logOf(2, 2, 3)
			l.committed = test.committed
			firstReplaced, err := l.merge(&storage.Batch{}, test.entries)
			if err != nil || firstReplaced != test.firstReplaced {
				t.Errorf("first replaced entry %d (%v), want %d", firstReplaced, err, test.firstReplaced)
			}
			requireTerms(t, l.entries, test.want...)
		})
	}
}

func TestReplicaLog_MergeRejects(t *testing.T) {
	withGap := entriesOf(8, 3, 3)
	withGap[1].Index++
	for _, test := range []struct {
		name    string
		entries []rpc.Entry
	}{
		{"entries that do not follow the last one", entriesOf(9, 3)},
		{"entries with a gap", withGap},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := logOf(2, 2, 3)
			if _, err := l.merge(&storage.Batch{}, test.entries); !errors.Is(err, errcode.InvalidMessage) {
				t.Errorf("got %v", err)
			}
			requireTerms(t, l.entries, 2, 2, 3)
		})
	}
	t.Run("conflict with a committed entry", func(t *testing.T) {
		l := logOf(2, 2, 3)
		l.committed = 6
		var conflict *committedConflictError
		if _, err := l.merge(&storage.Batch{}, entriesOf(6, 4)); !errors.As(err, &conflict) || conflict.index != 6 {
			t.Errorf("got %v", err)
		}
		requireTerms(t, l.entries, 2, 2, 3)
	})
}

func TestReplicaLog_TermAt(t *testing.T) {
	l := logOf(2, 3)
	for index, want := range map[ids.Index]uint64{3: 0, 4: 1, 5: 2, 6: 3, 7: 0} {
		if term, found := l.termAt(index); term.Number != want || found != (want > 0) {
			t.Errorf("termAt(%d) = %s, %v", index, term, found)
		}
	}
}

func TestReplicaLog_CompactRetainsNewest(t *testing.T) {
	for _, test := range []struct {
		name                string
		maxEntries, maxByte int
		want                []uint64
	}{
		{"limited by number", 2, 100, []uint64{3, 3}},
		{"limited by bytes", 100, 4, []uint64{3}}, // each body has three bytes
		{"none", 0, 100, nil},
		{"all", 100, 100, []uint64{2, 2, 3, 3}},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := logOf(2, 2, 3, 3, 4)
			l.committed, l.applied = 8, 8
			l.compact(&storage.Batch{}, 8, json.RawMessage(`{}`), test.maxEntries, test.maxByte)
			requireTerms(t, l.entries, 4)
			requireTerms(t, l.retained, test.want...)
			if l.snapshot.Index != 8 || l.snapshot.Term != testTerm(3) || len(l.snapshot.Voters) != 3 {
				t.Errorf("snapshot is %+v", l.snapshot)
			}
			if index, term := l.last(); index != 9 || term != testTerm(4) {
				t.Errorf("last entry is %d of term %s", index, term)
			}
		})
	}
}

func TestReplicaLog_EntriesFrom(t *testing.T) {
	l := logOf(2, 2, 3, 3, 4)
	l.compact(&storage.Batch{}, 8, json.RawMessage(`{}`), 2, 100) // 7 and 8 are retained, 9 is in the log
	for _, test := range []struct {
		next     ids.Index
		prevTerm uint64
		want     []uint64
		found    bool
	}{
		{10, 4, nil, true},
		{9, 3, []uint64{4}, true},
		{8, 3, []uint64{3, 4}, true},
		{7, 0, nil, false}, // the term of entry 6 is no longer known
		{5, 0, nil, false},
	} {
		prevTerm, entries, found := l.entriesFrom(test.next)
		if prevTerm.Number != test.prevTerm || found != test.found {
			t.Errorf("from %d: previous term %s, found %v", test.next, prevTerm, found)
		}
		requireTerms(t, entries, test.want...)
	}
}
