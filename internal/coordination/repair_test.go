package coordination

import (
	"fmt"
	"maps"
	"testing"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

func TestRepair_RestoresTheRevisionOfASpace(t *testing.T) {
	right, wrong := NewStore(), NewStore()
	for i := range 5 {
		set(right, ids.Index(i+1), "s/a", fmt.Sprint(i))
		set(wrong, ids.Index(i+1), "s/a", fmt.Sprint(i))
	}
	wrong.records.put(rpc.CoordinationRecord{Name: "s", Kind: KindSpace, Count: 1, Index: 5})
	set(right, 6, "s/b", "1")
	set(wrong, 6, "s/b", "1")
	differing, digests := 0, wrong.RangeDigests()
	for name, digest := range right.RangeDigests() {
		if digests[name] == digest {
			continue
		}
		differing++
		data, err := right.ExportRange(name)
		if err != nil {
			t.Fatal(err)
		}
		if err := wrong.Repair(name, data); err != nil {
			t.Fatal(err)
		}
	}
	if differing == 0 {
		t.Fatal("the digests do not show a count that differs")
	}
	if _, _, ok := wrong.RevisionsSince("s", 5, 10); ok {
		t.Fatal("a set that the replica told under another revision was passed over in silence")
	}
	if a, b := set(right, 7, "s/c", "1"), set(wrong, 7, "s/c", "1"); a.Revision != 7 || b.Revision != 7 {
		t.Fatal(a, b)
	}
	if list, _, ok := wrong.RevisionsSince("s", 6, 10); !ok || len(list) != 1 {
		t.Fatal(list, ok)
	}
}

func TestRepair_RestoresTheCompletedRequests(t *testing.T) {
	right, wrong := NewStore(), NewStore()
	set(right, 1, "s/a", "1")
	contents, err := right.ExportRange(completedRange)
	if err != nil {
		t.Fatal(err)
	}
	if err := wrong.Repair(completedRange, contents); err != nil {
		t.Fatal(err)
	}
	if again := set(wrong, 2, "s/a", "1"); again.Revision != 1 || again.Index != 1 {
		t.Fatal("the set was carried out again", again)
	}
	if right.RangeDigests()[completedRange] != wrong.RangeDigests()[completedRange] {
		t.Fatal("the digests differ")
	}
}

func TestRepair_DamagedContentsChangeNothing(t *testing.T) {
	store := NewStore()
	set(store, 1, "s/a", "1")
	before := store.RangeDigests()
	for name := range before {
		if err := store.Repair(name, []byte("[{")); err == nil {
			t.Error(name, "took damaged contents")
		}
	}
	if after := store.RangeDigests(); !maps.Equal(before, after) {
		t.Fatal(before, after)
	}
}
