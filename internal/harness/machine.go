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
	// stopTimeout limits a planned stop; a node that exceeds it is killed.
	stopTimeout = 6 * time.Second
	// hostsPerNetwork is the number of host addresses in a /24 network, without 0 and 255.
	hostsPerNetwork = 254
)

// role is the role of a machine's node in the fleet.
type role string

const (
	roleCore  role = "core"  // holds replicated state
	roleProxy role = "proxy" // serves clients
)

// Machine represents the machine of one node, with the node's addresses, files and process.
type Machine struct {
	Name     string
	Zone     string
	IP       string
	Capacity int // weight relative to the other machines; the node's "strength" setting

	fleet           *Fleet
	role            role
	runsOtherBinary bool // whether Start uses the fleet's OtherBinary

	process atomic.Pointer[process] // the most recently started process; nil if there was none
	frozen  atomic.Bool
}

// process is one execution of a machine's program.
type process struct {
	cmd  *exec.Cmd
	done chan struct{} // closed when the process has exited
}

// waitForExit waits until the process has exited or the deadline has passed, and reports whether
// the process has exited.
func (p *process) waitForExit(deadline time.Time) bool {
	select {
	case <-p.done:
		return true
	case <-time.After(time.Until(deadline)):
		return false
	}
}

// loopbackAddress returns the loopback address of a host in a zone. Hosts are numbered from 1;
// every hostsPerNetwork hosts share a /24 network.
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

// RPCAddress returns the address at which other nodes reach the node. If the fleet has a relay,
// the relay listens there.
func (m *Machine) RPCAddress() string { return m.address(portRPC) }

// APIAddress returns the address at which the node serves its HTTP API.
func (m *Machine) APIAddress() string { return m.address(portAPI) }

// ProxyAddress returns the address at which a proxy serves clients.
func (m *Machine) ProxyAddress() string { return m.address(portProxy) }

// relayedAddress returns the address at which the node listens for other nodes if the fleet has a
// relay.
func (m *Machine) relayedAddress() string { return m.address(portRelayed) }

func (m *Machine) folder() string { return filepath.Join(m.fleet.Folder, m.Name) }

// DataDir returns the folder of a core node's persistent state.
func (m *Machine) DataDir() string { return filepath.Join(m.folder(), "data") }

// LogFile returns the path of the node's log. The file "stderr" in the same folder holds the
// process's standard error.
func (m *Machine) LogFile() string { return filepath.Join(m.folder(), "log") }

// settings returns the settings that Start passes to the node.
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

// Start starts the machine's program. It returns as soon as the process runs; Fleet.AwaitReady
// waits until the node is ready.
func (m *Machine) Start() error {
	if err := os.MkdirAll(m.folder(), 0o755); err != nil {
		return err
	}
	binary := m.fleet.Binary
	if m.runsOtherBinary {
		binary = m.fleet.OtherBinary
	}
	args := []string{"node"}
	for key, value := range m.settings() {
		if m.fleet.OtherBinary != "" {
			key = config.FormerName(key) // an older build may know only the former name
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
	// The kernel kills the node if the harness exits without doing so.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	p := &process{cmd: cmd, done: make(chan struct{})}
	m.process.Store(p)
	go func() {
		defer close(p.done)
		cmd.Wait() // the error is ignored: the node's log shows how it ended
	}()
	return nil
}

// IsUp reports whether the machine's process exists, frozen or not.
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

// signal sends a signal to the process, if there is one.
func (m *Machine) signal(s syscall.Signal) {
	if m.IsUp() {
		m.process.Load().cmd.Process.Signal(s) // fails if the process has exited since IsUp
	}
}

// Kill kills the process and waits until it has exited. It has no effect if no process runs.
func (m *Machine) Kill() {
	m.signal(syscall.SIGKILL)
	if p := m.process.Load(); p != nil {
		<-p.done
	}
}

// Stop requests a planned stop with SIGTERM, and kills the process after stopTimeout. It reports
// whether the process exited by itself. The machine must have been started.
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

// Freeze suspends the process with SIGSTOP, to simulate a hung machine.
func (m *Machine) Freeze() {
	m.frozen.Store(true)
	m.signal(syscall.SIGSTOP)
}

// Thaw resumes a frozen process.
func (m *Machine) Thaw() {
	m.frozen.Store(false)
	m.signal(syscall.SIGCONT)
}

// Wipe deletes the node's data, to simulate the loss of its disk. The process must not be running.
func (m *Machine) Wipe() error { return os.RemoveAll(m.DataDir()) }

// PID returns the ID of the most recently started process. The machine must have been started.
func (m *Machine) PID() int { return m.process.Load().cmd.Process.Pid }
