// Metrics for scraping: a collector that reads, when it is asked and only then, what
// the node counts in any case, and the latency histograms. With metrics.serve it is
// shown under /metrics on the node's API address; without, nothing is made.
package node

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/metrics"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// called notes how long a coordination call took.
func (n *Node) called(began time.Time) { n.R.Latencies.Call.Take(time.Since(began)) }

// withMetrics puts /metrics before the API, if the settings say so.
func (n *Node) withMetrics(api http.Handler) http.Handler {
	if !n.R.Config.MetricsServe {
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
	codes map[string]errcode.Code
}

func NewCollector(n *Node) *Collector {
	c := &Collector{n: n, descs: map[string]*prometheus.Desc{}, codes: map[string]errcode.Code{}}
	for _, m := range metrics.Metrics {
		c.descs[m.Name] = prometheus.NewDesc(m.Name, m.Help, m.Labels, nil)
	}
	for _, code := range errcode.Codes {
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

func (s sheet) add(m metrics.Metric, value float64, labels ...string) {
	kind := prometheus.GaugeValue
	if m.Kind == "counter" {
		kind = prometheus.CounterValue
	}
	one, err := prometheus.NewConstMetric(s.descs[m.Name], kind, value, labels...)
	s.pass(m, one, err)
}

// pass hands a metric on; one that can't be made is an error of the scrape alone.
func (s sheet) pass(m metrics.Metric, one prometheus.Metric, err error) {
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
	s.add(metrics.Node, 1, string(n.R.Name), n.R.Config.Zone, strconv.FormatBool(n.Consensus != nil), strconv.FormatBool(n.Gate != nil))
	s.add(metrics.Ready, truth(n.Ready() == nil))
	s.add(metrics.Beats, float64(n.beats.Load()))
	counts := n.R.Events.Counts()
	for _, e := range eventlog.Events {
		if counts[e.Name] > 0 {
			s.add(metrics.Events, float64(counts[e.Name]), strconv.Itoa(e.No), e.Name)
		}
	}
	members := map[[2]string]int{}
	for _, m := range n.Kin.View() {
		members[[2]string{m.State, roleOf(m.Core, m.ProxyAddress)}]++
	}
	for at, count := range members {
		s.add(metrics.Members, float64(count), at[0], at[1])
	}
	s.traffic()
	if n.Gate != nil {
		s.gate()
	}
	if n.Consensus != nil {
		s.core()
	}
	n.R.Latencies.Each(func(m metrics.Metric, labels []string, sum metrics.Sum) {
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
		kind, isFar := strings.CutSuffix(kind, rpc.OtherZoneSuffix)
		zone := "own"
		if isFar {
			zone = "other"
		}
		if kind == triesKind {
			s.add(metrics.GateTries, float64(sent.Messages), zone)
			s.add(metrics.GateTryBytes, float64(sent.Bytes), zone)
			continue
		}
		s.add(metrics.WireMessages, float64(sent.Messages), kind, zone)
		s.add(metrics.WireBytes, float64(sent.Bytes), kind, zone)
	}
}

func (s sheet) gate() {
	g := s.n.Gate
	s.add(metrics.GateInflight, float64(g.InFlight()))
	s.add(metrics.GatePipes, float64(g.IdleConnections()))
	s.add(metrics.GateFailed, float64(s.n.R.Events.Counts()[eventlog.TryFailed.Name]))
	answers := map[metrics.Outcome]int64{metrics.Ran: 0, metrics.NotRun: 0, metrics.Unknown: 0}
	g.VisitOutcomes(func(name string, count int64) {
		code, isCode := s.codes[name]
		if !isCode {
			answers[metrics.Ran] += count
			return
		}
		answers[metrics.OutcomeOf(code.Outcome)] += count
		s.add(metrics.GateRefusals, float64(count), strconv.Itoa(code.No), code.Name)
	})
	for outcome, count := range answers {
		s.add(metrics.GateAnswers, float64(count), outcome.String())
	}
	for _, p := range g.EndpointCounts() {
		s.add(metrics.GatePosts, float64(p.Available), p.Service, "in")
		s.add(metrics.GatePosts, float64(p.Ejected), p.Service, "out")
		s.add(metrics.GatePosts, float64(p.Barred), p.Service, "barred")
	}
	g.VisitRetryBudgets(func(service string, tries, debt float64) {
		s.add(metrics.BudgetTries, tries, service)
		s.add(metrics.BudgetDebt, debt, service)
	})
	epoch := s.n.Flow.Cache.Epoch()
	s.add(metrics.EpochUsed, float64(epoch))
	if ages := s.n.Flow.LatestConfirmation(); ages.Epoch > 0 {
		s.add(metrics.EpochHeard, float64(ages.Epoch))
		s.add(metrics.EpochConfirmed, s.n.R.Since(ages.ConfigAsOf).Seconds())
	}
}

func (s sheet) core() {
	n, owned := s.n, 0
	for _, part := range n.Consensus.Replicas() {
		o := part.Status()
		no := strconv.Itoa(int(o.Shard))
		if o.Shard == ids.ConfigShard {
			no = "config"
		}
		s.add(metrics.PartTerm, float64(o.CurrentTerm.Number), no)
		s.add(metrics.PartCommit, float64(o.CommitIndex), no)
		s.add(metrics.PartLast, float64(o.LastIndex), no)
		s.add(metrics.PartServing, truth(o.IsServing), no)
		if o.IsLeader {
			s.add(metrics.PartAge, o.ConfirmationAge.Seconds(), no)
		}
		if o.IsServing {
			owned++
		}
	}
	s.add(metrics.PartsOwned, float64(owned))
	s.add(metrics.EpochFolded, float64(n.Ledger.Current().Epoch))
	s.add(metrics.StoreSyncs, float64(n.Store.SyncCount()))
	s.add(metrics.StoreStalled, n.Store.StallTime().Seconds())
	for at, count := range n.Roll.TargetCounts() {
		s.add(metrics.Targets, float64(count), at.Service, at.State, at.Reported)
	}
	if n.Consensus.Replica(ids.ConfigShard).IsServing() {
		v := n.Planner.Stats()
		s.add(metrics.PlannerParts, float64(v.Shards))
		s.add(metrics.PlannerOldest, v.OldestReport.Seconds())
		s.add(metrics.PlannerClashes, float64(v.Conflicts))
	}
}
