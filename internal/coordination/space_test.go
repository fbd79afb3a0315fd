// A space's count rises by one with each set and with nothing else; a repeat gets
// the first revision; a follower sees every set in order or is told that it can't;
// all this outlives dumps and repairs.
package coordination

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

func set(b *Store, index ids.Index, name, value string, rev ...ids.Index) *rpc.CoordinationResponse {
	op := rpc.CoordinationRequest{Operation: "set", ID: value, Name: name, Value: json.RawMessage(value)}
	if len(rev) > 0 {
		op.IfRevision = &rev[0]
	}
	return apply(b, index, op)
}

func TestASpaceCountsItsSets(t *testing.T) {
	b := NewStore()
	expect := func(got *rpc.CoordinationResponse, code int, rev ids.Index) {
		t.Helper()
		if got.Code != code || got.Revision != rev {
			t.Fatalf("code %d, rev %d; wanted %d, %d", got.Code, got.Revision, code, rev)
		}
	}
	expect(set(b, 10, "s/a", "1", 0), 0, 1)
	expect(set(b, 11, "s/b", "1"), 0, 2)
	expect(set(b, 12, "s/a", "2", 0), errcode.StampDiffers.No, 1)
	expect(set(b, 13, "s/a", "2", 2), errcode.StampDiffers.No, 1)
	expect(set(b, 14, "s/c", "1", 1), errcode.StampDiffers.No, 0)
	expect(set(b, 15, "s/a", "2", 1), 0, 3)
	expect(set(b, 16, "other/a", "1"), 0, 1)
	apply(b, 17, rpc.CoordinationRequest{Operation: "put", Name: "s/put", Value: json.RawMessage("1")})
	expect(set(b, 18, "s/put", "2", 0), errcode.StampDiffers.No, 0)
	expect(set(b, 19, "s/c", "1", 0), 0, 4)
	if record, ok := b.Get(KindKey, "s/a"); !ok || record.Revision != 3 || record.Index != 15 || string(record.Value) != "2" {
		t.Fatal(record)
	}
	if keys, _ := b.List(KindKey, "s"); len(keys) != 4 {
		t.Fatal("a listing of keys shows", keys)
	}
}

func TestAValueIsSetAgainWithoutAnId(t *testing.T) {
	b := NewStore()
	for i, value := range []string{"1", "2", "1"} {
		got := apply(b, ids.Index(i+1), rpc.CoordinationRequest{Operation: "set", Name: "s/a", Value: json.RawMessage(value)})
		if got.Code != 0 || got.Revision != ids.Index(i+1) {
			t.Fatal(i, got)
		}
	}
	if record, _ := b.Get(KindKey, "s/a"); record.Revision != 3 || string(record.Value) != "1" {
		t.Fatal("a value that was set back is not there", record)
	}
}

func TestARepeatedSetGetsItsFirstRevision(t *testing.T) {
	b := NewStore()
	set(b, 1, "s/a", `"x"`, 0)
	set(b, 2, "s/a", `"y"`, 1)
	for i, again := range []*rpc.CoordinationResponse{set(b, 3, "s/a", `"x"`, 0), set(b, 4, "s/a", `"x"`), set(b, 5, "s/a", `"x"`, 7)} {
		if again.Code != 0 || again.Revision != 1 || again.Index != 1 {
			t.Fatal(i, again)
		}
	}
	if record, _ := b.Get(KindKey, "s/a"); string(record.Value) != `"y"` || record.Revision != 2 {
		t.Fatal("a repeat wrote", record)
	}
	if no := set(b, 6, "s/a", `"z"`, 1); no.Code != errcode.StampDiffers.No || no.Revision != 2 {
		t.Fatal(no)
	}
	if yes := set(b, 7, "s/a", `"z"`, 2); yes.Code != 0 || yes.Revision != 3 {
		t.Fatal("a failure was remembered", yes)
	}
	if b.Len(KindSpace) != 1 {
		t.Fatal(b.Len(KindSpace))
	}
}

func TestAFollowerSeesEverySetInOrder(t *testing.T) {
	b := NewStore()
	if list, rev, ok := b.RevisionsSince("s", 0, 10); !ok || len(list) != 0 || rev != 0 {
		t.Fatal(list, rev, ok)
	}
	for i := range 9 {
		index := ids.Index(3 * i)
		set(b, index+1, fmt.Sprint("s/", i), "1")
		set(b, index+2, fmt.Sprint("t/", i), "1")
		apply(b, index+3, rpc.CoordinationRequest{Operation: "add", Name: "s/n", Delta: 1})
	}
	if list, rev, ok := b.RevisionsSince("s", 0, 10); !ok || len(list) != 0 || rev != 9 {
		t.Fatal(list, rev, ok)
	}
	for from := ids.Index(1); from <= 12; from++ {
		list, rev, ok := b.RevisionsSince("s", from, 4)
		if wanted := min(4, 9-min(int(from), 9)); !ok || len(list) != wanted {
			t.Fatal(from, list, ok)
		}
		for i, e := range list {
			if e.Revision != from+ids.Index(i)+1 || e.Name != fmt.Sprint("s/", e.Revision-1) || e.Kind != KindKey || string(e.Value) != "1" {
				t.Fatal(from, i, e)
			}
		}
		if len(list) == 4 && rev != list[3].Revision || len(list) < 4 && rev != max(9, from) {
			t.Fatal(from, rev)
		}
	}
}

