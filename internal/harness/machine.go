// Package fleet runs real processes of `sumac node` on loopback addresses, one
// address for each machine, and does to them what the brief says happens: kill,
// stop, freeze, wipe, bring back. It is the harness's; a node never starts a
// process.
package harness

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/api"
	"github.com/sumactrestle/sumactrestle/internal/checker"
	"github.com/sumactrestle/sumactrestle/internal/config"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
)

// Machine is one node's place.
type Machine struct {
	Name      string
	Zone      string
	IP        string
	IsCore    bool
	IsProxy   bool
	Capacity  int
	fleet     *Fleet
	cmd       *exec.Cmd
	done      chan struct{}
	isFrozen  atomic.Bool
	runsOther bool // runs the other build
}

// Fleet is all machines of one run.
type Fleet struct {
	Binary      string
	OtherBinary string // another build, for rolls; none if empty
	Folder      string
	Port        int
	Cores       int
	Machines    []*Machine
	Settings    map[string]string
	// Relay stands before every node's wire address, if there is one.
	Relay *Relay
	// History is told of every start of a proxy, if there is one.
	History *checker.History
	// Profiled gives every node an address for profiles, three above its port.
	Profiled  bool
	singleCPU bool
}

// New lays a fleet out: cores and proxies spread over zones.
func New(binary, folder string, port, cores, proxies, zones int) *Fleet {
	f := &Fleet{Binary: binary, Folder: folder, Port: port, Cores: cores, Settings: map[string]string{}}
	for i := range cores {
		f.add(fmt.Sprintf("core%d", i+1), i%zones, i+1, true, false)
	}
	for i := range proxies {
		f.add(fmt.Sprintf("proxy%d", i+1), i%zones, 100+i, false, true)
	}
	return f
}

func (f *Fleet) add(name string, zone, host int, isCore, isProxy bool) {
	f.Machines = append(f.Machines, &Machine{Name: name, Zone: fmt.Sprintf("zone%d", zone+1), IP: fmt.Sprintf("127.1.%d.%d", zone+1, host), IsCore: isCore, IsProxy: isProxy, Capacity: 100, fleet: f})
}

func (m *Machine) RPCAddress() string   { return fmt.Sprintf("%s:%d", m.IP, m.fleet.Port) }
func (m *Machine) APIAddress() string   { return fmt.Sprintf("%s:%d", m.IP, m.fleet.Port+1) }
func (m *Machine) ProxyAddress() string { return fmt.Sprintf("%s:%d", m.IP, m.fleet.Port+2) }

// relayedAddress is where the node listens when a relay stands before it.
func (m *Machine) relayedAddress() string { return fmt.Sprintf("%s:%d", m.IP, m.fleet.Port+4) }

// DataDir is the machine's data folder.
func (m *Machine) DataDir() string { return filepath.Join(m.fleet.Folder, m.Name, "data") }

// LogFile is the machine's log file.
func (m *Machine) LogFile() string { return filepath.Join(m.fleet.Folder, m.Name, "log") }

// seeds is the wire addresses of three core nodes at most.
func (f *Fleet) seeds() string {
	var seeds []string
	for _, m := range f.Machines {
		if m.IsCore && len(seeds) < 3 {
			seeds = append(seeds, m.RPCAddress())
		}
	}
	return strings.Join(seeds, ",")
}

