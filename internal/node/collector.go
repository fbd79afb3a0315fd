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

// observeCall notes how long a coordination call took.
func (n *Node) observeCall(began time.Time) {
	n.Env.Latencies.CoordinationCall.Observe(time.Since(began))
}

// withMetrics puts /metrics before the API, if the settings say so.
func (n *Node) withMetrics(api http.Handler) http.Handler {
	if !n.Env.Config.MetricsServe {
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

// collection is one collection under way.
type collection struct {
	*Collector
	out chan<- prometheus.Metric
}

func (s collection) add(m metrics.Metric, value float64, labels ...string) {
	kind := prometheus.GaugeValue
	if m.Kind == "counter" {
		kind = prometheus.CounterValue
	}
	one, err := prometheus.NewConstMetric(s.descs[m.Name], kind, value, labels...)
	s.send(m, one, err)
}

// send hands a metric on; one that can't be made is an error of the scrape alone.
func (s collection) send(m metrics.Metric, one prometheus.Metric, err error) {
	if err != nil {
		one = prometheus.NewInvalidMetric(s.descs[m.Name], err)
	}
	s.out <- one
}

func boolValue(is bool) float64 {
	if is {
		return 1
	}
	return 0
}

func (c *Collector) Collect(out chan<- prometheus.Metric) {
	s, n := collection{c, out}, c.n
	s.add(metrics.NodeInfo, 1, string(n.Env.Name), n.Env.Config.Zone, strconv.FormatBool(n.Consensus != nil), strconv.FormatBool(n.Proxy != nil))
	s.add(metrics.NodeReady, boolValue(n.Ready() == nil))
	s.add(metrics.Heartbeats, float64(n.heartbeats.Load()))
	counts := n.Env.Events.Counts()
	for _, e := range eventlog.Events {
		if counts[e.Name] > 0 {
			s.add(metrics.EventsLogged, float64(counts[e.Name]), strconv.Itoa(e.Number), e.Name)
		}
	}
	members := map[[2]string]int{}
	for _, m := range n.Members.View() {
		members[[2]string{m.State, roleOf(m.Core, m.ProxyAddress)}]++
	}
	for at, count := range members {
		s.add(metrics.Members, float64(count), at[0], at[1])
	}
	s.traffic()
	if n.Proxy != nil {
		s.proxy()
	}
	if n.Consensus != nil {
		s.core()
	}
	n.Env.Latencies.Each(func(m metrics.Metric, labels []string, sum metrics.Summary) {
		one, err := prometheus.NewConstHistogram(c.descs[m.Name], sum.Count, sum.Seconds, sum.Buckets, labels...)
		s.send(m, one, err)
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

const attemptKind = "gate.try"

func (s collection) traffic() {
	for kind, sent := range s.n.RPC.Traffic() {
		kind, isFar := strings.CutSuffix(kind, rpc.OtherZoneSuffix)
		zone := "own"
		if isFar {
			zone = "other"
		}
		if kind == attemptKind {
			s.add(metrics.ProxyAttempts, float64(sent.Messages), zone)
			s.add(metrics.ProxyAttemptBytes, float64(sent.Bytes), zone)
			continue
		}
		s.add(metrics.RPCMessages, float64(sent.Messages), kind, zone)
		s.add(metrics.RPCBytes, float64(sent.Bytes), kind, zone)
	}
}

func (s collection) proxy() {
	g := s.n.Proxy
	s.add(metrics.ProxyInflight, float64(g.InFlight()))
	s.add(metrics.ProxyIdleConnections, float64(g.IdleConnections()))
	s.add(metrics.ProxyFailedAttempts, float64(s.n.Env.Events.Counts()[eventlog.AttemptFailed.Name]))
	answers := map[metrics.Outcome]int64{metrics.OutcomeRan: 0, metrics.OutcomeNotRun: 0, metrics.OutcomeUnknown: 0}
	g.VisitOutcomes(func(name string, count int64) {
		code, isCode := s.codes[name]
		if !isCode {
			answers[metrics.OutcomeRan] += count
			return
		}
		answers[metrics.ParseOutcome(code.Outcome)] += count
		s.add(metrics.ProxyRejections, float64(count), strconv.Itoa(code.Number), code.Name)
	})
	for outcome, count := range answers {
		s.add(metrics.ProxyResponses, float64(count), outcome.String())
	}
	for _, p := range g.EndpointCounts() {
		s.add(metrics.ProxyEndpoints, float64(p.Available), p.Service, "in")
		s.add(metrics.ProxyEndpoints, float64(p.Ejected), p.Service, "out")
		s.add(metrics.ProxyEndpoints, float64(p.Barred), p.Service, "barred")
	}
	g.VisitRetryBudgets(func(service string, tries, debt float64) {
		s.add(metrics.RetryBudget, tries, service)
		s.add(metrics.RetryBudgetDebt, debt, service)
	})
	epoch := s.n.Distribution.Cache.Epoch()
	s.add(metrics.EpochUsed, float64(epoch))
	if ages := s.n.Distribution.LatestConfirmation(); ages.Epoch > 0 {
		s.add(metrics.EpochLatest, float64(ages.Epoch))
		s.add(metrics.EpochConfirmationAge, s.n.Env.Since(ages.ConfigAsOf).Seconds())
	}
}

func (s collection) core() {
	n, owned := s.n, 0
	for _, part := range n.Consensus.Replicas() {
		o := part.Status()
		no := strconv.Itoa(int(o.Shard))
		if o.Shard == ids.ConfigShard {
			no = "config"
		}
		s.add(metrics.ShardTerm, float64(o.CurrentTerm.Number), no)
		s.add(metrics.ShardCommitIndex, float64(o.CommitIndex), no)
		s.add(metrics.ShardLastIndex, float64(o.LastIndex), no)
		s.add(metrics.ShardServing, boolValue(o.IsServing), no)
		if o.IsLeader {
			s.add(metrics.ShardConfirmationAge, o.ConfirmationAge.Seconds(), no)
		}
		if o.IsServing {
			owned++
		}
	}
	s.add(metrics.ShardsLed, float64(owned))
	s.add(metrics.EpochCommitted, float64(n.Plan.Current().Epoch))
	s.add(metrics.StoreSyncs, float64(n.Store.SyncCount()))
	s.add(metrics.StoreStalled, n.Store.StallTime().Seconds())
	for at, count := range n.Targets.TargetCounts() {
		s.add(metrics.Targets, float64(count), at.Service, at.State, at.Reported)
	}
	if n.Consensus.Replica(ids.ConfigShard).IsServing() {
		v := n.Planner.Stats()
		s.add(metrics.PlannerShards, float64(v.Shards))
		s.add(metrics.PlannerOldestReport, v.OldestReport.Seconds())
		s.add(metrics.PlannerAddressConflicts, float64(v.Conflicts))
	}
}
