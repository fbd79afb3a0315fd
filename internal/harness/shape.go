// The two deployments, as shapes: machines, zones, servers and rates of today.
// A run scales the rates by a factor that it prints.
package harness

import (
	"fmt"
	"math/rand/v2"
	"sort"

	"github.com/sumactrestle/sumactrestle/internal/api"
	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/standin"
)

// Load is one service with its servers and its callers.
type Load struct {
	Service           string
	Servers           int
	RequestsPerSecond float64
	Idempotent        bool
	BodyBytes         int
}

// Shape is a deployment.
type Shape struct {
	Name                  string
	Cores, Proxies, Zones int
	Loads                 []Load
	CoordinationPerSecond float64
	// RetryShare is the share of callers that repeat a refused order at once.
	RetryShare float64
	// How much of a processor a machine has.
	ProxyCPU, CoreCPU float64
}

// Shapes is both deployments, and a small one.
var Shapes = map[string]Shape{
	"quoteline": {Name: "quoteline", Cores: 5, Proxies: 9, Zones: 3, CoordinationPerSecond: 40, ProxyCPU: 0.25, CoreCPU: 0.25, Loads: []Load{
		{"rates", 12, 200, true, 0}, {"bookings", 6, 65, false, 400}, {"slots", 10, 70, true, 0}}},
	"municipality": {Name: "municipality", Cores: 3, Proxies: 12, Zones: 3, CoordinationPerSecond: 110, RetryShare: 0.2, ProxyCPU: 1.0 / 3, CoreCPU: 1, Loads: []Load{
		{"status", 21, 570, true, 0}, {"signing", 12, 260, false, 600}, {"uploads", 6, 60, false, 256 << 10}}},
	"small": {Name: "small", Cores: 3, Proxies: 2, Zones: 3, CoordinationPerSecond: 20, Loads: []Load{
		{"rates", 3, 50, true, 0}, {"bookings", 3, 20, false, 400}}},
}

// FindShape finds a shape, or refuses.
func FindShape(name string) (Shape, error) {
	s, ok := Shapes[name]
	if !ok {
		var names []string
		for name := range Shapes {
			names = append(names, name)
		}
		sort.Strings(names)
		return s, errcode.New(errcode.InvalidCall, "no shape %q; there are %v", name, names)
	}
	return s, nil
}

// Faults is what can be done to a fleet of real processes while it works.
var Faults = map[string]func(r *Run, rnd *rand.Rand){
	"none":    func(r *Run, rnd *rand.Rand) { r.sleepBetween(rnd, 1000, 1001) },
	"kill":    killMachine,
	"herd":    killGroup,
	"wipe":    wipeCore,
	"freeze":  freezeMachine,
	"stop":    stopMachine,
	"server":  replaceServer,
	"change":  addRoute,
	"cut":     partitionNetwork,
	"grow":    addManyRoutes,
	"roll":    replaceBuild,
	"upgrade": upgradeMachine,
	"all": func(r *Run, rnd *rand.Rand) {
		all := []func(*Run, *rand.Rand){killMachine, killGroup, wipeCore, partitionNetwork, partitionNetwork, freezeMachine, stopMachine, replaceServer, replaceServer}
		all[rnd.IntN(len(all))](r, rnd)
	},
}

func (r *Run) pick(rnd *rand.Rand, list []*Machine) *Machine { return list[rnd.IntN(len(list))] }

// addRoute adds one mapping, for what a small change to a large configuration
// costs.
func addRoute(r *Run, rnd *rand.Rand) {
	operator := standin.NewOperator(environment.NewHost(""), r.history, r.fleet.ProxyMachines()[0].APIAddress())
	if view, err := operator.Epoch(r.ctx); err == nil {
		id := fmt.Sprint("small", r.changesSubmitted.Add(1))
		config := api.Config{Mappings: []api.Mapping{{Name: id, Path: "/" + id, To: []api.Split{{Service: r.shape.Loads[0].Service, Weight: 1}}}}}
		operator.Submit(r.ctx, &api.Change{ID: id, Base: view.Epoch, Put: api.NewOptConfig(config)})
	}
	r.sleepBetween(rnd, 1000, 1001)
}

// replaceBuild stops one machine after the other as planned and starts it with the other
// build: forward through the whole fleet, and back.
func replaceBuild(r *Run, rnd *rand.Rand) {
	m := r.fleet.Machines[r.replaced%len(r.fleet.Machines)]
	r.replaced++
	if !m.Stop() {
		r.logf("%s did not stop in time", m.Name)
	}
	m.runsOther = !m.runsOther
	r.recordFault("roll %s (other build: %v)", m.Name, m.runsOther)
	r.startMachine(m)
	r.sleepBetween(rnd, 800, 1500)
}

