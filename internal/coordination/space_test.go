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

func set(store *Store, index ids.Index, name, value string, rev ...ids.Index) *rpc.CoordinationResponse {
	op := rpc.CoordinationRequest{Operation: "set", ID: value, Name: name, Value: json.RawMessage(value)}
	if len(rev) > 0 {
		op.IfRevision = &rev[0]
	}
	return apply(store, index, op)
}

func TestSpace_CountsItsSets(t *testing.T) {
	store := NewStore()
	expect := func(got *rpc.CoordinationResponse, code int, rev ids.Index) {
		t.Helper()
		if got.Code != code || got.Revision != rev {
			t.Fatalf("code %d, rev %d; wanted %d, %d", got.Code, got.Revision, code, rev)
		}
	}
	expect(set(store, 10, "s/a", "1", 0), 0, 1)
	expect(set(store, 11, "s/b", "1"), 0, 2)
	expect(set(store, 12, "s/a", "2", 0), errcode.RevisionMismatch.Number, 1)
	expect(set(store, 13, "s/a", "2", 2), errcode.RevisionMismatch.Number, 1)
	expect(set(store, 14, "s/c", "1", 1), errcode.RevisionMismatch.Number, 0)
	expect(set(store, 15, "s/a", "2", 1), 0, 3)
	expect(set(store, 16, "other/a", "1"), 0, 1)
	apply(store, 17, rpc.CoordinationRequest{Operation: "put", Name: "s/put", Value: json.RawMessage("1")})
	expect(set(store, 18, "s/put", "2", 0), errcode.RevisionMismatch.Number, 0)
	expect(set(store, 19, "s/c", "1", 0), 0, 4)
	if record, ok := store.Get(KindKey, "s/a"); !ok || record.Revision != 3 || record.Index != 15 || string(record.Value) != "2" {
		t.Fatal(record)
	}
	if keys, _ := store.List(KindKey, "s"); len(keys) != 4 {
		t.Fatal("a listing of keys shows", keys)
	}
}

func TestSpace_ValueIsSetAgainWithoutAnID(t *testing.T) {
	store := NewStore()
	for i, value := range []string{"1", "2", "1"} {
		got := apply(store, ids.Index(i+1), rpc.CoordinationRequest{Operation: "set", Name: "s/a", Value: json.RawMessage(value)})
		if got.Code != 0 || got.Revision != ids.Index(i+1) {
			t.Fatal(i, got)
		}
	}
	if record, _ := store.Get(KindKey, "s/a"); record.Revision != 3 || string(record.Value) != "1" {
		t.Fatal("a value that was set back is not there", record)
	}
}

func TestSpace_RepeatedSetGetsItsFirstRevision(t *testing.T) {
	store := NewStore()
	set(store, 1, "s/a", `"x"`, 0)
	set(store, 2, "s/a", `"y"`, 1)
	for i, again := range []*rpc.CoordinationResponse{set(store, 3, "s/a", `"x"`, 0), set(store, 4, "s/a", `"x"`), set(store, 5, "s/a", `"x"`, 7)} {
		if again.Code != 0 || again.Revision != 1 || again.Index != 1 {
			t.Fatal(i, again)
		}
	}
	if record, _ := store.Get(KindKey, "s/a"); string(record.Value) != `"y"` || record.Revision != 2 {
		t.Fatal("a repeat wrote", record)
	}
	if rejected := set(store, 6, "s/a", `"z"`, 1); rejected.Code != errcode.RevisionMismatch.Number || rejected.Revision != 2 {
		t.Fatal(rejected)
	}
	if yes := set(store, 7, "s/a", `"z"`, 2); yes.Code != 0 || yes.Revision != 3 {
		t.Fatal("a failure was remembered", yes)
	}
	if store.Len(KindSpace) != 1 {
		t.Fatal(store.Len(KindSpace))
	}
}

func TestSpace_FollowerSeesEverySetInOrder(t *testing.T) {
	store := NewStore()
	if list, rev, ok := store.RevisionsSince("s", 0, 10); !ok || len(list) != 0 || rev != 0 {
		t.Fatal(list, rev, ok)
	}
	for i := range 9 {
		index := ids.Index(3 * i)
		set(store, index+1, fmt.Sprint("s/", i), "1")
		set(store, index+2, fmt.Sprint("t/", i), "1")
		apply(store, index+3, rpc.CoordinationRequest{Operation: "add", Name: "s/n", Delta: 1})
	}
	if list, rev, ok := store.RevisionsSince("s", 0, 10); !ok || len(list) != 0 || rev != 9 {
		t.Fatal(list, rev, ok)
	}
	for from := ids.Index(1); from <= 12; from++ {
		list, rev, ok := store.RevisionsSince("s", from, 4)
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

func TestSpace_FollowerOfDroppedSetsIsNotified(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := NewStore()
		set(store, 1, "s/a", "1")
		set(store, 2, "s/b", "1")
		set(store, 3, "t/a", "1")
		time.Sleep(40 * time.Second)
		set(store, 4, "s/a", "2")
		time.Sleep(30 * time.Second)
		set(store, 5, "s/a", "3")
		check := func(store *Store) {
			t.Helper()
			if _, rev, ok := store.RevisionsSince("s", 1, 10); ok || rev != 4 {
				t.Fatal("a follower that missed a set was not told", rev, ok)
			}
			if list, rev, ok := store.RevisionsSince("s", 2, 10); !ok || rev != 4 || len(list) != 2 || list[0].Revision != 3 {
				t.Fatal(list, rev, ok)
			}
			if list, rev, ok := store.RevisionsSince("t", 1, 10); !ok || rev != 1 || len(list) != 0 {
				t.Fatal(list, rev, ok)
			}
		}
		check(store)
		raw, err := store.Snapshot()()
		if err != nil {
			t.Fatal(err)
		}
		other := NewStore()
		if err := other.Restore(raw); err != nil {
			t.Fatal(err)
		}
		check(other)
		if other.events.compactedRevisions["s"] != 2 || other.events.compactedRevisions["t"] != 1 {
			t.Fatal(other.events.compactedRevisions)
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
		if next := set(other, 9, "s/a", "2"); next.Revision != 2 || other.events.compactedRevisions["s"] != 1 {
			t.Fatal(next, other.events.compactedRevisions)
		}
	})
}
