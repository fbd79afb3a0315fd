// The metrics that the nodes of a small fleet export, compared with an approved transcript in which
// values that differ between runs are masked, and the client library's naming conventions.

package simulator

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"regexp"
	"slices"
	"sort"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/sumactrestle/sumactrestle/internal/api"
	"github.com/sumactrestle/sumactrestle/internal/metrics"
	"github.com/sumactrestle/sumactrestle/internal/node"
)

// stableMetrics matches metrics whose values are the same in every run of a script.
var stableMetrics = regexp.MustCompile(`^sumac_(node_info|node_ready|members|gate_requests_total|gate_requests_inflight|gate_refusals_total|gate_targets|gate_idle_connections|gate_request_seconds_count|gate_added_seconds_count|gate_tries_failed_total|planner_parts_heard|planner_address_clashes|bond_call_seconds_count|targets|parts_owned)\b`)

var (
	// variableSeries matches metrics whose set of series differs between runs.
	variableSeries   = regexp.MustCompile(`^sumac_(events_total|wire_messages_total|wire_sent_bytes_total|part_\w+|\w+_bucket)\{`)
	bootDependent    = regexp.MustCompile(`outcome="not run"|NotFresh|outcome="ran"|sumac_gate_added_seconds_count`) // counts requests during boot, which vary; writeGrowth covers these metrics
	callMetrics      = regexp.MustCompile(`^sumac_(gate_requests_total|gate_refusals_total|gate_request_seconds_count|gate_added_seconds_count|bond_call_seconds_count)\b`)
	bootRejections   = regexp.MustCompile(`^sumac_gate_request_seconds_\w+\{(le="[^"]*",)?outcome="not run",service="[^"]+"|^sumac_gate_request_seconds_bucket\{outcome="not run",service="[^"]+"`)
	sampleValue      = regexp.MustCompile(` [^ ]+$`)
	ownershipMetrics = regexp.MustCompile(`^sumac_(parts_owned|part_confirmation_age_seconds|targets|planner_\w+|part_serving)\b`)
)

// scrape writes a node's metrics to the transcript, with a single line for the series of each metric
// of variableSeries.
func (s *session) scrape(address string) {
	response, err := s.client.Get("http://" + address + "/metrics")
	if err != nil {
		fmt.Fprintln(&s.text, "< no response")
		return
	}
	defer response.Body.Close()
	raw, _ := io.ReadAll(response.Body)
	fmt.Fprintf(&s.text, "> GET /metrics\n< %s\n< Content-Type: %s\n", response.Status, response.Header.Get("Content-Type"))
	for _, line := range strings.Split(strings.TrimSpace(string(raw)), "\n") {
		name := strings.TrimPrefix(strings.TrimPrefix(line, "# HELP "), "# TYPE ")
		switch {
		case !strings.HasPrefix(name, "sumac_"):
			continue // runtime and process metrics of the client library
		case ownershipMetrics.MatchString(name):
			continue // ownership differs between runs; writeOwnershipSums covers it
		case bootRejections.MatchString(line):
			continue // services requested during boot differ; TestMetrics_RejectionsAreCountedByService covers this
		case strings.HasPrefix(line, "#"):
		case variableSeries.MatchString(line):
			line = line[:strings.IndexByte(line, '{')] + "{...} <value>"
			if strings.HasSuffix(s.text.String(), "< "+line+"\n") {
				continue
			}
		case !stableMetrics.MatchString(line) || bootDependent.MatchString(line):
			line = sampleValue.ReplaceAllString(line, " <value>")
		}
		fmt.Fprintf(&s.text, "< %s\n", line)
	}
	fmt.Fprintln(&s.text)
}

// readCallMetrics returns a node's metrics that count calls, by series.
func (s *session) readCallMetrics(address string) map[string]float64 {
	counters := map[string]float64{}
	response, err := s.client.Get("http://" + address + "/metrics")
	if err != nil {
		return counters
	}
	defer response.Body.Close()
	raw, _ := io.ReadAll(response.Body)
	for _, line := range strings.Split(string(raw), "\n") {
		if callMetrics.MatchString(line) {
			separator := strings.LastIndexByte(line, ' ')
			counters[line[:separator]], _ = strconv.ParseFloat(line[separator+1:], 64)
		}
	}
	return counters
}

