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
	maxSeeds          = 3 // wire addresses that each node is given at first
	readyPollInterval = 50 * time.Millisecond
	readyCallTimeout  = time.Second
)

// FleetConfig describes a fleet.
type FleetConfig struct {
	Binary      string // the program of sumac
	OtherBinary string // another build of it, for rolls and upgrades; none if empty
	Folder      string // for data and logs, a folder below it for each machine
	Port        int    // the first of portsPerMachine that are free on all loopback addresses

	Cores, Proxies, Zones int

	// Settings are of the product, for every node, beside those that follow from its place.
	Settings map[string]string
	// Profiled gives every node an address for processor profiles.
	Profiled bool
	// SingleThreaded runs every node on one thread of the runtime.
	SingleThreaded bool
	// History records every start of a proxy, unless it is nil.
	History *checker.History
}

// Fleet is the machines of one run. It is used by one goroutine; single machines may be
// signalled from others.
type Fleet struct {
	FleetConfig
	Machines []*Machine // core nodes first
	Relay    *Relay     // stands before every node's wire address; nil for none
}

// NewFleet lays out a fleet whose core nodes and proxies are spread over the zones. It starts
// no process.
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

// Machine returns the machine of a name, or nil.
func (f *Fleet) Machine(name string) *Machine {
	for _, m := range f.Machines {
		if m.Name == name {
			return m
		}
	}
	return nil
}

// CoreMachines returns the machines that hold state.
func (f *Fleet) CoreMachines() []*Machine { return f.machinesOf(roleCore) }

// ProxyMachines returns the machines that serve clients.
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

// seeds returns the wire addresses that a node asks first, with commas between them.
func (f *Fleet) seeds() string {
	var addresses []string
	for _, m := range f.CoreMachines() {
		if len(addresses) < maxSeeds {
			addresses = append(addresses, m.RPCAddress())
		}
	}
	return strings.Join(addresses, ",")
}

// StartAll starts every machine. It ends with the first that can't be started.
func (f *Fleet) StartAll() error {
	for _, m := range f.Machines {
		if err := m.Start(); err != nil {
			return errcode.New(errcode.Internal, "%s: %v", m.Name, err)
		}
	}
	return nil
}

// KillAll ends every process of the fleet, also frozen ones, and waits for their ends.
func (f *Fleet) KillAll() {
	for _, m := range f.Machines {
		m.Thaw()
		m.Kill()
	}
}

// AwaitReady waits until every machine that is up reports that it is ready. It fails with
// errcode.Unreachable when the context ends before.
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
		limited, cancel := context.WithTimeout(ctx, readyCallTimeout)
		_, err := client.Ready(limited)
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
