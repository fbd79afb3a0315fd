package harness

import (
	"fmt"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/checker"
	"github.com/sumactrestle/sumactrestle/internal/config"
)

const (
	defaultCapacity = 100
	// stopTimeout is how long a node may take over a planned stop before it is killed.
	stopTimeout = 6 * time.Second
	// hostsPerNetwork is how many addresses differ in their last byte alone, without 0 and 255.
	hostsPerNetwork = 254
)

// role is what a machine's node does.
type role string

const (
	roleCore  role = "core"  // holds replicated state
	roleProxy role = "proxy" // serves clients
)

// Machine is the place of one node: its addresses, its files and its process, if that runs.
type Machine struct {
	Name     string
	Zone     string
	IP       string
	Capacity int // its weight among the fleet's machines

	fleet     *Fleet
	role      role
	runsOther bool // the fleet's other build

	process atomic.Pointer[process] // the last that was started; nil if none was
	frozen  atomic.Bool
}

// process is one run of a machine's program.
type process struct {
	cmd  *exec.Cmd
	done chan struct{} // closed when it has ended
}

// endsBy waits until the process has ended or a moment has come, and tells whether it has ended.
func (p *process) endsBy(moment time.Time) bool {
	select {
	case <-p.done:
		return true
	case <-time.After(time.Until(moment)):
		return false
	}
}

// loopbackAddress is the address of a host of a zone. Hosts are counted from 1; those that the last
// byte has no room for go on in the next network.
func loopbackAddress(zone, host int) string {
	network := 1 + (host-1)/hostsPerNetwork
	return fmt.Sprintf("127.%d.%d.%d", network, zone+1, 1+(host-1)%hostsPerNetwork)
}

func newMachine(f *Fleet, name string, role role, zone, host int) *Machine {
	return &Machine{
		Name:     name,
		Zone:     fmt.Sprintf("zone%d", zone+1),
		IP:       loopbackAddress(zone, host),
		Capacity: defaultCapacity,
		fleet:    f,
		role:     role,
	}
}

func (m *Machine) address(offset int) string {
	return fmt.Sprintf("%s:%d", m.IP, m.fleet.Port+offset)
}

// RPCAddress is where other nodes reach this one.
func (m *Machine) RPCAddress() string { return m.address(portRPC) }

// APIAddress is where the node serves the product's API.
func (m *Machine) APIAddress() string { return m.address(portAPI) }

// ProxyAddress is where a proxy serves clients.
func (m *Machine) ProxyAddress() string { return m.address(portProxy) }

// relayedAddress is where the node listens when a relay stands before it.
func (m *Machine) relayedAddress() string { return m.address(portRelayed) }

func (m *Machine) folder() string { return filepath.Join(m.fleet.Folder, m.Name) }

// DataDir is the folder of a core node's state.
func (m *Machine) DataDir() string { return filepath.Join(m.folder(), "data") }

// LogFile is the node's log. What the process writes to its standard error is beside it.
func (m *Machine) LogFile() string { return filepath.Join(m.folder(), "log") }

// settings returns the settings that the node is started with.
func (m *Machine) settings() map[string]string {
	settings := map[string]string{
		"name":            m.Name,
		"zone":            m.Zone,
		"seeds":           m.fleet.seeds(),
		"peer.address":    m.RPCAddress(),
		"api.address":     m.APIAddress(),
		"bootstrap.cores": fmt.Sprint(m.fleet.Cores),
		"strength":        fmt.Sprint(m.Capacity),
		"log.file":        m.LogFile(),
	}
	maps.Copy(settings, m.fleet.Settings)
	if m.fleet.Relay != nil {
		settings["peer.address"], settings["peer.advertise"] = m.relayedAddress(), m.RPCAddress()
	}
	switch m.role {
	case roleCore:
		settings["data.folder"] = m.DataDir()
	case roleProxy:
		settings["proxy.address"] = m.ProxyAddress()
	}
	if m.fleet.Profiled {
		settings["debug.address"] = m.address(portProfiles)
	}
	return settings
}

// Start runs the machine's program. It returns when the process exists; Fleet.AwaitReady
// waits until its node is ready.
func (m *Machine) Start() error {
	if err := os.MkdirAll(m.folder(), 0o755); err != nil {
		return err
	}
	binary := m.fleet.Binary
	if m.runsOther {
		binary = m.fleet.OtherBinary
	}
	args := []string{"node"}
	for key, value := range m.settings() {
		if m.fleet.OtherBinary != "" {
			key = config.FormerName(key) // one of the builds may know no other
		}
		args = append(args, "--set", key+"="+value)
	}
	if m.role == roleProxy && m.fleet.History != nil {
		m.fleet.History.Add(checker.Record{Kind: checker.ProxyStarted, Proxy: m.ProxyAddress()})
	}
	cmd := exec.Command(binary, args...)
	stderr, err := os.OpenFile(filepath.Join(m.folder(), "stderr"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer stderr.Close()
	cmd.Stderr = stderr
	if m.fleet.SingleThreaded {
		cmd.Env = append(os.Environ(), "GOMAXPROCS=1")
	}
	// No node outlives the harness, however that ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	p := &process{cmd: cmd, done: make(chan struct{})}
	m.process.Store(p)
	go func() {
		defer close(p.done)
		cmd.Wait() // how it ended is read from its log
	}()
	return nil
}

// IsUp reports whether the machine's process runs, be it frozen or not.
func (m *Machine) IsUp() bool {
	p := m.process.Load()
	if p == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// signal sends a signal to the process, if it runs.
func (m *Machine) signal(s syscall.Signal) {
	if m.IsUp() {
		m.process.Load().cmd.Process.Signal(s) // it may end meanwhile
	}
}

// Kill ends the process at once and waits for its end.
func (m *Machine) Kill() {
	m.signal(syscall.SIGKILL)
	if p := m.process.Load(); p != nil {
		<-p.done
	}
}

// Stop asks the process for a planned stop, and kills it after stopTimeout. It reports whether
// the process stopped by itself. The machine must have been started.
func (m *Machine) Stop() bool {
	m.signal(syscall.SIGTERM)
	select {
	case <-m.process.Load().done:
		return true
	case <-time.After(stopTimeout):
		m.Kill()
		return false
	}
}

// Freeze stops the process where it is, as a machine that hangs.
func (m *Machine) Freeze() {
	m.frozen.Store(true)
	m.signal(syscall.SIGSTOP)
}

// Thaw lets a frozen process go on.
func (m *Machine) Thaw() {
	m.frozen.Store(false)
	m.signal(syscall.SIGCONT)
}

// Wipe loses the disk of a machine that is down.
func (m *Machine) Wipe() error { return os.RemoveAll(m.DataDir()) }

// PID is the ID of the last process. The machine must have been started.
func (m *Machine) PID() int { return m.process.Load().cmd.Process.Pid }
