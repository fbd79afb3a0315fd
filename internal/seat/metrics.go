// Metrics for scraping: a collector that reads, when it is asked and only then, what
// the node counts in any case, and the latency histograms. With metrics.serve it is
// shown under /metrics on the node's API address; without, nothing is made.
package seat

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/sumactrestle/sumactrestle/internal/fault"
	"github.com/sumactrestle/sumactrestle/internal/gauge"
	"github.com/sumactrestle/sumactrestle/internal/mark"
	"github.com/sumactrestle/sumactrestle/internal/sign"
)

// called notes how long a coordination call took.
func (n *Node) called(began time.Time) { n.R.Times.Call.Take(time.Since(began)) }

// withMetrics puts /metrics before the API, if the settings say so.
func (n *Node) withMetrics(api http.Handler) http.Handler {
	if !n.R.Props.MetricsServe {
		return api
	}
	registry := prometheus.NewRegistry()
	registry.MustRegister(NewCollector(n), collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	mux := http.NewServeMux()
	mux.Handle("/", api)
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{ErrorHandling: promhttp.ContinueOnError, MaxRequestsInFlight: 2, Timeout: 5 * time.Second}))
	return mux
}

// Collector shows one node.
type Collector struct {
	n     *Node
	descs map[string]*prometheus.Desc
	codes map[string]fault.Code
}

func NewCollector(n *Node) *Collector {
	c := &Collector{n: n, descs: map[string]*prometheus.Desc{}, codes: map[string]fault.Code{}}
	for _, m := range gauge.Metrics {
		c.descs[m.Name] = prometheus.NewDesc(m.Name, m.Help, m.Labels, nil)
	}
	for _, code := range fault.Codes {
		c.codes[code.Name] = code
	}
	return c
}

func (c *Collector) Describe(out chan<- *prometheus.Desc) {
	for _, desc := range c.descs {
		out <- desc
	}
}

// sheet is one collection under way.
type sheet struct {
	*Collector
	out chan<- prometheus.Metric
}

func (s sheet) add(m gauge.Metric, value float64, labels ...string) {
	kind := prometheus.GaugeValue
	if m.Kind == "counter" {
		kind = prometheus.CounterValue
	}
	one, err := prometheus.NewConstMetric(s.descs[m.Name], kind, value, labels...)
	s.pass(m, one, err)
}

// pass hands a metric on; one that can't be made is an error of the scrape alone.
func (s sheet) pass(m gauge.Metric, one prometheus.Metric, err error) {
	if err != nil {
		one = prometheus.NewInvalidMetric(s.descs[m.Name], err)
	}
	s.out <- one
}

func truth(is bool) float64 {
	if is {
		return 1
	}
	return 0
}

func (c *Collector) Collect(out chan<- prometheus.Metric) {
	s, n := sheet{c, out}, c.n
	s.add(gauge.Node, 1, string(n.R.Name), n.R.Props.Zone, strconv.FormatBool(n.Consensus != nil), strconv.FormatBool(n.Gate != nil))
	s.add(gauge.Ready, truth(n.Ready() == nil))
	s.add(gauge.Beats, float64(n.beats.Load()))
	counts := n.R.Sign.Counts()
	for _, e := range sign.Events {
		if counts[e.Name] > 0 {
			s.add(gauge.Events, float64(counts[e.Name]), strconv.Itoa(e.No), e.Name)
		}
	}
	members := map[[2]string]int{}
	for _, m := range n.Kin.View() {
		members[[2]string{m.State, roleOf(m.Core, m.Gate)}]++
	}
	for at, count := range members {
		s.add(gauge.Members, float64(count), at[0], at[1])
	}
	s.traffic()
	if n.Gate != nil {
		s.gate()
	}
	if n.Consensus != nil {
		s.core()
	}
	n.R.Times.Each(func(m gauge.Metric, labels []string, sum gauge.Sum) {
		one, err := prometheus.NewConstHistogram(c.descs[m.Name], sum.Count, sum.Seconds, sum.Under, labels...)
		s.pass(m, one, err)
	})
}

