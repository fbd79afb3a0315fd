package coordination

import (
	"encoding/json"
	"testing"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

func TestKey_ConditionalPutAndDelete(t *testing.T) {
	store := NewStore()
	indexPointer := func(index ids.Index) *ids.Index { return &index }
	for _, step := range []struct {
		index     ids.Index
		request   rpc.CoordinationRequest
		code      int
		wantIndex ids.Index // the index in the response
	}{
		{1, rpc.CoordinationRequest{Operation: "drop", Name: "k"}, errcode.KeyNotFound.Number, 0},
		{2, rpc.CoordinationRequest{Operation: "put", Name: "k", Value: json.RawMessage("1"), IfIndex: indexPointer(1)}, errcode.RevisionMismatch.Number, 0},
		{3, rpc.CoordinationRequest{Operation: "put", Name: "k", Value: json.RawMessage("1"), IfIndex: indexPointer(0)}, 0, 3},
		{4, rpc.CoordinationRequest{Operation: "put", Name: "k", Value: json.RawMessage("2"), IfIndex: indexPointer(0)}, errcode.RevisionMismatch.Number, 3},
		{5, rpc.CoordinationRequest{Operation: "put", Name: "k", Value: json.RawMessage("2"), IfIndex: indexPointer(3)}, 0, 5},
		{6, rpc.CoordinationRequest{Operation: "drop", Name: "k", IfIndex: indexPointer(3)}, errcode.RevisionMismatch.Number, 5},
		{7, rpc.CoordinationRequest{Operation: "put", Name: "k", Value: json.RawMessage("3")}, 0, 7},
		{8, rpc.CoordinationRequest{Operation: "drop", Name: "k", IfIndex: indexPointer(7)}, 0, 8},
		{9, rpc.CoordinationRequest{Operation: "put", Name: "k", Value: json.RawMessage("4"), IfIndex: indexPointer(0)}, 0, 9},
	} {
		if got := apply(store, step.index, step.request); got.Code != step.code || got.Index != step.wantIndex {
			t.Fatalf("entry %d: %+v", step.index, got)
		}
	}
	events, _, complete := store.EventsSince("k", 0, 10)
	if !complete || len(events) != 5 || !events[3].Deleted || events[3].Index != 8 || string(events[4].Value) != "4" {
		t.Fatal(events, complete)
	}
}