func TestAFollowerFromBeforeTheKeptSetsIsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewStore()
		set(b, 1, "s/a", "1")
		set(b, 2, "s/b", "1")
		set(b, 3, "t/a", "1")
		time.Sleep(40 * time.Second)
		set(b, 4, "s/a", "2")
		time.Sleep(30 * time.Second)
		set(b, 5, "s/a", "3")
		check := func(b *Store) {
			t.Helper()
			if _, rev, ok := b.RevisionsSince("s", 1, 10); ok || rev != 4 {
				t.Fatal("a follower that missed a set was not told", rev, ok)
			}
			if list, rev, ok := b.RevisionsSince("s", 2, 10); !ok || rev != 4 || len(list) != 2 || list[0].Revision != 3 {
				t.Fatal(list, rev, ok)
			}
			if list, rev, ok := b.RevisionsSince("t", 1, 10); !ok || rev != 1 || len(list) != 0 {
				t.Fatal(list, rev, ok)
			}
		}
		check(b)
		raw, err := b.Snapshot()()
		if err != nil {
			t.Fatal(err)
		}
		other := NewStore()
		if err := other.Restore(raw); err != nil {
			t.Fatal(err)
		}
		check(other)
		if other.compactedRevisions["s"] != 2 || other.compactedRevisions["t"] != 1 {
			t.Fatal(other.compactedRevisions)
		}
		if next := set(other, 6, "s/a", "4", 4); next.Code != 0 || next.Revision != 5 {
			t.Fatal(next)
		}
		if again := set(other, 7, "s/a", "1"); again.Revision != 1 {
			t.Fatal("a loaded state forgot a set", again)
		}
		if err := other.Restore(json.RawMessage(`{"records":[],"seen":[],"events":[],"start":0,"applied":0}`)); err != nil {
			t.Fatal(err)
		}
		set(other, 8, "s/a", "1")
		time.Sleep(61 * time.Second)
		if next := set(other, 9, "s/a", "2"); next.Revision != 2 || other.compactedRevisions["s"] != 1 {
			t.Fatal(next, other.compactedRevisions)
		}
	})
}

func TestRepairBringsBackASpacesCount(t *testing.T) {
	right, wrong := NewStore(), NewStore()
	for i := range 5 {
		set(right, ids.Index(i+1), "s/a", fmt.Sprint(i))
		set(wrong, ids.Index(i+1), "s/a", fmt.Sprint(i))
	}
	wrong.recordsOf(KindSpace)["s"] = rpc.CoordinationRecord{Name: "s", Kind: KindSpace, Count: 1, Index: 5}
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

func TestALocksTimeOnlyGrows(t *testing.T) {
	b := NewStore()
	first := apply(b, 5, rpc.CoordinationRequest{Operation: "acquire", Name: "l", Holder: "a", TTL: 1000})
	expect := func(ttl int64) {
		t.Helper()
		if lock, ok := b.Get(KindLock, "l"); !ok || lock.TTL != ttl || lock.FencingToken != first.FencingToken || lock.Holder != "a" {
			t.Fatal(lock, ok)
		}
	}
	if again := apply(b, 6, rpc.CoordinationRequest{Operation: "acquire", Name: "l", Holder: "a", TTL: 50}); again.FencingToken != first.FencingToken || again.TTL != 50 {
		t.Fatal(again)
	}
	expect(1000)
	if again := apply(b, 7, rpc.CoordinationRequest{Operation: "acquire", Name: "l", Holder: "a", TTL: 2000}); again.FencingToken != first.FencingToken || again.TTL != 2000 {
		t.Fatal(again)
	}
	expect(2000)
	for _, op := range []rpc.CoordinationRequest{{Holder: "b", FencingToken: 5}, {Holder: "a", FencingToken: 4}} {
		op.Operation, op.Name, op.TTL = "stretch", "l", 9000
		if no := apply(b, 8, op); no.Code != errcode.NotHeld.No {
			t.Fatal(no)
		}
	}
	expect(2000)
	if held := apply(b, 9, rpc.CoordinationRequest{Operation: "acquire", Name: "l", Holder: "b", TTL: 9000}); held.Code != errcode.Held.No || held.TTL != 2000 {
		t.Fatal(held)
	}
	for _, ttl := range []int64{3000, 100} {
		if got := apply(b, 10, rpc.CoordinationRequest{Operation: "stretch", Name: "l", Holder: "a", FencingToken: 5, TTL: ttl}); got.Code != 0 || got.TTL != ttl {
			t.Fatal(got)
		}
		expect(3000)
	}
}
