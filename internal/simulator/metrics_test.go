// What the nodes of a small fleet show for scraping, as an approved transcript in
// which what differs with each run is masked; and that the metrics keep the
// library's conventions.

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

// steady is what reads the same in each run of one script.
var steady = regexp.MustCompile(`^sumac_(node_info|node_ready|members|gate_requests_total|gate_requests_inflight|gate_refusals_total|gate_targets|gate_idle_connections|gate_request_seconds_count|gate_added_seconds_count|gate_tries_failed_total|planner_parts_heard|planner_address_clashes|bond_call_seconds_count|targets|parts_owned)\b`)

// label is a label whose value differs; which kinds and events there are does too.
var (
	varied = regexp.MustCompile(`^sumac_(events_total|wire_messages_total|wire_sent_bytes_total|part_\w+|\w+_bucket)\{`)
	booted = regexp.MustCompile(`outcome="not run"|NotFresh|outcome="ran"|sumac_gate_added_seconds_count`) // how often the fleet was asked whether it is up; see the growth
	grown  = regexp.MustCompile(`^sumac_(gate_requests_total|gate_refusals_total|gate_request_seconds_count|gate_added_seconds_count|bond_call_seconds_count)\b`)
	early  = regexp.MustCompile(`^sumac_gate_request_seconds_\w+\{(le="[^"]*",)?outcome="not run",service="[^"]+"|^sumac_gate_request_seconds_bucket\{outcome="not run",service="[^"]+"`)
	spaced = regexp.MustCompile(` [^ ]+$`)
	owned  = regexp.MustCompile(`^sumac_(parts_owned|part_confirmation_age_seconds|targets|planner_\w+|part_serving)\b`)
)

// scrape notes what a node shows, with one line for each group that varies.
func (s *session) scrape(address string) {
	response, err := s.client.Get("http://" + address + "/metrics")
	if err != nil {
		fmt.Fprintln(&s.text, "< no answer")
		return
	}
	defer response.Body.Close()
	raw, _ := io.ReadAll(response.Body)
	fmt.Fprintf(&s.text, "> GET /metrics\n< %s\n< Content-Type: %s\n", response.Status, response.Header.Get("Content-Type"))
	for _, line := range strings.Split(strings.TrimSpace(string(raw)), "\n") {
		name := strings.TrimPrefix(strings.TrimPrefix(line, "# HELP "), "# TYPE ")
		switch {
		case !strings.HasPrefix(name, "sumac_"):
			continue // of the runtime and the process, by the library
		case owned.MatchString(name):
			continue // which core node owns what differs; see the sums
		case early.MatchString(line):
			continue // which service was asked for before the fleet was up differs; see TestMetrics_RejectionsAreCountedByService
		case strings.HasPrefix(line, "#"):
		case varied.MatchString(line):
			line = line[:strings.IndexByte(line, '{')] + "{...} <value>"
			if strings.HasSuffix(s.text.String(), "< "+line+"\n") {
				continue
			}
		case !steady.MatchString(line) || booted.MatchString(line):
			line = spaced.ReplaceAllString(line, " <value>")
		}
		fmt.Fprintf(&s.text, "< %s\n", line)
	}
	fmt.Fprintln(&s.text)
}

// counts reads what grows with the calls made.
func (s *session) counts(address string) map[string]float64 {
	counts := map[string]float64{}
	response, err := s.client.Get("http://" + address + "/metrics")
	if err != nil {
		return counts
	}
	defer response.Body.Close()
	raw, _ := io.ReadAll(response.Body)
	for _, line := range strings.Split(string(raw), "\n") {
		if grown.MatchString(line) {
			cut := strings.LastIndexByte(line, ' ')
			counts[line[:cut]], _ = strconv.ParseFloat(line[cut+1:], 64)
		}
	}
	return counts
}

// growth says what has grown since, and by how much.
func (s *session) growth(was, now map[string]float64) {
	for _, name := range slices.Sorted(maps.Keys(now)) {
		if now[name] != was[name] {
			fmt.Fprintf(&s.text, "< %s +%g\n", name, now[name]-was[name])
		}
	}
	fmt.Fprintln(&s.text)
}

