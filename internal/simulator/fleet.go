package simulator

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/checker"
	"github.com/sumactrestle/sumactrestle/internal/consensus/model"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/standin"
)

// Shape is what a fleet is made of.
type Shape struct {
	// Cores and Proxies are how many nodes of each role there are, spread over Zones.
	Cores, Proxies, Zones int
	// Targets is how many targets each service has, by the service's name.
	Targets map[string]int
	// Idempotent names the services whose requests may be repeated.
	Idempotent map[string]bool
	// AllowsDuplicates has requests run without idempotency records.
	AllowsDuplicates bool
	// Growth is how many routes some change sets add at once.
	Growth int
	// Settings are the product's settings that differ from the defaults, for every node.
	Settings map[string]string
	// ServiceTime is how long a target works on a request at most; a moment if zero.
	ServiceTime time.Duration
	// HeartbeatPeriod is of the targets, and FailureTimeout how long they may be silent; the
	// stand-in's defaults if zero.
	HeartbeatPeriod, FailureTimeout time.Duration
	// PlatformMode runs the fleet as the users' platform does; see platform_mode.go.
	PlatformMode bool
}

// Small is the shape of most simulated runs.
func Small() Shape {
	return Shape{Cores: 3, Proxies: 2, Zones: 3, Targets: map[string]int{"rates": 3, "bookings": 3}, Idempotent: map[string]bool{"rates": true}, Settings: map[string]string{}}
}

// Fleet is the machines and the stand-ins of one simulated run. Machines are started, killed,
// paused, wiped and moved; targets come and go; all that clients see is in the history.
type Fleet struct {
	Network  *Network
	History  *checker.History
	Shape    Shape
	Machines []*Machine
	Log      io.Writer  // what the nodes log
	Rand     *rand.Rand // faults are drawn from it

	ctx         context.Context // ends with the run
	cancel      context.CancelFunc
	loadTasks   sync.WaitGroup
	loadRunning atomic.Bool
	changeCount atomic.Int64

	mu        sync.Mutex // guards the three below
	targets   []*standin.Server
	hostCount int
	Faults    []string // what was done, in words

	// conformance holds the steps of the consensus code against the model's invariants.
	conformance model.Conformance
	observer    atomic.Pointer[func(m *Machine, step any)] // set by a test
}

// NewFleet makes a fleet whose machines are all down.
func NewFleet(seed uint64, shape Shape, log io.Writer) *Fleet {
	ctx, end := context.WithCancel(context.Background())
	f := &Fleet{Network: NewNetwork(seed), History: checker.NewHistory(nil), Shape: shape, Log: log, Rand: rand.New(&lockedSource{pcg: rand.NewPCG(seed, 7)}), ctx: ctx, cancel: end}
	f.loadRunning.Store(true)
	f.conformance.OnViolation = func(invariant, detail string) {
		f.History.Add(checker.Record{Kind: checker.ReplicaDivergence, Note: invariant + ": " + detail})
	}
	f.History.Add(checker.Record{Kind: checker.ScenarioStarted, Note: fmt.Sprint("seed ", seed)})
	for i := range shape.Cores {
		f.Add(fmt.Sprintf("core%d", i+1), i%shape.Zones, true, false)
	}
	for i := range shape.Proxies {
		f.Add(fmt.Sprintf("proxy%d", i+1), i%shape.Zones, false, true)
	}
	return f
}

// lockedSource is a source of randomness that several faults may draw from at once.
type lockedSource struct {
	mu  sync.Mutex
	pcg *rand.PCG
}

func (c *lockedSource) Uint64() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pcg.Uint64()
}

// Add puts a machine into the fleet; it is down at first.
func (f *Fleet) Add(name string, zone int, isCore, isProxy bool) *Machine {
	m := &Machine{fleet: f, Name: name, Zone: fmt.Sprint("zone", zone+1), IP: f.newHost(zone), IsCore: isCore, IsProxy: isProxy, starting: make(chan struct{}, 1)}
	f.Machines = append(f.Machines, m)
	return m
}

func (f *Fleet) newHost(zone int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hostCount++
	ip := fmt.Sprintf("10.%d.%d.%d", zone+1, f.hostCount/200, f.hostCount%200+1)
	f.Network.SetZone(ip, fmt.Sprint("zone", zone+1))
	return ip
}

// observeSteps has a test see every step of the replicated parts.
func (f *Fleet) observeSteps(watch func(m *Machine, step any)) { f.observer.Store(&watch) }

