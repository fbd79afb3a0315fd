// Times: what a histogram says of the times it was given, and that taking one
// allocates nothing.
package metrics

import (
	"os"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"
)

func TestTimesAreCountedUnderTheirBounds(t *testing.T) {
	var times Histogram
	if s := times.Summary(); s.Count != 0 || s.Max != 0 {
		t.Errorf("a histogram without a time says %+v", s)
	}
	for i := 1; i <= 1000; i++ {
		times.Observe(time.Duration(i) * time.Millisecond)
	}
	s := times.Summary()
	if s.Count != 1000 || s.Seconds < 500 || s.Seconds > 501 {
		t.Errorf("%d times of %f seconds, want 1000 of 500.5", s.Count, s.Seconds)
	}
	for name, c := range map[string]struct{ got, want time.Duration }{
		"median": {s.Median, 500 * time.Millisecond}, "99": {s.P99, 990 * time.Millisecond}, "99.9": {s.P999, 999 * time.Millisecond}, "most": {s.Max, time.Second},
	} {
		if off := (c.got - c.want).Abs(); off > c.want/100 {
			t.Errorf("%s is %v, want %v", name, c.got, c.want)
		}
	}
	last := uint64(0)
	for _, bound := range Bounds {
		if s.Buckets[bound] < last {
			t.Errorf("fewer times under %v than under the bound before", bound)
		}
		last = s.Buckets[bound]
		if want := min(bound*1000, 1000); float64(last) > want+0.5 || float64(last) < want*0.98-1 {
			t.Errorf("%d times under %v, want %v", last, bound, want)
		}
	}
}

func TestTimesOutsideTheRangeCountAsTheNearest(t *testing.T) {
	var times Histogram
	times.Observe(-time.Second)
	times.Observe(time.Hour)
	s := times.Summary()
	if s.Count != 2 || s.Buckets[Bounds[0]] != 1 || s.Buckets[10] != 1 || s.Max < 59*time.Second {
		t.Errorf("%+v", s)
	}
}

func TestServicesAreToldApartUpToABound(t *testing.T) {
	const most = 20
	times := Latencies{MaxServices: most}
	times.Service("a").Observe(OutcomeRan, time.Second)
	times.Service("a").Observe(OutcomeUnknown, time.Second)
	times.Service("").Observe(OutcomeNotRun, time.Second)
	for i := range most {
		times.Service(time.Duration(i).String())
	}
	if times.Service("one more") != times.Service("") {
		t.Error("a service beyond the bound is told apart")
	}
	if times.Service("a") == times.Service("") {
		t.Error("a service within the bound is not told apart")
	}
	got := map[[2]string]uint64{}
	times.Each(func(m Metric, labels []string, s Summary) {
		if m.Name != ProxyRequestDuration.Name {
			t.Errorf("%s holds a time", m.Name)
		}
		got[[2]string{labels[0], labels[1]}] = s.Count
	})
	if len(got) != 3 || got[[2]string{"a", "ran"}] != 1 || got[[2]string{"a", "unknown"}] != 1 || got[[2]string{"", "not run"}] != 1 {
		t.Errorf("%v", got)
	}
}

func TestManyTakeAtOnce(t *testing.T) {
	times := Latencies{MaxServices: 1}
	var all sync.WaitGroup
	for range 8 {
		all.Go(func() {
			for range 1000 {
				times.Service("a").Observe(OutcomeRan, time.Millisecond)
				times.ProxyOverhead.Observe(time.Millisecond)
			}
		})
	}
	all.Wait()
	if got := times.ProxyOverhead.Summary().Count; got != 8000 {
		t.Errorf("%d of 8000", got)
	}
}

func TestTakingATimeAllocatesNothing(t *testing.T) {
	times := Latencies{MaxServices: 1}
	service := times.Service("a")
	service.Observe(OutcomeRan, 0)
	times.ProxyOverhead.Observe(0)
	if n := testing.AllocsPerRun(1000, func() {
		service.Observe(OutcomeRan, 50*time.Millisecond)
		times.ProxyOverhead.Observe(300 * time.Microsecond)
	}); n != 0 {
		t.Errorf("%v allocations", n)
	}
}

func TestHistogramsKeepToTheirSizeAndAreExactEnough(t *testing.T) {
	times := Latencies{MaxServices: 1}
	service := times.Service("a")
	for i := 1; i <= 10000; i++ {
		service.Observe(OutcomeRan, time.Duration(i)*time.Millisecond)
		times.ProxyOverhead.Observe(time.Duration(i) * time.Millisecond)
	}
	for _, c := range []struct {
		name  string
		time  *Histogram
		bytes int
		part  time.Duration
	}{{"of the node", &times.ProxyOverhead, 18 << 10, 100}, {"of a service", &service.byOutcome[OutcomeRan], 3 << 10, 16}} {
		if got := c.time.counts.ByteSize(); got > c.bytes {
			t.Errorf("a histogram %s takes %d bytes, more than %d", c.name, got, c.bytes)
		}
		s := c.time.Summary()
		for at, want := range map[time.Duration]time.Duration{s.Median: 5 * time.Second, s.P99: 9900 * time.Millisecond} {
			if off := (at - want).Abs(); off > want/c.part {
				t.Errorf("%s: %v, want %v", c.name, at, want)
			}
		}
	}
	if service.byOutcome[OutcomeNotRun].counts != nil {
		t.Error("an outcome that never was has a histogram")
	}
}

// An expression in the operators' page that names no metric would never alert.
func TestOperatorsPageNamesMetricsThatAre(t *testing.T) {
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
		t.Errorf("the page names %d metrics", len(names))
	}
	for _, name := range names {
		for _, end := range []string{"_bucket", "_count", "_sum"} {
			if bare, is := strings.CutSuffix(name, end); is && kinds[bare] == "histogram" {
				name = bare
			}
		}
		if kinds[name] == "" {
			t.Errorf("the page names %s, which is no metric", name)
		}
	}
}

// BenchmarkRequest is what a request pays: two readings of the clock for its whole
// time, two for its target's, and two histograms.
func BenchmarkRequest(b *testing.B) {
	times := Latencies{MaxServices: 1}
	service := times.Service("a")
	b.ReportAllocs()
	for b.Loop() {
		began := time.Now()
		sent := time.Now()
		away := time.Since(sent)
		whole := time.Since(began)
		service.Observe(OutcomeRan, whole)
		times.ProxyOverhead.Observe(whole - away)
	}
}

func BenchmarkRequestParallel(b *testing.B) {
	times := Latencies{MaxServices: 1}
	service := times.Service("a")
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			service.Observe(OutcomeRan, 50*time.Millisecond)
			times.ProxyOverhead.Observe(300 * time.Microsecond)
		}
	})
}
