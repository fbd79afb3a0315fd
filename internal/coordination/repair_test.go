package coordination

import (
	"fmt"
	"maps"
	"testing"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

func TestRepair_RestoresTheRevisionOfASpace(t *testing.T) {
	intact, damaged := NewStore(), NewStore()
	for i := range 5 {
		set(intact, ids.Index(i+1), "s/a", fmt.Sprint(i))
		set(damaged, ids.Index(i+1), "s/a", fmt.Sprint(i))
	}
	damaged.records.put(rpc.CoordinationRecord{Name: "s", Kind: KindSpace, Count: 1, Index: 5})
	set(intact, 6, "s/b", "1")
	set(damaged, 6, "s/b", "1")
	differing, digests := 0, damaged.RangeDigests()
	for name, digest := range intact.RangeDigests() {
		if digests[name] == digest {
			continue
		}
		differing++
		data, err := intact.ExportRange(name)
		if err != nil {
			t.Fatal(err)
		}
		if err := damaged.Repair(name, data); err != nil {
			t.Fatal(err)
		}
	}
	if differing == 0 {
		t.Fatal("the digests do not differ")
	}
	if _, _, ok := damaged.RevisionsSince("s", 5, 10); ok {
		t.Fatal("the gap in the revisions after the repair was not reported")
	}
	if a, b := set(intact, 7, "s/c", "1"), set(damaged, 7, "s/c", "1"); a.Revision != 7 || b.Revision != 7 {
		t.Fatal(a, b)
	}
	if events, _, ok := damaged.RevisionsSince("s", 6, 10); !ok || len(events) != 1 {
		t.Fatal(events, ok)
	}
}

func TestRepair_RestoresTheCompletedRequests(t *testing.T) {
	intact, damaged := NewStore(), NewStore()
	set(intact, 1, "s/a", "1")
	contents, err := intact.ExportRange(completedRange)
	if err != nil {
		t.Fatal(err)
	}
	if err := damaged.Repair(completedRange, contents); err != nil {
		t.Fatal(err)
	}
	if again := set(damaged, 2, "s/a", "1"); again.Revision != 1 || again.Index != 1 {
		t.Fatal("a repeated set was executed again", again)
	}
	if intact.RangeDigests()[completedRange] != damaged.RangeDigests()[completedRange] {
		t.Fatal("the digests differ")
	}
}

func TestRepair_MalformedContentsChangeNothing(t *testing.T) {
	store := NewStore()
	set(store, 1, "s/a", "1")
	before := store.RangeDigests()
	for name := range before {
		if err := store.Repair(name, []byte("[{")); err == nil {
			t.Error(name, "malformed contents were accepted")
		}
	}
	if after := store.RangeDigests(); !maps.Equal(before, after) {
		t.Fatal(before, after)
	}
}
