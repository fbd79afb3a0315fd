package report

import (
	"fmt"
	"math"
	"slices"
	"sort"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"

	"github.com/sumactrestle/sumactrestle/internal/checker"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
)

const (
	// maxIntervals limits the points of a line; longer histories get longer intervals.
	maxIntervals = 90
	// maxKinds is the number of message kinds with a separate line; the others are summed.
	maxKinds = 7
)

// Outcomes of a request as its client knows them. Broken connections count as unknown.
const (
	outcomeRan     = "ran"
	outcomeNotRun  = "not run"
	outcomeUnknown = "unknown"
)

// interval holds the requests that started within one span of time.
type interval struct {
	requests, ran, rejected int
	latencies               []time.Duration
}

// splitIntoIntervals groups requests by start time into intervals of equal length, without those
// that the client abandoned.
func splitIntoIntervals(records []checker.Record) (intervals []interval, length time.Duration) {
	var lastStart time.Duration
	for _, r := range records {
		if r.Kind == checker.RequestCompleted {
			lastStart = max(lastStart, r.Start)
		}
	}
	length = max(time.Second, (lastStart/maxIntervals + time.Second - 1).Truncate(time.Second))
	intervals = make([]interval, lastStart/length+1)
	for _, r := range records {
		if r.Kind != checker.RequestCompleted || r.Outcome == "gone" {
			continue
		}
		current := &intervals[r.Start/length]
		current.requests++
		switch {
		case r.Status == 200 || r.Outcome == outcomeRan:
			current.ran++
			current.latencies = append(current.latencies, r.At-r.Start)
		case r.Outcome == outcomeNotRun:
			current.rejected++
		}
	}
	return intervals, length
}

// quantile returns the smallest element of a sorted list that at least the given fraction of the
// elements does not exceed.
func quantile(sorted []time.Duration, fraction float64) time.Duration {
	return sorted[min(len(sorted)-1, int(math.Ceil(fraction*float64(len(sorted))))-1)]
}

// History returns the section of one recorded history, with name as its title. A history without
// requests is an error.
func History(name string, records []checker.Record) (Section, error) {
	intervals, length := splitIntoIntervals(records)
	requests := 0
	for _, interval := range intervals {
		requests += interval.requests
	}
	if requests == 0 {
		return Section{}, errcode.New(errcode.InvalidCall, "%s: the history has no requests", name)
	}
	faults, faultLines := injectedFaults(records)
	section := Section{Title: name, Text: summary(records, faultLines)}
	span := fmt.Sprintf("each point covers the requests that started within %s", length)

	outcomes, err := plotOutcomes(intervals, length, faults)
	if err != nil {
		return section, err
	}
	latency, err := plotLatency(intervals, length, faults)
	if err != nil {
		return section, err
	}
	section.Plots = append(section.Plots,
		Plot{"Percentage of requests that ran, did not run, or have an unknown outcome; " + span, outcomes},
		Plot{"Latency quantiles as measured by the clients; " + span, latency})

	traffic, err := plotTraffic(records, faults)
	if err != nil || traffic == nil {
		return section, err
	}
	section.Plots = append(section.Plots, *traffic)
	return section, nil
}

// injectedFaults returns the times of injected faults, in seconds, and a line of text for each.
func injectedFaults(records []checker.Record) (seconds []float64, lines []string) {
	for _, record := range records {
		if record.Kind == checker.FaultInjected {
			seconds = append(seconds, record.At.Seconds())
			lines = append(lines, fmt.Sprintf("%8.1f s  %s", record.At.Seconds(), record.Note))
		}
	}
	return seconds, lines
}

// summary returns the availability, the result of the checker and the injected faults as text.
func summary(records []checker.Record, faultLines []string) string {
	result := checker.Check(records)
	text := fmt.Sprintf("%s\n\nrules broken: %d\n\n%s", checker.MeasureAvailability(records), len(result.Violations), result)
	if len(faultLines) > 0 {
		text += "\nfaults, by time since the start of the history:\n" + strings.Join(faultLines, "\n") + "\n"
	}
	return text
}

// midpoint returns the middle of the interval with the given index, in seconds.
func midpoint(index int, length time.Duration) float64 {
	return (time.Duration(index)*length + length/2).Seconds()
}

