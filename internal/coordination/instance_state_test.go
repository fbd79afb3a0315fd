package coordination

import (
	"testing"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

func TestInstanceState_RejectsOlderSequencesAndLeavingIsFinal(t *testing.T) {
	store := NewStore()
	for i, step := range []struct {
		operation, state string
		sequence         uint64
		code             int
	}{
		{"unmark", "", 9, errcode.KeyNotFound.Number},
		{"mark", "draining", 5, 0},
		{"mark", "leaving", 4, errcode.RevisionMismatch.Number},
		{"unmark", "", 4, errcode.KeyNotFound.Number},
		{"unmark", "", 6, 0},
		{"mark", "draining", 5, 0},
		{"mark", "leaving", 7, 0},
		{"mark", "draining", 8, errcode.RevisionMismatch.Number},
	} {
		request := rpc.CoordinationRequest{Operation: step.operation, Name: "rates/i1", Holder: step.state, Sequence: step.sequence}
		if got := apply(store, 10, request); got.Code != step.code {
			t.Fatalf("step %d: %+v", i, got)
		}
	}
	if record, ok := store.Get(KindInstanceState, "rates/i1"); !ok || record.Holder != "leaving" || record.Sequence != 7 {
		t.Fatal(record, ok)
	}
	if events, _, _ := store.EventsSince("", 0, 10); len(events) != 0 {
		t.Fatal("instance states published events", events)
	}
}
