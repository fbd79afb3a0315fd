package simulator

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/sumactrestle/sumactrestle/internal/checker"
	"github.com/sumactrestle/sumactrestle/internal/config"
	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/node"
)

// Machine is a simulated machine that runs at most one node.
type Machine struct {
	Name      string
	Zone      string
	IP        string
	IsCore    bool
	IsProxy   bool
	IsRemoved bool // removed permanently; no longer a seed address of other machines

	fleet    *Fleet
	starting chan struct{} // semaphore held while the node is started; waiting on it lets virtual time advance

	mu   sync.Mutex // guards node
	node *node.Node // nil while the machine is down
}

// RPCAddress returns the node's address for other nodes.
func (m *Machine) RPCAddress() string { return m.IP + ":7000" }

// APIAddress returns the node's address for targets, applications and operators.
func (m *Machine) APIAddress() string { return m.IP + ":7001" }

// ProxyAddress returns the node's address for clients.
func (m *Machine) ProxyAddress() string { return m.IP + ":7002" }

// Node returns the running node, or nil if the machine is down.
func (m *Machine) Node() *node.Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node
}

// Start starts the machine's node.
func (m *Machine) Start() error {
	settings := map[string]string{"name": m.Name, "zone": m.Zone, "peer.address": m.RPCAddress(), "api.address": m.APIAddress(), "bootstrap.cores": fmt.Sprint(m.fleet.Shape.Cores), "log.level": "debug"}
	seeds := ""
	for _, other := range m.fleet.Machines {
		if other.IsCore && !other.IsRemoved && len(seeds) < 40 {
			seeds += "," + other.RPCAddress()
		}
	}
	settings["seeds"] = seeds[1:]
	if m.IsCore {
		settings["data.folder"] = "/dream/" + m.Name
	}
	if m.IsProxy {
		settings["proxy.address"] = m.ProxyAddress()
	}
	for key, value := range m.fleet.Shape.Settings {
		settings[key] = value
	}
	cfg, err := config.Load("", settings)
	if err != nil {
		return err
	}
	if m.IsProxy {
		m.fleet.History.Add(checker.Record{Kind: checker.ProxyStarted, Proxy: m.ProxyAddress()})
	}
	logger := eventlog.New(m.fleet.Log, "debug", m.Name)
	logger.Observer = m.fleet.recordEvent
	nodePointer := &atomic.Pointer[node.Node]{}
	env := environment.New(m.fleet.ctx, cfg, logger, m.hostNetwork(nodePointer))
	env.Trace = func(step any) {
		m.fleet.conformance.Observe(step)
		if observe := m.fleet.observer.Load(); observe != nil {
			(*observe)(m, step)
		}
	}
	node, err := node.Start(env)
	if err != nil {
		m.fleet.Network.Kill(m.IP, false)
		env.Shutdown()
		return err
	}
	nodePointer.Store(node)
	m.mu.Lock()
	m.node = node
	m.mu.Unlock()
	if node.Store != nil {
		go func() {
			select {
			case <-node.Store.Corrupted():
				m.Kill(false)
			case <-env.Done():
			}
		}()
	}
	return nil
}

// Kill ends the process immediately. With a power loss, unsynced data is lost too.
func (m *Machine) Kill(isPowerLost bool) {
	m.mu.Lock()
	node := m.node
	m.node = nil
	m.mu.Unlock()
	if node == nil {
		return
	}
	m.fleet.Network.Kill(m.IP, isPowerLost)
	node.Env.Shutdown()
}

// Stop shuts the node down gracefully, then ends its process.
func (m *Machine) Stop() {
	m.mu.Lock()
	node := m.node
	m.node = nil
	m.mu.Unlock()
	if node == nil {
		return
	}
	node.Stop()
	m.fleet.Network.Kill(m.IP, false)
}

// Move gives a machine that is down a new address and, with it, an empty disk.
func (m *Machine) Move() {
	var zone int
	fmt.Sscanf(m.Zone, "zone%d", &zone)
	m.IP = m.fleet.newHost(zone - 1)
}
