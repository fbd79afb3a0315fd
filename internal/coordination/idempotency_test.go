package coordination

import (
	"testing"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// A claim whose asker lost patience and gave it back may come late; it must not
// stand in the way of the order for as long as claims are kept.
func TestIdempotency_CancelledReservationIsNotTakenLate(t *testing.T) {
	store := NewStore()
	claim := func(index ids.Index, holder string) bool {
		return apply(store, index, rpc.CoordinationRequest{Operation: "claims", Name: "orders", Records: []rpc.CoordinationRecord{{Name: "orders/a", Holder: holder}}}).Records[0].Kind != kindReserved
	}
	apply(store, 1, rpc.CoordinationRequest{Operation: "unclaim", Name: "orders/a", Holder: "one"})
	if claim(2, "one") {
		t.Error("the late claim was taken")
	}
	if !claim(3, "two") {
		t.Error("the next one was not")
	}
	if claim(4, "three") {
		t.Error("two hold one order")
	}
}
