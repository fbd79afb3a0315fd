// Package metrics provides the latency histograms of a node and the table of its metrics.
//
// Each histogram is an HDR histogram with a range of 10 µs to 1 min, allocated at the first
// observation. The histograms of the whole node have a relative precision of 1/100 and take 18 kB
// each. Those per service and outcome, of which there may be many, have a precision of 1/16 and
// take 3 kB each. An observation takes one lock and no lookup by name.
package metrics

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	resolution    = 10 * time.Microsecond
	maxDuration   = time.Minute
	nodeDigits    = 2 // significant digits of a histogram of the whole node
	serviceDigits = 1 // significant digits of a histogram of one service
)

// BucketBounds are the upper bounds, in seconds, of the buckets in exported histograms.
var BucketBounds = []float64{0.0001, 0.00025, 0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10}

// Histogram counts durations. The zero value is ready to use.
type Histogram struct {
	mu     sync.Mutex
	counts *hdrhistogram.Histogram
	total  time.Duration
}

// Observe counts one duration, clamped to the histogram's range.
func (h *Histogram) Observe(d time.Duration) { h.observe(d, nodeDigits) }

func (h *Histogram) observe(d time.Duration, digits int) {
	d = min(max(d, 0), maxDuration)
	h.mu.Lock()
	if h.counts == nil {
		h.counts = hdrhistogram.New(1, int64(maxDuration/resolution), digits)
	}
	h.counts.RecordValue(int64(d / resolution))
	h.total += d
	h.mu.Unlock()
}

// Summary is a snapshot of a histogram.
type Summary struct {
	Count             uint64
	TotalSeconds      float64
	Median, P99, P999 time.Duration
	Max               time.Duration
	Buckets           map[float64]uint64 // cumulative counts by upper bound in seconds
}

// Summary returns a snapshot of the durations counted so far.
func (h *Histogram) Summary() Summary {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := Summary{Buckets: make(map[float64]uint64, len(BucketBounds))}
	if h.counts == nil {
		return s
	}
	s.Count, s.TotalSeconds = uint64(h.counts.TotalCount()), h.total.Seconds()
	quantile := h.counts.ValueAtQuantile
	s.Median, s.P99, s.P999 = time.Duration(quantile(50))*resolution, time.Duration(quantile(99))*resolution, time.Duration(quantile(99.9))*resolution
	s.Max = time.Duration(h.counts.Max()) * resolution
	nextBound, cumulative := 0, uint64(0)
	for _, bucket := range h.counts.Distribution() {
		if bucket.Count == 0 {
			continue
		}
		for nextBound < len(BucketBounds) && (time.Duration(bucket.To)*resolution).Seconds() > BucketBounds[nextBound] {
			s.Buckets[BucketBounds[nextBound]] = cumulative
			nextBound++
		}
		cumulative += uint64(bucket.Count)
	}
	for ; nextBound < len(BucketBounds); nextBound++ {
		s.Buckets[BucketBounds[nextBound]] = cumulative
	}
	return s
}

// Outcome is the execution outcome of a request as reported to its client.
type Outcome int

// The outcomes: a request ran, certainly did not run, or may have run.
const (
	OutcomeRan Outcome = iota
	OutcomeNotRun
	OutcomeUnknown
	outcomeCount
)

// String returns the outcome's name in responses and metrics.
func (o Outcome) String() string { return [...]string{"ran", "not run", "unknown"}[o] }

// ParseOutcome returns the outcome with the given name. An empty or unknown name gives
// OutcomeNotRun.
func ParseOutcome(name string) Outcome {
	switch name {
	case "ran":
		return OutcomeRan
	case "unknown":
		return OutcomeUnknown
	}
	return OutcomeNotRun
}

// ServiceLatency holds the histograms of one service's request durations, by outcome.
type ServiceLatency struct{ byOutcome [outcomeCount]Histogram }

// Observe counts the duration of a request with the given outcome.
func (s *ServiceLatency) Observe(o Outcome, d time.Duration) {
	s.byOutcome[o].observe(d, serviceDigits)
}

// Latencies holds all histograms of one node.
type Latencies struct {
	ProxyOverhead    Histogram // of a request that ran: its duration minus the time spent by targets
	CoordinationCall Histogram // duration of a coordination call
	StoreSync        Histogram // duration of a write and sync
	EpochAge         Histogram // age of an epoch when this proxy activated it

	MaxServices int // number of services with their own histograms; all others share one set

	services     sync.Map
	other        ServiceLatency
	serviceCount atomic.Int64
}

// Service returns the histograms of a service. Callers that observe often should keep the result.
func (l *Latencies) Service(name string) *ServiceLatency {
	if latency, ok := l.services.Load(name); ok {
		return latency.(*ServiceLatency)
	}
	if name == "" || l.serviceCount.Load() >= int64(l.MaxServices) {
		return &l.other
	}
	latency, loaded := l.services.LoadOrStore(name, &ServiceLatency{})
	if !loaded {
		l.serviceCount.Add(1)
	}
	return latency.(*ServiceLatency)
}

// Each calls visit for every histogram that is not empty. labels are the values of m.Labels.
func (l *Latencies) Each(visit func(m Metric, labels []string, s Summary)) {
	visitHistogram := func(m Metric, histogram *Histogram, labels ...string) {
		if s := histogram.Summary(); s.Count > 0 {
			visit(m, labels, s)
		}
	}
	visitHistogram(ProxyOverhead, &l.ProxyOverhead)
	visitHistogram(CoordinationCallDuration, &l.CoordinationCall)
	visitHistogram(StoreSyncDuration, &l.StoreSync)
	visitHistogram(EpochAgeAtUse, &l.EpochAge)
	visitService := func(name string, s *ServiceLatency) {
		for o := OutcomeRan; o < outcomeCount; o++ {
			visitHistogram(ProxyRequestDuration, &s.byOutcome[o], name, o.String())
		}
	}
	l.services.Range(func(name, s any) bool { visitService(name.(string), s.(*ServiceLatency)); return true })
	visitService("", &l.other)
}

// Metric is an entry of the table generated from schema/metrics.yaml.
type Metric struct {
	Name, Kind, Help string
	Labels           []string
}
