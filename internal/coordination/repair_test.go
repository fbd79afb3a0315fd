package coordination

import (
	"fmt"
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
		t.Fatal("a set that the copy told under another revision was passed over in silence")
	}
	if a, b := set(right, 7, "s/c", "1"), set(wrong, 7, "s/c", "1"); a.Revision != 7 || b.Revision != 7 {
		t.Fatal(a, b)
	}
	if list, _, ok := wrong.RevisionsSince("s", 6, 10); !ok || len(list) != 1 {
		t.Fatal(list, ok)
	}
}
