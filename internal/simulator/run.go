// A run: boot, load, faults drawn from the seed, everything brought back, the
// time until the fleet is usable again, the last questions, and the verdict.
package simulator

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/go-faster/jx"

	"github.com/sumactrestle/sumactrestle/internal/api"
	"github.com/sumactrestle/sumactrestle/internal/checker"
	"github.com/sumactrestle/sumactrestle/internal/standin"
)

// Scenario is faults by name; each returns after it has done its work.
type Scenario struct {
	Name   string
	Shape  func() Shape
	Length time.Duration
	Faults func(f *Fleet)
	Start  func(f *Fleet)
	// PlannedOnly marks scenarios of planned stops only.
	PlannedOnly bool
	// PlatformMode runs it in the second manner of fleets.
	PlatformMode bool
}

// Result is what a run came to.
type Result struct {
	Verdict  *checker.Result
	Served   checker.Availability
	Recovery time.Duration
	Faults   []string
	Fleet    *Fleet
}

// IsUsable tells whether every proxy that is up serves every service, and the
// core takes calls.
func (f *Fleet) IsUsable() bool {
	caller := f.newClient(90)
	defer caller.Close()
	for _, proxyNode := range f.Proxies() {
		if proxyNode.Node() == nil {
			continue
		}
		for service := range f.Shape.Targets {
			method, body := "POST", []byte("{}")
			if f.Shape.Idempotent[service] {
				method, body = "GET", nil
			}
			if caller.Call(f.ctx, proxyNode.ProxyAddress(), method, "/"+service, service, body).Outcome != "ran" {
				return false
			}
		}
	}
	client := standin.NewAPIClient(f.Network.HostAt(f.clientHost(91)), f.Cores()[0].APIAddress())
	for i := range 3 {
		ctx, end := context.WithTimeout(f.ctx, time.Second)
		_, err := client.PutKey(ctx, &api.Call{Name: fmt.Sprint("usable", i), Value: jx.Raw("1")})
		end()
		if err != nil {
			return false
		}
	}
	return true
}

// Restore brings everything back: ways, disks, machines.
func (f *Fleet) Restore() {
	f.Network.SetLossRate(0)
	f.Network.Heal()
	for _, m := range f.Machines {
		f.Network.Disk(m.IP).Resume()
		f.Network.Disk(m.IP).Slow(0)
		if m.Node() == nil {
			if err := m.Start(); err != nil {
				f.Logf("%s can't start: %v", m.Name, err)
			}
		}
	}
}

// status tells whether all machines are up, with their ways and disks, and how
// often something was done to any of them.
func (f *Fleet) status() (intact bool, faults int) {
	intact, faults = f.Network.status()
	for _, m := range f.Machines {
		isWell, more := f.Network.Disk(m.IP).status()
		intact = intact && isWell && m.Node() != nil
		faults += more
	}
	return intact, faults
}

// measureRecoveries takes, after every return inside the run, the time until the fleet
// is usable again; a return that the next fault overtakes is not counted.
func (f *Fleet) measureRecoveries() {
	back, isCounted, last := time.Duration(0), true, 0
	f.goTask(func(r *rand.Rand) {
		time.Sleep(200 * time.Millisecond)
		intact, faults := f.status()
		if faults != last || !intact {
			back, isCounted, last = 0, false, faults
		}
		if intact && back == 0 {
			back = f.History.Now()
		}
		if isCounted || back == 0 {
			return
		}
		isUsable := f.IsUsable()
		if intact, faults = f.status(); faults != last || !intact {
			return
		}
		if isUsable || f.History.Now()-back > 16*time.Second {
			isCounted = true
			rec := checker.Record{Kind: checker.Recovery, Start: back, Outcome: "usable"}
			if !isUsable {
				rec.Outcome = "not usable"
			}
			f.History.Add(rec)
		}
	})
}

// Run carries a scenario out; it must be called in a bubble of virtual time.
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
	back := f.History.Now()
	rescue := checker.Record{Kind: checker.Recovery, Start: back, Outcome: "usable"}
	if !f.WaitUntil(30*time.Second, f.IsUsable) {
		rescue.Outcome = "not usable"
	}
	f.History.Add(rescue)
	recovery := f.History.Now() - back
	time.Sleep(3 * time.Second)
	f.loadRunning.Store(false)
	f.loadTasks.Wait()
	f.verifyFinalState()
	f.incrementCounter()
	if err := f.readBackLast(); err != nil {
		return nil, err
	}
	f.History.Add(checker.Record{Kind: checker.ScenarioEnded})
	records := f.History.Records()
	return &Result{Verdict: checker.Check(records), Served: checker.MeasureAvailability(records), Recovery: recovery, Faults: f.Faults, Fleet: f}, nil
}

// verifyFinalState asks after every change set, and reads the configuration at the end.
func (f *Fleet) verifyFinalState() {
	operator := standin.NewOperator(f.Network.HostAt(f.clientHost(92)), f.History, f.Cores()[0].APIAddress())
	asked := map[string]bool{}
	for _, r := range f.History.Records() {
		if r.Kind == checker.ChangeSubmitted && !asked[r.Name] {
			asked[r.Name] = true
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
