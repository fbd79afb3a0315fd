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

// Shape describes the size and configuration of a fleet.
type Shape struct {
	// Cores and Proxies are the numbers of nodes of each role, spread over Zones zones.
	Cores, Proxies, Zones int
	// Targets is the number of targets by service name.
	Targets map[string]int
	// Idempotent contains the services whose requests may be repeated.
	Idempotent map[string]bool
	// AllowsDuplicates disables idempotency records, so that a request may run more than once.
	AllowsDuplicates bool
	// Growth is the number of routes that some change sets add at once; none if zero.
	Growth int
	// Settings are the settings of every node that differ from the defaults.
	Settings map[string]string
	// ServiceTime is the upper limit of the service time drawn for each target; 2 ms for all if
	// zero.
	ServiceTime time.Duration
	// HeartbeatPeriod is the heartbeat period of the targets, and FailureTimeout the time without
	// heartbeats after which a target counts as failed. Zero selects the default.
	HeartbeatPeriod, FailureTimeout time.Duration
	// PlatformMode configures the fleet as the users' platform does; see platform_mode.go.
	PlatformMode bool
}

// Small is the shape of most simulated runs.
func Small() Shape {
	return Shape{Cores: 3, Proxies: 2, Zones: 3, Targets: map[string]int{"rates": 3, "bookings": 3}, Idempotent: map[string]bool{"rates": true}, Settings: map[string]string{}}
}

// Fleet is the set of machines and stand-ins of one simulated run. Everything that clients observe
// is recorded in History.
type Fleet struct {
	Network  *Network
	History  *checker.History
	Shape    Shape
	Machines []*Machine
	Log      io.Writer  // receives the log lines of the nodes
	Rand     *rand.Rand // faults are drawn from it

	ctx         context.Context // ends with the run
	cancel      context.CancelFunc
	loadTasks   sync.WaitGroup
	loadRunning atomic.Bool
	changeCount atomic.Int64
	lockCallers int // number of lock callers started

	mu        sync.Mutex // guards the three below
	targets   []*standin.Server
	hostCount int
	Faults    []string // log of the injected faults

	// conformance checks the steps of the consensus code against the model's invariants.
	conformance model.Conformance
	observer    atomic.Pointer[func(m *Machine, step any)] // set by a test
}

// NewFleet returns a fleet whose machines are all down.
func NewFleet(seed uint64, shape Shape, log io.Writer) *Fleet {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Fleet{Network: NewNetwork(seed), History: checker.NewHistory(nil), Shape: shape, Log: log, Rand: rand.New(&lockedSource{pcg: rand.NewPCG(seed, 7)}), ctx: ctx, cancel: cancel}
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

// lockedSource is a random source that is safe for concurrent use by several faults.
type lockedSource struct {
	mu  sync.Mutex
	pcg *rand.PCG
}

func (s *lockedSource) Uint64() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pcg.Uint64()
}

// Add adds a machine to the fleet. It is down until it is started.
func (f *Fleet) Add(name string, zone int, isCore, isProxy bool) *Machine {
	m := &Machine{fleet: f, Name: name, Zone: fmt.Sprint("zone", zone+1), IP: f.newHost(zone), IsCore: isCore, IsProxy: isProxy, starting: make(chan struct{}, 1)}
	f.Machines = append(f.Machines, m)
	return m
}

// newHost allocates an unused IP address in a zone.
func (f *Fleet) newHost(zone int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hostCount++
	ip := fmt.Sprintf("10.%d.%d.%d", zone+1, f.hostCount/200, f.hostCount%200+1)
	f.Network.SetZone(ip, fmt.Sprint("zone", zone+1))
	return ip
}

// observeSteps registers a function that receives every step of the replicated shards.
func (f *Fleet) observeSteps(observe func(m *Machine, step any)) { f.observer.Store(&observe) }

// recordEvent records that a node accepted a target's drain, even if the response to the target is
// lost, and that a node found or repaired diverged replicas.
func (f *Fleet) recordEvent(e eventlog.Entry) {
	switch e.Event.Number {
	case eventlog.TargetLeaving.Number:
		f.History.Add(checker.Record{Kind: checker.DrainAcknowledged, Service: e.Fields[1].(string), Instance: e.Fields[3].(string), Note: "taken in"})
	case eventlog.ReplicasDiverged.Number, eventlog.ReplicaRepaired.Number:
		f.History.Add(checker.Record{Kind: checker.ReplicaDivergence, Note: fmt.Sprint(e.Event.Text, " ", e.Fields)})
	}
}

// Machine returns the machine with a name, or nil.
func (f *Fleet) Machine(name string) *Machine {
	for _, m := range f.Machines {
		if m.Name == name {
			return m
		}
	}
	return nil
}

func (f *Fleet) filter(matches func(*Machine) bool) (list []*Machine) {
	for _, m := range f.Machines {
		if matches(m) {
			list = append(list, m)
		}
	}
	return list
}

// Cores returns the machines of the core nodes.
func (f *Fleet) Cores() []*Machine { return f.filter(func(m *Machine) bool { return m.IsCore }) }

// Proxies returns the machines of the proxies.
func (f *Fleet) Proxies() []*Machine { return f.filter(func(m *Machine) bool { return m.IsProxy }) }

// apiAddresses returns the addresses to which targets send heartbeats. They include the proxies,
// since every node accepts heartbeats and proxies keep their addresses when core machines move.
func (f *Fleet) apiAddresses() (list []string) {
	for _, m := range f.Machines {
		list = append(list, m.APIAddress())
	}
	return list
}

// StartTarget starts a target at ip, or at a new address in the zone if ip is empty.
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

// Targets returns the targets of a service that were started and not removed.
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

// RemoveTarget removes a target from the list that Targets returns. The target keeps running.
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

// Logf appends a line to Faults, and to the nodes' log.
func (f *Fleet) Logf(format string, args ...any) {
	line := fmt.Sprintf("%8s %s", f.History.Now().Round(time.Millisecond), fmt.Sprintf(format, args...))
	f.mu.Lock()
	f.Faults = append(f.Faults, line)
	f.mu.Unlock()
	if f.Log != nil {
		fmt.Fprintln(f.Log, "FAULT", line)
	}
}

// Boot starts all machines and targets, submits the initial configuration, and waits until the
// fleet is usable.
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
		return fmt.Errorf("the initial change set was not accepted within 20 s")
	}
	if !f.WaitUntil(20*time.Second, f.IsUsable) {
		return fmt.Errorf("the fleet was not usable within 20 s")
	}
	return nil
}

// WaitUntil polls the condition in virtual time and reports whether it became true within the
// limit.
func (f *Fleet) WaitUntil(limit time.Duration, condition func() bool) bool {
	deadline := time.Now().Add(limit)
	for !condition() {
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(100 * time.Millisecond)
	}
	return true
}

// Close stops the load, the nodes and the targets, so that all goroutines of the bubble can exit.
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
	targets := f.targets
	f.mu.Unlock()
	for _, s := range targets {
		s.Close()
	}
	f.cancel()
	time.Sleep(30 * time.Second)
}
