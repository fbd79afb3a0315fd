package coordination

import (
	"encoding/json"
	"testing"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// reserve applies a batch of one reservation and returns the record of its response.
func reserve(store *Store, index ids.Index, name, holder string) rpc.CoordinationRecord {
	batch := rpc.CoordinationRequest{Operation: "claims", Name: "orders", Records: []rpc.CoordinationRecord{{Name: name, Holder: holder}}}
	return apply(store, index, batch).Records[0]
}

// A reservation whose caller lost patience and cancelled it may come late. It must not
// stand in the way of the request for as long as records are kept.
func TestIdempotency_CancelledReservationIsNotTakenLate(t *testing.T) {
	store := NewStore()
	apply(store, 1, rpc.CoordinationRequest{Operation: "unclaim", Name: "orders/a", Holder: "one"})
	if reserve(store, 2, "orders/a", "one").Kind != kindReserved {
		t.Error("the late reservation was taken")
	}
	if reserve(store, 3, "orders/a", "two").Kind == kindReserved {
		t.Error("the next one was not")
	}
	if reserve(store, 4, "orders/a", "three").Kind != kindReserved {
		t.Error("two requests hold one key")
	}
}

func TestIdempotency_RepeatGetsTheOutcomeOfTheFirst(t *testing.T) {
	store := NewStore()
	reserve(store, 1, "orders/a", "one")
	if got := reserve(store, 2, "orders/a", "two"); got.Kind != kindReserved || got.Holder != "one" || got.Value != nil {
		t.Fatal("while it is under way:", got)
	}
	complete := func(index ids.Index, holder string) {
		apply(store, index, rpc.CoordinationRequest{Operation: "settle", Name: "orders/a", Records: []rpc.CoordinationRecord{{Name: "orders/a", Holder: holder, Value: json.RawMessage(`"` + holder + ` ran"`)}}})
	}
	complete(3, "two")
	complete(4, "one")
	apply(store, 5, rpc.CoordinationRequest{Operation: "unclaim", Name: "orders/a", Holder: "one"})
	if got := reserve(store, 6, "orders/a", "two"); got.Kind != kindReserved || got.Holder != "one" || string(got.Value) != `"one ran"` {
		t.Fatal("when it is over:", got)
	}
}

func TestIdempotency_SweepRemovesUpToAnIndex(t *testing.T) {
	store := NewStore()
	reserve(store, 1, "orders/a", "one")
	reserve(store, 2, "orders/b", "one")
	reserve(store, 3, "orders/c", "one")
	apply(store, 4, rpc.CoordinationRequest{Operation: "sweep", Name: "claims", FencingToken: 2})
	if records, _ := store.List(KindIdempotency, ""); len(records) != 1 || records[0].Name != "orders/c" {
		t.Fatal(records)
	}
}
