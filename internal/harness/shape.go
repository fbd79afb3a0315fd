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
	Service      string
	Servers      int
	PerSecond    float64
	IsRepeatable bool
	Bytes        int
}

// Shape is a deployment.
type Shape struct {
	Name                  string
	Cores, Proxies, Zones int
	Loads                 []Load
	CallsPerSecond        float64
	// Impatient is the share of callers that repeat a refused order at once.
	Impatient float64
	// How much of a processor a machine has.
	ProxyShare, CoreShare float64
}

// Shapes is both deployments, and a small one.
var Shapes = map[string]Shape{
	"quoteline": {Name: "quoteline", Cores: 5, Proxies: 9, Zones: 3, CallsPerSecond: 40, ProxyShare: 0.25, CoreShare: 0.25, Loads: []Load{
		{"rates", 12, 200, true, 0}, {"bookings", 6, 65, false, 400}, {"slots", 10, 70, true, 0}}},
	"municipality": {Name: "municipality", Cores: 3, Proxies: 12, Zones: 3, CallsPerSecond: 110, Impatient: 0.2, ProxyShare: 1.0 / 3, CoreShare: 1, Loads: []Load{
		{"status", 21, 570, true, 0}, {"signing", 12, 260, false, 600}, {"uploads", 6, 60, false, 256 << 10}}},
	"small": {Name: "small", Cores: 3, Proxies: 2, Zones: 3, CallsPerSecond: 20, Loads: []Load{
		{"rates", 3, 50, true, 0}, {"bookings", 3, 20, false, 400}}},
}

// ShapeOf finds a shape, or refuses.
func ShapeOf(name string) (Shape, error) {
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
	"none":    func(r *Run, rnd *rand.Rand) { r.nap(rnd, 1000, 1001) },
	"kill":    killOne,
	"herd":    killHerd,
	"wipe":    wipeOne,
	"freeze":  freezeOne,
	"stop":    stopOne,
	"server":  serverGoes,
	"change":  changeOne,
	"cut":     cutSome,
	"grow":    growSome,
	"roll":    rollOne,
	"upgrade": upgradeOne,
	"all": func(r *Run, rnd *rand.Rand) {
		all := []func(*Run, *rand.Rand){killOne, killHerd, wipeOne, cutSome, cutSome, freezeOne, stopOne, serverGoes, serverGoes}
		all[rnd.IntN(len(all))](r, rnd)
	},
}

func (r *Run) pick(rnd *rand.Rand, list []*Machine) *Machine { return list[rnd.IntN(len(list))] }

// changeOne adds one mapping, for what a small change to a large configuration
// costs.
func changeOne(r *Run, rnd *rand.Rand) {
	operator := standin.NewOperator(environment.NewHost(""), r.h, r.f.ProxyMachines()[0].Api())
	if view, err := operator.Epoch(r.ctx); err == nil {
		id := fmt.Sprint("small", r.changes.Add(1))
		config := api.Config{Mappings: []api.Mapping{{Name: id, Path: "/" + id, To: []api.Split{{Service: r.shape.Loads[0].Service, Weight: 1}}}}}
		operator.Submit(r.ctx, &api.Change{ID: id, Base: view.Epoch, Put: api.NewOptConfig(config)})
	}
	r.nap(rnd, 1000, 1001)
}

// rollOne stops one machine after the other as planned and starts it with the other
// build: forward through the whole fleet, and back.
func rollOne(r *Run, rnd *rand.Rand) {
	m := r.f.Machines[r.rolled%len(r.f.Machines)]
	r.rolled++
	if !m.Stop() {
		r.say("%s did not stop in time", m.Name)
	}
	m.isOther = !m.isOther
	r.mark("roll %s (other build: %v)", m.Name, m.isOther)
	r.start(m)
	r.nap(rnd, 800, 1500)
}

// growSome adds a hundred mappings in one change set.
func growSome(r *Run, rnd *rand.Rand) {
	operator := standin.NewOperator(environment.NewHost(""), r.h, r.f.ProxyMachines()[0].Api())
	if view, err := operator.Epoch(r.ctx); err == nil {
		id, config := fmt.Sprint("grown", r.changes.Add(1)), api.Config{}
		for i := range 100 {
			name := fmt.Sprint(id, "-", i)
			config.Mappings = append(config.Mappings, api.Mapping{Name: name, Path: "/" + name, To: []api.Split{{Service: r.shape.Loads[0].Service, Weight: 1}}})
		}
		operator.Submit(r.ctx, &api.Change{ID: id, Base: view.Epoch, Put: api.NewOptConfig(config)})
	}
	r.nap(rnd, 500, 501)
}

