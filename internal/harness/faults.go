package harness

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/api"
	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/standin"
)

// Names of faults that a run treats apart.
const (
	faultNone    = "none"
	faultChange  = "change"
	faultGrow    = "grow"
	faultCut     = "cut"
	faultRoll    = "roll"
	faultUpgrade = "upgrade"
	faultAll     = "all"
)

// A fault is done to the fleet while it works. It takes its time: it is over when the fleet
// has had some to recover. A run draws one after the other.
type fault func(r *run, random *rand.Rand)

var faults = map[string]fault{
	faultNone:    func(r *run, random *rand.Rand) { r.sleepBetween(random, 1000, 1001) },
	"kill":       killMachine,
	"herd":       killGroup,
	"wipe":       wipeCore,
	"freeze":     freezeMachine,
	"stop":       stopMachine,
	"server":     replaceServer,
	faultChange:  addRoute,
	faultCut:     partitionNetwork,
	faultGrow:    addManyRoutes,
	faultRoll:    replaceBuild,
	faultUpgrade: upgradeMachine,
	faultAll:     anyFault,
}

// HasFault reports whether there are faults of that name.
func HasFault(name string) bool { return faults[name] != nil }

// anyFault does one of those that need no other build, partitions and servers more often.
func anyFault(r *run, random *rand.Rand) {
	choices := []fault{killMachine, killGroup, wipeCore, partitionNetwork, partitionNetwork, freezeMachine, stopMachine, replaceServer, replaceServer}
	choices[random.IntN(len(choices))](r, random)
}

func pick(random *rand.Rand, machines []*Machine) *Machine {
	return machines[random.IntN(len(machines))]
}

// sleepBetween sleeps from the least up to the most milliseconds, the most excluded.
func (r *run) sleepBetween(random *rand.Rand, least, most int) {
	time.Sleep(time.Duration(least+random.IntN(most-least)) * time.Millisecond)
}

// startMachine starts a machine again; a failure is printed.
func (r *run) startMachine(m *Machine) {
	if err := m.Start(); err != nil {
		r.logf("%s can't start: %v", m.Name, err)
	}
}

func killMachine(r *run, random *rand.Rand) {
	m := pick(random, r.fleet.Machines)
	r.recordFault("kill %s", m.Name)
	m.Kill()
	r.sleepBetween(random, 0, 3000)
	r.startMachine(m)
	r.sleepBetween(random, 1000, 4000)
}

// killGroup kills all core nodes or all proxies.
func killGroup(r *run, random *rand.Rand) {
	group := r.fleet.CoreMachines()
	if random.IntN(2) == 0 {
		group = r.fleet.ProxyMachines()
	}
	for _, m := range group {
		r.recordFault("kill %s", m.Name)
		m.Kill()
	}
	r.sleepBetween(random, 0, 2000)
	for _, m := range group {
		r.startMachine(m)
	}
	r.sleepBetween(random, 3000, 6000)
}

// wipeCore loses the disk of a core node. It waits long enough for the replicas to be repaired
// before the next fault: two disks lost at once are more than the fleet tolerates.
func wipeCore(r *run, random *rand.Rand) {
	m := pick(random, r.fleet.CoreMachines())
	r.recordFault("%s is lost with its disk", m.Name)
	m.Kill()
	if err := m.Wipe(); err != nil {
		r.logf("wipe: %v", err)
	}
	r.sleepBetween(random, 0, 2000)
	r.startMachine(m)
	r.sleepBetween(random, 6000, 8000)
}

func freezeMachine(r *run, random *rand.Rand) {
	m := pick(random, r.fleet.Machines)
	r.recordFault("freeze %s", m.Name)
	m.Freeze()
	r.sleepBetween(random, 300, 5000)
	m.Thaw()
	r.recordFault("thaw %s", m.Name)
	r.sleepBetween(random, 1000, 4000)
}

func stopMachine(r *run, random *rand.Rand) {
	m := pick(random, r.fleet.Machines)
	r.recordFault("stop %s as planned", m.Name)
	r.stopAsPlanned(m)
	r.startMachine(m)
	r.sleepBetween(random, 1000, 4000)
}

func (r *run) stopAsPlanned(m *Machine) {
	if !m.Stop() {
		r.logf("%s did not stop in time", m.Name)
	}
}

