// Package gauge keeps how long things take: one histogram for each kind of time,
// with high dynamic range (from ten microseconds to a minute), made when its first
// time is taken. Those of the whole node are exact to one part in a hundred and take
// 18 kB each; those of each service and outcome to one in sixteen and 3 kB, since
// there may be many. Taking a time is one look at a
// pointer, one lock and one count; nothing is looked up by a name on the way. It
// also holds the table of metrics that a node shows.
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

// Bounds are the upper bounds, in seconds, under which times are shown as counts.
var Bounds = []float64{0.0001, 0.00025, 0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10}

// Histogram is one histogram; its zero value is ready.
type Histogram struct {
	mu     sync.Mutex
	counts *hdrhistogram.Histogram
	total  time.Duration
}

// Observe counts one time; one outside the range counts as the nearest within.
func (t *Histogram) Observe(d time.Duration) { t.observe(d, nodeDigits) }

func (t *Histogram) observe(d time.Duration, digits int) {
	d = min(max(d, 0), longest)
	t.mu.Lock()
	if t.counts == nil {
		t.counts = hdrhistogram.New(1, int64(longest/resolution), digits)
	}
	t.counts.RecordValue(int64(d / resolution))
	t.total += d
	t.mu.Unlock()
}

// Summary is what a histogram holds at one moment.
type Summary struct {
	Count             uint64
	Seconds           float64
	Median, P99, P999 time.Duration
	Max               time.Duration
	Buckets           map[float64]uint64 // times at or below each bound
}

// Summary folds the counts; without any time it is zero.
func (t *Histogram) Summary() Summary {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := Summary{Buckets: make(map[float64]uint64, len(Bounds))}
	if t.counts == nil {
		return s
	}
	s.Count, s.Seconds = uint64(t.counts.TotalCount()), t.total.Seconds()
	at := t.counts.ValueAtQuantile
	s.Median, s.P99, s.P999 = time.Duration(at(50))*resolution, time.Duration(at(99))*resolution, time.Duration(at(99.9))*resolution
	s.Max = time.Duration(t.counts.Max()) * resolution
	next, below := 0, uint64(0)
	for _, bar := range t.counts.Distribution() {
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

// Outcome is what a caller is told of its request.
type Outcome int

const (
	OutcomeRan Outcome = iota
	OutcomeNotRun
	OutcomeUnknown
	outcomes
)

func (o Outcome) String() string { return [...]string{"ran", "not run", "unknown"}[o] }

// ParseOutcome is the outcome by its word; what says nothing did not run.
func ParseOutcome(word string) Outcome {
	switch word {
	case "ran":
		return OutcomeRan
	case "unknown":
		return OutcomeUnknown
	}
	return OutcomeNotRun
}

// ServiceLatency is the whole times of one service's requests, by outcome.
type ServiceLatency struct{ byOutcome [outcomes]Histogram }

func (s *ServiceLatency) Observe(o Outcome, d time.Duration) {
	s.byOutcome[o].observe(d, serviceDigits)
}

// Latencies is all histograms of one node.
type Latencies struct {
	ProxyOverhead    Histogram // by the gate: the whole time less the targets'
	CoordinationCall Histogram // of a coordination call
	StoreSync        Histogram // of a sync of the disk
	EpochAge         Histogram // the age of an epoch when it came into use

	MaxServices int // so many services are told apart; the rest share one

	services sync.Map
	other    ServiceLatency
	count    atomic.Int64
}

// Service is the place of a service's times, to be kept by who takes many.
func (t *Latencies) Service(name string) *ServiceLatency {
	if found, ok := t.services.Load(name); ok {
		return found.(*ServiceLatency)
	}
	if name == "" || t.count.Load() >= int64(t.MaxServices) {
		return &t.other
	}
	found, isOld := t.services.LoadOrStore(name, &ServiceLatency{})
	if !isOld {
		t.count.Add(1)
	}
	return found.(*ServiceLatency)
}

// Each visits every histogram that holds a time, by metric, service and outcome.
func (t *Latencies) Each(visit func(m Metric, labels []string, s Summary)) {
	one := func(m Metric, from *Histogram, labels ...string) {
		if s := from.Summary(); s.Count > 0 {
			visit(m, labels, s)
		}
	}
	one(ProxyOverhead, &t.ProxyOverhead)
	one(CoordinationCallDuration, &t.CoordinationCall)
	one(StoreSyncDuration, &t.StoreSync)
	one(EpochAgeAtUse, &t.EpochAge)
	all := func(name string, s *ServiceLatency) {
		for o := OutcomeRan; o < outcomes; o++ {
			one(ProxyRequestDuration, &s.byOutcome[o], name, o.String())
		}
	}
	t.services.Range(func(name, s any) bool { all(name.(string), s.(*ServiceLatency)); return true })
	all("", &t.other)
}

// Metric is one line of the table in schema/metrics.yaml.
type Metric struct {
	Name, Kind, Help string
	Labels           []string
}