// writeGrowth writes the increase of each series that has changed to the transcript.
func (s *session) writeGrowth(before, after map[string]float64) {
	for _, name := range slices.Sorted(maps.Keys(after)) {
		if after[name] != before[name] {
			fmt.Fprintf(&s.text, "< %s +%g\n", name, after[name]-before[name])
		}
	}
	fmt.Fprintln(&s.text)
}

// writeOwnershipSums writes the sums of the ownership metrics over all core nodes to the transcript.
func (s *session) writeOwnershipSums() {
	sums := map[string]float64{}
	for _, m := range s.fleet.Cores() {
		response, err := s.client.Get("http://" + m.APIAddress() + "/metrics")
		if err != nil {
			continue
		}
		raw, _ := io.ReadAll(response.Body)
		response.Body.Close()
		for _, line := range strings.Split(string(raw), "\n") {
			if !ownershipMetrics.MatchString(line) || strings.Contains(line, "_age_") {
				continue
			}
			separator := strings.LastIndexByte(line, ' ')
			var value float64
			fmt.Sscan(line[separator+1:], &value)
			sums[line[:separator]] += value
		}
	}
	var lines []string
	for name, value := range sums {
		lines = append(lines, fmt.Sprintf("< %s %g\n", name, value))
	}
	sort.Strings(lines)
	fmt.Fprintln(&s.text, strings.Join(lines, ""))
}

func TestMetrics_Transcript(t *testing.T) {
	shape := singleProxyShape()
	shape.Settings = map[string]string{"metrics.serve": "true"}
	runTranscript(t, "metrics", shape, func(s *session) {
		proxyAddress, apiAddress := s.fleet.Machine("proxy1").ProxyAddress(), s.fleet.Machine("proxy1").APIAddress()
		outputStart, countersBefore := s.text.Len(), s.readCallMetrics(apiAddress)
		for i := range 3 {
			s.send(proxyAddress, "GET", "/rates", "", fmt.Sprint("X-Call: c", i))
		}
		s.send(proxyAddress, "GET", "/nowhere", "")
		s.send(apiAddress, "PUT", "/v1/keys", `{"name":"app/a","value":1}`)
		time.Sleep(time.Second)
		s.text.Truncate(outputStart)
		s.comment("a proxy after three served requests, one refused request and one coordination call")
		s.scrape(apiAddress)
		s.comment("increases of its counters by these calls")
		s.writeGrowth(countersBefore, s.readCallMetrics(apiAddress))
		s.comment("a core node, without the ownership metrics")
		s.scrape(s.fleet.Machine("core1").APIAddress())
		s.comment("sums of the ownership metrics over all core nodes")
		s.writeOwnershipSums()
	})
}

func TestMetrics_OffByDefault(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := NewFleet(1, singleProxyShape(), io.Discard)
		defer f.Close()
		if err := f.Boot(); err != nil {
			t.Fatal(err)
		}
		s := newSession(f)
		defer s.client.CloseIdleConnections()
		response, err := s.client.Get("http://" + f.Machine("core1").APIAddress() + "/metrics")
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		if response.StatusCode != http.StatusNotFound {
			t.Errorf("status %d", response.StatusCode)
		}
	})
}

func TestMetrics_FollowConventions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := NewFleet(1, singleProxyShape(), io.Discard)
		defer f.Close()
		if err := f.Boot(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		exported := map[string]bool{}
		for _, m := range f.Machines {
			registry := prometheus.NewPedanticRegistry()
			registry.MustRegister(node.NewCollector(m.Node()))
			problems, err := testutil.GatherAndLint(registry)
			if err != nil {
				t.Error(m.Name, err)
			}
			for _, p := range problems {
				t.Errorf("%s: %s: %s", m.Name, p.Metric, p.Text)
			}
			families, err := registry.Gather()
			if err != nil {
				t.Error(m.Name, err)
			}
			for _, family := range families {
				exported[family.GetName()] = true
				if got, want := strings.ToLower(family.GetType().String()), metricKind(family.GetName()); got != want {
					t.Errorf("%s is exported as a %s, but listed as a %s", family.GetName(), got, want)
				}
			}
		}
		for _, m := range metrics.Metrics {
			// These metrics appear only after requests, coordination calls or answered attempts.
			needsLoad := m.Name == metrics.ProxyOverhead.Name || m.Name == metrics.ProxyRequestDuration.Name || m.Name == metrics.ProxyRejections.Name || m.Name == metrics.CoordinationCallDuration.Name || m.Name == metrics.ProxyAttempts.Name || m.Name == metrics.ProxyAttemptBytes.Name || strings.Contains(m.Name, "_budget_")
			if !exported[m.Name] && !needsLoad {
				t.Errorf("%s is listed, but no node exports it", m.Name)
			}
		}
	})
}

