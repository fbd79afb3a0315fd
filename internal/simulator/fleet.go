// A Fleet is the nodes and the stand-ins of one simulated run. Machines are
// started, killed, held still, wiped and moved; stand-in servers come and go;
// everything at the edges is written into the history that the judge reads.
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
	"github.com/sumactrestle/sumactrestle/internal/config"
	"github.com/sumactrestle/sumactrestle/internal/consensus/model"
	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/node"
	"github.com/sumactrestle/sumactrestle/internal/standin"
)

// Shape is what a fleet is made of.
type Shape struct {
	Cores, Proxies, Zones int
	Servers               map[string]int
	Repeatable            map[string]bool
	IsTwice               bool // its orders decline to be run once
	Growth                int  // mappings that some change sets add at once
	Settings              map[string]string
	Work                  time.Duration // how long a server works at most; a moment if zero
	IsStay                bool          // its proxies go on while they are out of touch
}

// Small is the shape of most simulated runs.
func Small() Shape {
	return Shape{Cores: 3, Proxies: 2, Zones: 3, Servers: map[string]int{"rates": 3, "bookings": 3}, Repeatable: map[string]bool{"rates": true}, Settings: map[string]string{}}
}

// Machine is one node's place; its node is nil while it is down.
type Machine struct {
	f       *Fleet
	Name    string
	Zone    string
	IP      string
	IsCore  bool
	IsProxy bool
	mu      sync.Mutex
	node    *node.Node
	upping  chan struct{} // held while the machine is started; waiting for it lets time pass
}

// Fleet is one run.
type Fleet struct {
	W        *World
	H        *checker.History
	Shape    Shape
	Machines []*Machine
	Log      io.Writer
	Rand     *rand.Rand
	ctx      context.Context
	end      context.CancelFunc
	loads    sync.WaitGroup

	mu      sync.Mutex
	servers []*standin.Server
	hosts   int
	Faults  []string
	isLoad  atomic.Bool

	conformance model.Conformance
	watch       atomic.Pointer[func(m *Machine, step any)] // of a test
	changes     atomic.Int64
}

func NewFleet(seed uint64, shape Shape, log io.Writer) *Fleet {
	ctx, end := context.WithCancel(context.Background())
	f := &Fleet{W: NewWorld(seed), H: checker.NewHistory(nil), Shape: shape, Log: log, Rand: rand.New(&chance{pcg: rand.NewPCG(seed, 7)}), ctx: ctx, end: end}
	f.isLoad.Store(true)
	f.conformance.Breached = func(invariant, detail string) {
		f.H.Add(checker.Record{Kind: checker.ReplicaDivergence, Note: invariant + ": " + detail})
	}
	f.H.Add(checker.Record{Kind: checker.ScenarioStarted, Note: fmt.Sprint("seed ", seed)})
	for i := range shape.Cores {
		f.Add(fmt.Sprintf("core%d", i+1), i%shape.Zones, true, false)
	}
	for i := range shape.Proxies {
		f.Add(fmt.Sprintf("proxy%d", i+1), i%shape.Zones, false, true)
	}
	return f
}

// chance is a source that several faults may draw from at once.
type chance struct {
	mu  sync.Mutex
	pcg *rand.PCG
}

func (c *chance) Uint64() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pcg.Uint64()
}

// Add puts a machine into the fleet; it is down at first.
func (f *Fleet) Add(name string, zone int, isCore, isProxy bool) *Machine {
	m := &Machine{f: f, Name: name, Zone: fmt.Sprint("zone", zone+1), IP: f.host(zone), IsCore: isCore, IsProxy: isProxy, upping: make(chan struct{}, 1)}
	f.Machines = append(f.Machines, m)
	return m
}

func (f *Fleet) host(zone int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts++
	ip := fmt.Sprintf("10.%d.%d.%d", zone+1, f.hosts/200, f.hosts%200+1)
	f.W.Place(ip, fmt.Sprint("zone", zone+1))
	return ip
}

func (m *Machine) Wire() string { return m.IP + ":7000" }
func (m *Machine) Api() string  { return m.IP + ":7001" }
func (m *Machine) Gate() string { return m.IP + ":7002" }

// Node is the running node, or nil.
func (m *Machine) Node() *node.Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node
}

// Start brings the machine's process up.
func (m *Machine) Start() error {
	set := map[string]string{"name": m.Name, "zone": m.Zone, "wire.address": m.Wire(), "api.address": m.Api(), "found.cores": fmt.Sprint(m.f.Shape.Cores), "log.level": "debug"}
	seeds := ""
	for _, other := range m.f.Machines {
		if other.IsCore && len(seeds) < 40 {
			seeds += "," + other.Wire()
		}
	}
	set["seeds"] = seeds[1:]
	if m.IsCore {
		set["data.folder"] = "/dream/" + m.Name
	}
	if m.IsProxy {
		set["gate.address"] = m.Gate()
	}
	for key, value := range m.f.Shape.Settings {
		set[key] = value
	}
	p, err := config.Load("", set)
	if err != nil {
		return err
	}
	if m.IsProxy {
		m.f.H.Add(checker.Record{Kind: checker.ProxyStarted, Proxy: m.Gate()})
	}
	journal := eventlog.New(m.f.Log, "debug", m.Name)
	journal.Told = m.f.hear
	here := &atomic.Pointer[node.Node]{}
	r := environment.New(m.f.ctx, p, journal, m.network(here))
	r.Trace = func(step any) {
		m.f.conformance.Observe(step)
		if watch := m.f.watch.Load(); watch != nil {
			(*watch)(m, step)
		}
	}
	node, err := node.Start(r)
	if err != nil {
		m.f.W.Kill(m.IP, false)
		r.Shutdown()
		return err
	}
	here.Store(node)
	m.mu.Lock()
	m.node = node
	m.mu.Unlock()
	if node.Store != nil {
		go func() {
			select {
			case <-node.Store.Corrupted():
				m.Kill(false)
			case <-r.Done():
			}
		}()
	}
	return nil
}

