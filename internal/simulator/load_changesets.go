// Operators that submit competing change sets. Each change set moves, splits, adds or drops several
// mappings and services together, as an amendment or as a whole configuration. Clients request all
// the paths meanwhile, so that a partially applied or a rejected change set would be visible in the
// requests that targets execute.

package simulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/api"
	"github.com/sumactrestle/sumactrestle/internal/standin"
)

// optionalServices are added and dropped by change sets. Their targets send heartbeats throughout.
var optionalServices = []string{"alpha", "beta"}

// changeSetPathCount is the number of paths that the change sets map.
const changeSetPathCount = 6

func changeSetPath(i int) string { return fmt.Sprintf("/set/%d", i) }

func changeSetMapping(i int, services ...string) api.Mapping {
	m := api.Mapping{Name: fmt.Sprint("set", i), Path: changeSetPath(i), Repeatable: api.NewOptBool(true), Deadline: api.NewOptInt64(3000)}
	for _, service := range services {
		m.To = append(m.To, api.Split{Service: service, Weight: 1})
	}
	return m
}

func newService(name string) api.Service {
	return api.Service{Name: name, Key: api.NewOptString("key-" + name)}
}

// newChangeSet returns a random change set based on an epoch that an operator has read.
func (f *Fleet) newChangeSet(r *rand.Rand, id string, view *api.EpochView) *api.Change {
	hasMapping, hasService := map[string]bool{}, map[string]bool{}
	for _, m := range view.Config.Mappings {
		hasMapping[m.Name] = true
	}
	var services []string
	for _, s := range view.Config.Services {
		hasService[s.Name] = true
		services = append(services, s.Name)
	}
	pick := func() string { return services[r.IntN(len(services))] }
	var put api.Config
	var drops api.Drops
	change := &api.Change{ID: id, Base: view.Epoch}
	switch r.IntN(5) {
	case 0: // all mappings move to one service
		destination := pick()
		for i := range changeSetPathCount {
			put.Mappings = append(put.Mappings, changeSetMapping(i, destination))
		}
	case 1: // some mappings are split, and a new one is added
		first, second := pick(), pick()
		for i := range changeSetPathCount {
			if first != second && r.IntN(2) == 0 {
				put.Mappings = append(put.Mappings, changeSetMapping(i, first, second))
			}
		}
		put.Mappings = append(put.Mappings, f.newChange(id, 0).Put.Value.Mappings...)
	case 2: // some mappings are dropped, others put
		for i := range changeSetPathCount {
			if name := fmt.Sprint("set", i); r.IntN(2) == 0 && hasMapping[name] {
				drops.Mappings = append(drops.Mappings, name)
			} else {
				put.Mappings = append(put.Mappings, changeSetMapping(i, pick()))
			}
		}
	case 3: // a service is added and takes all mappings, or is dropped with its mappings
		optional := optionalServices[r.IntN(len(optionalServices))]
		destination := optional
		if hasService[optional] {
			drops.Services = append(drops.Services, optional)
			destination = "rates"
		} else {
			put.Services = append(put.Services, newService(optional))
		}
		for i := range changeSetPathCount {
			put.Mappings = append(put.Mappings, changeSetMapping(i, destination))
		}
		for _, m := range view.Config.Mappings {
			for _, split := range m.To {
				if split.Service == optional && len(m.Path) > 6 && m.Path[:7] == "/extra/" {
					drops.Mappings = append(drops.Mappings, m.Name)
					break
				}
			}
		}
	case 4: // a whole configuration
		put = f.initialConfiguration()
		destination := optionalServices[r.IntN(len(optionalServices))]
		put.Services = append(put.Services, newService(destination))
		for i := range changeSetPathCount {
			if r.IntN(4) > 0 {
				put.Mappings = append(put.Mappings, changeSetMapping(i, destination))
			}
		}
		change.Whole = api.NewOptBool(true)
	}
	change.Put = api.NewOptConfig(put)
	if len(drops.Mappings)+len(drops.Services) > 0 {
		change.Drop = api.NewOptDrops(drops)
	}
	return change
}

// newBulkChange returns a change set that adds n mappings.
func newBulkChange(id string, base uint64, n int) *api.Change {
	config := api.Config{}
	for i := range n {
		config.Mappings = append(config.Mappings, api.Mapping{Name: fmt.Sprint(id, "-", i), Path: fmt.Sprintf("/extra/%s/%d", id, i), To: []api.Split{{Service: "rates", Weight: 1}}, Repeatable: api.NewOptBool(true)})
	}
	return &api.Change{ID: id, Base: base, Put: api.NewOptConfig(config)}
}

// StartChangeSets starts the targets of the optional services, clients that request all change set
// paths, and n operators. An operator submits change sets, requests some of their paths at once,
// and repeats some submissions.
func (f *Fleet) StartChangeSets(n int, mean time.Duration) {
	for i, optional := range optionalServices {
		f.StartTarget(optional, "", i%f.Shape.Zones)
	}
	for i, proxyNode := range f.Proxies() {
		client := f.newClient(i)
		f.goTask(func(r *rand.Rand) {
			client.Call(f.ctx, proxyNode.ProxyAddress(), "GET", changeSetPath(r.IntN(changeSetPathCount)), "", nil)
			pause(r, 40*time.Millisecond)
		})
	}
	for i := range n {
		operators := f.operatorsOfEveryNode(50 + i)
		client := f.newClient(50 + i)
		f.goTask(func(r *rand.Rand) {
			pause(r, mean)
			o := operators[r.IntN(len(operators))]
			view, err := o.Epoch(f.ctx)
			if err != nil {
				return
			}
			pause(r, 50*time.Millisecond)
			id := fmt.Sprintf("s%d-%d", i, f.changeCount.Add(1))
			change := f.newChangeSet(r, id, view)
			if f.Shape.Growth > 0 && r.IntN(4) == 0 {
				change = newBulkChange(id, view.Epoch, f.Shape.Growth)
			}
			isInvalid := r.IntN(6) == 0 && len(change.Put.Value.Mappings) > 1
			if isInvalid {
				last := len(change.Put.Value.Mappings) - 1
				change.Put.Value.Mappings[last].To = []api.Split{{Service: standin.MissingService, Weight: 1}}
			}
			_, err = o.Submit(f.ctx, change)
			for _, m := range change.Put.Value.Mappings[:min(2, len(change.Put.Value.Mappings))] {
				proxyNode := f.Proxies()[r.IntN(len(f.Proxies()))]
				client.Call(f.ctx, proxyNode.ProxyAddress(), "GET", m.Path, "", nil)
			}
			if err != nil || r.IntN(4) == 0 {
				pause(r, 500*time.Millisecond)
				operators[r.IntN(len(operators))].Submit(f.ctx, change)
			}
		})
	}
}
