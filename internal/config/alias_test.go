// Settings under their former names: read from every source, told of, and refused beside
// the current name.
package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
)

// required are the settings that every node must be given, but for its data folder.
func required(more ...string) map[string]string {
	flags := map[string]string{"name": "n", "peer.address": "127.0.0.1:1", "api.address": "127.0.0.1:2", "data.folder": "/none"}
	for i := 0; i+1 < len(more); i += 2 {
		flags[more[i]] = more[i+1]
	}
	return flags
}

func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestLoad_FormerNamesAreRead(t *testing.T) {
	want := []Renaming{{Former: "pact.round", Name: "consensus.heartbeat_period"}}
	for name, load := range map[string]func(t *testing.T) (*Settings, error){
		"nested in a file": func(t *testing.T) (*Settings, error) {
			return Load(writeFile(t, "s.yaml", "pact: {round: 111ms}\n"), required())
		},
		"dotted in a file": func(t *testing.T) (*Settings, error) {
			return Load(writeFile(t, "s.json", `{"pact.round": "111ms"}`), required())
		},
		"in the environment": func(t *testing.T) (*Settings, error) {
			t.Setenv("SUMAC_PACT_ROUND", "111ms")
			return Load("", required())
		},
		"by a flag": func(t *testing.T) (*Settings, error) {
			return Load("", required("pact.round", "111ms"))
		},
	} {
		t.Run(name, func(t *testing.T) {
			s, err := load(t)
			if err != nil {
				t.Fatal(err)
			}
			if s.ConsensusHeartbeatPeriod != 111*time.Millisecond {
				t.Errorf("the interval is %v", s.ConsensusHeartbeatPeriod)
			}
			if diff := cmp.Diff(want, s.Renamed); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestLoad_CurrentNamesAreReadWithoutRenaming(t *testing.T) {
	t.Setenv("SUMAC_CONSENSUS_RETAINED_BYTES", "7")
	s, err := Load(writeFile(t, "s.yaml", "distribution: {offline_grace: 1h}\n"), required("proxy.max_inflight", "9"))
	if err != nil {
		t.Fatal(err)
	}
	if s.ConsensusRetainedBytes != 7 || s.DistributionOfflineGrace != time.Hour || s.ProxyMaxInflight != 9 || len(s.Renamed) != 0 {
		t.Errorf("%+v", s)
	}
}

// A flag wins over the file also where the two use different settings' former names.
func TestLoad_FormerNamesKeepTheOrderOfSources(t *testing.T) {
	s, err := Load(writeFile(t, "s.yaml", "pact: {round: 111ms}\nplan: {beat: 2s}\n"), required("pact.round", "222ms"))
	if err != nil {
		t.Fatal(err)
	}
	if s.ConsensusHeartbeatPeriod != 222*time.Millisecond || s.ControlplaneHeartbeatPeriod != 2*time.Second || len(s.Renamed) != 2 {
		t.Errorf("%v %v %v", s.ConsensusHeartbeatPeriod, s.ControlplaneHeartbeatPeriod, s.Renamed)
	}
}

func TestLoad_BothNamesAreRefused(t *testing.T) {
	want := []string{"consensus.heartbeat_period: is given under its former name pact.round too; give it once"}
	for name, load := range map[string]func(t *testing.T) (*Settings, error){
		"in one file with two values": func(t *testing.T) (*Settings, error) {
			return Load(writeFile(t, "s.yaml", "pact: {round: 111ms}\nconsensus: {heartbeat_period: 112ms}\n"), required())
		},
		"in one file with one value": func(t *testing.T) (*Settings, error) {
			return Load(writeFile(t, "s.yaml", "pact: {round: 111ms}\nconsensus: {heartbeat_period: 111ms}\n"), required())
		},
		"in the file and by a flag": func(t *testing.T) (*Settings, error) {
			return Load(writeFile(t, "s.yaml", "pact: {round: 111ms}\n"), required("consensus.heartbeat_period", "111ms"))
		},
		"in the environment and by a flag": func(t *testing.T) (*Settings, error) {
			t.Setenv("SUMAC_CONSENSUS_HEARTBEAT_PERIOD", "111ms")
			return Load("", required("pact.round", "111ms"))
		},
		"by two flags": func(t *testing.T) (*Settings, error) {
			return Load("", required("pact.round", "111ms", "consensus.heartbeat_period", "111ms"))
		},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := load(t)
			if err == nil || errcode.From(err).Code != errcode.InvalidSettings {
				t.Fatal(err)
			}
			if diff := cmp.Diff(want, errcode.From(err).Paths); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestLoad_FaultNamesTheNameGiven(t *testing.T) {
	_, err := Load("", required("pact.round", "soon"))
	if err == nil {
		t.Fatal("it was read")
	}
	if diff := cmp.Diff([]string{`consensus.heartbeat_period (given as pact.round): "soon" is not a duration`}, errcode.From(err).Paths); diff != "" {
		t.Error(diff)
	}
}

// No name, be it current or former, stands for two settings, also not as a variable.
func TestTable_NamesAreDistinct(t *testing.T) {
	names, variables := map[string]string{}, map[string]string{}
	former := 0
	for _, s := range table {
		for _, name := range []string{s.key, s.alias} {
			if name == "" {
				continue
			}
			if other, ok := names[name]; ok {
				t.Errorf("%s names %s and %s", name, other, s.key)
			}
			if other, ok := variables[variableOf(name)]; ok {
				t.Errorf("%s is the variable of %s and %s", variableOf(name), other, name)
			}
			names[name], variables[variableOf(name)] = s.key, name
		}
		if s.alias != "" {
			former++
			if FormerName(s.key) != s.alias {
				t.Errorf("%s had the name %s, not %s", s.key, s.alias, FormerName(s.key))
			}
		}
		if strings.ToLower(s.key) != s.key {
			t.Errorf("%s is not in small letters, so that no variable names it", s.key)
		}
	}
	if former < 60 || FormerName("name") != "name" {
		t.Errorf("%d settings have former names", former)
	}
}
