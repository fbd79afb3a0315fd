// The costs of a run: processor time by role, messages and bytes by kind, syncs,
// and profiles of one core node and one proxy if they are asked for.
package harness

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/api"
	"github.com/sumactrestle/sumactrestle/internal/checker"
)

// recordProfiles takes ten seconds of processor time from a core node and a proxy.
func (r *Run) recordProfiles(ctx context.Context) {
	for _, m := range []*Machine{r.fleet.CoreMachines()[0], r.fleet.ProxyMachines()[0]} {
		go func() {
			request, err := http.NewRequestWithContext(ctx, "GET", fmt.Sprintf("http://%s:%d/debug/pprof/profile?seconds=10", m.IP, r.fleet.Port+3), nil)
			if err != nil {
				return
			}
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				r.logf("no profile of %s: %v", m.Name, err)
				return
			}
			defer response.Body.Close()
			file, err := os.Create(filepath.Join(r.ProfileDir, m.Name+".pprof"))
			if err != nil {
				r.logf("no profile of %s: %v", m.Name, err)
				return
			}
			defer file.Close()
			io.Copy(file, response.Body)
		}()
	}
}

// processorTime is the processor time of a process so far; none if it is gone.
func processorTime(pid int) time.Duration {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(raw[strings.LastIndexByte(string(raw), ')')+2:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * 10 * time.Millisecond
}

// processorTimeByRole is the processor time spent so far, by role.
func (r *Run) processorTimeByRole() map[string]time.Duration {
	sum := map[string]time.Duration{}
	for _, m := range r.fleet.Machines {
		if !m.IsUp() {
			continue
		}
		role := "proxy"
		if m.IsCore {
			role = "core"
		}
		sum[role] += processorTime(m.Pid())
	}
	return sum
}

// traffic is messages and bytes sent so far by all nodes, by kind, and syncs.
func (r *Run) traffic() map[string][2]int64 {
	sum := map[string][2]int64{}
	for _, m := range r.fleet.Machines {
		for kind, now := range r.trafficOf(m) {
			old := sum[kind]
			sum[kind] = [2]int64{old[0] + now[0], old[1] + now[1]}
		}
	}
	return sum
}

// trafficOf is the same of one node; nothing if it does not answer.
func (r *Run) trafficOf(m *Machine) map[string][2]int64 {
	counts := map[string][2]int64{}
	client, err := api.NewClient("http://" + m.APIAddress())
	if err != nil {
		return counts
	}
	ctx, end := context.WithTimeout(r.ctx, 2*time.Second)
	defer end()
	for _, what := range []api.ShowWhat{api.ShowWhatTraffic, api.ShowWhatCounts} {
		rows, err := client.Show(ctx, api.ShowParams{What: what})
		if err != nil {
			continue
		}
		for _, row := range rows.Rows {
			if what == api.ShowWhatCounts && row[0] != "syncs" {
				continue
			}
			n, _ := strconv.ParseInt(row[1], 10, 64)
			bytes := int64(0)
			if len(row) > 2 {
				bytes, _ = strconv.ParseInt(row[2], 10, 64)
			}
			old := counts[row[0]]
			counts[row[0]] = [2]int64{old[0] + n, old[1] + bytes}
		}
	}
	return counts
}

// trafficSampleInterval is between two looks at what all nodes have sent.
const trafficSampleInterval = 2 * time.Second

// sampleTraffic notes in the history what all nodes have sent, for as long as there is load.
func (r *Run) sampleTraffic(ctx context.Context, loads *sync.WaitGroup) {
	loads.Go(func() {
		tick := time.NewTicker(trafficSampleInterval)
		defer tick.Stop()
		sum := trafficTotal{last: map[string]map[string]int64{}, total: map[string]int64{}}
		for ctx.Err() == nil {
			for _, m := range r.fleet.Machines {
				sum.add(m.Name, r.trafficOf(m))
			}
			r.history.Add(checker.Record{Kind: checker.TrafficSent, SentBytes: maps.Clone(sum.total)})
			select {
			case <-ctx.Done():
			case <-tick.C:
			}
		}
	})
}

// trafficTotal adds up the bytes of nodes, each of which counts from zero when it is
// started anew; of a node that is gone, what it had sent stays in the sum.
type trafficTotal struct {
	last  map[string]map[string]int64
	total map[string]int64
}

func (s *trafficTotal) add(node string, counts map[string][2]int64) {
	if len(counts) == 0 {
		return
	}
	was, now := s.last[node], map[string]int64{}
	for kind, count := range counts {
		if kind == "syncs" {
			continue
		}
		now[kind] = count[1]
		grown := count[1] - was[kind]
		if grown < 0 {
			grown = count[1]
		}
		s.total[kind] += grown
	}
	s.last[node] = now
}

func (r *Run) printCosts(took time.Duration, before, after map[string]time.Duration, traffic, later map[string][2]int64) {
	calls, bonds := float64(r.requests.Load()), float64(r.coordinationCalls.Load())
	seconds := took.Seconds()
	fmt.Fprintf(r.out, "\nover %.1f s: %.0f requests (%.1f/s), %.0f coordination calls (%.1f/s)\n", seconds, calls, calls/seconds, bonds, bonds/seconds)
	for _, role := range []string{"proxy", "core"} {
		spent := after[role] - before[role]
		fmt.Fprintf(r.out, "processor time, %s nodes: %s, %.1f ms/s in all, %.3f ms per request\n", role, spent, float64(spent.Milliseconds())/seconds, float64(spent.Microseconds())/1000/calls)
	}
	type row struct {
		kind  string
		n, by int64
	}
	var rows []row
	total, between := int64(0), int64(0)
	for kind, now := range later {
		was := traffic[kind]
		if kind == "syncs" {
			fmt.Fprintf(r.out, "syncs: %.1f/s over all core nodes\n", float64(now[0]-was[0])/seconds)
			continue
		}
		rows = append(rows, row{kind, now[0] - was[0], now[1] - was[1]})
		total += now[1] - was[1]
		if strings.HasSuffix(kind, " between") {
			between += now[1] - was[1]
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].by > rows[j].by })
	fmt.Fprintf(r.out, "bytes between processes: %.0f/s, between zones: %.0f/s\n", float64(total)/seconds, float64(between)/seconds)
	for _, w := range rows {
		if w.n > 0 {
			fmt.Fprintf(r.out, "  %-32s %9.1f messages/s %12.0f bytes/s\n", w.kind, float64(w.n)/seconds, float64(w.by)/seconds)
		}
	}
}
