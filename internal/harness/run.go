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
	Factor  float64
	Seconds int
	Seed    uint64
	Fault   string
	Mapped  int
	History io.Writer
	Profile string
	IsTwice bool
	Other   string        // another build of sumac, for rolls
	IsSmall bool          // processes have only the shape's share of a processor
	Work    time.Duration // how long a server works on each request
	Eager   float64       // the share of callers that repeat a refused order at once; the shape's if negative

	f       *Fleet
	shape   Shape
	ctx     context.Context
	h       *checker.History
	out     io.Writer
	began   time.Time
	mu      sync.Mutex
	servers []*standin.Server
	calls   atomic.Int64
	bonds   atomic.Int64
	changes atomic.Int64
	rolled  int
	spent   map[string]time.Duration
}

func (r *Run) say(format string, args ...any) {
	fmt.Fprintf(r.out, "%7.2fs %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// mark says what is done to the fleet, and notes it in the history.
func (r *Run) mark(format string, args ...any) {
	r.say(format, args...)
	r.h.Add(checker.Record{Kind: checker.FaultInjected, Note: fmt.Sprintf(format, args...)})
}

func (r *Run) nap(rnd *rand.Rand, least, most int) {
	time.Sleep(time.Duration(least+rnd.IntN(most-least)) * time.Millisecond)
}

func (r *Run) start(m *Machine) {
	if err := m.Start(); err != nil {
		r.say("%s can't start: %v", m.Name, err)
	}
}

func (r *Run) serve(service, address, zone string) {
	nodes := r.f.Apis()
	for _, m := range r.f.ProxyMachines() {
		nodes = append(nodes, m.Api())
	}
	s := &standin.Server{Network: environment.NewHost(""), History: r.h, Service: service, Zone: zone, Address: address, SealKey: "key-" + service, Nodes: nodes, ServiceTime: r.Work}
	if err := s.Start(r.ctx); err != nil {
		r.say("%s at %s: %v", service, address, err)
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
	port, err := FreePort()
	if err != nil {
		return err
	}
	r.shape, r.ctx, r.out, r.began = shape, ctx, out, time.Now()
	r.f = New(binary, folder, port, shape.Cores, shape.Proxies, shape.Zones)
	r.f.IsDebugged = r.Profile != ""
	r.f.isSmall, r.f.Other = r.IsSmall, r.Other
	if r.Fault == "roll" && r.Other == "" {
		return errcode.New(errcode.InvalidCall, "a roll needs another build (--other)")
	}
	if r.Eager >= 0 {
		r.shape.Impatient = r.Eager
	}
	r.h = checker.NewHistory(r.History)
	r.f.H = r.h
	r.spent = map[string]time.Duration{}
	r.say("shape %s, rates times %.2f, %d s, seed %d, faults %s", shape.Name, r.Factor, r.Seconds, r.Seed, r.Fault)
	r.h.Add(checker.Record{Kind: checker.ScenarioStarted, Note: shape.Name})
	defer r.f.KillAll()
	if strings.HasPrefix(r.Fault, "cut") || r.Fault == "all" {
		if r.f.Relay, err = NewRelay(ctx, r.f); err != nil {
			return err
		}
		defer r.f.Relay.Close()
	}
	if err := r.f.StartAll(); err != nil {
		return err
	}
	services := map[string]bool{}
	for _, l := range shape.Loads {
		services[l.Service] = l.IsRepeatable
		for i := range l.Servers {
			zone := i % shape.Zones
			r.serve(l.Service, fmt.Sprintf("127.8.%d.%d:%d", len(services), i+1, port), fmt.Sprintf("zone%d", zone+1))
		}
	}
	defer func() {
		for _, s := range r.servers {
			s.Close()
		}
	}()
	operator := standin.NewOperator(environment.NewHost(""), r.h, r.f.ProxyMachines()[0].Api())
	first := FirstChange("first", services)
	for i, m := range first.Put.Value.Mappings {
		first.Put.Value.Mappings[i].Once = api.NewOptBool(!r.IsTwice && !m.Repeatable.Value)
	}
	for i := range r.Mapped {
		first.Put.Value.Mappings = append(first.Put.Value.Mappings, api.Mapping{Name: fmt.Sprint("more", i), Path: fmt.Sprint("/more/", i), To: []api.Split{{Service: shape.Loads[0].Service, Weight: 1}}})
	}
	if err := Until(ctx, 30*time.Second, func() bool { _, err := operator.Submit(ctx, first); return err == nil }); err != nil {
		return errcode.New(errcode.Internal, "the first change set was not accepted")
	}
	wait, end := context.WithTimeout(ctx, 30*time.Second)
	err = r.f.AwaitReady(wait)
	end()
	if err != nil {
		return err
	}
	time.Sleep(1500 * time.Millisecond)
	r.say("the fleet is ready")
	cycling, leave := context.WithCancel(ctx)
	defer leave()
	if r.IsSmall {
		r.small(cycling)
	}
	before, traffic := r.cpu(), r.traffic()
	loading, stop := context.WithCancel(ctx)
	var loads sync.WaitGroup
	r.load(loading, &loads)
	if r.Profile != "" {
		r.profile(loading)
	}
	if r.History != nil {
		r.sample(loading, &loads)
	}
	rnd := rand.New(rand.NewPCG(r.Seed, 5))
	began := time.Now()
	for time.Since(began) < time.Duration(r.Seconds)*time.Second && ctx.Err() == nil {
		hurt(r, rnd)
	}
	took := time.Since(began)
	after, later := r.cpu(), r.traffic()
	stop()
	loads.Wait()
	r.goodput(took.Seconds())
	if !r.isCalm() {
		r.rescue()
	}
	r.ask(operator)
	r.h.Add(checker.Record{Kind: checker.ScenarioEnded})
	verdict := checker.Check(r.h.Records())
	fmt.Fprint(out, verdict)
	if r.isCalm() {
		r.costs(took, before, after, traffic, later)
	}
	if !verdict.IsValid() {
		return errcode.New(errcode.Internal, "the history breaks a rule")
	}
	return nil
}

// openMost bounds the requests of one service that are under way at once.
const openMost = 2000

// load starts callers at the shape's rates, spread over the proxies, and
// applications over all nodes. A caller does not wait for the answers of others, so
// a slow fleet gets no fewer requests. Every loop is bounded by the run.
func (r *Run) load(ctx context.Context, loads *sync.WaitGroup) {
	for _, l := range r.shape.Loads {
		tasks := 1 + int(l.PerSecond*r.Factor/20)
		pause := time.Duration(float64(tasks) / (l.PerSecond * r.Factor) * float64(time.Second))
		body := []byte(strings.Repeat("x", l.Bytes))
		open := make(chan struct{}, openMost)
		for range tasks {
			loads.Add(1)
			go func() {
				defer loads.Done()
				caller := standin.NewClient(environment.NewHost(""), r.h)
				caller.AtMostOnce = !r.IsTwice
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
					r.calls.Add(1)
					mine.Add(1)
					go func() {
						defer func() { <-open; mine.Done() }()
						r.callOnce(caller, l, body)
					}()
				}
			}()
		}
	}
	rate := r.shape.CallsPerSecond * r.Factor
	tasks := 1 + int(rate/10)
	for i := range tasks {
		loads.Add(1)
		go func() {
			defer loads.Done()
			tick := time.NewTicker(time.Duration(float64(tasks) / rate * float64(time.Second)))
			defer tick.Stop()
			var clients []*api.Client
			for _, m := range r.f.Machines {
				clients = append(clients, standin.NewAPIClient(environment.NewHost(""), m.Api()))
			}
			for n := 0; ; n++ {
				select {
				case <-ctx.Done():
					return
				case <-tick.C:
				}
				r.bonds.Add(1)
				r.bondOnce(clients[rand.IntN(len(clients))], fmt.Sprint("app", i), n)
			}
		}()
	}
}

// callOnce is one request of a service, and its repeats if the caller is eager.
func (r *Run) callOnce(caller *standin.Client, l Load, body []byte) {
	proxies := r.f.ProxyMachines()
	gate := func() string { return proxies[rand.IntN(len(proxies))].Gate() }
	if l.IsRepeatable {
		caller.Call(context.Background(), gate(), "GET", "/"+l.Service+"/x", l.Service, nil)
		return
	}
	call := ids.NewID()
	got := caller.CallWithID(context.Background(), gate(), "POST", "/"+l.Service, l.Service, body, call, false)
	for try := 0; try < 5 && got.Outcome != "ran" && rand.Float64() < r.shape.Impatient; try++ {
		got = caller.CallWithID(context.Background(), gate(), "POST", "/"+l.Service, l.Service, body, call, true)
	}
}

// bondOnce is one coordination call, recorded for the judge.
func (r *Run) bondOnce(client *api.Client, app string, n int) {
	ctx, end := context.WithTimeout(context.Background(), 4*time.Second)
	defer end()
	rec := checker.Record{Kind: checker.CoordinationCall, Start: r.h.Now(), Outcome: "done"}
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
	r.h.Add(rec)
}

// rescue brings all machines back and takes the time until all serve.
func (r *Run) rescue() {
	if r.f.Relay != nil {
		r.f.Relay.Heal()
	}
	for _, m := range r.f.Machines {
		m.Thaw()
		if !m.IsUp() {
			r.start(m)
		}
	}
	back := r.h.Now()
	caller := standin.NewClient(environment.NewHost(""), r.h)
	defer caller.Close()
	rec := checker.Record{Kind: checker.Recovery, Start: back, Outcome: "usable"}
	for _, m := range r.f.ProxyMachines() {
		for _, l := range r.shape.Loads {
			if Until(r.ctx, 30*time.Second, func() bool {
				return caller.Call(r.ctx, m.Gate(), "GET", "/"+l.Service+"/x", l.Service, nil).Outcome == "ran"
			}) != nil {
				rec.Outcome = "not usable"
			}
		}
	}
	r.h.Add(rec)
	r.say("usable again %s after the last machine was back", (r.h.Now() - back).Round(10*time.Millisecond))
}

// isCalm tells whether nothing is hurt, so that costs can be told.
func (r *Run) isCalm() bool {
	return r.Fault == "none" || r.Fault == "change" || r.Fault == "grow"
}

func (r *Run) ask(operator *standin.Operator) {
	asked := map[string]bool{}
	for _, rec := range r.h.Records() {
		if rec.Kind == checker.ChangeSubmitted && !asked[rec.Name] {
			asked[rec.Name] = true
			Until(r.ctx, 10*time.Second, func() bool { _, err := operator.QueryChange(r.ctx, rec.Name); return err == nil })
		}
	}
	if view, err := operator.Epoch(r.ctx); err == nil {
		rec := checker.Record{Kind: checker.FinalConfiguration, Epoch: view.Epoch}
		for _, m := range view.Config.Mappings {
			rec.Names = append(rec.Names, m.Name)
		}
		r.h.Add(rec)
	}
}
