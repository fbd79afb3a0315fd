package coordination

import (
	"testing"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

func TestCounter_AddsAndPublishesTheCount(t *testing.T) {
	store := NewStore()
	want := int64(0)
	for i, delta := range []int64{1, 5, -10, 0} {
		want += delta
		if got := apply(store, ids.Index(i+1), rpc.CoordinationRequest{Operation: "add", Name: "n", Delta: delta}); got.Code != 0 || got.Count != want {
			t.Fatal(got)
		}
	}
	events, _, _ := store.EventsSince("n", 2, 10)
	if len(events) != 2 || string(events[0].Value) != "-4" || events[0].Kind != KindCounter {
		t.Fatal(events)
	}
}
