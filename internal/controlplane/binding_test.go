package controlplane

import (
	"encoding/json"
	"testing"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

func TestConfigState_OnlyChangeSetsAndRemovedTargetsBind(t *testing.T) {
	c := NewConfigState()
	step := func(change *rpc.ChangeResult, put map[string]any, drop ...string) ids.Epoch {
		t.Helper()
		planned := &rpc.EpochEntry{Epoch: c.Current().Epoch + 1, Change: change, Put: map[string]json.RawMessage{}, Remove: drop}
		for name, value := range put {
			planned.Put[name] = mustMarshal(value)
		}
		return apply(t, c, planned).LastBinding
	}
	list := func(targets ...rpc.Target) map[string]any { return map[string]any{TargetsPrefix + "rates": targets} }
	a, b := rpc.Target{Instance: "a", Address: "10.0.0.1:80", Weight: 100}, rpc.Target{Instance: "b", Address: "10.0.0.2:80", Weight: 100}
	moved, drained, lighter := b, b, b
	moved.Address, drained.Weight, lighter.Weight = "10.0.0.3:80", 0, 50
	for i, one := range []struct {
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
		if got := step(one.change, one.put, one.drop...); got != one.want {
			t.Errorf("step %d: the last epoch that binds is %d, not %d", i+1, got, one.want)
		}
	}
	if other := restored(t, snapshot(t, c)); other.Current().LastBinding != other.Current().Epoch {
		t.Error("a member that was sent a snapshot takes an epoch for one that does not bind, though it can't know")
	}
}
