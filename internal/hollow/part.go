// Package hollow is a load tool for control work: many gates, and many targets that
// beat, in few processes before real core nodes. A hollow gate is a whole node of
// the product (membership, fetch, held listener requests, pulses, table of routes)
// to which no caller comes; a hollow target only beats. A Part is what one process
// holds of them; it is told what to do by lines on its standard input.
package hollow

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/config"
	"github.com/sumactrestle/sumactrestle/internal/distribution"
	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/membership"
	"github.com/sumactrestle/sumactrestle/internal/node"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// Brief is the first line a Part reads: gates or targets from First on.
type Brief struct {
	Gates, Targets int
	First          int
	Port, Zones    int
	Services       int
	Seeds          string
	Apis           []string
	Beat           time.Duration
	Pause          time.Duration // between two gates that start
	Settings       map[string]string
}

// Ask is every later line; Fetch has the groups fetched once to weigh them.
type Ask struct {
	Epoch   uint64
	Members int
	Fetch   bool
}

// Reading is the answer to an Ask: sums over all gates or targets of the Part.
type Reading struct {
	Traffic map[string][2]int64
	Events  map[string]uint64
	Whole   int     // gates that know every member and hold a chart
	Reached []int64 // how long ago gates took the epoch asked about into use, nanoseconds
	Epoch   uint64  // the newest any gate holds
	Groups  map[string]int64
	Beats   int64
	Failed  int64
	Took    []int64 // of the beats since the last reading, nanoseconds
}

type swap struct {
	epoch ids.Epoch
	at    time.Time
}

type gate struct {
	node  *node.Node
	mu    sync.Mutex
	swaps []swap
}

// Part is one process's gates and targets.
type Part struct {
	Brief
	mu      sync.Mutex
	gates   []*gate
	targets *targets
}

// Serve runs a Part until its input ends.
func Serve(parent context.Context, in io.Reader, out io.Writer) error {
	ctx, end := context.WithCancel(parent)
	defer end()
	lines := bufio.NewReader(in)
	p := &Part{}
	if err := next(lines, &p.Brief); err != nil {
		return err
	}
	if p.Targets > 0 {
		p.targets = beatAll(ctx, &p.Brief)
	}
	go p.startGates(ctx)
	for {
		var ask Ask
		if err := next(lines, &ask); err != nil {
			return nil
		}
		raw, err := json.Marshal(p.read(ctx, &ask))
		if err != nil {
			return err
		}
		if _, err := out.Write(append(raw, '\n')); err != nil {
			return err
		}
	}
}

func next(lines *bufio.Reader, into any) error {
	line, err := lines.ReadBytes('\n')
	if err != nil {
		return err
	}
	return json.Unmarshal(line, into)
}

func (p *Part) startGates(ctx context.Context) {
	for i := range p.Gates {
		if ctx.Err() != nil {
			return
		}
		g, err := p.startGate(ctx, p.First+i)
		if err != nil {
			fmt.Fprintf(os.Stderr, "gate %d: %v\n", p.First+i, err)
			continue
		}
		p.mu.Lock()
		p.gates = append(p.gates, g)
		p.mu.Unlock()
		time.Sleep(p.Pause)
	}
}

func (p *Part) startGate(ctx context.Context, no int) (*gate, error) {
	zone := no%p.Zones + 1
	ip := fmt.Sprintf("127.2.%d.%d", zone, no/p.Zones+1)
	set := map[string]string{"name": fmt.Sprint("hollow", no), "zone": fmt.Sprint("zone", zone), "seeds": p.Seeds,
		"wire.address": fmt.Sprint(ip, ":", p.Port), "api.address": fmt.Sprint(ip, ":", p.Port+1), "gate.address": fmt.Sprint(ip, ":", p.Port+2)}
	for key, value := range p.Settings {
		set[key] = value
	}
	settings, err := config.Load("", set)
	if err != nil {
		return nil, err
	}
	r := environment.New(ctx, settings, eventlog.New(io.Discard, settings.LogLevel, settings.Name), environment.NewHost(settings.WireAddress))
	g := &gate{}
	if g.node, err = node.Start(r); err != nil {
		r.Shutdown()
		return nil, err
	}
	g.node.Flow.Cache.Subscribe(g.note)
	if chart := g.node.Flow.Cache.Chart(); chart != nil {
		g.note(chart)
	}
	return g, nil
}

func (g *gate) note(chart *distribution.Chart) {
	g.mu.Lock()
	g.swaps = append(g.swaps, swap{chart.Epoch, time.Now()})
	g.mu.Unlock()
}

func (g *gate) reached(epoch ids.Epoch) (at time.Time, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.swaps {
		if s.epoch >= epoch {
			return s.at, true
		}
	}
	return at, false
}

func (g *gate) isWhole(members int) bool {
	live := 0
	for _, m := range g.node.Kin.View() {
		if m.State == membership.StateAlive {
			live++
		}
	}
	return live >= members && g.node.Flow.Cache.Chart() != nil
}

func (p *Part) read(ctx context.Context, ask *Ask) *Reading {
	reading := &Reading{Traffic: map[string][2]int64{}, Events: map[string]uint64{}}
	p.mu.Lock()
	gates := p.gates
	p.mu.Unlock()
	for _, g := range gates {
		for kind, sent := range g.node.Wire.Traffic() {
			old := reading.Traffic[kind]
			reading.Traffic[kind] = [2]int64{old[0] + sent[0], old[1] + sent[1]}
		}
		for name, n := range g.node.R.Events.Counts() {
			reading.Events[name] += n
		}
		if g.isWhole(ask.Members) {
			reading.Whole++
		}
		if at, ok := g.reached(ids.Epoch(ask.Epoch)); ok {
			reading.Reached = append(reading.Reached, time.Since(at).Nanoseconds())
		}
		epoch, _ := g.node.Flow.Cache.Have()
		reading.Epoch = max(reading.Epoch, uint64(epoch))
	}
	if p.targets != nil {
		p.targets.read(reading)
	}
	if ask.Fetch && len(gates) > 0 {
		var err error
		if reading.Groups, err = weigh(ctx, gates[0].node); err != nil {
			fmt.Fprintf(os.Stderr, "groups were not weighed: %v\n", err)
		}
	}
	return reading
}

// weigh fetches all groups as a gate does at its start and tells their bytes by kind.
func weigh(parent context.Context, node *node.Node) (map[string]int64, error) {
	cores := node.Kin.CoreMembers()
	if len(cores) == 0 {
		return nil, errcode.New(errcode.Unreached, "no core node is known")
	}
	ctx, end := context.WithTimeout(parent, 10*time.Second)
	defer end()
	var receipt rpc.FetchResponse
	if err := node.Wire.Ask(ctx, cores[0].RPCAddress, "flow.fetch", &rpc.FetchRequest{}, &receipt); err != nil {
		return nil, err
	}
	weights := map[string]int64{}
	for name, group := range receipt.Groups {
		weights[kindOf(name)] += int64(len(group.Data))
	}
	manifest, err := json.Marshal(receipt.Manifest)
	weights["manifest"] = int64(len(manifest))
	return weights, err
}
