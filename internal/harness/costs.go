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

// betweenZones ends the kinds of messages that go from one zone to another.
const betweenZones = " between"

// measurement is what the fleet has spent and sent up to some time.
type measurement struct {
	processorTime map[role]time.Duration
	traffic       map[string]volume
}

func (r *run) measure() measurement {
	return measurement{processorTime: r.processorTimeByRole(), traffic: r.traffic()}
}

// costs is what the fleet spent and sent under load.
type costs struct {
	duration      time.Duration
	before, after measurement
}

// printCosts prints processor time by role, syncs, and messages and bytes by kind.
func (r *run) printCosts(c costs) {
	requests, calls := float64(r.load.requests.Load()), float64(r.load.coordinationCalls.Load())
	seconds := c.duration.Seconds()
	fmt.Fprintf(r.Output, "\nover %.1f s: %.0f requests (%.1f/s), %.0f coordination calls (%.1f/s)\n", seconds, requests, requests/seconds, calls, calls/seconds)
	for _, role := range []role{roleProxy, roleCore} {
		spent := c.after.processorTime[role] - c.before.processorTime[role]
		fmt.Fprintf(r.Output, "processor time, %s nodes: %s, %.1f ms/s in all, %.3f ms per request\n", role, spent, float64(spent.Milliseconds())/seconds, float64(spent.Microseconds())/1000/requests)
	}
	sent := map[string]volume{}
	var total, between int64
	for kind, now := range c.after.traffic {
		growth := now.minus(c.before.traffic[kind])
		if kind == syncs {
			fmt.Fprintf(r.Output, "syncs: %.1f/s over all core nodes\n", float64(growth.messages)/seconds)
			continue
		}
		sent[kind] = growth
		total += growth.bytes
		if strings.HasSuffix(kind, betweenZones) {
			between += growth.bytes
		}
	}
	fmt.Fprintf(r.Output, "bytes between processes: %.0f/s, between zones: %.0f/s\n", float64(total)/seconds, float64(between)/seconds)
	kinds := slices.SortedFunc(maps.Keys(sent), func(a, b string) int {
		return cmp.Or(cmp.Compare(sent[b].bytes, sent[a].bytes), strings.Compare(a, b))
	})
	for _, kind := range kinds {
		if v := sent[kind]; v.messages > 0 {
			fmt.Fprintf(r.Output, "  %-32s %9.1f messages/s %12.0f bytes/s\n", kind, float64(v.messages)/seconds, float64(v.bytes)/seconds)
		}
	}
}

// printResponses prints how often each outcome came and how soon. Times are of one machine
// that all processes share: no verdict depends on them.
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
		fmt.Fprintf(r.Output, "answered %-28s %8.1f/s   median %s, of a hundred 99 within %s\n", outcome, float64(len(sorted))/seconds,
			sorted[len(sorted)/2].Round(100*time.Microsecond), sorted[len(sorted)*99/100].Round(time.Millisecond))
	}
}
