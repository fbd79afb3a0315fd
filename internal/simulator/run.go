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
	// IsHarmless marks scenarios of planned stops only.
	IsHarmless bool
	// IsStay runs it in the second manner of fleets.
	IsStay bool
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
	caller := f.caller(90)
	defer caller.Close()
	for _, proxyNode := range f.Proxies() {
		if proxyNode.Node() == nil {
			continue
		}
		for service := range f.Shape.Servers {
			method, body := "POST", []byte("{}")
			if f.Shape.Repeatable[service] {
				method, body = "GET", nil
			}
			if caller.Call(f.ctx, proxyNode.Gate(), method, "/"+service, service, body).Outcome != "ran" {
				return false
			}
		}
	}
	client := standin.NewAPIClient(f.W.Net(f.outside(91)), f.Cores()[0].Api())
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
	f.W.Lose(0)
	f.W.Heal()
	for _, m := range f.Machines {
		f.W.Disk(m.IP).Resume()
		f.W.Disk(m.IP).Slow(0)
		if m.Node() == nil {
			if err := m.Start(); err != nil {
				f.Say("%s can't start: %v", m.Name, err)
			}
		}
	}
}

// state tells whether all machines are up, with their ways and disks, and how
// often something was done to any of them.
func (f *Fleet) state() (isWhole bool, hurts int) {
	isWhole, hurts = f.W.state()
	for _, m := range f.Machines {
		isWell, more := f.W.Disk(m.IP).state()
		isWhole = isWhole && isWell && m.Node() != nil
		hurts += more
	}
	return isWhole, hurts
}

// watchReturns takes, after every return inside the run, the time until the fleet
// is usable again; a return that the next fault overtakes is not counted.
func (f *Fleet) watchReturns() {
	back, isCounted, last := time.Duration(0), true, 0
	f.task(func(r *rand.Rand) {
		time.Sleep(200 * time.Millisecond)
		isWhole, hurts := f.state()
		if hurts != last || !isWhole {
			back, isCounted, last = 0, false, hurts
		}
		if isWhole && back == 0 {
			back = f.H.Now()
		}
		if isCounted || back == 0 {
			return
		}
		isUsable := f.IsUsable()
		if isWhole, hurts = f.state(); hurts != last || !isWhole {
			return
		}
		if isUsable || f.H.Now()-back > 16*time.Second {
			isCounted = true
			rec := checker.Record{Kind: checker.Recovery, Start: back, Outcome: "usable"}
			if !isUsable {
				rec.Outcome = "not usable"
			}
			f.H.Add(rec)
		}
	})
}

// Run carries a scenario out; it must be called in a bubble of virtual time.
func Run(s Scenario, seed uint64, log io.Writer) (*Result, error) {
	shape := s.Shape()
	if s.IsStay {
		shape = stays(shape)
	}
	f := NewFleet(seed, shape, log)
	defer f.Close()
	if err := f.Boot(); err != nil {
		return nil, err
	}
	if s.IsHarmless {
		f.H.Add(checker.Record{Kind: checker.PlannedStopsOnly})
	}
	f.Callers(60 * time.Millisecond)
	f.Operators(2, 2*time.Second)
	f.Sets(2, 1500*time.Millisecond)
	f.Bonders(5, 100*time.Millisecond)
	f.Apps(6, 100*time.Millisecond)
	f.Counted(4, 150*time.Millisecond)
	f.Timed(3, 150*time.Millisecond)
	f.Versions(2, 1500*time.Millisecond)
	f.watchReturns()
	if s.IsStay {
		f.watchTouch()
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
	back := f.H.Now()
	rescue := checker.Record{Kind: checker.Recovery, Start: back, Outcome: "usable"}
	if !f.Until(30*time.Second, f.IsUsable) {
		rescue.Outcome = "not usable"
	}
	f.H.Add(rescue)
	recovery := f.H.Now() - back
	time.Sleep(3 * time.Second)
	f.isLoad.Store(false)
	f.loads.Wait()
	f.ask()
	f.countUp()
	if err := f.readBackLast(); err != nil {
		return nil, err
	}
	f.H.Add(checker.Record{Kind: checker.ScenarioEnded})
	records := f.H.Records()
	return &Result{Verdict: checker.Check(records), Served: checker.MeasureAvailability(records), Recovery: recovery, Faults: f.Faults, Fleet: f}, nil
}

// ask asks after every change set, and reads the configuration at the end.
func (f *Fleet) ask() {
	operator := standin.NewOperator(f.W.Net(f.outside(92)), f.H, f.Cores()[0].Api())
	asked := map[string]bool{}
	for _, r := range f.H.Records() {
		if r.Kind == checker.ChangeSubmitted && !asked[r.Name] {
			asked[r.Name] = true
			f.Until(10*time.Second, func() bool { _, err := operator.QueryChange(f.ctx, r.Name); return err == nil })
		}
	}
	if view, err := operator.Epoch(f.ctx); err == nil {
		r := checker.Record{Kind: checker.FinalConfiguration, Epoch: view.Epoch}
		for _, m := range view.Config.Mappings {
			r.Names = append(r.Names, m.Name)
		}
		f.H.Add(r)
	}
}
