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

// observeCall counts how long a coordination call took.
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

// Collector shows one node to Prometheus. It reads, when it is asked and only then, what the
// node counts in any case, and the latency histograms.
type Collector struct {
	n     *Node
	descs map[string]*prometheus.Desc
	codes map[string]errcode.Code
}

// NewCollector returns a collector of the node's metrics.
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

// Describe sends the descriptions of all metrics.
func (c *Collector) Describe(out chan<- *prometheus.Desc) {
	for _, desc := range c.descs {
		out <- desc
	}
}

// collection is one scrape under way.
type collection struct {
	*Collector
	out chan<- prometheus.Metric
}

// add sends a metric of one value.
func (c collection) add(m metrics.Metric, value float64, labels ...string) {
	kind := prometheus.GaugeValue
	if m.Kind == "counter" {
		kind = prometheus.CounterValue
	}
	one, err := prometheus.NewConstMetric(c.descs[m.Name], kind, value, labels...)
	c.send(m, one, err)
}

// send hands a metric on; one that can't be made is an error of the scrape alone.
func (c collection) send(m metrics.Metric, one prometheus.Metric, err error) {
	if err != nil {
		one = prometheus.NewInvalidMetric(c.descs[m.Name], err)
	}
	c.out <- one
}

// boolValue is 1 for true and 0 for false.
func boolValue(value bool) float64 {
	if value {
		return 1
	}
	return 0
}

// Collect sends all metrics that the node has.
func (c *Collector) Collect(out chan<- prometheus.Metric) {
	n, scrape := c.n, collection{c, out}
	scrape.add(metrics.NodeInfo, 1, string(n.Env.Name), n.Env.Config.Zone, strconv.FormatBool(n.Consensus != nil), strconv.FormatBool(n.Proxy != nil))
	scrape.add(metrics.NodeReady, boolValue(n.Ready() == nil))
	scrape.add(metrics.Heartbeats, float64(n.heartbeats.Load()))
	scrape.add(metrics.LogLinesDropped, float64(n.Env.Events.DroppedLines()))
	scrape.add(metrics.ProcessStalled, n.stalls.stalledFor().Seconds())
	counts := n.Env.Events.Counts()
	for _, e := range eventlog.Events {
		if counts[e.Name] > 0 {
			scrape.add(metrics.EventsLogged, float64(counts[e.Name]), strconv.Itoa(e.Number), e.Name)
		}
	}
	members := map[[2]string]int{}
	for _, m := range n.Members.View() {
		members[[2]string{m.State, roleOf(m.Core, m.ProxyAddress)}]++
	}
	for at, count := range members {
		scrape.add(metrics.Members, float64(count), at[0], at[1])
	}
	scrape.traffic()
	if n.Proxy != nil {
		scrape.proxy()
	}
	if n.Consensus != nil {
		scrape.core()
	}
	n.Env.Latencies.Each(func(m metrics.Metric, labels []string, summary metrics.Summary) {
		histogram, err := prometheus.NewConstHistogram(c.descs[m.Name], summary.Count, summary.Seconds, summary.Buckets, labels...)
		scrape.send(m, histogram, err)
	})
}

// roleOf is what a member is for, in a word.
func roleOf(core bool, proxyAddress string) string {
	switch {
	case core && proxyAddress != "":
		return "core+proxy"
	case core:
		return "core"
	}
	return "proxy"
}

// attemptKind is the kind of traffic to targets.
const attemptKind = "gate.try"

// traffic sends what went to other processes and to targets.
func (c collection) traffic() {
	for kind, sent := range c.n.RPC.Traffic() {
		kind, otherZone := strings.CutSuffix(kind, rpc.OtherZoneSuffix)
		zone := "own"
		if otherZone {
			zone = "other"
		}
		if kind == attemptKind {
			c.add(metrics.ProxyAttempts, float64(sent.Messages), zone)
			c.add(metrics.ProxyAttemptBytes, float64(sent.Bytes), zone)
			continue
		}
		c.add(metrics.RPCMessages, float64(sent.Messages), kind, zone)
		c.add(metrics.RPCBytes, float64(sent.Bytes), kind, zone)
	}
}