// cutSome cuts ways between processes: one way, a machine, a zone, or the whole
// core apart.
func cutSome(r *Run, rnd *rand.Rand) {
	one, two := r.pick(rnd, r.f.Machines), r.pick(rnd, r.f.Machines)
	switch rnd.IntN(4) {
	case 0:
		r.mark("cut %s to %s one way", one.Name, two.Name)
		r.f.Relay.Cut(one, two)
	case 1:
		r.mark("cut %s off", one.Name)
		r.f.Relay.Isolate(func(m *Machine) bool { return m == one })
	case 2:
		r.mark("cut %s off", one.Zone)
		r.f.Relay.Isolate(func(m *Machine) bool { return m.Zone == one.Zone })
	case 3:
		r.mark("split the core apart")
		for _, core := range r.f.CoreMachines() {
			r.f.Relay.Isolate(func(m *Machine) bool { return m == core })
		}
	}
	r.nap(rnd, 500, 6000)
	r.f.Relay.Heal()
	r.mark("heal")
	r.nap(rnd, 1000, 4000)
}

func killOne(r *Run, rnd *rand.Rand) {
	m := r.pick(rnd, r.f.Machines)
	r.mark("kill %s", m.Name)
	m.Kill()
	r.nap(rnd, 0, 3000)
	r.start(m)
	r.nap(rnd, 1000, 4000)
}

func killHerd(r *Run, rnd *rand.Rand) {
	herd := r.f.CoreMachines()
	if rnd.IntN(2) == 0 {
		herd = r.f.ProxyMachines()
	}
	for _, m := range herd {
		r.mark("kill %s", m.Name)
		m.Kill()
	}
	r.nap(rnd, 0, 2000)
	for _, m := range herd {
		r.start(m)
	}
	r.nap(rnd, 3000, 6000)
}

// wipeOne waits long enough for the copies to be mended before the next fault.
func wipeOne(r *Run, rnd *rand.Rand) {
	m := r.pick(rnd, r.f.CoreMachines())
	r.mark("%s is lost with its disk", m.Name)
	m.Kill()
	if err := m.Wipe(); err != nil {
		r.say("wipe: %v", err)
	}
	r.nap(rnd, 0, 2000)
	r.start(m)
	r.nap(rnd, 6000, 8000)
}

func freezeOne(r *Run, rnd *rand.Rand) {
	m := r.pick(rnd, r.f.Machines)
	r.mark("freeze %s", m.Name)
	m.Freeze()
	r.nap(rnd, 300, 5000)
	m.Thaw()
	r.mark("thaw %s", m.Name)
	r.nap(rnd, 1000, 4000)
}

func stopOne(r *Run, rnd *rand.Rand) {
	m := r.pick(rnd, r.f.Machines)
	r.mark("stop %s as planned", m.Name)
	if !m.Stop() {
		r.say("%s did not stop in time", m.Name)
	}
	r.start(m)
	r.nap(rnd, 1000, 4000)
}

// serverGoes drains a server, or crashes it and gives its address to another
// service two seconds later.
func serverGoes(r *Run, rnd *rand.Rand) {
	s := r.takeServer(rnd)
	if rnd.IntN(2) == 0 {
		r.mark("%s %s drains", s.Service, s.Instance)
		if s.Announce(r.ctx, "draining") {
			r.nap(rnd, 2500, 2501)
			s.Announce(r.ctx, "leaving")
		}
		s.Close()
		r.serve(s.Service, s.Address, s.Zone)
		return
	}
	other := r.shape.Loads[rnd.IntN(len(r.shape.Loads))].Service
	r.mark("%s %s crashes; %s takes %s after two seconds", s.Service, s.Instance, other, s.Address)
	s.Crash()
	r.nap(rnd, 2000, 2001)
	r.serve(other, s.Address, s.Zone)
	r.serve(s.Service, fmt.Sprintf("127.9.%d.%d:%d", rnd.IntN(200), 1+rnd.IntN(200), r.f.Port), s.Zone)
}
