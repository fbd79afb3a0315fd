package controlplane

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

func TestPatchTargets_AppliesResultOfDiffTargets(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	draw := func() []rpc.Target {
		list := []rpc.Target{}
		for i := range 40 {
			if r.IntN(4) > 0 {
				list = append(list, rpc.Target{Instance: fmt.Sprintf("i%02d", i), Address: fmt.Sprint("10.0.0.1:", r.IntN(2)+1), Zone: "a", Weight: 100})
			}
		}
		return list
	}
	for range 200 {
		from, to := draw(), draw()
		put, removed := diffTargets(from, to)
		got, err := PatchTargets(mustMarshal(from), put, removed)
		if err != nil || string(got) != string(mustMarshal(to)) {
			t.Fatalf("%v\n%s\n%s", err, got, mustMarshal(to))
		}
	}
	if _, err := PatchTargets(json.RawMessage("{"), nil, nil); err == nil {
		t.Error("patched a list that cannot be decoded")
	}
}

func TestConfigState_Delta(t *testing.T) {
	const name = TargetsPrefix + "s"
	target := func(instance string, weight int) rpc.Target {
		return rpc.Target{Instance: instance, Address: "10.0.0.1:80", Weight: weight}
	}
	long := mustMarshal([]rpc.Target{target("a", 1), target("b", 1), target("c", 1)})
	changed := mustMarshal([]rpc.Target{target("a", 1), target("c", 2)})
	unsorted := mustMarshal([]rpc.Target{target("c", 2), target("a", 1)})
	damaged := json.RawMessage(`"damaged"`)
	for title, c := range map[string]struct {
		name       string
		base, list json.RawMessage
		baseDigest string
		ok         bool
		reports    int
	}{
		"shorter difference":             {name, long, changed, Digest(long), true, 0},
		"difference as long as the list": {name, mustMarshal([]rpc.Target{}), long, Digest(mustMarshal([]rpc.Target{})), false, 0},
		"list in another order":          {name, long, unsorted, Digest(long), false, 0},
		"no base digest":                 {name, long, changed, "", false, 0},
		"unknown base digest":            {name, long, changed, Digest(changed), false, 0},
		"not a target list":              {LimitsGroup, long, changed, Digest(long), false, 0},
		"damaged base list":              {name, damaged, changed, Digest(damaged), false, 1},
		"damaged list":                   {name, long, damaged, Digest(long), false, 1},
	} {
		t.Run(title, func(t *testing.T) {
			state := NewConfigState()
			state.previous = []*EpochState{{Epoch: 1, Groups: map[string]rpc.Group{c.name: {Digest: Digest(c.base), Index: 1, Data: c.base}}}}
			reports := 0
			state.OnDamage = func(error) { reports++ }
			group := rpc.Group{Digest: Digest(c.list), Index: 2, Data: c.list}
			delta, ok := state.Delta(c.name, c.baseDigest, group)
			if ok != c.ok || reports != c.reports {
				t.Fatalf("%v %+v, %d reports", ok, delta, reports)
			}
			if !ok {
				return
			}
			patched, err := PatchTargets(c.base, delta.PutTargets, delta.RemovedTargets)
			if err != nil || string(patched) != string(c.list) || delta.Digest != group.Digest || delta.Index != 2 || delta.BaseDigest != c.baseDigest || delta.Data != nil {
				t.Errorf("%+v %s %v", delta, patched, err)
			}
		})
	}
}
