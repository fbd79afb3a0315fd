// A history as plots. Time is cut into intervals of a second or more; each tells of
// the calls that began in it.
package report

import (
	"fmt"
	"math"
	"slices"
	"sort"
	"strings"
	"time"

	"gonum.org/v1/plot/plotter"

	"github.com/sumactrestle/sumactrestle/internal/checker"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
)

const (
	intervalsMost = 90
	kindsMost     = 7 // told apart by colour; the rest is one more
)

// lost is the calls whose outcome the caller does not know, broken ones too.
const lost = "unknown"

// interval is the calls that began in one stretch of time.
type interval struct {
	calls, ran, refused int
	took                []time.Duration
}

// cut puts the calls into intervals of one length.
func cut(records []checker.Record) (intervals []interval, length time.Duration) {
	var last time.Duration
	for _, r := range records {
		if r.Kind == checker.RequestCompleted {
			last = max(last, r.Start)
		}
	}
	length = max(time.Second, (last/intervalsMost + time.Second - 1).Truncate(time.Second))
	intervals = make([]interval, last/length+1)
	for _, r := range records {
		if r.Kind != checker.RequestCompleted || r.Outcome == "gone" {
			continue
		}
		p := &intervals[r.Start/length]
		p.calls++
		switch {
		case r.Status == 200 || r.Outcome == "ran":
			p.ran++
			p.took = append(p.took, r.At-r.Start)
		case r.Outcome == "not run":
			p.refused++
		}
	}
	return intervals, length
}

// quantile is the value below which that share of a sorted list lies.
func quantile(list []time.Duration, share float64) time.Duration {
	return list[min(len(list)-1, int(math.Ceil(share*float64(len(list))))-1)]
}

// History makes a section of a recorded history.
func History(name string, records []checker.Record) (Section, error) {
	s := Section{Title: name}
	intervals, length := cut(records)
	calls := 0
	for _, p := range intervals {
		calls += p.calls
	}
	if calls == 0 {
		return s, errcode.New(errcode.BadCall, "%s: there is no call in it", name)
	}
	var faults []float64
	var told []string
	for _, r := range records {
		if r.Kind == checker.FaultInjected {
			faults = append(faults, r.At.Seconds())
			told = append(told, fmt.Sprintf("%8.1f s  %s", r.At.Seconds(), r.Note))
		}
	}
	verdict := checker.Check(records)
	s.Text = fmt.Sprintf("%s\n\nrules broken: %d\n\n%s", checker.MeasureAvailability(records), len(verdict.Violations), verdict)
	if len(told) > 0 {
		s.Text += "\nfaults, by the history's clock:\n" + strings.Join(told, "\n") + "\n"
	}
	at := func(i int) float64 { return (time.Duration(i)*length + length/2).Seconds() }
	shares := map[string]plotter.XYs{}
	times := map[string]plotter.XYs{}
	for i, p := range intervals {
		add := func(into map[string]plotter.XYs, name string, value float64) {
			into[name] = append(into[name], plotter.XY{X: at(i), Y: value})
		}
		percent := func(n int) float64 {
			if p.calls == 0 {
				return math.NaN()
			}
			return 100 * float64(n) / float64(p.calls)
		}
		add(shares, "ran", percent(p.ran))
		add(shares, "not run", percent(p.refused))
		add(shares, lost, percent(p.calls-p.ran-p.refused))
		slices.Sort(p.took)
		for name, share := range quantiles {
			value := math.NaN()
			if len(p.took) > 0 {
				value = float64(quantile(p.took, share).Microseconds()) / 1000
			}
			add(times, name, value)
		}
	}
	served := newPlot("Outcomes of calls", "seconds", "percent of calls")
	served.Y.Max = 105
	for i, name := range []string{"ran", "not run", lost} {
		if err := addLine(served, i, name, shares[name]); err != nil {
			return s, err
		}
	}
	addMarks(served, "faults", faults)
	latency := newPlot("Latency of calls that ran", "seconds", "milliseconds")
	for i, name := range []string{"p50", "p99", "p99.9"} {
		if err := addLine(latency, i, name, times[name]); err != nil {
			return s, err
		}
	}
	addMarks(latency, "faults", faults)
	span := fmt.Sprintf("each point is %s, by when the call began", length)
	s.Plots = append(s.Plots, Plot{"Share of the callers' tries that ran, were refused (not run), or got no sure answer; " + span, served},
		Plot{"Quantiles as the callers saw them; " + span, latency})
	sent, err := bytesByKind(records, faults)
	if err != nil || sent == nil {
		return s, err
	}
	s.Plots = append(s.Plots, *sent)
	return s, nil
}

var quantiles = map[string]float64{"p50": 0.5, "p99": 0.99, "p99.9": 0.999}

// bytesByKind is the rates between two samples of what all nodes had sent.
func bytesByKind(records []checker.Record, faults []float64) (*Plot, error) {
	var samples []checker.Record
	for _, r := range records {
		if r.Kind == checker.TrafficSent {
			samples = append(samples, r)
		}
	}
	if len(samples) < 2 {
		return nil, nil
	}
	rates, whole := map[string]plotter.XYs{}, map[string]float64{}
	kinds := map[string]bool{}
	for _, r := range samples {
		for kind := range r.SentBytes {
			kinds[kind] = true
		}
	}
	for i := 1; i < len(samples); i++ {
		was, now := samples[i-1], samples[i]
		took := (now.At - was.At).Seconds()
		if took <= 0 {
			continue
		}
		for kind := range kinds {
			rate := float64(now.SentBytes[kind]-was.SentBytes[kind]) / took / 1000
			whole[kind] += rate
			rates[kind] = append(rates[kind], plotter.XY{X: (now.At + was.At).Seconds() / 2, Y: rate})
		}
	}
	names := make([]string, 0, len(rates))
	for kind := range rates {
		names = append(names, kind)
	}
	sort.Slice(names, func(i, j int) bool {
		return whole[names[i]] > whole[names[j]] || whole[names[i]] == whole[names[j]] && names[i] < names[j]
	})
	p := newPlot("Bytes sent by kind of message", "seconds", "kilobytes a second")
	for i, kind := range names {
		if i == kindsMost {
			if err := addLine(p, i, fmt.Sprintf("%d more kinds", len(names)-i), add(rates, names[i:])); err != nil {
				return nil, err
			}
			break
		}
		if err := addLine(p, i, kind, rates[kind]); err != nil {
			return nil, err
		}
	}
	addMarks(p, "faults", faults)
	return &Plot{"What the nodes sent to other processes, summed over all; \"between\" went to another zone", p}, nil
}

// add sums lines of the same places.
func add(rates map[string]plotter.XYs, names []string) plotter.XYs {
	sum := append(plotter.XYs(nil), rates[names[0]]...)
	for i := range sum {
		sum[i].Y = 0
		for _, name := range names {
			sum[i].Y += rates[name][i].Y
		}
	}
	return sum
}
