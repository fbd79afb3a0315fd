// The fixed seeds of the simulator that run with the tests, and the long runs:
//
//	go test ./internal/simulator -run TestSeeds -seeds 1:200 -scenario kills
//
// prints, for each seed that breaks a rule, the seed, the rule, the faults and
// the history around the breach.

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
	modes      = flag.String("manner", "both", "manner of fleets: brief, stay or both")
	keepFolder = flag.String("keep", "", "folder for the logs and histories of seeds that break a rule")
)

func TestSeeds(t *testing.T) {
	var first, last uint64
	if n, err := fmt.Sscanf(*seeds, "%d:%d", &first, &last); n != 2 || err != nil || last < first {
		t.Fatalf("-seeds %q is not FIRST:LAST", *seeds)
	}
	found := false
	for _, s := range scenariosInModes(*modes) {
		if *scenario != "all" && *scenario != strings.TrimSuffix(s.Name, platformSuffix) {
			continue
		}
		found = true
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			var mu sync.Mutex
			var recoveries []time.Duration
			var served checker.Availability
			var ran, inTouch int
			t.Cleanup(func() {
				sort.Slice(recoveries, func(i, j int) bool { return recoveries[i] < recoveries[j] })
				if n := len(recoveries); n > 0 {
					t.Logf("%s: %d seeds, usable again after: median %s, most %s", s.Name, n, recoveries[n/2], recoveries[n-1])
					t.Logf("%s: served: %s; %d of %d runs were in touch", s.Name, served, inTouch, ran)
				}
			})
			for seed := first; seed <= last; seed++ {
				t.Run(fmt.Sprint(seed), func(t *testing.T) {
					t.Parallel()
					if recovery, availability, counts, ok := runScenario(t, s, seed); ok {
						mu.Lock()
						recoveries = append(recoveries, recovery)
						served = served.Add(availability)
						ran, inTouch = ran+counts[string(checker.RequestExecuted)], inTouch+counts["ran in touch"]
						mu.Unlock()
					}
				})
			}
		})
	}
	if !found {
		t.Fatalf("no scenario %q", *scenario)
	}
}

const platformSuffix = "+stay"

// scenariosInModes is the scenarios in the manners wanted.
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

func runScenario(t *testing.T, s Scenario, seed uint64) (recovery time.Duration, served checker.Availability, counts map[string]int, ok bool) {
	var log io.Writer = io.Discard
	var kept bytes.Buffer
	if *keepFolder != "" {
		log = &lockedWriter{w: &kept}
	}
	var report strings.Builder
	var history []byte
	synctest.Test(t, func(t *testing.T) {
		result, err := Run(s, seed, log)
		if err != nil {
			fmt.Fprintf(&report, "seed %d: %v\n", seed, err)
			return
		}
		recovery, served = result.Recovery, result.Availability
		counts = result.Verdict.Counts
		for _, what := range []string{"called: ran", "bonded: acquire done 0", "bonded: add done 0", "bonded: put done 0", "bonded: get done 0", "watched", "changed", "inforce", "bonded: set done 0", "bonded: renew done 0", "followed", "version: accepted", "readback"} {
			if result.Verdict.Counts[what] == 0 {
				fmt.Fprintf(&report, "scenario %s seed %d: there is no %q; a history that lacks it proves nothing\n", s.Name, seed, what)
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
			os.WriteFile(filepath.Join(*keepFolder, fmt.Sprintf("%s-%d.log", s.Name, seed)), kept.Bytes(), 0o644)
			os.WriteFile(filepath.Join(*keepFolder, fmt.Sprintf("%s-%d.history", s.Name, seed)), history, 0o644)
		}
		return 0, served, counts, false
	}
	return recovery, served, counts, true
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
