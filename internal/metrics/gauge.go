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
	unit    = 10 * time.Microsecond
	longest = time.Minute
	fine    = 2 // digits of a histogram of the whole node
	coarse  = 1 // digits of one of a service
)

// Bounds are the upper bounds, in seconds, under which times are shown as counts.
var Bounds = []float64{0.0001, 0.00025, 0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10}

// Time is one histogram; its zero value is ready.
type Time struct {
	mu     sync.Mutex
	counts *hdrhistogram.Histogram
	whole  time.Duration
}

// Take counts one time; one outside the range counts as the nearest within.
func (t *Time) Take(d time.Duration) { t.take(d, fine) }

func (t *Time) take(d time.Duration, digits int) {
	d = min(max(d, 0), longest)
	t.mu.Lock()
	if t.counts == nil {
		t.counts = hdrhistogram.New(1, int64(longest/unit), digits)
	}
	t.counts.RecordValue(int64(d / unit))
	t.whole += d
	t.mu.Unlock()
}

// Sum is what a histogram holds at one moment.
type Sum struct {
	Count             uint64
	Seconds           float64
	Median, P99, P999 time.Duration
	Most              time.Duration
	Under             map[float64]uint64 // times at or below each bound
}

// Sum folds the counts; without any time it is zero.
func (t *Time) Sum() Sum {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := Sum{Under: make(map[float64]uint64, len(Bounds))}
	if t.counts == nil {
		return s
	}
	s.Count, s.Seconds = uint64(t.counts.TotalCount()), t.whole.Seconds()
	at := t.counts.ValueAtQuantile
	s.Median, s.P99, s.P999 = time.Duration(at(50))*unit, time.Duration(at(99))*unit, time.Duration(at(99.9))*unit
	s.Most = time.Duration(t.counts.Max()) * unit
	next, below := 0, uint64(0)
	for _, bar := range t.counts.Distribution() {
		if bar.Count == 0 {
			continue
		}
		for next < len(Bounds) && (time.Duration(bar.To)*unit).Seconds() > Bounds[next] {
			s.Under[Bounds[next]] = below
			next++
		}
		below += uint64(bar.Count)
	}
	for ; next < len(Bounds); next++ {
		s.Under[Bounds[next]] = below
	}
	return s
}

// Outcome is what a caller is told of its request.
type Outcome int

const (
	Ran Outcome = iota
	NotRun
	Unknown
	outcomes
)

func (o Outcome) String() string { return [...]string{"ran", "not run", "unknown"}[o] }

// OutcomeOf is the outcome by its word; what says nothing did not run.
func OutcomeOf(word string) Outcome {
	switch word {
	case "ran":
		return Ran
	case "unknown":
		return Unknown
	}
	return NotRun
}

// Service is the whole times of one service's requests, by outcome.
type Service struct{ by [outcomes]Time }

func (s *Service) Take(o Outcome, d time.Duration) { s.by[o].take(d, coarse) }

// Times is all histograms of one node.
type Times struct {
	Added Time // by the gate: the whole time less the targets'
	Call  Time // of a coordination call
	Sync  Time // of a sync of the disk
	Epoch Time // the age of an epoch when it came into use

	Services int // so many services are told apart; the rest share one

	services sync.Map
	rest     Service
	size     atomic.Int64
}

// Service is the place of a service's times, to be kept by who takes many.
func (t *Times) Service(name string) *Service {
	if found, ok := t.services.Load(name); ok {
		return found.(*Service)
	}
	if name == "" || t.size.Load() >= int64(t.Services) {
		return &t.rest
	}
	found, isOld := t.services.LoadOrStore(name, &Service{})
	if !isOld {
		t.size.Add(1)
	}
	return found.(*Service)
}

// Each visits every histogram that holds a time, by metric, service and outcome.
func (t *Times) Each(visit func(m Metric, labels []string, s Sum)) {
	one := func(m Metric, from *Time, labels ...string) {
		if s := from.Sum(); s.Count > 0 {
			visit(m, labels, s)
		}
	}
	one(GateAdded, &t.Added)
	one(BondCall, &t.Call)
	one(StoreSync, &t.Sync)
	one(EpochAge, &t.Epoch)
	all := func(name string, s *Service) {
		for o := Ran; o < outcomes; o++ {
			one(GateRequest, &s.by[o], name, o.String())
		}
	}
	t.services.Range(func(name, s any) bool { all(name.(string), s.(*Service)); return true })
	all("", &t.rest)
}

// Metric is one line of the table in schema/metrics.yaml.
type Metric struct {
	Name, Kind, Help string
	Labels           []string
}
