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

// observeCall records the latency of a coordination call.
func (n *Node) observeCall(began time.Time) {
	n.Env.Latencies.CoordinationCall.Observe(time.Since(began))
}

// withMetrics adds /metrics to the API if metrics.serve is set.
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

// Collector is a prometheus.Collector of one node's metrics. It only reads counters and
// latency histograms that the node keeps anyway, and does so at each scrape.
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

// Describe implements prometheus.Collector.
func (c *Collector) Describe(ch chan<- *prometheus.Desc) {
	for _, desc := range c.descs {
		ch <- desc
	}
}

// collection is one scrape in progress.
type collection struct {
	*Collector
	ch chan<- prometheus.Metric
}

// add sends a gauge or counter.
func (c collection) add(m metrics.Metric, value float64, labels ...string) {
	kind := prometheus.GaugeValue
	if m.Kind == "counter" {
		kind = prometheus.CounterValue
	}
	metric, err := prometheus.NewConstMetric(c.descs[m.Name], kind, value, labels...)
	c.send(m, metric, err)
}

// send sends a metric. One that could not be created is reported as an error of this scrape.
func (c collection) send(m metrics.Metric, metric prometheus.Metric, err error) {
	if err != nil {
		metric = prometheus.NewInvalidMetric(c.descs[m.Name], err)
	}
	c.ch <- metric
}

// boolValue returns 1 for true and 0 for false.
func boolValue(value bool) float64 {
	if value {
		return 1
	}
	return 0
}

// Collect implements prometheus.Collector.
func (c *Collector) Collect(ch chan<- prometheus.Metric) {
	n, scrape := c.n, collection{c, ch}
	scrape.add(metrics.NodeInfo, 1, string(n.Env.Name), n.Env.Config.Zone, strconv.FormatBool(n.Consensus != nil), strconv.FormatBool(n.Proxy != nil))
	scrape.add(metrics.NodeReady, boolValue(n.Ready() == nil))
	scrape.add(metrics.Heartbeats, float64(n.heartbeats.Load()))
	scrape.add(metrics.LogLinesDropped, float64(n.Env.Events.DroppedLines()))
	scrape.add(metrics.ProcessStalled, n.stalls.totalStall().Seconds())
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
	for key, count := range members {
		scrape.add(metrics.Members, float64(count), key[0], key[1])
	}
	scrape.traffic()
	if n.Proxy != nil {
		scrape.proxy()
	}
	if n.Consensus != nil {
		scrape.core()
	}
	n.Env.Latencies.Each(func(m metrics.Metric, labels []string, summary metrics.Summary) {
		histogram, err := prometheus.NewConstHistogram(c.descs[m.Name], summary.Count, summary.TotalSeconds, summary.Buckets, labels...)
		scrape.send(m, histogram, err)
	})
}

// roleOf returns a member's role as shown in metrics and tables.
func roleOf(core bool, proxyAddress string) string {
	switch {
	case core && proxyAddress != "":
		return "core+proxy"
	case core:
		return "core"
	}
	return "proxy"
}

// attemptKind is the kind under which traffic to targets is counted.
const attemptKind = "gate.try"

// traffic sends the counts of messages and bytes sent to other processes and to targets.
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
	proxy := c.n.Proxy
	c.add(metrics.ProxyInflight, float64(proxy.InFlight()))
	c.add(metrics.ProxyIdleConnections, float64(proxy.IdleConnections()))
	c.add(metrics.ProxyFailedAttempts, float64(c.n.Env.Events.Counts()[eventlog.AttemptFailed.Name]))
	responses := map[metrics.Outcome]int64{metrics.OutcomeRan: 0, metrics.OutcomeNotRun: 0, metrics.OutcomeUnknown: 0}
	proxy.VisitOutcomes(func(name string, count int64) {
		code, isCode := c.codes[name]
		if !isCode {
			responses[metrics.OutcomeRan] += count
			return
		}
		responses[metrics.ParseOutcome(code.Outcome)] += count
		c.add(metrics.ProxyRejections, float64(count), strconv.Itoa(code.Number), code.Name)
	})
	for outcome, count := range responses {
		c.add(metrics.ProxyResponses, float64(count), outcome.String())
	}
	for _, endpoints := range proxy.EndpointCounts() {
		c.add(metrics.ProxyEndpoints, float64(endpoints.Available), endpoints.Service, "in")
		c.add(metrics.ProxyEndpoints, float64(endpoints.Ejected), endpoints.Service, "out")
		c.add(metrics.ProxyEndpoints, float64(endpoints.Barred), endpoints.Service, "barred")
	}
	proxy.VisitRetryBudgets(func(service string, tokens, debt float64) {
		c.add(metrics.RetryBudget, tokens, service)
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
	n, ledShards := c.n, 0
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
			ledShards++
		}
		if contactAge, isVoter := replica.LeaderContactAge(); isVoter {
			c.add(metrics.ShardLeaderContactAge, contactAge.Seconds(), shard)
		}
	}
	c.add(metrics.ShardsLed, float64(ledShards))
	c.add(metrics.EpochCommitted, float64(n.ConfigState.Current().Epoch))
	c.add(metrics.StoreSyncs, float64(n.Store.SyncCount()))
	c.add(metrics.StoreStalled, n.Store.StallTime().Seconds())
	for key, count := range n.Targets.TargetCounts() {
		c.add(metrics.Targets, float64(count), key.Service, key.State, key.Reported)
	}
	if n.Consensus.Replica(ids.ConfigShard).IsServing() {
		stats := n.Planner.Stats()
		c.add(metrics.PlannerShards, float64(stats.Shards))
		c.add(metrics.PlannerOldestReport, stats.OldestReport.Seconds())
		c.add(metrics.PlannerAddressConflicts, float64(stats.Conflicts))
	}
}

// shardLabel returns a shard's number, or "config" for the configuration shard.
func shardLabel(shard ids.Shard) string {
	if shard == ids.ConfigShard {
		return "config"
	}
	return strconv.Itoa(int(shard))
}
