// What a control node sends of a list that goes to and fro between two contents.
package distribution

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/sumactrestle/sumactrestle/internal/mark"
	"github.com/sumactrestle/sumactrestle/internal/plan"
	"github.com/sumactrestle/sumactrestle/internal/sign"
	"github.com/sumactrestle/sumactrestle/internal/wire"
)

func TestAListThatGoesToAndFroIsTakenEachTime(t *testing.T) {
	list := func(n int) json.RawMessage {
		targets := []wire.Target{}
		for i := range n {
			targets = append(targets, wire.Target{Instance: fmt.Sprint("i", i), Address: "10.0.0.1:1", Zone: "a", Weight: 100})
		}
		raw, _ := json.Marshal(targets)
		return raw
	}
	for _, sizes := range [][2]int{{1, 0}, {9, 8}, {1, 2}} {
		ledger := plan.NewLedger()
		s := &Server{ledger: ledger}
		cache := NewCache(sign.New(t.Output(), "error", "test"))
		const name = plan.Targets + "s"
		for epoch := mark.Epoch(1); epoch <= 8; epoch++ {
			body, _ := json.Marshal(wire.Planned{Epoch: epoch, Put: map[string]json.RawMessage{name: list(sizes[epoch%2])}})
			if ledger.Apply(mark.Stamp(epoch), body) != true {
				t.Fatal("not taken", epoch)
			}
			sheet := ledger.Sheet()
			group, _ := sheet.Carried(name)
			cache.Stage(map[string]wire.Group{name: s.short(name, cache.Holds([]string{name})[name], group)})
			if ok, err := cache.Swap(epoch, sheet.Manifest()); !ok || err != nil {
				t.Fatalf("sizes %v: epoch %d is not in use: %v", sizes, epoch, err)
			}
		}
	}
}
