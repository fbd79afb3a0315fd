package harness

import (
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

// newTestFleet returns a fleet whose program writes its arguments to argsFile, one per line, and
// then runs until it receives SIGTERM.
func newTestFleet(t *testing.T, config FleetConfig) (f *Fleet, argsFile string) {
	t.Helper()
	dir := t.TempDir()
	argsFile = filepath.Join(dir, "args")
	script := "#!/bin/sh\nprintf '%s\\n' \"$@\" > " + argsFile + ".new\nmv " + argsFile + ".new " + argsFile + "\ntrap 'exit 0' TERM\nwhile :; do sleep 0.05; done\n"
	config.Binary, config.Folder = filepath.Join(dir, "program"), dir
	if err := os.WriteFile(config.Binary, []byte(script), 0o755); err != nil {
		t.Fatal(err)
	}
	port, err := freePorts()
	if err != nil {
		t.Fatal(err)
	}
	config.Port = port
	f = NewFleet(config)
	t.Cleanup(f.KillAll)
	return f, argsFile
}

// startAndAwait starts a machine and returns the arguments that its program received.
func startAndAwait(t *testing.T, m *Machine, argsFile string) []string {
	t.Helper()
	if err := m.Start(); err != nil {
		t.Fatal(err)
	}
	var args []string
	if err := waitUntil(t.Context(), readyTimeout, func() bool {
		raw, err := os.ReadFile(argsFile)
		args = strings.Fields(string(raw))
		return err == nil
	}); err != nil {
		t.Fatal("the program did not start")
	}
	return args
}

func TestNewFleet_SpreadsMachinesOverZones(t *testing.T) {
	f := NewFleet(FleetConfig{Port: 10000, Cores: 4, Proxies: 2, Zones: 3})
	var got []string
	for _, m := range f.Machines {
		got = append(got, m.Name+" "+m.Zone+" "+m.RPCAddress())
	}
	want := []string{
		"core1 zone1 127.1.1.1:10000", "core2 zone2 127.1.2.2:10000", "core3 zone3 127.1.3.3:10000", "core4 zone1 127.1.1.4:10000",
		"proxy1 zone1 127.1.1.100:10000", "proxy2 zone2 127.1.2.101:10000",
	}
	if !slices.Equal(got, want) {
		t.Errorf("machines %q, want %q", got, want)
	}
	if want := "127.1.1.1:10000,127.1.2.2:10000,127.1.3.3:10000"; f.seeds() != want {
		t.Errorf("seeds %q, want %q", f.seeds(), want)
	}
	if len(f.CoreMachines()) != 4 || len(f.ProxyMachines()) != 2 || f.Machine("proxy2") != f.Machines[5] || f.Machine("core5") != nil {
		t.Error("machines are not found by role or by name")
	}
}

// Guards against invalid addresses such as 127.1.2.269, with which the proxies from number 157 on
// did not start.
func TestNewFleet_AssignsUniqueAddresses(t *testing.T) {
	names := map[string]string{}
	for _, m := range NewFleet(FleetConfig{Port: 10000, Cores: 99, Proxies: 500, Zones: 3}).Machines {
		ip := net.ParseIP(m.IP)
		if ip == nil || !ip.IsLoopback() {
			t.Errorf("%s: %s is not a loopback address", m.Name, m.IP)
		}
		if other := names[m.IP]; other != "" {
			t.Errorf("%s and %s have the address %s", other, m.Name, m.IP)
		}
		names[m.IP] = m.Name
	}
}

func TestMachine_Settings(t *testing.T) {
	for _, test := range []struct {
		name            string
		config          FleetConfig
		relayed         bool
		machine         string
		present, absent []string
	}{
		{"a core node holds data", FleetConfig{}, false, "core1", []string{"data.folder", "peer.address"}, []string{"proxy.address", "debug.address", "peer.advertise"}},
		{"a proxy serves clients", FleetConfig{}, false, "proxy1", []string{"proxy.address"}, []string{"data.folder"}},
		{"a profiled node has a debug address", FleetConfig{Profiled: true}, false, "proxy1", []string{"debug.address"}, nil},
		{"a node behind a relay advertises the relay's address", FleetConfig{}, true, "core1", []string{"peer.advertise"}, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			test.config.Cores, test.config.Proxies, test.config.Zones, test.config.Port = 1, 1, 1, 10000
			f := NewFleet(test.config)
			if test.relayed {
				f.Relay = &Relay{}
			}
			m := f.Machine(test.machine)
			settings := m.settings()
			for _, key := range test.present {
				if settings[key] == "" {
					t.Errorf("%s is missing in %v", key, settings)
				}
			}
			for _, key := range test.absent {
				if value, ok := settings[key]; ok {
					t.Errorf("%s is %q, want it unset", key, value)
				}
			}
			if test.relayed && (settings["peer.advertise"] != m.RPCAddress() || settings["peer.address"] != m.relayedAddress()) {
				t.Errorf("the node does not listen behind the relay: %v", settings)
			}
		})
	}
}

func TestMachine_PassesFormerNamesWhenBuildsDiffer(t *testing.T) {
	for _, test := range []struct{ name, otherBinary, want, unwanted string }{
		{"one build", "", "peer.address=", "wire.address="},
		{"two builds", "/nowhere", "wire.address=", "peer.address="},
	} {
		t.Run(test.name, func(t *testing.T) {
			f, argsFile := newTestFleet(t, FleetConfig{Cores: 1, Zones: 1, OtherBinary: test.otherBinary})
			args := strings.Join(startAndAwait(t, f.Machines[0], argsFile), " ")
			if !strings.HasPrefix(args, "node ") || !strings.Contains(args, test.want) || strings.Contains(args, test.unwanted) {
				t.Error(args)
			}
		})
	}
}

func TestMachine_StopFreezeKillRestart(t *testing.T) {
	f, argsFile := newTestFleet(t, FleetConfig{Cores: 1, Zones: 1})
	m := f.Machines[0]
	if m.IsUp() {
		t.Error("up before the start")
	}
	m.Kill() // no effect
	startAndAwait(t, m, argsFile)
	if !m.IsUp() {
		t.Fatal("not up")
	}
	if cpuTime, err := processorTime(m.PID()); err != nil || cpuTime > time.Minute {
		t.Errorf("processor time %s, %v", cpuTime, err)
	}
	time.Sleep(50 * time.Millisecond) // gives the program time to install its SIGTERM trap
	if !m.Stop() {
		t.Error("the process did not exit by itself")
	}
	if m.IsUp() {
		t.Error("up after the stop")
	}
	if err := m.Start(); err != nil {
		t.Fatal(err)
	}
	m.Freeze()
	if !m.IsUp() || !m.frozen.Load() {
		t.Error("a frozen machine is not up or not marked as frozen")
	}
	m.Kill()
	if m.IsUp() {
		t.Error("up after the kill")
	}
	if _, err := processorTime(m.PID()); err == nil {
		t.Error("processorTime succeeds for a process that no longer exists")
	}
}

func TestMachine_StartFailsWithoutProgram(t *testing.T) {
	f := NewFleet(FleetConfig{Binary: "/nowhere/program", Folder: t.TempDir(), Port: 10000, Cores: 1, Zones: 1})
	if err := f.StartAll(); err == nil || !strings.Contains(err.Error(), "core1") {
		t.Errorf("error %v does not name the machine", err)
	}
}
