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
	// registrationTime is the delay between a ready fleet and the load, in which all servers
	// register.
	registrationTime = 1500 * time.Millisecond
	// faultStream is the stream of the PCG random number generator from which faults are drawn.
	faultStream = 5
	// queryTimeout limits the attempts to query a change set's outcome.
	queryTimeout = 10 * time.Second
)

// Options describes a run.
type Options struct {
	Binary      string // path of the sumac program
	OtherBinary string // path of another build of it, for rolls and upgrades
	Folder      string // for data and logs
	Shape       Shape
	Output      io.Writer // progress, verdict and costs, as text
	History     io.Writer // the recorded history, one record per line; nil for none

	// Load.
	RateFactor  float64 // multiplies the shape's rates
	Seconds     int     // length of the load
	RetryShare  float64 // probability that a client retries a failed order at once; the shape's if negative
	ServiceTime time.Duration
	// ServiceTimes, if not empty, replaces ServiceTime: successive servers take successive values
	// in turn.
	ServiceTimes []time.Duration
	ExtraRoutes  int // number of configured routes without load
	// AllowDuplicates disables at-most-once execution of orders, so that a retry may be executed
	// again.
	AllowDuplicates bool

	// Faults.
	Fault string // the kind of fault to inject; see HasFault
	Seed  uint64

	// ThrottleCPU limits each process to the shape's share of a processor.
	ThrottleCPU bool
	// ProfileDir is the folder for CPU profiles of a core node and a proxy; none if empty.
	ProfileDir string
}

// run is the state of a run in progress.
type run struct {
	Options
	ctx       context.Context
	fleet     *Fleet
	history   *checker.History
	servers   []*standin.Server // in this process; changed only by the goroutine that injects faults
	load      loadCounts
	startedAt time.Time

	launch          func(*standin.Server) error // starts a server
	launchAttempts  int                         // number of calls of launch
	serverProcesses []*serverProcess

	// Used only by the goroutine that injects faults.
	changesSubmitted int
	buildSwitches    int // machines switched to the other build or back
}

// Run starts a deployment as real processes, puts load on it, injects faults drawn from the seed,
// checks the recorded history, and prints response rates and costs. It fails if the fleet doesn't
// become ready or the history breaks a rule.
func Run(ctx context.Context, options Options) error {
	r, err := newRun(ctx, options)
	if err != nil {
		return err
	}
	return r.execute()
}

func newRun(ctx context.Context, options Options) (*run, error) {
	if !HasFault(options.Fault) {
		return nil, errcode.New(errcode.InvalidCall, "unknown fault %q", options.Fault)
	}
	if options.Fault == faultRoll && options.OtherBinary == "" {
		return nil, errcode.New(errcode.InvalidCall, "the fault \"roll\" requires another build (--other)")
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

// logf prints a line prefixed with the time since the start of the run.
func (r *run) logf(format string, args ...any) {
	fmt.Fprintf(r.Output, "%7.2fs %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// recordFault prints the description of an injected fault and records it in the history.
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
	err = r.checkHistory()
	if r.isFaultFree() {
		r.printCosts(costs)
	}
	return err
}

// initialChange returns the change set with the run's services and routes and its extra routes.
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

// deploy starts the fleet and the servers, submits the initial change set until it is accepted,
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
		return nil, errcode.New(errcode.Internal, "the initial change set was not accepted in time")
	}
	waitCtx, cancel := context.WithTimeout(r.ctx, readyTimeout)
	defer cancel()
	return operator, r.fleet.AwaitReady(waitCtx)
}

// underLoad generates the load and injects faults for the configured duration, and returns the
// costs.
func (r *run) underLoad() costs {
	before := r.measure()
	loadCtx, stop := context.WithCancel(r.ctx)
	wait := r.startLoad(loadCtx)
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

// isFaultFree reports whether the kind of fault disturbs no machine and no server, so that costs
// are comparable between runs.
func (r *run) isFaultFree() bool {
	return r.Fault == faultNone || r.Fault == faultChange || r.Fault == faultGrow
}

// recover heals the network, resumes or restarts all machines, and records the time until every
// proxy serves every service.
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
	restoredAt := r.history.Now()
	client := standin.NewClient(environment.NewHost(""), r.history)
	defer client.Close()
	record := checker.Record{Kind: checker.Recovery, Start: restoredAt, Outcome: checker.OutcomeUsable}
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
	r.logf("every proxy serves again, %s after the last machine was restored", (r.history.Now() - restoredAt).Round(10*time.Millisecond))
}

// recordOutcomes queries and records the outcome of every submitted change set and the final
// configuration. Those that can't be read in time are missing from the history.
func (r *run) recordOutcomes(operator *standin.Operator) {
	queried := map[string]bool{}
	for _, submitted := range r.history.Records() {
		if submitted.Kind == checker.ChangeSubmitted && !queried[submitted.Name] {
			queried[submitted.Name] = true
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

// checkHistory checks the history, prints the verdict, and fails if the history breaks a rule.
func (r *run) checkHistory() error {
	verdict := checker.Check(r.history.Records())
	fmt.Fprint(r.Output, verdict)
	if !verdict.IsValid() {
		return errcode.New(errcode.Internal, "the history breaks a rule")
	}
	return nil
}