// Start runs the machine's process.
func (m *Machine) Start() error {
	if err := os.MkdirAll(filepath.Dir(m.LogFile()), 0o755); err != nil {
		return err
	}
	set := map[string]string{"name": m.Name, "zone": m.Zone, "seeds": m.fleet.seeds(), "peer.address": m.RPCAddress(), "api.address": m.APIAddress(), "bootstrap.cores": fmt.Sprint(m.fleet.Cores), "strength": fmt.Sprint(m.Capacity), "log.file": m.LogFile()}
	if m.fleet.Relay != nil {
		set["peer.address"], set["peer.advertise"] = m.relayedAddress(), m.RPCAddress()
	}
	if m.IsCore {
		set["data.folder"] = m.DataDir()
	}
	if m.IsProxy {
		set["proxy.address"] = m.ProxyAddress()
	}
	if m.fleet.Profiled {
		set["debug.address"] = fmt.Sprintf("%s:%d", m.IP, m.fleet.Port+3)
	}
	for key, value := range m.fleet.Settings {
		set[key] = value
	}
	args := []string{"node"}
	for key, value := range set {
		if m.fleet.OtherBinary != "" {
			key = config.FormerName(key) // one of the builds may know no other
		}
		args = append(args, "--set", key+"="+value)
	}
	if m.IsProxy && m.fleet.History != nil {
		m.fleet.History.Add(checker.Record{Kind: checker.ProxyStarted, Proxy: m.ProxyAddress()})
	}
	binary := m.fleet.Binary
	if m.runsOther {
		binary = m.fleet.OtherBinary
	}
	cmd := exec.Command(binary, args...)
	trouble, err := os.OpenFile(filepath.Join(filepath.Dir(m.LogFile()), "stderr"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer trouble.Close()
	cmd.Stderr = trouble
	if m.fleet.singleCPU {
		cmd.Env = append(os.Environ(), "GOMAXPROCS=1")
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	m.cmd, m.done = cmd, done
	go func() { cmd.Wait(); close(done) }()
	return nil
}

func (m *Machine) IsUp() bool {
	if m.cmd == nil {
		return false
	}
	select {
	case <-m.done:
		return false
	default:
		return true
	}
}

func (m *Machine) signal(s syscall.Signal) {
	if m.IsUp() {
		m.cmd.Process.Signal(s)
	}
}

// Kill ends the process at once.
func (m *Machine) Kill() {
	m.signal(syscall.SIGKILL)
	if m.cmd != nil {
		<-m.done
	}
}

// Stop asks politely and kills about six seconds later; true if it went itself.
func (m *Machine) Stop() bool {
	m.signal(syscall.SIGTERM)
	select {
	case <-m.done:
		return true
	case <-time.After(6 * time.Second):
		m.Kill()
		return false
	}
}

// Freeze and Thaw hold the process still.
func (m *Machine) Freeze() { m.isFrozen.Store(true); m.signal(syscall.SIGSTOP) }
func (m *Machine) Thaw()   { m.isFrozen.Store(false); m.signal(syscall.SIGCONT) }

// Wipe empties the disk of a machine that is down.
func (m *Machine) Wipe() error { return os.RemoveAll(m.DataDir()) }

// Pid is the process's id.
func (m *Machine) Pid() int { return m.cmd.Process.Pid }

// Machine finds a machine.
func (f *Fleet) Machine(name string) *Machine {
	for _, m := range f.Machines {
		if m.Name == name {
			return m
		}
	}
	return nil
}

// CoreMachines and ProxyMachines are the two kinds.
func (f *Fleet) CoreMachines() (some []*Machine) {
	for _, m := range f.Machines {
		if m.IsCore {
			some = append(some, m)
		}
	}
	return some
}

func (f *Fleet) ProxyMachines() (some []*Machine) {
	for _, m := range f.Machines {
		if m.IsProxy {
			some = append(some, m)
		}
	}
	return some
}

// APIAddresses is the API addresses of the core nodes.
func (f *Fleet) APIAddresses() (list []string) {
	for _, m := range f.CoreMachines() {
		list = append(list, m.APIAddress())
	}
	return list
}

// StartAll starts every machine.
func (f *Fleet) StartAll() error {
	for _, m := range f.Machines {
		if err := m.Start(); err != nil {
			return errcode.New(errcode.Internal, "%s: %v", m.Name, err)
		}
	}
	return nil
}

// KillAll ends every process of the fleet.
func (f *Fleet) KillAll() {
	for _, m := range f.Machines {
		if m.cmd != nil {
			m.signal(syscall.SIGCONT)
			m.Kill()
		}
	}
}

// AwaitReady waits until every machine that is up says it does its work.
func (f *Fleet) AwaitReady(ctx context.Context) error {
	for _, m := range f.Machines {
		if !m.IsUp() {
			continue
		}
		client, err := api.NewClient("http://" + m.APIAddress())
		if err != nil {
			return err
		}
		for {
			limited, end := context.WithTimeout(ctx, time.Second)
			_, err := client.Ready(limited)
			end()
			if err == nil {
				break
			}
			if ctx.Err() != nil {
				return errcode.New(errcode.Unreachable, "%s is not ready: %v", m.Name, err)
			}
			select {
			case <-ctx.Done():
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	return nil
}

// freePorts finds a port with the four above it free on all loopback addresses. It
// lies below those that the system gives to outgoing connections, for a run of many
// nodes holds thousands of these.
func freePorts() (int, error) {
	for range 50 {
		port := 10000 + 5*rand.IntN(4400)
		isFree := true
		for i := range 5 {
			l, err := net.Listen("tcp", fmt.Sprintf("0.0.0.0:%d", port+i))
			if err != nil {
				isFree = false
				break
			}
			l.Close()
		}
		if isFree {
			return port, nil
		}
	}
	return 0, errcode.New(errcode.Internal, "no free ports")
}
