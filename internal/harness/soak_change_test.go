package harness

import (
	"math/rand/v2"
	"testing"

	"github.com/sumactrestle/sumactrestle/internal/api"
)

// A moved route is dropped only where it is there, is put again after that, and is led to each of the
// services in time.
func TestSoak_MovesRoutesInUse(t *testing.T) {
	s := &soak{run: &run{Options: Options{Shape: soakShape}}}
	random := rand.New(rand.NewPCG(1, 1))
	there := map[string]bool{}
	drops, services := 0, map[string]bool{}
	for range 200 {
		view := &api.EpochView{Epoch: 7}
		for name := range there {
			view.Config.Mappings = append(view.Config.Mappings, api.Mapping{Name: name, Path: "/" + name})
		}
		change := s.moveChange("change", view, random)
		if change.Base != view.Epoch {
			t.Fatalf("the base is epoch %d, not the one that was read", change.Base)
		}
		for _, name := range change.Drop.Value.Mappings {
			if !there[name] {
				t.Fatalf("%s is dropped and was not there", name)
			}
			delete(there, name)
			drops++
		}
		for _, m := range change.Put.Value.Mappings {
			there[m.Name] = true
			services[m.To[0].Service] = true
		}
	}
	if drops == 0 || len(services) != len(soakShape.Loads) {
		t.Errorf("%d drops, led to %v", drops, services)
	}
}