// sums adds up over all core nodes what each owns.
func (s *session) sums() {
	sums := map[string]float64{}
	for _, m := range s.fleet.Cores() {
		response, err := s.client.Get("http://" + m.APIAddress() + "/metrics")
		if err != nil {
			continue
		}
		raw, _ := io.ReadAll(response.Body)
		response.Body.Close()
		for _, line := range strings.Split(string(raw), "\n") {
			if !owned.MatchString(line) || strings.Contains(line, "_age_") {
				continue
			}
			cut := strings.LastIndexByte(line, ' ')
			var value float64
			fmt.Sscan(line[cut+1:], &value)
			sums[line[:cut]] += value
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
		gate, api := s.fleet.Machine("proxy1").ProxyAddress(), s.fleet.Machine("proxy1").APIAddress()
		before, was := s.text.Len(), s.counts(api)
		for i := range 3 {
			s.send(gate, "GET", "/rates", "", fmt.Sprint("X-Call: c", i))
		}
		s.send(gate, "GET", "/nowhere", "")
		s.send(api, "PUT", "/v1/keys", `{"name":"app/a","value":1}`)
		time.Sleep(time.Second)
		s.text.Truncate(before)
		s.comment("a proxy that served three requests and refused one, and took one coordination call")
		s.scrape(api)
		s.comment("what these calls added")
		s.growth(was, s.counts(api))
		s.comment("a core node, but for what it owns")
		s.scrape(s.fleet.Machine("core1").APIAddress())
		s.comment("what the core nodes own, added up")
		s.sums()
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
		seen := map[string]bool{}
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
				seen[family.GetName()] = true
				if got, want := strings.ToLower(family.GetType().String()), kindOf(family.GetName()); got != want {
					t.Errorf("%s is a %s, in the table a %s", family.GetName(), got, want)
				}
			}
		}
		for _, m := range metrics.Metrics {
			// No caller and no application has come yet, and a try that failed is none.
			isOfLoad := m.Name == metrics.ProxyOverhead.Name || m.Name == metrics.ProxyRequestDuration.Name || m.Name == metrics.ProxyRejections.Name || m.Name == metrics.CoordinationCallDuration.Name || m.Name == metrics.ProxyAttempts.Name || m.Name == metrics.ProxyAttemptBytes.Name || strings.Contains(m.Name, "_budget_")
			if !seen[m.Name] && !isOfLoad {
				t.Errorf("%s is in the table, and no node shows it", m.Name)
			}
		}
	})
}

// A request that is refused for want of a target has a service all the same.
func TestMetrics_RejectionsAreCountedByService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := NewFleet(1, singleProxyShape(), io.Discard)
		defer f.Close()
		if err := f.Boot(); err != nil {
			t.Fatal(err)
		}
		s := newSession(f)
		defer s.client.CloseIdleConnections()
		for _, server := range f.Targets("rates") {
			server.Crash()
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
			t.Fatalf("it was not refused for want of a target: %s", s.text.String())
		}
		if n, none := count(); n != named+1 || none != nameless+1 {
			t.Errorf("refused with the service's name: %d, without one: %d; want 1 and 1", n-named, none-nameless)
		}
	})
}

func kindOf(name string) string {
	for _, m := range metrics.Metrics {
		if m.Name == name {
			return m.Kind
		}
	}
	return ""
}

// A server works for two milliseconds, and nothing else takes that long but the way
// there: the gate's own part must be told from it.
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
		count := func(m metrics.Metric, words ...string) (sum metrics.Summary) {
			proxyNode.Node().Env.Latencies.Each(func(one metrics.Metric, labels []string, s metrics.Summary) {
				if one.Name == m.Name && slices.Equal(labels, words) {
					sum = s
				}
			})
			return sum
		}
		before := count(metrics.ProxyRequestDuration, "rates", "ran").Count
		added := count(metrics.ProxyOverhead).Count
		for i := range 10 {
			s.send(proxyNode.ProxyAddress(), "GET", "/rates", "", fmt.Sprint("X-Call: c", i))
		}
		complete := count(metrics.ProxyRequestDuration, "rates", "ran")
		if complete.Count != before+10 || complete.Median < 2*time.Millisecond {
			t.Errorf("of 10 requests to a server that works for 2 ms: %+v", complete)
		}
		if own := count(metrics.ProxyOverhead); own.Count != added+10 || own.Median >= time.Millisecond {
			t.Errorf("added by the gate: %+v", own)
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
		if shown["gate_request rates ran"] != fmt.Sprint(complete.Count) || len(rows.Columns) != 8 {
			t.Errorf("%v: %v", rows.Columns, shown)
		}
	})
}
