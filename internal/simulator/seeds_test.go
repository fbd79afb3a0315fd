// Simulator runs by seed, with one fixed seed by default. Longer runs:
//
//	go test ./internal/simulator -run TestSeeds -seeds 1:200 -scenario kills
//
// For each seed that violates a rule, this prints the seed, the rule, the faults and the history
// around the violation.

package simulator

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/checker"
)

var (
	seeds      = flag.String("seeds", "1:1", "first and last seed")
	scenario   = flag.String("scenario", "all", "name of a scenario, or all")
	modes      = flag.String("manner", "both", "mode of the fleets: brief, stay (platform mode) or both")
	keepFolder = flag.String("keep", "", "folder for the logs and histories of seeds that violate a rule")
)

func TestSeeds(t *testing.T) {
	var first, last uint64
	if n, err := fmt.Sscanf(*seeds, "%d:%d", &first, &last); n != 2 || err != nil || last < first {
		t.Fatalf("-seeds %q is not FIRST:LAST", *seeds)
	}
	matched := false
	for _, s := range scenariosInModes(*modes) {
		if *scenario != "all" && *scenario != strings.TrimSuffix(s.Name, platformSuffix) {
			continue
		}
		matched = true
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			var mu sync.Mutex
			var recoveries []time.Duration
			var availability checker.Availability
			var executed, executedConnected int
			t.Cleanup(func() {
				sort.Slice(recoveries, func(i, j int) bool { return recoveries[i] < recoveries[j] })
				if n := len(recoveries); n > 0 {
					t.Logf("%s: %d seeds, recovery time: median %s, maximum %s", s.Name, n, recoveries[n/2], recoveries[n-1])
					t.Logf("%s: availability: %s; %d of %d executions came from connected proxies", s.Name, availability, executedConnected, executed)
				}
			})
			for seed := first; seed <= last; seed++ {
				t.Run(fmt.Sprint(seed), func(t *testing.T) {
					t.Parallel()
					if recovery, runAvailability, counts, ok := runScenario(t, s, seed); ok {
						mu.Lock()
						recoveries = append(recoveries, recovery)
						availability = availability.Add(runAvailability)
						executed, executedConnected = executed+counts[string(checker.RequestExecuted)], executedConnected+counts["ran in touch"]
						mu.Unlock()
					}
				})
			}
		})
	}
	if !matched {
		t.Fatalf("no scenario %q", *scenario)
	}
}

const platformSuffix = "+stay"

// scenariosInModes returns the scenarios for a value of the flag -manner. Names of scenarios in
// platform mode end in platformSuffix.
func scenariosInModes(mode string) (list []Scenario) {
	for _, s := range Scenarios {
		if mode != "stay" {
			list = append(list, s)
		}
		if s.Name += platformSuffix; mode != "brief" {
			s.PlatformMode = true
			list = append(list, s)
		}
	}
	return list
}

func runScenario(t *testing.T, s Scenario, seed uint64) (recovery time.Duration, availability checker.Availability, counts map[string]int, ok bool) {
	var log io.Writer = io.Discard
	var logBuffer bytes.Buffer
	if *keepFolder != "" {
		log = &lockedWriter{w: &logBuffer}
	}
	var report strings.Builder
	var history []byte
	synctest.Test(t, func(t *testing.T) {
		result, err := Run(s, seed, log)
		if err != nil {
			fmt.Fprintf(&report, "seed %d: %v\n", seed, err)
			return
		}
		recovery, availability = result.Recovery, result.Availability
		counts = result.Verdict.Counts
		for _, kind := range []string{"called: ran", "bonded: acquire done 0", "bonded: add done 0", "bonded: put done 0", "bonded: get done 0", "watched", "changed", "inforce", "bonded: set done 0", "bonded: renew done 0", "followed", "version: accepted", "readback"} {
			if result.Verdict.Counts[kind] == 0 {
				fmt.Fprintf(&report, "scenario %s seed %d: the history has no %q, so it proves nothing\n", s.Name, seed, kind)
			}
		}
		if !result.Verdict.IsValid() {
			for _, r := range result.Fleet.History.Records() {
				line, _ := json.Marshal(r)
				history = append(append(history, line...), '\n')
			}
			fmt.Fprintf(&report, "scenario %s seed %d\n%s\nfaults:\n%s\n", s.Name, seed, result.Verdict, strings.Join(result.Faults, "\n"))
		}
	})
	if testing.Verbose() && report.Len() == 0 {
		t.Log(counts)
	}
	if report.Len() > 0 {
		t.Error("\n" + report.String())
		if *keepFolder != "" {
			os.MkdirAll(*keepFolder, 0o755)
			os.WriteFile(filepath.Join(*keepFolder, fmt.Sprintf("%s-%d.log", s.Name, seed)), logBuffer.Bytes(), 0o644)
			os.WriteFile(filepath.Join(*keepFolder, fmt.Sprintf("%s-%d.history", s.Name, seed)), history, 0o644)
		}
		return 0, availability, counts, false
	}
	return recovery, availability, counts, true
}

type lockedWriter struct {
	mu sync.Mutex
	w  io.Writer
}

func (l *lockedWriter) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.w.Write(p)
}
