// Gauges: what every process had spent and sent at one moment, by role, and the
// figures that two such moments give.
package hollow

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/api"
	"github.com/sumactrestle/sumactrestle/internal/harness"
)

// The roles that figures are told for. A real gate is one `sumac node` beside the
// hollow ones; the planner owns the configuration part.
const (
	Hollow  = "gate"
	Real    = "real gate"
	Planner = "planner"
	Owner   = "owner"
	Other   = "other core"
	Target  = "target"
)

type counts struct {
	nodes   int
	cpu     time.Duration
	memory  int64
	traffic map[string][2]int64
	events  map[string]int64
}

func (c *counts) add(kind string, n, bytes int64) {
	old := c.traffic[kind]
	c.traffic[kind] = [2]int64{old[0] + n, old[1] + bytes}
}

type moment struct {
	at     time.Time
	roles  map[string]*counts
	beats  int64
	failed int64
	took   []int64
	epoch  uint64
}

func (m *moment) of(role string) *counts {
	if m.roles[role] == nil {
		m.roles[role] = &counts{traffic: map[string][2]int64{}, events: map[string]int64{}}
	}
	return m.roles[role]
}

// gauge takes a moment; the machines' API is asked for their traffic. Each machine
// keeps the role it had when the window began, and that an owner moved is told.
func (r *Run) gauge(ctx context.Context, roles map[string]string) (*moment, error) {
	m := &moment{at: time.Now(), roles: map[string]*counts{}}
	for _, c := range r.children {
		reading, err := c.ask(Ask{})
		if err != nil {
			return nil, err
		}
		role, nodes := Hollow, c.Gates
		if c.Targets > 0 {
			role, nodes = Target, c.Targets
		}
		sum := m.of(role)
		sum.nodes += nodes
		sum.cpu += harness.Spent(c.cmd.Process.Pid)
		sum.memory += harness.Resident(c.cmd.Process.Pid)
		for kind, sent := range reading.Traffic {
			sum.add(kind, sent[0], sent[1])
		}
		for name, n := range reading.Events {
			sum.events[name] += int64(n)
		}
		m.beats, m.failed, m.took = m.beats+reading.Beats, m.failed+reading.Failed, append(m.took, reading.Took...)
		m.epoch = max(m.epoch, reading.Epoch)
	}
	for _, machine := range r.f.Machines {
		if !machine.IsUp() {
			continue
		}
		sum := m.of(roles[machine.Name])
		sum.nodes++
		sum.cpu += harness.Spent(machine.Pid())
		sum.memory += harness.Resident(machine.Pid())
		rows, err := show(ctx, machine, api.ShowWhatTraffic)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			n, _ := strconv.ParseInt(row[1], 10, 64)
			bytes, _ := strconv.ParseInt(row[2], 10, 64)
			sum.add(row[0], n, bytes)
		}
		if rows, err = show(ctx, machine, api.ShowWhatCounts); err != nil {
			return nil, err
		}
		for _, row := range rows {
			n, _ := strconv.ParseInt(row[1], 10, 64)
			sum.events[strings.TrimPrefix(row[0], "event ")] += n
		}
	}
	return m, nil
}

func show(ctx context.Context, m *harness.Machine, what api.ShowWhat) ([][]string, error) {
	client, err := api.NewClient("http://" + m.Api())
	if err != nil {
		return nil, err
	}
	limited, end := context.WithTimeout(ctx, 10*time.Second)
	defer end()
	rows, err := client.Show(limited, api.ShowParams{What: what})
	if err != nil {
		return nil, fmt.Errorf("%s: %w", m.Name, err)
	}
	return rows.Rows, nil
}

func (r *Run) rolesOf(ctx context.Context) (map[string]string, error) {
	roles := map[string]string{}
	for _, m := range r.f.Machines {
		roles[m.Name] = Other
		if m.IsProxy {
			roles[m.Name] = Real
		}
	}
	rows, err := show(ctx, r.f.CoreMachines()[0], api.ShowWhatParts)
	if err != nil {
		return nil, err
	}
	for _, row := range rows {
		if row[0] == "config" {
			roles[row[1]] = Planner
		} else if roles[row[1]] == Other {
			roles[row[1]] = Owner
		}
	}
	return roles, nil
}

// figures are rates for one node of each role between two moments, by name.
func figures(before, after *moment, into map[string]float64) {
	seconds := after.at.Sub(before.at).Seconds()
	fleetBytes, fleetNodes := 0.0, 0
	for role, now := range after.roles {
		was := before.of(role)
		nodes := float64(now.nodes)
		if nodes == 0 || was.nodes != now.nodes {
			continue
		}
		into[role+" nodes"] = nodes
		into[role+" cpu ms/s"] = (now.cpu - was.cpu).Seconds() * 1000 / seconds / nodes
		into[role+" memory MB"] = float64(now.memory) / nodes / (1 << 20)
		if role == Target {
			continue
		}
		fleetNodes += now.nodes
		for kind, sent := range now.traffic {
			old := was.traffic[kind]
			n, bytes := float64(sent[0]-old[0])/seconds/nodes, float64(sent[1]-old[1])/seconds/nodes
			bare, isBetween := strings.CutSuffix(kind, " between")
			for _, name := range []string{"sent", bare} {
				into[role+" "+name+" messages/s"] += n
				into[role+" "+name+" bytes/s"] += bytes
			}
			if isBetween {
				into[role+" between zones bytes/s"] += bytes
			}
			fleetBytes += bytes * nodes
		}
		for _, event := range []string{"MemberSuspect", "MemberDown"} {
			into[role+" "+event+" /s"] = float64(now.events[event]-was.events[event]) / seconds / nodes
		}
	}
	if fleetNodes > 0 {
		into["fleet bytes/s a node"] = fleetBytes / float64(fleetNodes)
	}
	into["epochs in the window"] = float64(after.epoch) - float64(before.epoch)
	into["beats/s"] = float64(after.beats-before.beats) / seconds
	into["beats failed/s"] = float64(after.failed-before.failed) / seconds
	if len(after.took) > 0 {
		into["beat p50 ms"], into["beat p99 ms"] = share(after.took, 50)/1e6, share(after.took, 99)/1e6
	}
}
