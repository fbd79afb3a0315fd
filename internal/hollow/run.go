// A Run: core nodes and one real gate as processes, hollow gates and targets in
// others; a configuration of the size asked for; a window in which nothing changes;
// then change sets of one route each, and when each gate had them in force.
package hollow

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/api"
	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/harness"
	"github.com/sumactrestle/sumactrestle/internal/standin"
)

// Size is what a run is asked for.
type Size struct {
	Gates, Targets, Services, Routes int
	Cores, Zones, Processes          int
	Seconds, Changes                 int
	Pace                             int  // gates that start in a second
	Calm                             int  // seconds before the window, for the news of the start to die down
	IsLost                           bool // the real gate is killed before the window
	Beat                             time.Duration
	Settings                         map[string]string
}

// Report is the raw figures of a run.
type Report struct {
	Size    Size
	Figures map[string]float64
}

// Run is one.
type Run struct {
	Size
	f        *harness.Fleet
	children []*child
	client   *api.Client
	out      io.Writer
	began    time.Time
	limit    time.Duration
}

func (r *Run) say(format string, args ...any) {
	fmt.Fprintf(r.out, "%7.2fs %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// Check tells whether a size is within what the tool lays out.
func (s *Size) Check() error {
	bounds := []struct {
		name             string
		value, low, high int
	}{
		{"gates", s.Gates, 1, 1400}, {"targets", s.Targets, 0, 50000}, {"services", s.Services, 1, 2000}, {"routes", s.Routes, 1, 20000},
		{"cores", s.Cores, 3, 9}, {"zones", s.Zones, 1, 9}, {"processes", s.Processes, 1, 300}, {"seconds", s.Seconds, 1, 600}, {"changes", s.Changes, 0, 100}, {"calm", s.Calm, 0, 600}, {"pace", s.Pace, 1, 1000},
	}
	for _, b := range bounds {
		if b.value < b.low || b.value > b.high {
			return errcode.New(errcode.BadCall, "--%s %d is outside %d to %d", b.name, b.value, b.low, b.high)
		}
	}
	if s.Beat < 50*time.Millisecond || s.Beat > time.Minute {
		return errcode.New(errcode.BadCall, "--beat %s is outside 50ms to 1m", s.Beat)
	}
	return nil
}

// Go carries the run out.
func (r *Run) Go(parent context.Context, binary, folder string, out io.Writer) (*Report, error) {
	if err := r.Check(); err != nil {
		return nil, err
	}
	port, err := harness.FreePort()
	if err != nil {
		return nil, err
	}
	r.began, r.out, r.limit = time.Now(), out, 90*time.Second
	ctx, end := context.WithTimeout(parent, 4*r.limit+time.Duration(r.Calm+r.Seconds+r.Gates/r.Pace)*time.Second)
	defer end()
	settings := map[string]string{"plan.beat": r.Beat.String(), "plan.silence": max(3*r.Beat, 900*time.Millisecond).String(), "plan.settle": (r.Beat * 3 / 2).String()}
	for key, value := range r.Settings {
		settings[key] = value
	}
	r.f = harness.New(binary, folder, port, r.Cores, 1, r.Zones)
	r.f.Settings = settings
	defer r.f.KillAll()
	defer func() {
		var all sync.WaitGroup
		for _, c := range r.children {
			all.Go(c.end)
		}
		all.Wait()
	}()
	if err := r.f.StartAll(); err != nil {
		return nil, err
	}
	r.client = standin.NewAPIClient(environment.NewHost(""), r.f.CoreMachines()[0].Api())
	if err := harness.Until(ctx, r.limit, func() bool { _, err := r.submit(ctx, r.whole()); return err == nil }); err != nil {
		return nil, errcode.New(errcode.Internal, "the first change set was not accepted")
	}
	r.say("%d core nodes hold %d routes of %d services", r.Cores, r.Routes, r.Services)
	if err := r.f.AwaitReady(ctx); err != nil {
		return nil, err
	}
	if err := r.fill(port); err != nil {
		return nil, err
	}
	report := &Report{Size: r.Size, Figures: map[string]float64{}}
	if err := r.settle(ctx); err != nil {
		return nil, err
	}
	report.Figures["settle s"] = time.Since(r.began).Seconds()
	r.say("%d gates know every member and hold the configuration", r.Gates)
	if r.IsLost {
		r.f.ProxyMachines()[0].Kill()
		r.say("the real gate is killed")
	}
	if err := pause(ctx, r.Calm); err != nil {
		return nil, err
	}
	return report, r.measure(ctx, report.Figures)
}

// fill starts the processes of the gates, and one more for the targets.
func (r *Run) fill(port int) error {
	brief := Brief{Port: port, Zones: r.Zones, Services: r.Services, Apis: r.f.Apis(), Seeds: r.f.Seeds(), Beat: r.Beat, Settings: r.f.Settings,
		Pause: time.Duration(r.Processes) * time.Second / time.Duration(r.Pace)}
	first := 0
	for i := range r.Processes {
		b := brief
		b.First, b.Gates = first, (r.Gates-first)/(r.Processes-i)
		first += b.Gates
		if b.Gates == 0 {
			continue
		}
		c, err := startChild(b, r.out)
		if err != nil {
			return err
		}
		r.children = append(r.children, c)
	}
	if r.Targets > 0 {
		brief.Targets = r.Targets
		c, err := startChild(brief, r.out)
		if err != nil {
			return err
		}
		r.children = append(r.children, c)
	}
	return nil
}

func pause(ctx context.Context, seconds int) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(time.Duration(seconds) * time.Second):
		return nil
	}
}

