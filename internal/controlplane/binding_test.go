package controlplane

import (
	"encoding/json"
	"testing"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

func TestConfigState_OnlyChangeSetsAndRemovedTargetsMakeEpochsBinding(t *testing.T) {
	state := NewConfigState()
	step := func(change *rpc.ChangeResult, put map[string]any, drop ...string) ids.Epoch {
		t.Helper()
		planned := &rpc.EpochEntry{Epoch: state.Current().Epoch + 1, Change: change, Put: map[string]json.RawMessage{}, Remove: drop}
		for name, value := range put {
			planned.Put[name] = mustMarshal(value)
		}
		return apply(t, state, planned).LastBinding
	}
	list := func(targets ...rpc.Target) map[string]any { return map[string]any{TargetsPrefix + "rates": targets} }
	a, b := rpc.Target{Instance: "a", Address: "10.0.0.1:80", Weight: 100}, rpc.Target{Instance: "b", Address: "10.0.0.2:80", Weight: 100}
	moved, drained, lighter := b, b, b
	moved.Address, drained.Weight, lighter.Weight = "10.0.0.3:80", 0, 50
	for i, c := range []struct {
		change *rpc.ChangeResult
		put    map[string]any
		drop   []string
		want   ids.Epoch
	}{
		{&rpc.ChangeResult{ID: "first", Epoch: 1}, list(a), nil, 1},
		{nil, list(a, b), nil, 1},
		{nil, map[string]any{SharesGroup: map[string]int{"proxy1": 100}}, nil, 1},
		{nil, list(a, lighter), nil, 1},
		{nil, list(a, moved), nil, 5},
		{nil, list(a, drained), nil, 6},
		{nil, list(a), nil, 6},
		{nil, list(), nil, 8},
		{nil, list(b), nil, 8},
		{&rpc.ChangeResult{ID: "second", Epoch: 10}, nil, nil, 10},
		{nil, list(b, a), nil, 10},
		{nil, nil, []string{TargetsPrefix + "rates"}, 12},
	} {
		if got := step(c.change, c.put, c.drop...); got != c.want {
			t.Errorf("step %d: the last binding epoch is %d, want %d", i+1, got, c.want)
		}
	}
	if other := restored(t, snapshot(t, state)); other.Current().LastBinding != other.Current().Epoch {
		t.Error("the epoch of a restored snapshot does not count as binding")
	}
}
