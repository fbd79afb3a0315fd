package coordination

import (
	"encoding/json"
	"testing"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// reserve applies a batch of one reservation and returns its record in the response.
func reserve(store *Store, index ids.Index, name, holder string) rpc.CoordinationRecord {
	batch := rpc.CoordinationRequest{Operation: "claims", Name: "orders", Records: []rpc.CoordinationRecord{{Name: name, Holder: holder}}}
	return apply(store, index, batch).Records[0]
}

// A reservation may be applied after its caller has given up and canceled it. If it were
// accepted then, it would block the key for IdempotencyRetention.
func TestIdempotency_ReservationAfterItsCancellationIsRejected(t *testing.T) {
	store := NewStore()
	apply(store, 1, rpc.CoordinationRequest{Operation: "unclaim", Name: "orders/a", Holder: "one"})
	if reserve(store, 2, "orders/a", "one").Kind != kindRejected {
		t.Error("a reservation after its cancellation was accepted")
	}
	if reserve(store, 3, "orders/a", "two").Kind == kindRejected {
		t.Error("the next reservation was rejected")
	}
	if reserve(store, 4, "orders/a", "three").Kind != kindRejected {
		t.Error("two requests hold a reservation of one key")
	}
}

func TestIdempotency_RepeatedRequestGetsFirstOutcome(t *testing.T) {
	store := NewStore()
	reserve(store, 1, "orders/a", "one")
	if got := reserve(store, 2, "orders/a", "two"); got.Kind != kindRejected || got.Holder != "one" || got.Value != nil {
		t.Fatal("before completion:", got)
	}
	complete := func(index ids.Index, holder string) {
		apply(store, index, rpc.CoordinationRequest{Operation: "settle", Name: "orders/a", Records: []rpc.CoordinationRecord{{Name: "orders/a", Holder: holder, Value: json.RawMessage(`"` + holder + ` ran"`)}}})
	}
	complete(3, "two")
	complete(4, "one")
	apply(store, 5, rpc.CoordinationRequest{Operation: "unclaim", Name: "orders/a", Holder: "one"})
	if got := reserve(store, 6, "orders/a", "two"); got.Kind != kindRejected || got.Holder != "one" || string(got.Value) != `"one ran"` {
		t.Fatal("after completion:", got)
	}
}

func TestIdempotency_SweepRemovesRecordsUpToIndex(t *testing.T) {
	store := NewStore()
	reserve(store, 1, "orders/a", "one")
	reserve(store, 2, "orders/b", "one")
	reserve(store, 3, "orders/c", "one")
	apply(store, 4, rpc.CoordinationRequest{Operation: "sweep", Name: "claims", FencingToken: 2})
	if records, _ := store.List(KindIdempotency, ""); len(records) != 1 || records[0].Name != "orders/c" {
		t.Fatal(records)
	}
}