// partitionNetwork cuts one link one way, a machine, a zone, or every core node off, and heals
// the network later.
func partitionNetwork(r *run, random *rand.Rand) {
	from, to := pick(random, r.fleet.Machines), pick(random, r.fleet.Machines)
	relay := r.fleet.Relay
	switch random.IntN(4) {
	case 0:
		r.recordFault("cut %s to %s one way", from.Name, to.Name)
		relay.Cut(from, to)
	case 1:
		r.recordFault("cut %s off", from.Name)
		relay.Isolate(func(m *Machine) bool { return m == from })
	case 2:
		r.recordFault("cut %s off", from.Zone)
		relay.Isolate(func(m *Machine) bool { return m.Zone == from.Zone })
	case 3:
		r.recordFault("split the core apart")
		for _, core := range r.fleet.CoreMachines() {
			relay.Isolate(func(m *Machine) bool { return m == core })
		}
	}
	r.sleepBetween(random, 500, 6000)
	relay.Heal()
	r.recordFault("heal")
	r.sleepBetween(random, 1000, 4000)
}

// replaceServer drains a server, or crashes it and gives its address to another service two
// seconds later. A server of its service starts elsewhere.
func replaceServer(r *run, random *rand.Rand) {
	server := r.takeServer(random)
	if random.IntN(2) == 0 {
		r.recordFault("%s %s drains", server.Service, server.Instance)
		if server.Announce(r.ctx, "draining") {
			r.sleepBetween(random, 2500, 2501)
			server.Announce(r.ctx, "leaving")
		}
		server.Close()
		r.startServer(server.Service, server.Address, server.Zone)
		return
	}
	other := r.Shape.Loads[random.IntN(len(r.Shape.Loads))].Service
	r.recordFault("%s %s crashes; %s takes %s after two seconds", server.Service, server.Instance, other, server.Address)
	server.Crash()
	r.sleepBetween(random, 2000, 2001)
	r.startServer(other, server.Address, server.Zone)
	r.startServer(server.Service, fmt.Sprintf("127.9.%d.%d:%d", random.IntN(200), 1+random.IntN(200), r.fleet.Port), server.Zone)
}

// addRoute submits one route, to measure what a small change to a large configuration costs.
func addRoute(r *run, random *rand.Rand) {
	r.submitRoutes("small", 1)
	r.sleepBetween(random, 1000, 1001)
}

// addManyRoutes submits a hundred routes in one change set.
func addManyRoutes(r *run, random *rand.Rand) {
	r.submitRoutes("grown", 100)
	r.sleepBetween(random, 500, 501)
}

// submitRoutes submits routes to the first service in one change set. Its outcome is recorded
// in the history, also when it is refused or unknown.
func (r *run) submitRoutes(prefix string, count int) {
	r.changesSubmitted++
	id := fmt.Sprint(prefix, r.changesSubmitted)
	names := []string{id}
	if count > 1 {
		names = nil
		for i := range count {
			names = append(names, fmt.Sprint(id, "-", i))
		}
	}
	r.submitNamed(r.ctx, r.newOperator(), id, names)
}

// submitRoute submits one route to the first service, on the epoch in force.
func (r *run) submitRoute(ctx context.Context, operator *standin.Operator, id string) {
	r.submitNamed(ctx, operator, id, []string{id})
}

// submitNamed submits routes of these names to the first service in one change set, on the
// epoch in force; none if that can't be read.
func (r *run) submitNamed(ctx context.Context, operator *standin.Operator, id string, names []string) {
	view, err := operator.Epoch(ctx)
	if err != nil {
		return
	}
	config := api.Config{}
	for _, name := range names {
		config.Mappings = append(config.Mappings, api.Mapping{Name: name, Path: "/" + name, To: []api.Split{{Service: r.Shape.Loads[0].Service, Weight: 1}}})
	}
	operator.Submit(ctx, &api.Change{ID: id, Base: view.Epoch, Put: api.NewOptConfig(config)})
}

func (r *run) newOperator() *standin.Operator {
	return standin.NewOperator(environment.NewHost(""), r.history, r.fleet.ProxyMachines()[0].APIAddress())
}

// replaceBuild stops one machine after the other as planned and starts it with the fleet's
// other build: forward through all machines, and back.
func replaceBuild(r *run, random *rand.Rand) {
	m := r.fleet.Machines[r.replaced%len(r.fleet.Machines)]
	r.replaced++
	r.stopAsPlanned(m)
	m.runsOther = !m.runsOther
	r.recordFault("roll %s (other build: %v)", m.Name, m.runsOther)
	r.startMachine(m)
	r.sleepBetween(random, 800, 1500)
}

// upgradeMachine replaces the next machine's build, if one is left, waits until the fleet is
// ready and submits changeSetsPerMix change sets.
func upgradeMachine(r *run, random *rand.Rand) {
	if r.replaced < len(r.fleet.Machines) {
		replaceBuild(r, random)
		limited, cancel := context.WithTimeout(r.ctx, readyTimeout)
		defer cancel()
		if err := r.fleet.AwaitReady(limited); err != nil {
			r.logf("%v", err)
		}
	}
	for range changeSetsPerMix {
		addRoute(r, random)
	}
}
