package distribution

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/sumactrestle/sumactrestle/internal/controlplane"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// A target list may alternate between two contents. The same delta then recurs and must carry
// the index of the current epoch, or the cache rejects it as old.
func TestDelta_AlternatingListActivatesEachEpoch(t *testing.T) {
	targetList := func(n int) json.RawMessage {
		targets := []rpc.Target{}
		for i := range n {
			targets = append(targets, rpc.Target{Instance: fmt.Sprint("i", i), Address: "10.0.0.1:1", Zone: "a", Weight: 100})
		}
		raw, _ := json.Marshal(targets)
		return raw
	}
	for _, sizes := range [][2]int{{1, 0}, {9, 8}, {1, 2}} {
		state := controlplane.NewConfigState()
		deltas := newDeltaEncoder(state)
		cache := NewCache(eventlog.New(t.Output(), "error", "test"))
		const name = controlplane.TargetsPrefix + "s"
		for epoch := ids.Epoch(1); epoch <= 8; epoch++ {
			body, _ := json.Marshal(rpc.EpochEntry{Epoch: epoch, Put: map[string]json.RawMessage{name: targetList(sizes[epoch%2])}})
			if err := state.Apply(ids.Index(epoch), body); err != nil {
				t.Fatal("could not apply epoch", epoch, err)
			}
			current := state.Current()
			group, _ := current.PublishedGroup(name)
			cache.Stage(map[string]rpc.Group{name: deltas.encode(name, cache.HeldDigests([]string{name})[name], group)})
			if ok, err := cache.Activate(epoch, current.Manifest()); !ok || err != nil {
				t.Fatalf("sizes %v: epoch %d was not activated: %v", sizes, epoch, err)
			}
		}
	}
}