// proxy sends the metrics of a proxy.
func (c collection) proxy() {
	g := c.n.Proxy
	c.add(metrics.ProxyInflight, float64(g.InFlight()))
	c.add(metrics.ProxyIdleConnections, float64(g.IdleConnections()))
	c.add(metrics.ProxyFailedAttempts, float64(c.n.Env.Events.Counts()[eventlog.AttemptFailed.Name]))
	answers := map[metrics.Outcome]int64{metrics.OutcomeRan: 0, metrics.OutcomeNotRun: 0, metrics.OutcomeUnknown: 0}
	g.VisitOutcomes(func(name string, count int64) {
		code, isCode := c.codes[name]
		if !isCode {
			answers[metrics.OutcomeRan] += count
			return
		}
		answers[metrics.ParseOutcome(code.Outcome)] += count
		c.add(metrics.ProxyRejections, float64(count), strconv.Itoa(code.Number), code.Name)
	})
	for outcome, count := range answers {
		c.add(metrics.ProxyResponses, float64(count), outcome.String())
	}
	for _, p := range g.EndpointCounts() {
		c.add(metrics.ProxyEndpoints, float64(p.Available), p.Service, "in")
		c.add(metrics.ProxyEndpoints, float64(p.Ejected), p.Service, "out")
		c.add(metrics.ProxyEndpoints, float64(p.Barred), p.Service, "barred")
	}
	g.VisitRetryBudgets(func(service string, tries, debt float64) {
		c.add(metrics.RetryBudget, tries, service)
		c.add(metrics.RetryBudgetDebt, debt, service)
	})
	epoch := c.n.Distribution.Cache.Epoch()
	c.add(metrics.EpochUsed, float64(epoch))
	if ages := c.n.Distribution.LatestConfirmation(); ages.Epoch > 0 {
		c.add(metrics.EpochLatest, float64(ages.Epoch))
		c.add(metrics.EpochConfirmationAge, c.n.Env.Since(ages.ConfigAsOf).Seconds())
	}
}

// core sends the metrics of a core node.
func (c collection) core() {
	n, led := c.n, 0
	for _, replica := range n.Consensus.Replicas() {
		status := replica.Status()
		shard := shardLabel(status.Shard)
		c.add(metrics.ShardTerm, float64(status.CurrentTerm.Number), shard)
		c.add(metrics.ShardCommitIndex, float64(status.CommitIndex), shard)
		c.add(metrics.ShardLastIndex, float64(status.LastIndex), shard)
		c.add(metrics.ShardServing, boolValue(status.IsServing), shard)
		if status.IsLeader {
			c.add(metrics.ShardConfirmationAge, status.ConfirmationAge.Seconds(), shard)
		}
		if status.IsServing {
			led++
		}
		if silence, isVoter := replica.LeaderContactAge(); isVoter {
			c.add(metrics.ShardLeaderSilence, silence.Seconds(), shard)
		}
	}
	c.add(metrics.ShardsLed, float64(led))
	c.add(metrics.EpochCommitted, float64(n.Plan.Current().Epoch))
	c.add(metrics.StoreSyncs, float64(n.Store.SyncCount()))
	c.add(metrics.StoreStalled, n.Store.StallTime().Seconds())
	for at, count := range n.Targets.TargetCounts() {
		c.add(metrics.Targets, float64(count), at.Service, at.State, at.Reported)
	}
	if n.Consensus.Replica(ids.ConfigShard).IsServing() {
		v := n.Planner.Stats()
		c.add(metrics.PlannerShards, float64(v.Shards))
		c.add(metrics.PlannerOldestReport, v.OldestReport.Seconds())
		c.add(metrics.PlannerAddressConflicts, float64(v.Conflicts))
	}
}

// shardLabel is a shard's number, or "config" for the configuration's.
func shardLabel(shard ids.Shard) string {
	if shard == ids.ConfigShard {
		return "config"
	}
	return strconv.Itoa(int(shard))
}
