// Package metrics keeps histograms of how long things take and the table of metrics that a
// node shows.
//
// There is one histogram of high dynamic range, from ten microseconds to a minute, for each kind
// of duration, made when its first value comes. Those of the node are exact to one part in a
// hundred and take 18 kB each; those of each service and outcome, of which there may be many, to
// one in sixteen and 3 kB. Observing costs one lock and one count; nothing is looked up by name.
package metrics

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	resolution    = 10 * time.Microsecond
	longest       = time.Minute
	nodeDigits    = 2 // digits of a histogram of the whole node
	serviceDigits = 1 // digits of one of a service
)

// Bounds are the upper bounds of the buckets that metrics show, in seconds.
var Bounds = []float64{0.0001, 0.00025, 0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10}

// Histogram counts durations; its zero value is ready.
type Histogram struct {
	mu     sync.Mutex
	counts *hdrhistogram.Histogram
	total  time.Duration
}

// Observe counts one duration; one outside the range counts as the nearest within.
func (h *Histogram) Observe(d time.Duration) { h.observe(d, nodeDigits) }

func (h *Histogram) observe(d time.Duration, digits int) {
	d = min(max(d, 0), longest)
	h.mu.Lock()
	if h.counts == nil {
		h.counts = hdrhistogram.New(1, int64(longest/resolution), digits)
	}
	h.counts.RecordValue(int64(d / resolution))
	h.total += d
	h.mu.Unlock()
}

// Summary is what a histogram holds at one moment.
type Summary struct {
	Count             uint64
	Seconds           float64
	Median, P99, P999 time.Duration
	Max               time.Duration
	Buckets           map[float64]uint64 // times at or below each bound
}

// Summary returns what was counted so far.
func (h *Histogram) Summary() Summary {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := Summary{Buckets: make(map[float64]uint64, len(Bounds))}
	if h.counts == nil {
		return s
	}
	s.Count, s.Seconds = uint64(h.counts.TotalCount()), h.total.Seconds()
	at := h.counts.ValueAtQuantile
	s.Median, s.P99, s.P999 = time.Duration(at(50))*resolution, time.Duration(at(99))*resolution, time.Duration(at(99.9))*resolution
	s.Max = time.Duration(h.counts.Max()) * resolution
	next, below := 0, uint64(0)
	for _, bar := range h.counts.Distribution() {
		if bar.Count == 0 {
			continue
		}
		for next < len(Bounds) && (time.Duration(bar.To)*resolution).Seconds() > Bounds[next] {
			s.Buckets[Bounds[next]] = below
			next++
		}
		below += uint64(bar.Count)
	}
	for ; next < len(Bounds); next++ {
		s.Buckets[Bounds[next]] = below
	}
	return s
}

// Outcome is what a client is told of its request.
type Outcome int

// Outcomes: a request ran, certainly did not run, or may have run.
const (
	OutcomeRan Outcome = iota
	OutcomeNotRun
	OutcomeUnknown
	outcomeCount
)

// String returns the outcome as responses and metrics name it.
func (o Outcome) String() string { return [...]string{"ran", "not run", "unknown"}[o] }

// ParseOutcome returns the outcome of that name; a request without one did not run.
func ParseOutcome(name string) Outcome {
	switch name {
	case "ran":
		return OutcomeRan
	case "unknown":
		return OutcomeUnknown
	}
	return OutcomeNotRun
}

// ServiceLatency is the durations of one service's requests, by outcome.
type ServiceLatency struct{ byOutcome [outcomeCount]Histogram }

// Observe counts the duration of a request with that outcome.
func (s *ServiceLatency) Observe(o Outcome, d time.Duration) {
	s.byOutcome[o].observe(d, serviceDigits)
}

// Latencies is all histograms of one node.
type Latencies struct {
	ProxyOverhead    Histogram // of a request that ran: the whole duration less the targets' part
	CoordinationCall Histogram // of a coordination call
	StoreSync        Histogram // of a sync of the disk
	EpochAge         Histogram // the age of an epoch when it came into use

	MaxServices int // so many services are told apart; the rest share one

	services sync.Map
	other    ServiceLatency
	count    atomic.Int64
}

// Service returns the histograms of a service; who observes often keeps them.
func (l *Latencies) Service(name string) *ServiceLatency {
	if found, ok := l.services.Load(name); ok {
		return found.(*ServiceLatency)
	}
	if name == "" || l.count.Load() >= int64(l.MaxServices) {
		return &l.other
	}
	found, isOld := l.services.LoadOrStore(name, &ServiceLatency{})
	if !isOld {
		l.count.Add(1)
	}
	return found.(*ServiceLatency)
}

// Each visits every histogram that is not empty, by metric, service and outcome.
func (l *Latencies) Each(visit func(m Metric, labels []string, s Summary)) {
	one := func(m Metric, from *Histogram, labels ...string) {
		if s := from.Summary(); s.Count > 0 {
			visit(m, labels, s)
		}
	}
	one(ProxyOverhead, &l.ProxyOverhead)
	one(CoordinationCallDuration, &l.CoordinationCall)
	one(StoreSyncDuration, &l.StoreSync)
	one(EpochAgeAtUse, &l.EpochAge)
	all := func(name string, s *ServiceLatency) {
		for o := OutcomeRan; o < outcomeCount; o++ {
			one(ProxyRequestDuration, &s.byOutcome[o], name, o.String())
		}
	}
	l.services.Range(func(name, s any) bool { all(name.(string), s.(*ServiceLatency)); return true })
	all("", &l.other)
}

// Metric is one line of the table in schema/metrics.yaml.
type Metric struct {
	Name, Kind, Help string
	Labels           []string
}
