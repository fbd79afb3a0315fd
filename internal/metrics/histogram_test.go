package metrics

import (
	"os"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"
)

func TestHistogram_SummarizesDurations(t *testing.T) {
	var histogram Histogram
	if s := histogram.Summary(); s.Count != 0 || s.Max != 0 {
		t.Errorf("the summary of an empty histogram is %+v", s)
	}
	for i := 1; i <= 1000; i++ {
		histogram.Observe(time.Duration(i) * time.Millisecond)
	}
	s := histogram.Summary()
	if s.Count != 1000 || s.TotalSeconds < 500 || s.TotalSeconds > 501 {
		t.Errorf("%d durations with a total of %f s, want 1000 with 500.5 s", s.Count, s.TotalSeconds)
	}
	for name, c := range map[string]struct{ got, want time.Duration }{
		"median": {s.Median, 500 * time.Millisecond}, "99": {s.P99, 990 * time.Millisecond}, "99.9": {s.P999, 999 * time.Millisecond}, "max": {s.Max, time.Second},
	} {
		if deviation := (c.got - c.want).Abs(); deviation > c.want/100 {
			t.Errorf("%s is %v, want %v", name, c.got, c.want)
		}
	}
	cumulative := uint64(0)
	for _, bound := range BucketBounds {
		if s.Buckets[bound] < cumulative {
			t.Errorf("the cumulative count at %v is below that of the previous bound", bound)
		}
		cumulative = s.Buckets[bound]
		if want := min(bound*1000, 1000); float64(cumulative) > want+0.5 || float64(cumulative) < want*0.98-1 {
			t.Errorf("%d durations at or below %v, want %v", cumulative, bound, want)
		}
	}
}

func TestHistogram_ClampsDurationsOutsideRange(t *testing.T) {
	var histogram Histogram
	histogram.Observe(-time.Second)
	histogram.Observe(time.Hour)
	s := histogram.Summary()
	if s.Count != 2 || s.Buckets[BucketBounds[0]] != 1 || s.Buckets[10] != 1 || s.Max < 59*time.Second {
		t.Errorf("%+v", s)
	}
}

func TestLatencies_ServicesBeyondMaximumShareHistograms(t *testing.T) {
	const maxServices = 20
	latencies := Latencies{MaxServices: maxServices}
	latencies.Service("a").Observe(OutcomeRan, time.Second)
	latencies.Service("a").Observe(OutcomeUnknown, time.Second)
	latencies.Service("").Observe(OutcomeNotRun, time.Second)
	for i := range maxServices {
		latencies.Service(time.Duration(i).String())
	}
	if latencies.Service("one more") != latencies.Service("") {
		t.Error("a service beyond MaxServices has its own histograms")
	}
	if latencies.Service("a") == latencies.Service("") {
		t.Error("a service within MaxServices has no histograms of its own")
	}
	got := map[[2]string]uint64{}
	latencies.Each(func(m Metric, labels []string, s Summary) {
		if m.Name != ProxyRequestDuration.Name {
			t.Errorf("%s has an observation", m.Name)
		}
		got[[2]string{labels[0], labels[1]}] = s.Count
	})
	if len(got) != 3 || got[[2]string{"a", "ran"}] != 1 || got[[2]string{"a", "unknown"}] != 1 || got[[2]string{"", "not run"}] != 1 {
		t.Errorf("%v", got)
	}
}

func TestLatencies_ConcurrentObserve(t *testing.T) {
	latencies := Latencies{MaxServices: 1}
	var observers sync.WaitGroup
	for range 8 {
		observers.Go(func() {
			for range 1000 {
				latencies.Service("a").Observe(OutcomeRan, time.Millisecond)
				latencies.ProxyOverhead.Observe(time.Millisecond)
			}
		})
	}
	observers.Wait()
	if got := latencies.ProxyOverhead.Summary().Count; got != 8000 {
		t.Errorf("%d of 8000 observations were counted", got)
	}
}

func TestObserve_DoesNotAllocate(t *testing.T) {
	latencies := Latencies{MaxServices: 1}
	service := latencies.Service("a")
	service.Observe(OutcomeRan, 0)
	latencies.ProxyOverhead.Observe(0)
	if n := testing.AllocsPerRun(1000, func() {
		service.Observe(OutcomeRan, 50*time.Millisecond)
		latencies.ProxyOverhead.Observe(300 * time.Microsecond)
	}); n != 0 {
		t.Errorf("%v allocations", n)
	}
}

func TestHistogram_SizeAndPrecision(t *testing.T) {
	latencies := Latencies{MaxServices: 1}
	service := latencies.Service("a")
	for i := 1; i <= 10000; i++ {
		service.Observe(OutcomeRan, time.Duration(i)*time.Millisecond)
		latencies.ProxyOverhead.Observe(time.Duration(i) * time.Millisecond)
	}
	for _, c := range []struct {
		name      string
		histogram *Histogram
		bytes     int
		precision time.Duration
	}{{"node", &latencies.ProxyOverhead, 18 << 10, 100}, {"service", &service.byOutcome[OutcomeRan], 3 << 10, 16}} {
		if got := c.histogram.counts.ByteSize(); got > c.bytes {
			t.Errorf("the %s histogram takes %d bytes, more than %d", c.name, got, c.bytes)
		}
		s := c.histogram.Summary()
		for got, want := range map[time.Duration]time.Duration{s.Median: 5 * time.Second, s.P99: 9900 * time.Millisecond} {
			if deviation := (got - want).Abs(); deviation > want/c.precision {
				t.Errorf("%s: %v, want %v", c.name, got, want)
			}
		}
	}
	if service.byOutcome[OutcomeNotRun].counts != nil {
		t.Error("a histogram without observations was allocated")
	}
}

// An alert expression in docs/operators.md with an unknown metric would never fire.
func TestOperatorsPage_NamesOnlyExistingMetrics(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators.md")
	if err != nil {
		t.Fatal(err)
	}
	kinds := map[string]string{}
	for _, m := range Metrics {
		kinds[m.Name] = m.Kind
	}
	names := regexp.MustCompile(`sumac_[a-z_]+[a-z]`).FindAllString(string(page), -1)
	if len(names) < 15 {
		t.Errorf("found only %d metric names in the page", len(names))
	}
	for _, name := range names {
		for _, suffix := range []string{"_bucket", "_count", "_sum"} {
			if base, ok := strings.CutSuffix(name, suffix); ok && kinds[base] == "histogram" {
				name = base
			}
		}
		if kinds[name] == "" {
			t.Errorf("the page names %s, which is not a metric", name)
		}
	}
}

// BenchmarkRequest measures the cost of metrics per request: two clock readings for the whole
// request, two for the target, and two observations.
func BenchmarkRequest(b *testing.B) {
	latencies := Latencies{MaxServices: 1}
	service := latencies.Service("a")
	b.ReportAllocs()
	for b.Loop() {
		start := time.Now()
		sent := time.Now()
		targetTime := time.Since(sent)
		total := time.Since(start)
		service.Observe(OutcomeRan, total)
		latencies.ProxyOverhead.Observe(total - targetTime)
	}
}

func BenchmarkRequestParallel(b *testing.B) {
	latencies := Latencies{MaxServices: 1}
	service := latencies.Service("a")
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			service.Observe(OutcomeRan, 50*time.Millisecond)
			latencies.ProxyOverhead.Observe(300 * time.Microsecond)
		}
	})
}