// recordEvent notes what a node has learned, be it that its answer is lost.
func (f *Fleet) recordEvent(e eventlog.Entry) {
	switch e.Event.Number {
	case eventlog.TargetLeaving.Number:
		f.History.Add(checker.Record{Kind: checker.DrainAcknowledged, Service: e.Fields[1].(string), Instance: e.Fields[3].(string), Note: "taken in"})
	case eventlog.ReplicasDiverged.Number, eventlog.ReplicaRepaired.Number:
		f.History.Add(checker.Record{Kind: checker.ReplicaDivergence, Note: fmt.Sprint(e.Event.Text, " ", e.Fields)})
	}
}

// Machine finds a machine.
func (f *Fleet) Machine(name string) *Machine {
	for _, m := range f.Machines {
		if m.Name == name {
			return m
		}
	}
	return nil
}

func (f *Fleet) filter(isWanted func(*Machine) bool) (list []*Machine) {
	for _, m := range f.Machines {
		if isWanted(m) {
			list = append(list, m)
		}
	}
	return list
}

// Cores returns the machines of the core nodes.
func (f *Fleet) Cores() []*Machine { return f.filter(func(m *Machine) bool { return m.IsCore }) }

// Proxies returns the machines of the proxies.
func (f *Fleet) Proxies() []*Machine { return f.filter(func(m *Machine) bool { return m.IsProxy }) }

// apiAddresses is where servers send their beats: any node will do, and the proxies
// stay where they are when core machines move.
func (f *Fleet) apiAddresses() (list []string) {
	for _, m := range f.Machines {
		list = append(list, m.APIAddress())
	}
	return list
}

// StartTarget starts a stand-in server at a new address, or at one given.
func (f *Fleet) StartTarget(service, ip string, zone int) *standin.Server {
	if ip == "" {
		ip = f.newHost(zone)
	}
	s := f.configureTarget(&standin.Server{Network: f.Network.HostAt(ip), History: f.History, Service: service, Zone: fmt.Sprint("zone", zone+1), Address: ip + ":8000", SealKey: "key-" + service, Nodes: f.apiAddresses(), ServiceTime: 2 * time.Millisecond})
	if f.Shape.ServiceTime > 0 {
		s.ServiceTime = time.Duration(f.Rand.Int64N(int64(f.Shape.ServiceTime)))
	}
	if err := s.Start(f.ctx); err != nil {
		panic(err)
	}
	f.mu.Lock()
	f.targets = append(f.targets, s)
	f.mu.Unlock()
	return s
}

// Targets is the stand-ins of a service that were started and not taken out.
func (f *Fleet) Targets(service string) (list []*standin.Server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.targets {
		if s.Service == service {
			list = append(list, s)
		}
	}
	return list
}

// RemoveTarget takes a server out of the list, so that it is not picked again.
func (f *Fleet) RemoveTarget(target *standin.Server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, s := range f.targets {
		if s == target {
			f.targets = append(f.targets[:i], f.targets[i+1:]...)
			return
		}
	}
}

// Logf notes a fault for the report.
func (f *Fleet) Logf(format string, args ...any) {
	line := fmt.Sprintf("%8s %s", f.History.Now().Round(time.Millisecond), fmt.Sprintf(format, args...))
	f.mu.Lock()
	f.Faults = append(f.Faults, line)
	f.mu.Unlock()
	if f.Log != nil {
		fmt.Fprintln(f.Log, "DREAM", line)
	}
}

// Boot starts every machine and every server, and submits the first change set.
func (f *Fleet) Boot() error {
	for _, m := range f.Machines {
		if err := m.Start(); err != nil {
			return err
		}
	}
	for service, n := range f.Shape.Targets {
		for i := range n {
			f.StartTarget(service, "", i%f.Shape.Zones)
		}
	}
	if !f.WaitUntil(20*time.Second, func() bool { return f.submitInitial() }) {
		return fmt.Errorf("the first change set was not accepted")
	}
	if !f.WaitUntil(20*time.Second, f.IsUsable) {
		return fmt.Errorf("the fleet did not come up")
	}
	return nil
}

// WaitUntil waits, in virtual time, until it is so.
func (f *Fleet) WaitUntil(limit time.Duration, isSo func() bool) bool {
	over := time.Now().Add(limit)
	for !isSo() {
		if time.Now().After(over) {
			return false
		}
		time.Sleep(100 * time.Millisecond)
	}
	return true
}

// Close ends everything, so that the bubble can end.
func (f *Fleet) Close() {
	f.loadRunning.Store(false)
	f.loadTasks.Wait()
	f.Network.Heal()
	for _, m := range f.Machines {
		if m.Node() != nil {
			f.Network.Disk(m.IP).Resume()
			m.Kill(false)
		}
	}
	f.mu.Lock()
	servers := f.targets
	f.mu.Unlock()
	for _, s := range servers {
		s.Close()
	}
	f.cancel()
	time.Sleep(30 * time.Second)
}