// settle waits until every gate knows all members and no epoch came for a while.
func (r *Run) settle(ctx context.Context) error {
	members := r.Cores + 1 + r.Gates
	began, told := time.Now(), time.Now()
	last, since, over, whole := uint64(0), began, began.Add(r.limit+time.Duration(r.Gates)*time.Second/time.Duration(r.Pace)), 0
	for time.Now().Before(over) && ctx.Err() == nil {
		whole = 0
		for _, c := range r.children {
			reading, err := c.ask(Ask{Members: members})
			if err != nil {
				return err
			}
			whole += reading.Whole
			if reading.Epoch > last {
				last, since = reading.Epoch, time.Now()
			}
		}
		if whole == r.Gates && time.Since(since) > max(2*time.Second, r.Beat) && time.Since(began) > 2*r.Beat {
			return nil
		}
		if time.Since(told) > 10*time.Second {
			told = time.Now()
			r.say("%d of %d gates know every member, epoch %d", whole, r.Gates, last)
		}
		time.Sleep(500 * time.Millisecond)
	}
	r.say("not settled: %d of %d gates know every member; the last epoch, %d, came %s ago", whole, r.Gates, last, time.Since(since).Round(time.Second))
	if whole < r.Gates/2 {
		return errcode.New(errcode.Internal, "the fleet did not come together")
	}
	return nil
}

func (r *Run) measure(ctx context.Context, into map[string]float64) error {
	roles, err := r.rolesOf(ctx)
	if err != nil {
		return err
	}
	before, err := r.gauge(ctx, roles)
	if err != nil {
		return err
	}
	if err := pause(ctx, r.Seconds); err != nil {
		return err
	}
	after, err := r.gauge(ctx, roles)
	if err != nil {
		return err
	}
	figures(before, after, into)
	if now, err := r.rolesOf(ctx); err != nil || !maps.Equal(now, roles) {
		r.say("roles changed within the window: %v, then %v (%v)", roles, now, err)
		into["roles changed"] = 1
	}
	r.say("the quiet window is over")
	if r.Changes > 0 {
		if err := r.change(ctx, roles, after, into); err != nil {
			return err
		}
	}
	reading, err := r.children[0].ask(Ask{Fetch: true})
	if err != nil {
		return err
	}
	for kind, bytes := range reading.Groups {
		into["groups "+kind+" bytes"] = float64(bytes)
		into["groups bytes"] += float64(bytes)
	}
	return nil
}

