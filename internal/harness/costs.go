package harness

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/checker"
)

// crossZoneSuffix is the suffix of the message kinds of traffic between zones.
const crossZoneSuffix = " between"

// measurement holds the fleet's cumulative processor time and traffic at one point in time.
type measurement struct {
	processorTime map[role]time.Duration
	traffic       map[string]volume
}

func (r *run) measure() measurement {
	return measurement{processorTime: r.processorTimeByRole(), traffic: r.traffic()}
}

// costs holds the measurements before and after the load, and its duration.
type costs struct {
	duration      time.Duration
	before, after measurement
}

// printCosts prints the processor time per role, the disk syncs, and the messages and bytes per
// kind.
func (r *run) printCosts(c costs) {
	requests, calls := float64(r.load.requests.Load()), float64(r.load.coordinationCalls.Load())
	seconds := c.duration.Seconds()
	fmt.Fprintf(r.Output, "\nover %.1f s: %.0f requests (%.1f/s), %.0f coordination calls (%.1f/s)\n", seconds, requests, requests/seconds, calls, calls/seconds)
	for _, role := range []role{roleProxy, roleCore} {
		cpuTime := c.after.processorTime[role] - c.before.processorTime[role]
		fmt.Fprintf(r.Output, "processor time, %s nodes: %s, %.1f ms/s in total, %.3f ms per request\n", role, cpuTime, float64(cpuTime.Milliseconds())/seconds, float64(cpuTime.Microseconds())/1000/requests)
	}
	sent := map[string]volume{}
	var total, crossZone int64
	for kind, volumeAfter := range c.after.traffic {
		delta := volumeAfter.minus(c.before.traffic[kind])
		if kind == diskSyncs {
			fmt.Fprintf(r.Output, "syncs: %.1f/s over all core nodes\n", float64(delta.messages)/seconds)
			continue
		}
		sent[kind] = delta
		total += delta.bytes
		if strings.HasSuffix(kind, crossZoneSuffix) {
			crossZone += delta.bytes
		}
	}
	fmt.Fprintf(r.Output, "bytes between processes: %.0f/s, between zones: %.0f/s\n", float64(total)/seconds, float64(crossZone)/seconds)
	kinds := slices.SortedFunc(maps.Keys(sent), func(a, b string) int {
		return cmp.Or(cmp.Compare(sent[b].bytes, sent[a].bytes), strings.Compare(a, b))
	})
	for _, kind := range kinds {
		if v := sent[kind]; v.messages > 0 {
			fmt.Fprintf(r.Output, "  %-32s %9.1f messages/s %12.0f bytes/s\n", kind, float64(v.messages)/seconds, float64(v.bytes)/seconds)
		}
	}
}

// printResponses prints the rate and the latency quantiles of each outcome. All processes share
// one machine, so no verdict depends on these latencies.
func (r *run) printResponses(seconds float64) {
	latencies := map[string][]time.Duration{}
	for _, record := range r.history.Records() {
		if record.Kind != checker.RequestCompleted {
			continue
		}
		outcome := record.Outcome
		if record.Code != 0 {
			outcome = fmt.Sprint(record.Outcome, ", code ", record.Code)
		}
		latencies[outcome] = append(latencies[outcome], record.At-record.Start)
	}
	for _, outcome := range slices.Sorted(maps.Keys(latencies)) {
		sorted := latencies[outcome]
		slices.Sort(sorted)
		fmt.Fprintf(r.Output, "completed %-28s %8.1f/s   median %s, 99th percentile %s\n", outcome, float64(len(sorted))/seconds,
			sorted[len(sorted)/2].Round(100*time.Microsecond), sorted[len(sorted)*99/100].Round(time.Millisecond))
	}
}
