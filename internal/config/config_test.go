package config

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
)

func TestLoad_ReportsEveryFault(t *testing.T) {
	path := filepath.Join(t.TempDir(), "props.yaml")
	os.WriteFile(path, []byte(`
name: "a b"
seeds: ["10.0.0.1:7000", "core.example:7000"]
peer: {address: "10.0.0.1"}
proxy: {address: "10.0.0.1:70", max_inflight: 0, colour: red}
gate: {colour: red}
distribution: {max_age: 2s}
log: {level: loud}
consensus: {snapshot_entries: many}
`), 0o644)
	_, err := Load(path, map[string]string{"strength": "0"})
	if !errors.Is(err, errcode.InvalidSettings) {
		t.Fatal(err)
	}
	want := []string{
		`api.address: is missing`,
		`consensus.snapshot_entries: "many" is not a whole number`,
		`distribution.max_age: 2s is outside 100ms to 900ms`,
		`gate.colour: no such setting`,
		`log.level: "loud" is none of debug, info, warn, error`,
		`name: holds a space or a slash`,
		`peer.address: "10.0.0.1" is not an IP number with a port`,
		`peer.address: is missing`,
		`proxy.colour: no such setting`,
		`proxy.max_inflight: 0 is outside 1 to 100000`,
		`seeds.1: "core.example:7000" is not an IP number with a port`,
		`strength: 0 is outside 1 to 100000`,
	}
	if diff := cmp.Diff(want, errcode.From(err).Paths); diff != "" {
		t.Fatal(diff)
	}
}

func TestLoad_FlagsOverrideEnvironmentOverridesFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "props.json")
	os.WriteFile(path, []byte(`{"name":"n","zone":"file","wire":{"address":"127.0.0.1:1"},"api":{"address":"127.0.0.1:2"},"gate":{"address":"127.0.0.1:3"},"strength":7,"gate.inflight":9}`), 0o644)
	t.Setenv("SUMAC_ZONE", "variable")
	t.Setenv("SUMAC_STRENGTH", "8")
	p, err := Load(path, map[string]string{"strength": "9"})
	if err != nil {
		t.Fatal(err)
	}
	if p.Zone != "variable" || p.Strength != 9 || p.Name != "n" || p.ProxyMaxInflight != 9 {
		t.Fatalf("%+v", p)
	}
}
