// Whole change sets: each moves, splits, adds or drops several mappings and
// services together, some as amendments and some as whole configurations, and
// they race. Requests to all the paths go on all the while, so that a half set, or
// one that was refused, would show in what a server runs.

package simulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/api"
	"github.com/sumactrestle/sumactrestle/internal/standin"
)

// The services that come and go with change sets; their servers beat all along.
var optionalServices = []string{"alpha", "beta"}

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

// setChange draws a change set against the epoch an operator has seen.
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
	case 0: // all move together
		target := pick()
		for i := range changeSetPathCount {
			put.Mappings = append(put.Mappings, changeSetMapping(i, target))
		}
	case 1: // some are split, with a mapping of their own
		first, second := pick(), pick()
		for i := range changeSetPathCount {
			if first != second && r.IntN(2) == 0 {
				put.Mappings = append(put.Mappings, changeSetMapping(i, first, second))
			}
		}
		put.Mappings = append(put.Mappings, f.newChange(id, 0).Put.Value.Mappings...)
	case 2: // some go, others come
		for i := range changeSetPathCount {
			if name := fmt.Sprint("set", i); r.IntN(2) == 0 && hasMapping[name] {
				drops.Mappings = append(drops.Mappings, name)
			} else {
				put.Mappings = append(put.Mappings, changeSetMapping(i, pick()))
			}
		}
	case 3: // a service comes with all its mappings, or goes and they with it
		optional := optionalServices[r.IntN(len(optionalServices))]
		target := optional
		if hasService[optional] {
			drops.Services = append(drops.Services, optional)
			target = "rates"
		} else {
			put.Services = append(put.Services, newService(optional))
		}
		for i := range changeSetPathCount {
			put.Mappings = append(put.Mappings, changeSetMapping(i, target))
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
		target := optionalServices[r.IntN(len(optionalServices))]
		put.Services = append(put.Services, newService(target))
		for i := range changeSetPathCount {
			if r.IntN(4) > 0 {
				put.Mappings = append(put.Mappings, changeSetMapping(i, target))
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

// growConfiguration adds many mappings in one set.
func newBulkChange(id string, base uint64, n int) *api.Change {
	config := api.Config{}
	for i := range n {
		config.Mappings = append(config.Mappings, api.Mapping{Name: fmt.Sprint(id, "-", i), Path: fmt.Sprintf("/extra/%s/%d", id, i), To: []api.Split{{Service: "rates", Weight: 1}}, Repeatable: api.NewOptBool(true)})
	}
	return &api.Change{ID: id, Base: base, Put: api.NewOptConfig(config)}
}

// StartChangeSets starts the servers of the guests, callers of all paths of the sets, and
// operators who submit sets, repeat some of them, and call at once what they put.
func (f *Fleet) StartChangeSets(n int, mean time.Duration) {
	for i, optional := range optionalServices {
		f.StartTarget(optional, "", i%f.Shape.Zones)
	}
	for i, proxyNode := range f.Proxies() {
		caller := f.newClient(i)
		f.goTask(func(r *rand.Rand) {
			caller.Call(f.ctx, proxyNode.ProxyAddress(), "GET", changeSetPath(r.IntN(changeSetPathCount)), "", nil)
			pause(r, 40*time.Millisecond)
		})
	}
	for i := range n {
		operators := f.operatorsOfEveryNode(50 + i)
		caller := f.newClient(50 + i)
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
				caller.Call(f.ctx, proxyNode.ProxyAddress(), "GET", m.Path, "", nil)
			}
			if err != nil || r.IntN(4) == 0 {
				pause(r, 500*time.Millisecond)
				operators[r.IntN(len(operators))].Submit(f.ctx, change)
			}
		})
	}
}
