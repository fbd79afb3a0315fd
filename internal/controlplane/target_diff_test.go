package controlplane

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

func TestDiffTargets_PatchesOneListIntoTheOther(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	draw := func() json.RawMessage {
		list := []rpc.Target{}
		for i := range 40 {
			if r.IntN(4) > 0 {
				list = append(list, rpc.Target{Instance: fmt.Sprintf("i%02d", i), Address: fmt.Sprint("10.0.0.1:", r.IntN(2)+1), Zone: "a", Weight: 100})
			}
		}
		raw, _ := json.Marshal(list)
		return raw
	}
	for range 200 {
		from, to := draw(), draw()
		put, removed, ok := DiffTargets(from, to)
		if !ok {
			continue
		}
		got, err := PatchTargets(from, put, removed)
		if err != nil || string(got) != string(to) {
			t.Fatalf("%v\n%s\n%s", err, got, to)
		}
	}
	if _, err := PatchTargets(json.RawMessage("{"), nil, nil); err == nil {
		t.Error("a list that can't be read was patched")
	}
}
