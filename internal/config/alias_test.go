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

// required returns flags for a minimal valid core node plus the given pairs of key and value.
func required(pairs ...string) map[string]string {
	flags := map[string]string{"name": "n", "peer.address": "127.0.0.1:1", "api.address": "127.0.0.1:2", "data.folder": "/none"}
	for i := 0; i+1 < len(pairs); i += 2 {
		flags[pairs[i]] = pairs[i+1]
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

func TestLoad_AcceptsFormerNames(t *testing.T) {
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
				t.Errorf("consensus.heartbeat_period is %v", s.ConsensusHeartbeatPeriod)
			}
			if diff := cmp.Diff(want, s.Renamed); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestLoad_CurrentNamesReportNoRenaming(t *testing.T) {
	t.Setenv("SUMAC_CONSENSUS_RETAINED_BYTES", "7")
	s, err := Load(writeFile(t, "s.yaml", "distribution: {offline_grace: 1h}\n"), required("proxy.max_inflight", "9"))
	if err != nil {
		t.Fatal(err)
	}
	if s.ConsensusRetainedBytes != 7 || s.DistributionOfflineGrace != time.Hour || s.ProxyMaxInflight != 9 || len(s.Renamed) != 0 {
		t.Errorf("%+v", s)
	}
}

// A flag overrides a file also when both use former names.
func TestLoad_FormerNamesKeepSourcePrecedence(t *testing.T) {
	s, err := Load(writeFile(t, "s.yaml", "pact: {round: 111ms}\nplan: {beat: 2s}\n"), required("pact.round", "222ms"))
	if err != nil {
		t.Fatal(err)
	}
	if s.ConsensusHeartbeatPeriod != 222*time.Millisecond || s.ControlplaneHeartbeatPeriod != 2*time.Second || len(s.Renamed) != 2 {
		t.Errorf("%v %v %v", s.ConsensusHeartbeatPeriod, s.ControlplaneHeartbeatPeriod, s.Renamed)
	}
}

func TestLoad_RejectsSettingGivenUnderBothNames(t *testing.T) {
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

func TestLoad_FaultNamesFormerNameIfGiven(t *testing.T) {
	_, err := Load("", required("pact.round", "soon"))
	if err == nil {
		t.Fatal("an invalid duration was accepted")
	}
	if diff := cmp.Diff([]string{`consensus.heartbeat_period (given as pact.round): "soon" is not a duration`}, errcode.From(err).Paths); diff != "" {
		t.Error(diff)
	}
}

// No current or former name, and no environment variable derived from one, refers to two settings.
func TestTable_NamesAreDistinct(t *testing.T) {
	names, variables := map[string]string{}, map[string]string{}
	formerCount := 0
	for _, s := range table {
		for _, name := range []string{s.key, s.alias} {
			if name == "" {
				continue
			}
			if other, ok := names[name]; ok {
				t.Errorf("%s refers to both %s and %s", name, other, s.key)
			}
			if other, ok := variables[variableName(name)]; ok {
				t.Errorf("%s is the variable of both %s and %s", variableName(name), other, name)
			}
			names[name], variables[variableName(name)] = s.key, name
		}
		if s.alias != "" {
			formerCount++
			if FormerName(s.key) != s.alias {
				t.Errorf("%s has the former name %s, FormerName returns %s", s.key, s.alias, FormerName(s.key))
			}
		}
		if strings.ToLower(s.key) != s.key {
			t.Errorf("%s is not in lower case, so no variable can name it", s.key)
		}
	}
	if formerCount < 60 || FormerName("name") != "name" {
		t.Errorf("%d settings have former names", formerCount)
	}
}
