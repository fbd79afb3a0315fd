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

// Names of the faults that code outside the faults map refers to.
const (
	faultNone    = "none"
	faultChange  = "change"
	faultGrow    = "grow"
	faultCut     = "cut"
	faultRoll    = "roll"
	faultUpgrade = "upgrade"
	faultAll     = "all"
)

// A fault injects one fault into a fleet under load. It returns after the fleet has had time to
// recover. A run injects faults one after the other.
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
	faultRoll:    switchBuild,
	faultUpgrade: upgradeMachine,
	faultAll:     randomFault,
}

// HasFault reports whether name is a known kind of fault.
func HasFault(name string) bool { return faults[name] != nil }

// randomFault injects a random fault that needs no other build. Network partitions and server
// replacements are twice as likely as the others.
func randomFault(r *run, random *rand.Rand) {
	choices := []fault{killMachine, killGroup, wipeCore, partitionNetwork, partitionNetwork, freezeMachine, stopMachine, replaceServer, replaceServer}
	choices[random.IntN(len(choices))](r, random)
}

func pick(random *rand.Rand, machines []*Machine) *Machine {
	return machines[random.IntN(len(machines))]
}

// sleepBetween sleeps for a random duration from minMillis (inclusive) to maxMillis (exclusive).
func (r *run) sleepBetween(random *rand.Rand, minMillis, maxMillis int) {
	time.Sleep(time.Duration(minMillis+random.IntN(maxMillis-minMillis)) * time.Millisecond)
}

// startMachine restarts a machine and prints an error if that fails.
func (r *run) startMachine(m *Machine) {
	if err := m.Start(); err != nil {
		r.logf("starting %s failed: %v", m.Name, err)
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

// killGroup kills and restarts all core nodes or all proxies.
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

// wipeCore kills a core node and deletes its data. It waits long enough for the replicas to be
// restored before the next fault, because the fleet doesn't tolerate the loss of two disks at once.
func wipeCore(r *run, random *rand.Rand) {
	m := pick(random, r.fleet.CoreMachines())
	r.recordFault("kill %s and delete its data", m.Name)
	m.Kill()
	if err := m.Wipe(); err != nil {
		r.logf("deleting a core node's data failed: %v", err)
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

// partitionNetwork cuts one link in one direction, or isolates a machine, a zone or every core
// node, and heals the network up to six seconds later.
func partitionNetwork(r *run, random *rand.Rand) {
	from, to := pick(random, r.fleet.Machines), pick(random, r.fleet.Machines)
	relay := r.fleet.Relay
	switch random.IntN(4) {
	case 0:
		r.recordFault("cut link %s to %s", from.Name, to.Name)
		relay.Cut(from, to)
	case 1:
		r.recordFault("isolate %s", from.Name)
		relay.Isolate(func(m *Machine) bool { return m == from })
	case 2:
		r.recordFault("isolate %s", from.Zone)
		relay.Isolate(func(m *Machine) bool { return m.Zone == from.Zone })
	case 3:
		r.recordFault("isolate every core node")
		for _, core := range r.fleet.CoreMachines() {
			relay.Isolate(func(m *Machine) bool { return m == core })
		}
	}
	r.sleepBetween(random, 500, 6000)
	relay.Heal()
	r.recordFault("heal")
	r.sleepBetween(random, 1000, 4000)
}

// replaceServer drains a server and restarts it at its address, or crashes it. Two seconds after a
// crash, a server of a random service starts at its address, and a server of the original service at
// a random one.
func replaceServer(r *run, random *rand.Rand) {
	server := r.removeRandomServer(random)
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
	r.recordFault("%s %s crashes; a server of %s starts at %s after two seconds", server.Service, server.Instance, other, server.Address)
	server.Crash()
	r.sleepBetween(random, 2000, 2001)
	r.startServer(other, server.Address, server.Zone)
	r.startServer(server.Service, fmt.Sprintf("127.9.%d.%d:%d", random.IntN(200), 1+random.IntN(200), r.fleet.Port), server.Zone)
}

// addRoute submits one route, to measure the cost of a small change to a large configuration.
func addRoute(r *run, random *rand.Rand) {
	r.submitRoutes("small", 1)
	r.sleepBetween(random, 1000, 1001)
}

// addManyRoutes submits a hundred routes in one change set.
func addManyRoutes(r *run, random *rand.Rand) {
	r.submitRoutes("grown", 100)
	r.sleepBetween(random, 500, 501)
}

// submitRoutes submits count new routes to the first service in one change set. Every outcome is
// recorded in the history, including a refused or unknown one.
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
	r.submitNamedRoutes(r.ctx, r.newOperator(), id, names)
}

// submitRoute submits one route to the first service, based on the current epoch.
func (r *run) submitRoute(ctx context.Context, operator *standin.Operator, id string) {
	r.submitNamedRoutes(ctx, operator, id, []string{id})
}

// submitNamedRoutes submits routes with these names to the first service in one change set, based
// on the current epoch. It submits nothing if the epoch can't be read.
func (r *run) submitNamedRoutes(ctx context.Context, operator *standin.Operator, id string, names []string) {
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

// switchBuild stops the next machine as planned and starts it with the fleet's other build.
// Successive calls go through all machines in order and then switch them back.
func switchBuild(r *run, random *rand.Rand) {
	m := r.fleet.Machines[r.buildSwitches%len(r.fleet.Machines)]
	r.buildSwitches++
	r.stopAsPlanned(m)
	m.runsOtherBinary = !m.runsOtherBinary
	r.recordFault("roll %s (other build: %v)", m.Name, m.runsOtherBinary)
	r.startMachine(m)
	r.sleepBetween(random, 800, 1500)
}

// upgradeMachine switches the next machine to the other build unless all have been switched, waits
// until the fleet is ready, and submits changeSetsPerStep change sets.
func upgradeMachine(r *run, random *rand.Rand) {
	if r.buildSwitches < len(r.fleet.Machines) {
		switchBuild(r, random)
		waitCtx, cancel := context.WithTimeout(r.ctx, readyTimeout)
		defer cancel()
		if err := r.fleet.AwaitReady(waitCtx); err != nil {
			r.logf("%v", err)
		}
	}
	for range changeSetsPerStep {
		addRoute(r, random)
	}
}
