// What a control node sends of a list that goes to and fro between two contents.
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

func TestAListThatGoesToAndFroIsTakenEachTime(t *testing.T) {
	list := func(n int) json.RawMessage {
		targets := []rpc.Target{}
		for i := range n {
			targets = append(targets, rpc.Target{Instance: fmt.Sprint("i", i), Address: "10.0.0.1:1", Zone: "a", Weight: 100})
		}
		raw, _ := json.Marshal(targets)
		return raw
	}
	for _, sizes := range [][2]int{{1, 0}, {9, 8}, {1, 2}} {
		ledger := controlplane.NewConfigState()
		s := &Server{state: ledger}
		cache := NewCache(eventlog.New(t.Output(), "error", "test"))
		const name = controlplane.TargetsPrefix + "s"
		for epoch := ids.Epoch(1); epoch <= 8; epoch++ {
			body, _ := json.Marshal(rpc.EpochEntry{Epoch: epoch, Put: map[string]json.RawMessage{name: list(sizes[epoch%2])}})
			if err := ledger.Apply(ids.Index(epoch), body); err != nil {
				t.Fatal("not taken", epoch, err)
			}
			state := ledger.Current()
			group, _ := state.PublishedGroup(name)
			cache.Stage(map[string]rpc.Group{name: s.shorten(name, cache.Digests([]string{name})[name], group)})
			if ok, err := cache.Activate(epoch, state.Manifest()); !ok || err != nil {
				t.Fatalf("sizes %v: epoch %d is not in use: %v", sizes, epoch, err)
			}
		}
	}
}
