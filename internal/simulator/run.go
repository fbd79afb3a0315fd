// A run consists of boot, load, faults drawn from the seed, the end of all faults, the time until
// the fleet is usable again, final reads, and the check of the history.

package simulator

import (
	"io"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/checker"
)

// Result holds the checker's verdict on a run, with its availability and injected faults.
type Result struct {
	Verdict      *checker.Result
	Availability checker.Availability
	Recovery     time.Duration // from the end of all faults until the fleet was usable
	Faults       []string
	Fleet        *Fleet
}

// Run runs a scenario. It must be called in a synctest bubble.
func Run(s Scenario, seed uint64, log io.Writer) (*Result, error) {
	shape := s.Shape()
	if s.PlatformMode {
		shape = platformShape(shape)
	}
	f := NewFleet(seed, shape, log)
	defer f.Close()
	if err := f.Boot(); err != nil {
		return nil, err
	}
	if s.PlannedOnly {
		f.History.Add(checker.Record{Kind: checker.PlannedStopsOnly})
	}
	f.StartClients(60 * time.Millisecond)
	f.StartOperators(2, 2*time.Second)
	f.StartChangeSets(2, 1500*time.Millisecond)
	f.StartCoordinationClients(5, 100*time.Millisecond)
	f.StartApplications(6, 100*time.Millisecond)
	f.StartSpaceClients(4, 150*time.Millisecond)
	f.StartTimedLocks(3, 150*time.Millisecond)
	f.StartLockCallers(5, 100*time.Millisecond)
	f.StartVersionedOperators(2, 1500*time.Millisecond)
	f.measureRecoveries()
	if s.PlatformMode {
		f.recordConnectivity()
	}
	if s.Start != nil {
		s.Start(f)
	}
	time.Sleep(2 * time.Second)
	began := time.Now()
	for time.Since(began) < s.Length {
		s.Faults(f)
	}
	f.Restore()
	restoredAt := f.History.Now()
	recoveryRecord := checker.Record{Kind: checker.Recovery, Start: restoredAt, Outcome: "usable"}
	if !f.WaitUntil(30*time.Second, f.IsUsable) {
		recoveryRecord.Outcome = "not usable"
	}
	f.History.Add(recoveryRecord)
	recovery := f.History.Now() - restoredAt
	time.Sleep(3 * time.Second)
	f.loadRunning.Store(false)
	f.loadTasks.Wait()
	f.verifyFinalState()
	f.readCounters()
	if err := f.readFinalConfiguration(); err != nil {
		return nil, err
	}
	f.History.Add(checker.Record{Kind: checker.ScenarioEnded})
	records := f.History.Records()
	return &Result{Verdict: checker.Check(records), Availability: checker.MeasureAvailability(records), Recovery: recovery, Faults: f.Faults, Fleet: f}, nil
}

// verifyFinalState queries every submitted change set and records the final configuration.
func (f *Fleet) verifyFinalState() {
	operator := f.newOperator(92, f.Cores()[0])
	queried := map[string]bool{}
	for _, r := range f.History.Records() {
		if r.Kind == checker.ChangeSubmitted && !queried[r.Name] {
			queried[r.Name] = true
			f.WaitUntil(10*time.Second, func() bool { _, err := operator.QueryChange(f.ctx, r.Name); return err == nil })
		}
	}
	if view, err := operator.Epoch(f.ctx); err == nil {
		r := checker.Record{Kind: checker.FinalConfiguration, Epoch: view.Epoch}
		for _, m := range view.Config.Mappings {
			r.Names = append(r.Names, m.Name)
		}
		f.History.Add(r)
	}
}