// plotOutcomes plots the percentages of requests that ran, did not run, or have an unknown outcome.
func plotOutcomes(intervals []interval, length time.Duration, faults []float64) (*plot.Plot, error) {
	shares := map[string]plotter.XYs{}
	for i, interval := range intervals {
		for outcome, count := range map[string]int{
			outcomeRan:     interval.ran,
			outcomeNotRun:  interval.rejected,
			outcomeUnknown: interval.requests - interval.ran - interval.rejected,
		} {
			percent := math.NaN()
			if interval.requests > 0 {
				percent = 100 * float64(count) / float64(interval.requests)
			}
			shares[outcome] = append(shares[outcome], plotter.XY{X: midpoint(i, length), Y: percent})
		}
	}
	p := newPlot("Outcomes of requests", "seconds", "percent of requests")
	p.Y.Max = 105
	for i, outcome := range []string{outcomeRan, outcomeNotRun, outcomeUnknown} {
		if err := addLine(p, i, outcome, shares[outcome]); err != nil {
			return nil, err
		}
	}
	addVerticalLines(p, "faults", faults)
	return p, nil
}

// plotLatency plots quantiles of the latency of requests that ran.
func plotLatency(intervals []interval, length time.Duration, faults []float64) (*plot.Plot, error) {
	p := newPlot("Latency of requests that ran", "seconds", "milliseconds")
	for colorIndex, q := range quantiles {
		var points plotter.XYs
		for i, interval := range intervals {
			slices.Sort(interval.latencies)
			value := math.NaN()
			if len(interval.latencies) > 0 {
				value = float64(quantile(interval.latencies, q.fraction).Microseconds()) / 1000
			}
			points = append(points, plotter.XY{X: midpoint(i, length), Y: value})
		}
		if err := addLine(p, colorIndex, q.name, points); err != nil {
			return nil, err
		}
	}
	addVerticalLines(p, "faults", faults)
	return p, nil
}

// quantiles are the lines of the latency plot.
var quantiles = []struct {
	name     string
	fraction float64
}{{"p50", 0.5}, {"p99", 0.99}, {"p99.9", 0.999}}

// plotTraffic plots the send rates of all nodes by kind of message, each point between two
// TrafficSent records. It returns nil if the history has fewer than two.
func plotTraffic(records []checker.Record, faults []float64) (*Plot, error) {
	var samples []checker.Record
	for _, r := range records {
		if r.Kind == checker.TrafficSent {
			samples = append(samples, r)
		}
	}
	if len(samples) < 2 {
		return nil, nil
	}
	rates, totals := map[string]plotter.XYs{}, map[string]float64{}
	kinds := map[string]bool{}
	for _, r := range samples {
		for kind := range r.SentBytes {
			kinds[kind] = true
		}
	}
	for i := 1; i < len(samples); i++ {
		previous, current := samples[i-1], samples[i]
		elapsed := (current.At - previous.At).Seconds()
		if elapsed <= 0 {
			continue
		}
		for kind := range kinds {
			rate := float64(current.SentBytes[kind]-previous.SentBytes[kind]) / elapsed / 1000
			totals[kind] += rate
			rates[kind] = append(rates[kind], plotter.XY{X: (current.At + previous.At).Seconds() / 2, Y: rate})
		}
	}
	sortedKinds := make([]string, 0, len(rates))
	for kind := range rates {
		sortedKinds = append(sortedKinds, kind)
	}
	sort.Slice(sortedKinds, func(i, j int) bool {
		return totals[sortedKinds[i]] > totals[sortedKinds[j]] || totals[sortedKinds[i]] == totals[sortedKinds[j]] && sortedKinds[i] < sortedKinds[j]
	})
	p := newPlot("Bytes sent by kind of message", "seconds", "kilobytes per second")
	for i, kind := range sortedKinds {
		if i == maxKinds {
			if err := addLine(p, i, fmt.Sprintf("%d more kinds", len(sortedKinds)-i), sumRates(rates, sortedKinds[i:])); err != nil {
				return nil, err
			}
			break
		}
		if err := addLine(p, i, kind, rates[kind]); err != nil {
			return nil, err
		}
	}
	addVerticalLines(p, "faults", faults)
	return &Plot{"Bytes that all nodes together sent to other processes; \"between\" marks traffic to another zone", p}, nil
}

// sumRates returns the sum of lines that have the same X values.
func sumRates(rates map[string]plotter.XYs, names []string) plotter.XYs {
	sum := append(plotter.XYs(nil), rates[names[0]]...)
	for i := range sum {
		sum[i].Y = 0
		for _, name := range names {
			sum[i].Y += rates[name][i].Y
		}
	}
	return sum
}
