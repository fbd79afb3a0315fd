package coordination

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

func apply(store *Store, index ids.Index, request rpc.CoordinationRequest) *rpc.CoordinationResponse {
	raw, _ := json.Marshal(request)
	return store.Apply(index, raw).(*rpc.CoordinationResponse)
}

func BenchmarkStore_ListInstanceStatesAmongManyKeys(b *testing.B) {
	store := NewStore()
	for i := range 20000 {
		apply(store, ids.Index(i+1), rpc.CoordinationRequest{Operation: "put", Name: fmt.Sprint("k/", i), Value: json.RawMessage("1")})
	}
	apply(store, 20001, rpc.CoordinationRequest{Operation: "mark", Name: "rates/i1", Holder: "draining", Sequence: 1})
	b.ResetTimer()
	for b.Loop() {
		if states, _ := store.List(KindInstanceState, ""); len(states) != 1 {
			b.Fatal(states)
		}
	}
}

func TestStore_RepeatedRequestGetsFirstResponse(t *testing.T) {
	store := NewStore()
	first := apply(store, 1, rpc.CoordinationRequest{Operation: "add", ID: "r", Name: "n", Delta: 2})
	again := apply(store, 2, rpc.CoordinationRequest{Operation: "add", ID: "r", Name: "n", Delta: 2})
	if first.Count != 2 || again.Count != 2 || again.Index != 1 {
		t.Fatal(first, again)
	}
	raw, err := store.Snapshot()()
	if err != nil {
		t.Fatal(err)
	}
	restored := NewStore()
	if err := restored.Restore(raw); err != nil {
		t.Fatal(err)
	}
	if again := apply(restored, 3, rpc.CoordinationRequest{Operation: "add", ID: "r", Name: "n", Delta: 2}); again.Count != 2 {
		t.Fatal("the restored state lacks a completed request", again)
	}
	if second := apply(restored, 4, rpc.CoordinationRequest{Operation: "add", Name: "n", Delta: 2}); second.Count != 4 {
		t.Fatal(second)
	}
}

func TestStore_DropsOldestResponses(t *testing.T) {
	store := NewStore()
	add := func(i int) *rpc.CoordinationResponse {
		return apply(store, ids.Index(i), rpc.CoordinationRequest{Operation: "add", ID: fmt.Sprint("r", i%(maxCompleted+1)), Name: "n", Delta: 1})
	}
	for i := 1; i <= maxCompleted+1; i++ {
		add(i)
	}
	if store.IsCompleted("r1") || !store.IsCompleted("r2") || store.IsCompleted("") {
		t.Fatal("not exactly the oldest request ID was dropped")
	}
	if again := add(maxCompleted + 3); again.Index != 2 {
		t.Fatal("a completed request was executed again", again)
	}
}

func TestStore_MalformedEntryIsInvalidCall(t *testing.T) {
	store := NewStore()
	for _, body := range []string{`{"op":`, `{"op":"steal","name":"l"}`} {
		if got := store.Apply(1, json.RawMessage(body)).(*rpc.CoordinationResponse); got.Code != errcode.InvalidCall.Number {
			t.Error(body, got)
		}
	}
}
