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

// logOf makes a log above a snapshot at index 4 of term 1, of entries of these terms.
func logOf(terms ...uint64) *replicaLog {
	l := &replicaLog{snapshot: rpc.Snapshot{Index: 4, Term: testTerm(1), Voters: peers("ABC")}, committed: 4, applied: 4}
	l.entries = entriesOf(5, terms...)
	return l
}

// entriesOf makes entries of these terms from an index on.
func entriesOf(first ids.Index, terms ...uint64) (entries []rpc.Entry) {
	for i, number := range terms {
		entries = append(entries, rpc.Entry{Index: first + ids.Index(i), Term: testTerm(number), Body: json.RawMessage(`"x"`)})
	}
	return entries
}

// termsOf is the term numbers of entries.
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
		name      string
		committed ids.Index
		entries   []rpc.Entry
		want      []uint64
		displaced ids.Index
	}{
		{"nothing", 4, nil, []uint64{2, 2, 3}, 0},
		{"what is there", 7, entriesOf(5, 2, 2, 3), []uint64{2, 2, 3}, 0},
		{"what is there, in part", 7, entriesOf(5, 2), []uint64{2, 2, 3}, 0},
		{"what follows", 7, entriesOf(8, 3, 4), []uint64{2, 2, 3, 3, 4}, 0},
		{"what overlaps", 5, entriesOf(6, 2, 3, 5), []uint64{2, 2, 3, 5}, 0},
		{"what reaches below the snapshot", 4, entriesOf(3, 1, 1, 2, 2, 3, 3), []uint64{2, 2, 3, 3}, 0},
		{"what differs", 5, entriesOf(6, 4), []uint64{2, 4}, 6},
		{"what differs later", 5, entriesOf(6, 2, 4, 4), []uint64{2, 2, 4, 4}, 7},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := logOf(2, 2, 3)
			l.committed = test.committed
			displaced, err := l.merge(&storage.Batch{}, test.entries)
			if err != nil || displaced != test.displaced {
				t.Errorf("displaced from %d (%v), want %d", displaced, err, test.displaced)
			}
			requireTerms(t, l.entries, test.want...)
		})
	}
}

func TestReplicaLog_MergeRejects(t *testing.T) {
	gap := entriesOf(8, 3, 3)
	gap[1].Index++
	for _, test := range []struct {
		name    string
		entries []rpc.Entry
	}{
		{"entries that do not follow", entriesOf(9, 3)},
		{"entries with a gap", gap},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := logOf(2, 2, 3)
			if _, err := l.merge(&storage.Batch{}, test.entries); !errors.Is(err, errcode.InvalidMessage) {
				t.Errorf("got %v", err)
			}
			requireTerms(t, l.entries, 2, 2, 3)
		})
	}
	t.Run("an entry that differs from a committed one", func(t *testing.T) {
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
			t.Errorf("at %d: %s, %v", index, term, found)
		}
	}
}

func TestReplicaLog_CompactRetainsNewest(t *testing.T) {
	for _, test := range []struct {
		name                string
		maxEntries, maxByte int
		want                []uint64
	}{
		{"by number", 2, 100, []uint64{3, 3}},
		{"by bytes", 100, 4, []uint64{3}}, // each body has three bytes
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
				t.Errorf("the snapshot is %+v", l.snapshot)
			}
			if index, term := l.last(); index != 9 || term != testTerm(4) {
				t.Errorf("the log ends at %d of %s", index, term)
			}
		})
	}
}

func TestReplicaLog_From(t *testing.T) {
	l := logOf(2, 2, 3, 3, 4)
	l.compact(&storage.Batch{}, 8, json.RawMessage(`{}`), 2, 100) // 7 and 8 are retained, 9 is left
	for _, test := range []struct {
		next     ids.Index
		prevTerm uint64
		want     []uint64
		found    bool
	}{
		{10, 4, nil, true},
		{9, 3, []uint64{4}, true},
		{8, 3, []uint64{3, 4}, true},
		{7, 0, nil, false}, // the term of 6 is not known any more
		{5, 0, nil, false},
	} {
		prevTerm, entries, found := l.from(test.next)
		if prevTerm.Number != test.prevTerm || found != test.found {
			t.Errorf("from %d: after term %s, found %v", test.next, prevTerm, found)
		}
		requireTerms(t, entries, test.want...)
	}
}
