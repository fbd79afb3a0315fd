package harness

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/api"
	"github.com/sumactrestle/sumactrestle/internal/checker"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
)

const (
	maxSeeds          = 3 // peer addresses in each node's "seeds" setting
	readyPollInterval = 50 * time.Millisecond
	readyCallTimeout  = time.Second
)

// FleetConfig describes a fleet.
type FleetConfig struct {
	Binary      string // path of the sumac program
	OtherBinary string // path of another build of it, for rolls and upgrades; none if empty
	Folder      string // for data and logs, with a subfolder per machine
	Port        int    // the first of portsPerMachine successive ports that are free on all loopback addresses

	Cores, Proxies, Zones int

	// Settings are passed to every node in addition to those of its machine.
	Settings map[string]string
	// Profiled has every node serve CPU profiles at its debug address.
	Profiled bool
	// SingleThreaded runs every node with GOMAXPROCS=1.
	SingleThreaded bool
	// History records every start of a proxy. It may be nil.
	History *checker.History
}

// Fleet holds the machines of one run. It must be used by one goroutine only, except that other
// goroutines may send signals to single machines.
type Fleet struct {
	FleetConfig
	Machines []*Machine // core nodes first
	Relay    *Relay     // relays the traffic between nodes; nil if they connect directly
}

// NewFleet returns a fleet whose core nodes and proxies are spread evenly over the zones. It
// starts no process.
func NewFleet(config FleetConfig) *Fleet {
	f := &Fleet{FleetConfig: config}
	for i := range config.Cores {
		f.Machines = append(f.Machines, newMachine(f, fmt.Sprintf("core%d", i+1), roleCore, i%config.Zones, i+1))
	}
	for i := range config.Proxies {
		f.Machines = append(f.Machines, newMachine(f, fmt.Sprintf("proxy%d", i+1), roleProxy, i%config.Zones, 100+i))
	}
	return f
}

// Machine returns the machine with the name, or nil if there is none.
func (f *Fleet) Machine(name string) *Machine {
	for _, m := range f.Machines {
		if m.Name == name {
			return m
		}
	}
	return nil
}

// CoreMachines returns the machines of the core nodes.
func (f *Fleet) CoreMachines() []*Machine { return f.machinesOf(roleCore) }

// ProxyMachines returns the machines of the proxies.
func (f *Fleet) ProxyMachines() []*Machine { return f.machinesOf(roleProxy) }

func (f *Fleet) machinesOf(role role) (machines []*Machine) {
	for _, m := range f.Machines {
		if m.role == role {
			machines = append(machines, m)
		}
	}
	return machines
}

// APIAddresses returns the API addresses of the core nodes.
func (f *Fleet) APIAddresses() (addresses []string) {
	for _, m := range f.CoreMachines() {
		addresses = append(addresses, m.APIAddress())
	}
	return addresses
}

// seeds returns the comma-separated peer addresses that a node contacts to join the fleet.
func (f *Fleet) seeds() string {
	var addresses []string
	for _, m := range f.CoreMachines() {
		if len(addresses) < maxSeeds {
			addresses = append(addresses, m.RPCAddress())
		}
	}
	return strings.Join(addresses, ",")
}

// StartAll starts every machine. It returns the first error and starts no further machine then.
func (f *Fleet) StartAll() error {
	for _, m := range f.Machines {
		if err := m.Start(); err != nil {
			return errcode.New(errcode.Internal, "%s: %v", m.Name, err)
		}
	}
	return nil
}

// KillAll kills every process of the fleet, including frozen ones, and waits until they have
// exited.
func (f *Fleet) KillAll() {
	for _, m := range f.Machines {
		m.Thaw()
		m.Kill()
	}
}

// AwaitReady waits until the node of every running machine reports that it is ready. It fails with
// errcode.Unreachable if the context ends first.
func (f *Fleet) AwaitReady(ctx context.Context) error {
	for _, m := range f.Machines {
		if !m.IsUp() {
			continue
		}
		if err := m.awaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (m *Machine) awaitReady(ctx context.Context) error {
	client, err := api.NewClient("http://" + m.APIAddress())
	if err != nil {
		return err
	}
	for {
		callCtx, cancel := context.WithTimeout(ctx, readyCallTimeout)
		_, err := client.Ready(callCtx)
		cancel()
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return errcode.New(errcode.Unreachable, "%s is not ready: %v", m.Name, err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(readyPollInterval):
		}
	}
}
