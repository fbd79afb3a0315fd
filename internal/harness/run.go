package harness

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/api"
	"github.com/sumactrestle/sumactrestle/internal/checker"
	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/standin"
)

const (
	// registrationTime is between a ready fleet and the load, so that every server is known.
	registrationTime = 1500 * time.Millisecond
	// faultStream chooses the sequence of random numbers that faults are drawn from.
	faultStream = 5
	// queryTimeout bounds how long a change set's outcome is asked for.
	queryTimeout = 10 * time.Second
)

// Options describes a run.
type Options struct {
	Binary      string // the program of sumac
	OtherBinary string // another build of it, for rolls and upgrades
	Folder      string // for data and logs
	Shape       Shape
	Output      io.Writer // progress, verdict and costs, as text
	History     io.Writer // records, one a line; nil for none

	// Load.
	RateFactor  float64 // multiplies the shape's rates
	Seconds     int     // length of the load
	RetryShare  float64 // of clients that retry a failed order at once; the shape's if negative
	ServiceTime time.Duration
	// ServiceTimes, if set, are those of each service's servers, in turn.
	ServiceTimes []time.Duration
	ExtraRoutes  int // in the configuration, without load
	// AllowDuplicates has orders bear no idempotency, so that a retry may be executed again.
	AllowDuplicates bool

	// Faults.
	Fault string // the kind that is drawn; see HasFault
	Seed  uint64

	// ThrottleCPU gives each process the shape's share of a processor only.
	ThrottleCPU bool
	// ProfileDir is where processor profiles of a core node and a proxy go; none if empty.
	ProfileDir string
}

// run is a run under way.
type run struct {
	Options
	ctx       context.Context
	fleet     *Fleet
	history   *checker.History
	servers   []*standin.Server // in this process; changed only by the goroutine that injects faults
	load      loadCounts
	startedAt time.Time

	launch          func(*standin.Server) error // starts a server
	launched        int                         // servers, or attempts at it
	serverProcesses []*serverProcess

	// Of the goroutine that injects faults.
	changesSubmitted int
	replaced         int // machines, by the other build or back
}

// Run carries a run out: it starts a deployment as real processes, puts load on it, injects
// faults drawn from the seed, has the history judged, and prints what was served and spent. It
// fails if the fleet doesn't become ready or the history breaks a rule.
func Run(ctx context.Context, options Options) error {
	r, err := newRun(ctx, options)
	if err != nil {
		return err
	}
	return r.execute()
}

func newRun(ctx context.Context, options Options) (*run, error) {
	if !HasFault(options.Fault) {
		return nil, errcode.New(errcode.InvalidCall, "no fault %q", options.Fault)
	}
	if options.Fault == faultRoll && options.OtherBinary == "" {
		return nil, errcode.New(errcode.InvalidCall, "a roll needs another build (--other)")
	}
	if options.RetryShare >= 0 {
		options.Shape.RetryShare = options.RetryShare
	}
	port, err := freePorts()
	if err != nil {
		return nil, err
	}
	history := checker.NewHistory(options.History)
	r := &run{
		Options:   options,
		ctx:       ctx,
		history:   history,
		startedAt: time.Now(),
		fleet: NewFleet(FleetConfig{
			Binary:         options.Binary,
			OtherBinary:    options.OtherBinary,
			Folder:         options.Folder,
			Port:           port,
			Cores:          options.Shape.Cores,
			Proxies:        options.Shape.Proxies,
			Zones:          options.Shape.Zones,
			Profiled:       options.ProfileDir != "",
			SingleThreaded: options.ThrottleCPU,
			History:        history,
		}),
	}
	r.launch = r.launchServer
	return r, nil
}