// watchSteps has a test see every step of the replicated parts.
func (f *Fleet) watchSteps(watch func(m *Machine, step any)) { f.watch.Store(&watch) }

// hear notes what a node has learned, be it that its answer is lost.
func (f *Fleet) hear(e eventlog.Entry) {
	switch e.Event.No {
	case eventlog.TargetGoing.No:
		f.H.Add(checker.Record{Kind: checker.DrainAcknowledged, Service: e.Pairs[1].(string), Instance: e.Pairs[3].(string), Note: "taken in"})
	case eventlog.PartBroken.No, eventlog.PartMended.No:
		f.H.Add(checker.Record{Kind: checker.ReplicaDivergence, Note: fmt.Sprint(e.Event.Text, " ", e.Pairs)})
	}
}

// Kill ends the process at once; with the power, what was not synced is gone.
func (m *Machine) Kill(isPowerLost bool) {
	m.mu.Lock()
	node := m.node
	m.node = nil
	m.mu.Unlock()
	if node == nil {
		return
	}
	m.f.W.Kill(m.IP, isPowerLost)
	node.R.Shutdown()
}

// Stop is the planned stop.
func (m *Machine) Stop() {
	m.mu.Lock()
	node := m.node
	m.node = nil
	m.mu.Unlock()
	if node == nil {
		return
	}
	node.Stop()
	m.f.W.Kill(m.IP, false)
}

// Move gives a machine that is down an empty disk and a new address.
func (m *Machine) Move() {
	var zone int
	fmt.Sscanf(m.Zone, "zone%d", &zone)
	m.IP = m.f.host(zone - 1)
}

// Of finds a machine.
func (f *Fleet) Of(name string) *Machine {
	for _, m := range f.Machines {
		if m.Name == name {
			return m
		}
	}
	return nil
}

func (f *Fleet) some(isWanted func(*Machine) bool) (list []*Machine) {
	for _, m := range f.Machines {
		if isWanted(m) {
			list = append(list, m)
		}
	}
	return list
}

func (f *Fleet) Cores() []*Machine   { return f.some(func(m *Machine) bool { return m.IsCore }) }
func (f *Fleet) Proxies() []*Machine { return f.some(func(m *Machine) bool { return m.IsProxy }) }

// apis is where servers send their beats: any node will do, and the proxies
// stay where they are when core machines move.
func (f *Fleet) apis() (list []string) {
	for _, m := range f.Machines {
		list = append(list, m.Api())
	}
	return list
}

// Serve starts a stand-in server at a new address, or at one given.
func (f *Fleet) Serve(service, ip string, zone int) *standin.Server {
	if ip == "" {
		ip = f.host(zone)
	}
	s := f.fit(&standin.Server{Network: f.W.Net(ip), History: f.H, Service: service, Zone: fmt.Sprint("zone", zone+1), Address: ip + ":8000", SealKey: "key-" + service, Nodes: f.apis(), ServiceTime: 2 * time.Millisecond})
	if f.Shape.Work > 0 {
		s.ServiceTime = time.Duration(f.Rand.Int64N(int64(f.Shape.Work)))
	}
	if err := s.Start(f.ctx); err != nil {
		panic(err)
	}
	f.mu.Lock()
	f.servers = append(f.servers, s)
	f.mu.Unlock()
	return s
}

// Servers is the stand-ins of a service that were started and not taken out.
func (f *Fleet) Servers(service string) (list []*standin.Server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		if s.Service == service {
			list = append(list, s)
		}
	}
	return list
}

// Forget takes a server out of the list, so that it is not picked again.
func (f *Fleet) Forget(gone *standin.Server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, s := range f.servers {
		if s == gone {
			f.servers = append(f.servers[:i], f.servers[i+1:]...)
			return
		}
	}
}

// Say notes a fault for the report.
func (f *Fleet) Say(format string, args ...any) {
	line := fmt.Sprintf("%8s %s", f.H.Now().Round(time.Millisecond), fmt.Sprintf(format, args...))
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
	for service, n := range f.Shape.Servers {
		for i := range n {
			f.Serve(service, "", i%f.Shape.Zones)
		}
	}
	if !f.Until(20*time.Second, func() bool { return f.submitFirst() }) {
		return fmt.Errorf("the first change set was not accepted")
	}
	if !f.Until(20*time.Second, f.IsUsable) {
		return fmt.Errorf("the fleet did not come up")
	}
	return nil
}

// Until waits, in virtual time, until it is so.
func (f *Fleet) Until(limit time.Duration, isSo func() bool) bool {
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
	f.isLoad.Store(false)
	f.loads.Wait()
	f.W.Heal()
	for _, m := range f.Machines {
		if m.Node() != nil {
			f.W.Disk(m.IP).Resume()
			m.Kill(false)
		}
	}
	f.mu.Lock()
	servers := f.servers
	f.mu.Unlock()
	for _, s := range servers {
		s.Close()
	}
	f.end()
	time.Sleep(30 * time.Second)
}