// addManyRoutes adds a hundred mappings in one change set.
func addManyRoutes(r *Run, rnd *rand.Rand) {
	operator := standin.NewOperator(environment.NewHost(""), r.history, r.fleet.ProxyMachines()[0].APIAddress())
	if view, err := operator.Epoch(r.ctx); err == nil {
		id, config := fmt.Sprint("grown", r.changesSubmitted.Add(1)), api.Config{}
		for i := range 100 {
			name := fmt.Sprint(id, "-", i)
			config.Mappings = append(config.Mappings, api.Mapping{Name: name, Path: "/" + name, To: []api.Split{{Service: r.shape.Loads[0].Service, Weight: 1}}})
		}
		operator.Submit(r.ctx, &api.Change{ID: id, Base: view.Epoch, Put: api.NewOptConfig(config)})
	}
	r.sleepBetween(rnd, 500, 501)
}

// partitionNetwork cuts ways between processes: one way, a machine, a zone, or the whole
// core apart.
func partitionNetwork(r *Run, rnd *rand.Rand) {
	one, two := r.pick(rnd, r.fleet.Machines), r.pick(rnd, r.fleet.Machines)
	switch rnd.IntN(4) {
	case 0:
		r.recordFault("cut %s to %s one way", one.Name, two.Name)
		r.fleet.Relay.Cut(one, two)
	case 1:
		r.recordFault("cut %s off", one.Name)
		r.fleet.Relay.Isolate(func(m *Machine) bool { return m == one })
	case 2:
		r.recordFault("cut %s off", one.Zone)
		r.fleet.Relay.Isolate(func(m *Machine) bool { return m.Zone == one.Zone })
	case 3:
		r.recordFault("split the core apart")
		for _, core := range r.fleet.CoreMachines() {
			r.fleet.Relay.Isolate(func(m *Machine) bool { return m == core })
		}
	}
	r.sleepBetween(rnd, 500, 6000)
	r.fleet.Relay.Heal()
	r.recordFault("heal")
	r.sleepBetween(rnd, 1000, 4000)
}

func killMachine(r *Run, rnd *rand.Rand) {
	m := r.pick(rnd, r.fleet.Machines)
	r.recordFault("kill %s", m.Name)
	m.Kill()
	r.sleepBetween(rnd, 0, 3000)
	r.startMachine(m)
	r.sleepBetween(rnd, 1000, 4000)
}

func killGroup(r *Run, rnd *rand.Rand) {
	herd := r.fleet.CoreMachines()
	if rnd.IntN(2) == 0 {
		herd = r.fleet.ProxyMachines()
	}
	for _, m := range herd {
		r.recordFault("kill %s", m.Name)
		m.Kill()
	}
	r.sleepBetween(rnd, 0, 2000)
	for _, m := range herd {
		r.startMachine(m)
	}
	r.sleepBetween(rnd, 3000, 6000)
}

// wipeCore waits long enough for the copies to be mended before the next fault.
func wipeCore(r *Run, rnd *rand.Rand) {
	m := r.pick(rnd, r.fleet.CoreMachines())
	r.recordFault("%s is lost with its disk", m.Name)
	m.Kill()
	if err := m.Wipe(); err != nil {
		r.logf("wipe: %v", err)
	}
	r.sleepBetween(rnd, 0, 2000)
	r.startMachine(m)
	r.sleepBetween(rnd, 6000, 8000)
}

func freezeMachine(r *Run, rnd *rand.Rand) {
	m := r.pick(rnd, r.fleet.Machines)
	r.recordFault("freeze %s", m.Name)
	m.Freeze()
	r.sleepBetween(rnd, 300, 5000)
	m.Thaw()
	r.recordFault("thaw %s", m.Name)
	r.sleepBetween(rnd, 1000, 4000)
}

func stopMachine(r *Run, rnd *rand.Rand) {
	m := r.pick(rnd, r.fleet.Machines)
	r.recordFault("stop %s as planned", m.Name)
	if !m.Stop() {
		r.logf("%s did not stop in time", m.Name)
	}
	r.startMachine(m)
	r.sleepBetween(rnd, 1000, 4000)
}

// replaceServer drains a server, or crashes it and gives its address to another
// service two seconds later.
func replaceServer(r *Run, rnd *rand.Rand) {
	s := r.takeServer(rnd)
	if rnd.IntN(2) == 0 {
		r.recordFault("%s %s drains", s.Service, s.Instance)
		if s.Announce(r.ctx, "draining") {
			r.sleepBetween(rnd, 2500, 2501)
			s.Announce(r.ctx, "leaving")
		}
		s.Close()
		r.startServer(s.Service, s.Address, s.Zone)
		return
	}
	other := r.shape.Loads[rnd.IntN(len(r.shape.Loads))].Service
	r.recordFault("%s %s crashes; %s takes %s after two seconds", s.Service, s.Instance, other, s.Address)
	s.Crash()
	r.sleepBetween(rnd, 2000, 2001)
	r.startServer(other, s.Address, s.Zone)
	r.startServer(s.Service, fmt.Sprintf("127.9.%d.%d:%d", rnd.IntN(200), 1+rnd.IntN(200), r.fleet.Port), s.Zone)
}