// logf prints a line with the time since the run began.
func (r *run) logf(format string, args ...any) {
	fmt.Fprintf(r.Output, "%7.2fs %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// recordFault prints what is done to the fleet and records it in the history.
func (r *run) recordFault(format string, args ...any) {
	r.logf(format, args...)
	r.history.Add(checker.Record{Kind: checker.FaultInjected, Note: fmt.Sprintf(format, args...)})
}

func (r *run) execute() error {
	r.logf("shape %s, rates times %.2f, %d s, seed %d, faults %s", r.Shape.Name, r.RateFactor, r.Seconds, r.Seed, r.Fault)
	r.history.Add(checker.Record{Kind: checker.ScenarioStarted, Note: r.Shape.Name})
	defer r.fleet.KillAll()
	if r.Fault == faultCut || r.Fault == faultAll {
		relay, err := NewRelay(r.ctx, r.fleet)
		if err != nil {
			return err
		}
		defer relay.Close()
		r.fleet.Relay = relay
	}
	defer r.closeServers()
	operator, err := r.deploy(r.initialChange())
	if err != nil {
		return err
	}
	time.Sleep(registrationTime)
	r.logf("the fleet is ready")
	if r.ThrottleCPU {
		defer r.throttle()()
	}
	costs := r.underLoad()
	r.printResponses(costs.duration.Seconds())
	if !r.isFaultFree() {
		r.recover()
	}
	r.recordOutcomes(operator)
	r.history.Add(checker.Record{Kind: checker.ScenarioEnded})
	err = r.judge()
	if r.isFaultFree() {
		r.printCosts(costs)
	}
	return err
}

// initialChange is the configuration of the run's services and its extra routes.
func (r *run) initialChange() *api.Change {
	change := initialChange("first", r.Shape.Loads)
	mappings := change.Put.Value.Mappings
	for i, m := range mappings {
		mappings[i].Once = api.NewOptBool(!r.AllowDuplicates && !m.Repeatable.Value)
	}
	for i := range r.ExtraRoutes {
		mappings = append(mappings, api.Mapping{Name: fmt.Sprint("more", i), Path: fmt.Sprint("/more/", i), To: []api.Split{{Service: r.Shape.Loads[0].Service, Weight: 1}}})
	}
	change.Put.Value.Mappings = mappings
	return change
}

// deploy starts the fleet and the servers, submits the first change set until it is accepted,
// and waits until every node is ready.
func (r *run) deploy(change *api.Change) (*standin.Operator, error) {
	if err := r.fleet.StartAll(); err != nil {
		return nil, err
	}
	r.startServers()
	operator := r.newOperator()
	err := waitUntil(r.ctx, readyTimeout, func() bool {
		receipt, err := operator.Submit(r.ctx, change)
		if err == nil {
			r.logf("change set accepted in epoch %d", receipt.Epoch)
		}
		return err == nil
	})
	if err != nil {
		return nil, errcode.New(errcode.Internal, "the first change set was not accepted")
	}
	limited, cancel := context.WithTimeout(r.ctx, readyTimeout)
	defer cancel()
	return operator, r.fleet.AwaitReady(limited)
}

// underLoad puts the load on the fleet, injects faults for as long, and returns the costs.
func (r *run) underLoad() costs {
	before := r.measure()
	loading, stop := context.WithCancel(r.ctx)
	wait := r.startLoad(loading)
	random := rand.New(rand.NewPCG(r.Seed, faultStream))
	startedAt := time.Now()
	for time.Since(startedAt) < time.Duration(r.Seconds)*time.Second && r.ctx.Err() == nil {
		faults[r.Fault](r, random)
	}
	duration := time.Since(startedAt)
	after := r.measure()
	stop()
	wait()
	return costs{duration: duration, before: before, after: after}
}

// isFaultFree reports whether no machine and no server is harmed, so that costs are comparable
// between runs.
func (r *run) isFaultFree() bool {
	return r.Fault == faultNone || r.Fault == faultChange || r.Fault == faultGrow
}

// recover brings all machines back and records how long it takes until all proxies serve.
func (r *run) recover() {
	if r.fleet.Relay != nil {
		r.fleet.Relay.Heal()
	}
	for _, m := range r.fleet.Machines {
		m.Thaw()
		if !m.IsUp() {
			r.startMachine(m)
		}
	}
	back := r.history.Now()
	client := standin.NewClient(environment.NewHost(""), r.history)
	defer client.Close()
	record := checker.Record{Kind: checker.Recovery, Start: back, Outcome: checker.OutcomeUsable}
	for _, m := range r.fleet.ProxyMachines() {
		for _, load := range r.Shape.Loads {
			err := waitUntil(r.ctx, readyTimeout, func() bool {
				return client.Call(r.ctx, m.ProxyAddress(), "GET", "/"+load.Service+"/x", load.Service, nil).Outcome == checker.OutcomeRan
			})
			if err != nil {
				record.Outcome = "not usable"
			}
		}
	}
	r.history.Add(record)
	r.logf("usable again %s after the last machine was back", (r.history.Now() - back).Round(10*time.Millisecond))
}

// recordOutcomes asks for the outcome of every change set that was submitted, and for the
// configuration that is in force at the end. What can't be had is missing in the history.
func (r *run) recordOutcomes(operator *standin.Operator) {
	asked := map[string]bool{}
	for _, submitted := range r.history.Records() {
		if submitted.Kind == checker.ChangeSubmitted && !asked[submitted.Name] {
			asked[submitted.Name] = true
			waitUntil(r.ctx, queryTimeout, func() bool {
				_, err := operator.QueryChange(r.ctx, submitted.Name)
				return err == nil
			})
		}
	}
	view, err := operator.Epoch(r.ctx)
	if err != nil {
		return
	}
	record := checker.Record{Kind: checker.FinalConfiguration, Epoch: view.Epoch}
	for _, m := range view.Config.Mappings {
		record.Names = append(record.Names, m.Name)
	}
	r.history.Add(record)
}

// judge prints the verdict on the history, and fails if it breaks a rule.
func (r *run) judge() error {
	verdict := checker.Check(r.history.Records())
	fmt.Fprint(r.Output, verdict)
	if !verdict.IsValid() {
		return errcode.New(errcode.Internal, "the history breaks a rule")
	}
	return nil
}
