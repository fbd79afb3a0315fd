package harness

import (
	"github.com/sumactrestle/sumactrestle/internal/api"
)

const routeDeadlineMillis = 5000

// initialChange returns a change set that replaces the whole configuration with one service and
// one route per load.
func initialChange(id string, loads []Load) *api.Change {
	config := api.Config{}
	for _, load := range loads {
		config.Services = append(config.Services, api.Service{Name: load.Service, Key: api.NewOptString(sealKey(load.Service))})
		config.Mappings = append(config.Mappings, api.Mapping{
			Name:       load.Service,
			Path:       "/" + load.Service,
			To:         []api.Split{{Service: load.Service, Weight: 1}},
			Repeatable: api.NewOptBool(load.Idempotent),
			Deadline:   api.NewOptInt64(routeDeadlineMillis),
		})
	}
	return &api.Change{ID: id, Whole: api.NewOptBool(true), Put: api.NewOptConfig(config)}
}