// change submits change sets of one route each and waits for each on every gate.
func (r *Run) change(ctx context.Context, roles map[string]string, before *moment, into map[string]float64) error {
	var took []int64
	missing := 0
	for i := range r.Changes {
		view, err := r.client.Epoch(ctx)
		if err != nil {
			return err
		}
		began := time.Now()
		receipt, err := r.submit(ctx, &api.Change{ID: fmt.Sprint("change", i), Base: view.Epoch, Put: api.NewOptConfig(api.Config{Mappings: []api.Mapping{r.route(i, "changed")}})})
		if err != nil {
			return err
		}
		into["submit ms"] = max(into["submit ms"], time.Since(began).Seconds()*1000)
		var times []int64
		for over := time.Now().Add(20 * time.Second); time.Now().Before(over) && len(times) < r.Gates; time.Sleep(200 * time.Millisecond) {
			times = times[:0]
			for _, c := range r.children {
				reading, err := c.ask(Ask{Epoch: receipt.Epoch})
				if err != nil {
					return err
				}
				now := time.Since(began).Nanoseconds()
				for _, age := range reading.Reached {
					times = append(times, now-age)
				}
			}
		}
		missing += r.Gates - len(times)
		took = append(took, times...)
	}
	after, err := r.gauge(ctx, roles)
	if err != nil {
		return err
	}
	into["in force p50 ms"], into["in force p99 ms"], into["in force max ms"] = share(took, 50)/1e6, share(took, 99)/1e6, share(took, 100)/1e6
	into["in force nowhere"] = float64(missing)
	r.perChange(before, after, into)
	return nil
}

// perChange is the bytes of the distribution that one change set costs one node.
func (r *Run) perChange(before, after *moment, into map[string]float64) {
	for _, role := range []string{Hollow, Planner, Owner} {
		now, was := after.of(role), before.of(role)
		for _, kind := range []string{"flow.listen", "flow.listen.receipt", "flow.fetch", "flow.fetch.receipt"} {
			for _, way := range []string{"", " between"} {
				bytes := now.traffic[kind+way][1] - was.traffic[kind+way][1]
				if now.nodes > 0 {
					into[role+" change bytes"] += float64(bytes) / float64(r.Changes) / float64(now.nodes)
				}
			}
		}
	}
}

func (r *Run) submit(ctx context.Context, change *api.Change) (*api.ChangeReceipt, error) {
	limited, end := context.WithTimeout(ctx, 20*time.Second)
	defer end()
	return r.client.Submit(limited, change)
}

// whole is the configuration of the run's size.
func (r *Run) whole() *api.Change {
	config := api.Config{}
	for i := range r.Services {
		config.Services = append(config.Services, api.Service{Name: ServiceName(i), Key: api.NewOptString("key-" + ServiceName(i))})
	}
	for i := range r.Routes {
		config.Mappings = append(config.Mappings, r.route(i, "first"))
	}
	return &api.Change{ID: "whole", Whole: api.NewOptBool(true), Put: api.NewOptConfig(config)}
}

func (r *Run) route(no int, version string) api.Mapping {
	return api.Mapping{Name: fmt.Sprintf("route%05d", no), Host: api.NewOptString(fmt.Sprintf("tenant%05d.example", no*2)), Path: fmt.Sprintf("/%s/%05d", version, no),
		To: []api.Split{{Service: ServiceName(no % r.Services), Weight: 1}}, Repeatable: api.NewOptBool(no%2 == 0), Deadline: api.NewOptInt64(5000)}
}

// share is the value below which so many hundredths lie.
func share(values []int64, hundredths int) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return float64(sorted[min(len(sorted)-1, len(sorted)*hundredths/100)])
}
