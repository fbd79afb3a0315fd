package harness

import (
	"math/rand/v2"
	"testing"

	"github.com/sumactrestle/sumactrestle/internal/api"
)

// Moved routes are dropped only if they exist, are restored afterwards, and are routed to each of the
// services at some time.
func TestMoveChange_DropsAndRestoresRoutesAndUsesEveryService(t *testing.T) {
	s := &soak{run: &run{Options: Options{Shape: soakShape}}}
	random := rand.New(rand.NewPCG(1, 1))
	existing := map[string]bool{}
	drops, services := 0, map[string]bool{}
	for range 200 {
		view := &api.EpochView{Epoch: 7}
		for name := range existing {
			view.Config.Mappings = append(view.Config.Mappings, api.Mapping{Name: name, Path: "/" + name})
		}
		change := s.moveChange("change", view, random)
		if change.Base != view.Epoch {
			t.Fatalf("the base is epoch %d, not the epoch of the view", change.Base)
		}
		for _, name := range change.Drop.Value.Mappings {
			if !existing[name] {
				t.Fatalf("%s is dropped but did not exist", name)
			}
			delete(existing, name)
			drops++
		}
		for _, m := range change.Put.Value.Mappings {
			existing[m.Name] = true
			services[m.To[0].Service] = true
		}
	}
	if drops == 0 || len(services) != len(soakShape.Loads) {
		t.Errorf("%d drops, routed to %v", drops, services)
	}
}