// A request that is rejected because its service has no target is counted with the service's name.
func TestMetrics_RejectionsAreCountedByService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := NewFleet(1, singleProxyShape(), io.Discard)
		defer f.Close()
		if err := f.Boot(); err != nil {
			t.Fatal(err)
		}
		s := newSession(f)
		defer s.client.CloseIdleConnections()
		for _, target := range f.Targets("rates") {
			target.Crash()
		}
		time.Sleep(5 * time.Second)
		proxyNode := f.Machine("proxy1")
		count := func() (named, nameless uint64) {
			proxyNode.Node().Env.Latencies.Each(func(m metrics.Metric, labels []string, s metrics.Summary) {
				switch {
				case m.Name == metrics.ProxyRequestDuration.Name && slices.Equal(labels, []string{"rates", "not run"}):
					named = s.Count
				case m.Name == metrics.ProxyRequestDuration.Name && slices.Equal(labels, []string{"", "not run"}):
					nameless = s.Count
				}
			})
			return named, nameless
		}
		named, nameless := count()
		s.send(proxyNode.ProxyAddress(), "GET", "/rates", "", "X-Call: a")
		s.send(proxyNode.ProxyAddress(), "GET", "/nowhere", "")
		if !strings.Contains(s.text.String(), "1003") {
			t.Fatalf("no request was rejected for lack of a target: %s", s.text.String())
		}
		if namedAfter, namelessAfter := count(); namedAfter != named+1 || namelessAfter != nameless+1 {
			t.Errorf("rejections with the service's name: %d, without one: %d; want 1 and 1", namedAfter-named, namelessAfter-nameless)
		}
	})
}

func metricKind(name string) string {
	for _, m := range metrics.Metrics {
		if m.Name == name {
			return m.Kind
		}
	}
	return ""
}

// The target works for 2 ms on each request. The overhead that the proxy reports must not include
// that time.
func TestShell_ShowsLatency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := NewFleet(1, singleProxyShape(), io.Discard)
		defer f.Close()
		if err := f.Boot(); err != nil {
			t.Fatal(err)
		}
		s := newSession(f)
		defer s.client.CloseIdleConnections()
		proxyNode := f.Machine("proxy1")
		count := func(m metrics.Metric, wantLabels ...string) (summary metrics.Summary) {
			proxyNode.Node().Env.Latencies.Each(func(metric metrics.Metric, labels []string, s metrics.Summary) {
				if metric.Name == m.Name && slices.Equal(labels, wantLabels) {
					summary = s
				}
			})
			return summary
		}
		requestsBefore := count(metrics.ProxyRequestDuration, "rates", "ran").Count
		overheadsBefore := count(metrics.ProxyOverhead).Count
		for i := range 10 {
			s.send(proxyNode.ProxyAddress(), "GET", "/rates", "", fmt.Sprint("X-Call: c", i))
		}
		requests := count(metrics.ProxyRequestDuration, "rates", "ran")
		if requests.Count != requestsBefore+10 || requests.Median < 2*time.Millisecond {
			t.Errorf("duration of 10 requests to a target that works for 2 ms: %+v", requests)
		}
		if overhead := count(metrics.ProxyOverhead); overhead.Count != overheadsBefore+10 || overhead.Median >= time.Millisecond {
			t.Errorf("proxy overhead: %+v", overhead)
		}
		if age := count(metrics.EpochAgeAtUse); age.Count == 0 || age.Median > time.Second {
			t.Errorf("age of epochs: %+v", age)
		}
		var rows api.Rows
		if err := rows.UnmarshalJSON([]byte(s.send(proxyNode.APIAddress(), "GET", "/v1/show/latency", ""))); err != nil {
			t.Fatal(err)
		}
		shown := map[string]string{}
		for _, row := range rows.Rows {
			shown[strings.Join(row[:3], " ")] = row[3]
		}
		if shown["gate_request rates ran"] != fmt.Sprint(requests.Count) || len(rows.Columns) != 8 {
			t.Errorf("%v: %v", rows.Columns, shown)
		}
	})
}