// roleOf is what a member is for, in a word.
func roleOf(isCore bool, gate string) string {
	switch {
	case isCore && gate != "":
		return "core+proxy"
	case isCore:
		return "core"
	}
	return "proxy"
}

const triesKind = "gate.try"

func (s sheet) traffic() {
	for kind, sent := range s.n.Wire.Traffic() {
		kind, isFar := strings.CutSuffix(kind, " between")
		zone := "own"
		if isFar {
			zone = "other"
		}
		if kind == triesKind {
			s.add(gauge.GateTries, float64(sent[0]), zone)
			s.add(gauge.GateTryBytes, float64(sent[1]), zone)
			continue
		}
		s.add(gauge.WireMessages, float64(sent[0]), kind, zone)
		s.add(gauge.WireBytes, float64(sent[1]), kind, zone)
	}
}

func (s sheet) gate() {
	g := s.n.Gate
	s.add(gauge.GateInflight, float64(g.Inflight()))
	s.add(gauge.GatePipes, float64(g.Pipes()))
	s.add(gauge.GateFailed, float64(s.n.R.Sign.Counts()[sign.TryFailed.Name]))
	answers := map[gauge.Outcome]int64{gauge.Ran: 0, gauge.NotRun: 0, gauge.Unknown: 0}
	g.Outcome(func(name string, count int64) {
		code, isCode := s.codes[name]
		if !isCode {
			answers[gauge.Ran] += count
			return
		}
		answers[gauge.OutcomeOf(code.Outcome)] += count
		s.add(gauge.GateRefusals, float64(count), strconv.Itoa(code.No), code.Name)
	})
	for outcome, count := range answers {
		s.add(gauge.GateAnswers, float64(count), outcome.String())
	}
	for _, p := range g.Posts() {
		s.add(gauge.GatePosts, float64(p.In), p.Service, "in")
		s.add(gauge.GatePosts, float64(p.Out), p.Service, "out")
		s.add(gauge.GatePosts, float64(p.Barred), p.Service, "barred")
	}
	g.Budgets(func(service string, tries, debt float64) {
		s.add(gauge.BudgetTries, tries, service)
		s.add(gauge.BudgetDebt, debt, service)
	})
	epoch, _ := s.n.Flow.Cache.Have()
	s.add(gauge.EpochUsed, float64(epoch))
	if ages := s.n.Flow.Ages(); ages.Epoch > 0 {
		s.add(gauge.EpochHeard, float64(ages.Epoch))
		s.add(gauge.EpochConfirmed, s.n.R.Since(ages.Config).Seconds())
	}
}

func (s sheet) core() {
	n, owned := s.n, 0
	for _, part := range n.Consensus.Parts() {
		o := part.Status()
		no := strconv.Itoa(int(o.Part))
		if o.Part == mark.Config {
			no = "config"
		}
		s.add(gauge.PartTerm, float64(o.Promised.Round), no)
		s.add(gauge.PartCommit, float64(o.Commit), no)
		s.add(gauge.PartLast, float64(o.Last), no)
		s.add(gauge.PartServing, truth(o.IsServing), no)
		if o.IsOwner {
			s.add(gauge.PartAge, o.Age.Seconds(), no)
		}
		if o.IsServing {
			owned++
		}
	}
	s.add(gauge.PartsOwned, float64(owned))
	s.add(gauge.EpochFolded, float64(n.Ledger.Sheet().Epoch))
	s.add(gauge.StoreSyncs, float64(n.Store.Syncs()))
	s.add(gauge.StoreStalled, n.Store.Stalled().Seconds())
	for at, count := range n.Roll.Count() {
		s.add(gauge.Targets, float64(count), at.Service, at.State, at.Word)
	}
	if n.Consensus.Part(mark.Config).IsServing() {
		v := n.Planner.Outlook()
		s.add(gauge.PlannerParts, float64(v.Parts))
		s.add(gauge.PlannerOldest, v.Oldest.Seconds())
		s.add(gauge.PlannerClashes, float64(v.Clashes))
	}
}
