// A run of a whole deployment as real processes: load at the shape's rates
// times a factor, faults drawn from a seed, a history judged at the end, and
// the costs: processor time by role, bytes between zones by cause, syncs.
package harness

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/jx"

	"github.com/sumactrestle/sumactrestle/internal/api"
	"github.com/sumactrestle/sumactrestle/internal/checker"
	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/standin"
)

// Run is one.
type Run struct {
	RateFactor      float64
	Seconds         int
	Seed            uint64
	Fault           string
	ExtraRoutes     int
	History         io.Writer
	ProfileDir      string
	AllowDuplicates bool
	OtherBinary     string        // another build of sumac, for rolls
	ThrottleCPU     bool          // processes have only the shape's share of a processor
	ServiceTime     time.Duration // how long a server works on each request
	RetryShare      float64       // the share of callers that repeat a refused order at once; the shape's if negative

	fleet             *Fleet
	shape             Shape
	ctx               context.Context
	history           *checker.History
	out               io.Writer
	began             time.Time
	mu                sync.Mutex
	servers           []*standin.Server
	requests          atomic.Int64
	coordinationCalls atomic.Int64
	changesSubmitted  atomic.Int64
	replaced          int
	spent             map[string]time.Duration
}

func (r *Run) logf(format string, args ...any) {
	fmt.Fprintf(r.out, "%7.2fs %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// recordFault says what is done to the fleet, and notes it in the history.
func (r *Run) recordFault(format string, args ...any) {
	r.logf(format, args...)
	r.history.Add(checker.Record{Kind: checker.FaultInjected, Note: fmt.Sprintf(format, args...)})
}

func (r *Run) sleepBetween(rnd *rand.Rand, least, most int) {
	time.Sleep(time.Duration(least+rnd.IntN(most-least)) * time.Millisecond)
}

func (r *Run) startMachine(m *Machine) {
	if err := m.Start(); err != nil {
		r.logf("%s can't start: %v", m.Name, err)
	}
}

func (r *Run) startServer(service, address, zone string) {
	nodes := r.fleet.APIAddresses()
	for _, m := range r.fleet.ProxyMachines() {
		nodes = append(nodes, m.APIAddress())
	}
	s := &standin.Server{Network: environment.NewHost(""), History: r.history, Service: service, Zone: zone, Address: address, SealKey: "key-" + service, Nodes: nodes, ServiceTime: r.ServiceTime}
	if err := s.Start(r.ctx); err != nil {
		r.logf("%s at %s: %v", service, address, err)
		return
	}
	r.mu.Lock()
	r.servers = append(r.servers, s)
	r.mu.Unlock()
}

func (r *Run) takeServer(rnd *rand.Rand) *standin.Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := rnd.IntN(len(r.servers))
	s := r.servers[i]
	r.servers = append(r.servers[:i], r.servers[i+1:]...)
	return s
}

// Go carries the run out.
func (r *Run) Go(ctx context.Context, binary, folder string, shape Shape, out io.Writer) error {
	hurt, ok := Faults[r.Fault]
	if !ok {
		return errcode.New(errcode.InvalidCall, "no fault %q", r.Fault)
	}
	port, err := freePorts()
	if err != nil {
		return err
	}
	r.shape, r.ctx, r.out, r.began = shape, ctx, out, time.Now()
	r.fleet = New(binary, folder, port, shape.Cores, shape.Proxies, shape.Zones)
	r.fleet.Profiled = r.ProfileDir != ""
	r.fleet.singleCPU, r.fleet.OtherBinary = r.ThrottleCPU, r.OtherBinary
	if r.Fault == "roll" && r.OtherBinary == "" {
		return errcode.New(errcode.InvalidCall, "a roll needs another build (--other)")
	}
	if r.RetryShare >= 0 {
		r.shape.RetryShare = r.RetryShare
	}
	r.history = checker.NewHistory(r.History)
	r.fleet.History = r.history
	r.spent = map[string]time.Duration{}
	r.logf("shape %s, rates times %.2f, %d s, seed %d, faults %s", shape.Name, r.RateFactor, r.Seconds, r.Seed, r.Fault)
	r.history.Add(checker.Record{Kind: checker.ScenarioStarted, Note: shape.Name})
	defer r.fleet.KillAll()
	if strings.HasPrefix(r.Fault, "cut") || r.Fault == "all" {
		if r.fleet.Relay, err = NewRelay(ctx, r.fleet); err != nil {
			return err
		}
		defer r.fleet.Relay.Close()
	}
	if err := r.fleet.StartAll(); err != nil {
		return err
	}
	services := map[string]bool{}
	for _, l := range shape.Loads {
		services[l.Service] = l.Idempotent
		for i := range l.Servers {
			zone := i % shape.Zones
			r.startServer(l.Service, fmt.Sprintf("127.8.%d.%d:%d", len(services), i+1, port), fmt.Sprintf("zone%d", zone+1))
		}
	}
	defer func() {
		for _, s := range r.servers {
			s.Close()
		}
	}()
	operator := standin.NewOperator(environment.NewHost(""), r.history, r.fleet.ProxyMachines()[0].APIAddress())
	first := initialChange("first", services)
	for i, m := range first.Put.Value.Mappings {
		first.Put.Value.Mappings[i].Once = api.NewOptBool(!r.AllowDuplicates && !m.Repeatable.Value)
	}
	for i := range r.ExtraRoutes {
		first.Put.Value.Mappings = append(first.Put.Value.Mappings, api.Mapping{Name: fmt.Sprint("more", i), Path: fmt.Sprint("/more/", i), To: []api.Split{{Service: shape.Loads[0].Service, Weight: 1}}})
	}
	if err := waitUntil(ctx, 30*time.Second, func() bool { _, err := operator.Submit(ctx, first); return err == nil }); err != nil {
		return errcode.New(errcode.Internal, "the first change set was not accepted")
	}
	wait, end := context.WithTimeout(ctx, 30*time.Second)
	err = r.fleet.AwaitReady(wait)
	end()
	if err != nil {
		return err
	}
	time.Sleep(1500 * time.Millisecond)
	r.logf("the fleet is ready")
	cycling, leave := context.WithCancel(ctx)
	defer leave()
	if r.ThrottleCPU {
		r.throttle(cycling)
	}
	before, traffic := r.processorTimeByRole(), r.traffic()
	loading, stop := context.WithCancel(ctx)
	var loads sync.WaitGroup
	r.load(loading, &loads)
	if r.ProfileDir != "" {
		r.recordProfiles(loading)
	}
	if r.History != nil {
		r.sampleTraffic(loading, &loads)
	}
	rnd := rand.New(rand.NewPCG(r.Seed, 5))
	began := time.Now()
	for time.Since(began) < time.Duration(r.Seconds)*time.Second && ctx.Err() == nil {
		hurt(r, rnd)
	}
	took := time.Since(began)
	after, later := r.processorTimeByRole(), r.traffic()
	stop()
	loads.Wait()
	r.printResponses(took.Seconds())
	if !r.faultFree() {
		r.recover()
	}
	r.readOutcomes(operator)
	r.history.Add(checker.Record{Kind: checker.ScenarioEnded})
	verdict := checker.Check(r.history.Records())
	fmt.Fprint(out, verdict)
	if r.faultFree() {
		r.printCosts(took, before, after, traffic, later)
	}
	if !verdict.IsValid() {
		return errcode.New(errcode.Internal, "the history breaks a rule")
	}
	return nil
}

// maxInFlight bounds the requests of one service that are under way at once.
const maxInFlight = 2000

// load starts callers at the shape's rates, spread over the proxies, and
// applications over all nodes. A caller does not wait for the answers of others, so
// a slow fleet gets no fewer requests. Every loop is bounded by the run.
func (r *Run) load(ctx context.Context, loads *sync.WaitGroup) {
	for _, l := range r.shape.Loads {
		tasks := 1 + int(l.RequestsPerSecond*r.RateFactor/20)
		pause := time.Duration(float64(tasks) / (l.RequestsPerSecond * r.RateFactor) * float64(time.Second))
		body := []byte(strings.Repeat("x", l.BodyBytes))
		open := make(chan struct{}, maxInFlight)
		for range tasks {
			loads.Add(1)
			go func() {
				defer loads.Done()
				caller := standin.NewClient(environment.NewHost(""), r.history)
				caller.AtMostOnce = !r.AllowDuplicates
				defer caller.Close()
				var mine sync.WaitGroup
				defer mine.Wait()
				tick := time.NewTicker(pause)
				defer tick.Stop()
				for {
					select {
					case <-ctx.Done():
						return
					case <-tick.C:
					}
					select {
					case open <- struct{}{}:
					default:
						continue
					}
					r.requests.Add(1)
					mine.Add(1)
					go func() {
						defer func() { <-open; mine.Done() }()
						r.sendRequest(caller, l, body)
					}()
				}
			}()
		}
	}
	rate := r.shape.CoordinationPerSecond * r.RateFactor
	tasks := 1 + int(rate/10)
	for i := range tasks {
		loads.Add(1)
		go func() {
			defer loads.Done()
			tick := time.NewTicker(time.Duration(float64(tasks) / rate * float64(time.Second)))
			defer tick.Stop()
			var clients []*api.Client
			for _, m := range r.fleet.Machines {
				clients = append(clients, standin.NewAPIClient(environment.NewHost(""), m.APIAddress()))
			}
			for n := 0; ; n++ {
				select {
				case <-ctx.Done():
					return
				case <-tick.C:
				}
				r.coordinationCalls.Add(1)
				r.callCoordination(clients[rand.IntN(len(clients))], fmt.Sprint("app", i), n)
			}
		}()
	}
}

// sendRequest is one request of a service, and its repeats if the caller is eager.
func (r *Run) sendRequest(caller *standin.Client, l Load, body []byte) {
	proxies := r.fleet.ProxyMachines()
	gate := func() string { return proxies[rand.IntN(len(proxies))].ProxyAddress() }
	if l.Idempotent {
		caller.Call(context.Background(), gate(), "GET", "/"+l.Service+"/x", l.Service, nil)
		return
	}
	call := ids.NewID()
	got := caller.CallWithID(context.Background(), gate(), "POST", "/"+l.Service, l.Service, body, call, false)
	for try := 0; try < 5 && got.Outcome != "ran" && rand.Float64() < r.shape.RetryShare; try++ {
		got = caller.CallWithID(context.Background(), gate(), "POST", "/"+l.Service, l.Service, body, call, true)
	}
}

// callCoordination is one coordination call, recorded for the judge.
func (r *Run) callCoordination(client *api.Client, app string, n int) {
	ctx, end := context.WithTimeout(context.Background(), 4*time.Second)
	defer end()
	rec := checker.Record{Kind: checker.CoordinationCall, Start: r.history.Now(), Outcome: "done"}
	var receipt *api.Receipt
	var err error
	switch n % 3 {
	case 0:
		rec.Op, rec.Name = "add", "count/"+app
		receipt, err = client.AddCounter(ctx, &api.Call{Name: rec.Name, ID: api.NewOptString(ids.NewID())})
	case 1:
		rec.Op, rec.Name = "put", fmt.Sprint("key", n%5)
		receipt, err = client.PutKey(ctx, &api.Call{Name: rec.Name, Value: jx.Raw("1"), ID: api.NewOptString(ids.NewID())})
	default:
		rec.Op, rec.Name = "get", fmt.Sprint("key", n%5)
		receipt, err = client.GetKey(ctx, api.GetKeyParams{Name: rec.Name})
	}
	rec.Code = standin.CodeOf(err)
	switch {
	case err == nil:
		rec.Revision, rec.Count = receipt.Stamp, receipt.Count.Or(0)
	case rec.Op == "get" && rec.Code == errcode.KeyNotFound.Number:
	default:
		rec.Outcome = "unknown"
	}
	r.history.Add(rec)
}

// recover brings all machines back and takes the time until all serve.
func (r *Run) recover() {
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
	caller := standin.NewClient(environment.NewHost(""), r.history)
	defer caller.Close()
	rec := checker.Record{Kind: checker.Recovery, Start: back, Outcome: "usable"}
	for _, m := range r.fleet.ProxyMachines() {
		for _, l := range r.shape.Loads {
			if waitUntil(r.ctx, 30*time.Second, func() bool {
				return caller.Call(r.ctx, m.ProxyAddress(), "GET", "/"+l.Service+"/x", l.Service, nil).Outcome == "ran"
			}) != nil {
				rec.Outcome = "not usable"
			}
		}
	}
	r.history.Add(rec)
	r.logf("usable again %s after the last machine was back", (r.history.Now() - back).Round(10*time.Millisecond))
}

// faultFree tells whether nothing is hurt, so that costs can be told.
func (r *Run) faultFree() bool {
	return r.Fault == "none" || r.Fault == "change" || r.Fault == "grow"
}

func (r *Run) readOutcomes(operator *standin.Operator) {
	asked := map[string]bool{}
	for _, rec := range r.history.Records() {
		if rec.Kind == checker.ChangeSubmitted && !asked[rec.Name] {
			asked[rec.Name] = true
			waitUntil(r.ctx, 10*time.Second, func() bool { _, err := operator.QueryChange(r.ctx, rec.Name); return err == nil })
		}
	}
	if view, err := operator.Epoch(r.ctx); err == nil {
		rec := checker.Record{Kind: checker.FinalConfiguration, Epoch: view.Epoch}
		for _, m := range view.Config.Mappings {
			rec.Names = append(rec.Names, m.Name)
		}
		r.history.Add(rec)
	}
}
