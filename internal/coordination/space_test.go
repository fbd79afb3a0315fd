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

func set(store *Store, index ids.Index, name, value string, revision ...ids.Index) *rpc.CoordinationResponse {
	request := rpc.CoordinationRequest{Operation: "set", ID: value, Name: name, Value: json.RawMessage(value)}
	if len(revision) > 0 {
		request.IfRevision = &revision[0]
	}
	return apply(store, index, request)
}

func TestSpace_EachSetIncrementsRevision(t *testing.T) {
	store := NewStore()
	expect := func(got *rpc.CoordinationResponse, code int, revision ids.Index) {
		t.Helper()
		if got.Code != code || got.Revision != revision {
			t.Fatalf("code %d, revision %d; want %d, %d", got.Code, got.Revision, code, revision)
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
		t.Fatal("unexpected list of keys", keys)
	}
}

func TestSpace_SetWithoutIDIsNeverARepeat(t *testing.T) {
	store := NewStore()
	for i, value := range []string{"1", "2", "1"} {
		got := apply(store, ids.Index(i+1), rpc.CoordinationRequest{Operation: "set", Name: "s/a", Value: json.RawMessage(value)})
		if got.Code != 0 || got.Revision != ids.Index(i+1) {
			t.Fatal(i, got)
		}
	}
	if record, _ := store.Get(KindKey, "s/a"); record.Revision != 3 || string(record.Value) != "1" {
		t.Fatal("the last value was not stored", record)
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
		t.Fatal("a repeated set changed the record", record)
	}
	if rejected := set(store, 6, "s/a", `"z"`, 1); rejected.Code != errcode.RevisionMismatch.Number || rejected.Revision != 2 {
		t.Fatal(rejected)
	}
	if accepted := set(store, 7, "s/a", `"z"`, 2); accepted.Code != 0 || accepted.Revision != 3 {
		t.Fatal("the response of a rejected set was kept", accepted)
	}
	if store.Len(KindSpace) != 1 {
		t.Fatal(store.Len(KindSpace))
	}
}

func TestSpace_FollowerReceivesEverySetInOrder(t *testing.T) {
	store := NewStore()
	if events, revision, ok := store.RevisionsSince("s", 0, 10); !ok || len(events) != 0 || revision != 0 {
		t.Fatal(events, revision, ok)
	}
	for i := range 9 {
		index := ids.Index(3 * i)
		set(store, index+1, fmt.Sprint("s/", i), "1")
		set(store, index+2, fmt.Sprint("t/", i), "1")
		apply(store, index+3, rpc.CoordinationRequest{Operation: "add", Name: "s/n", Delta: 1})
	}
	if events, revision, ok := store.RevisionsSince("s", 0, 10); !ok || len(events) != 0 || revision != 9 {
		t.Fatal(events, revision, ok)
	}
	for from := ids.Index(1); from <= 12; from++ {
		events, revision, ok := store.RevisionsSince("s", from, 4)
		if want := min(4, 9-min(int(from), 9)); !ok || len(events) != want {
			t.Fatal(from, events, ok)
		}
		for i, e := range events {
			if e.Revision != from+ids.Index(i)+1 || e.Name != fmt.Sprint("s/", e.Revision-1) || e.Kind != KindKey || string(e.Value) != "1" {
				t.Fatal(from, i, e)
			}
		}
		if len(events) == 4 && revision != events[3].Revision || len(events) < 4 && revision != max(9, from) {
			t.Fatal(from, revision)
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
			if _, revision, ok := store.RevisionsSince("s", 1, 10); ok || revision != 4 {
				t.Fatal("a gap in the revisions was not reported", revision, ok)
			}
			if events, revision, ok := store.RevisionsSince("s", 2, 10); !ok || revision != 4 || len(events) != 2 || events[0].Revision != 3 {
				t.Fatal(events, revision, ok)
			}
			if events, revision, ok := store.RevisionsSince("t", 1, 10); !ok || revision != 1 || len(events) != 0 {
				t.Fatal(events, revision, ok)
			}
		}
		check(store)
		raw, err := store.Snapshot()()
		if err != nil {
			t.Fatal(err)
		}
		restored := NewStore()
		if err := restored.Restore(raw); err != nil {
			t.Fatal(err)
		}
		check(restored)
		if restored.events.compactedRevisions["s"] != 2 || restored.events.compactedRevisions["t"] != 1 {
			t.Fatal(restored.events.compactedRevisions)
		}
		if next := set(restored, 6, "s/a", "4", 4); next.Code != 0 || next.Revision != 5 {
			t.Fatal(next)
		}
		if again := set(restored, 7, "s/a", "1"); again.Revision != 1 {
			t.Fatal("the restored state lacks a completed set", again)
		}
		if err := restored.Restore(json.RawMessage(`{"records":[],"seen":[],"events":[],"start":0,"applied":0}`)); err != nil {
			t.Fatal(err)
		}
		set(restored, 8, "s/a", "1")
		time.Sleep(61 * time.Second)
		if next := set(restored, 9, "s/a", "2"); next.Revision != 2 || restored.events.compactedRevisions["s"] != 1 {
			t.Fatal(next, restored.events.compactedRevisions)
		}
	})
}
