package node

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/api"
	"github.com/sumactrestle/sumactrestle/internal/metrics"
)

// maxShownEvents is the number of log events that the shell shows.
const maxShownEvents = 200

// table is the result of a shell query, a snapshot of the node's current state.
type table struct{ api.Rows }

func newTable(columns ...string) *table {
	return &table{api.Rows{Columns: append([]string{}, columns...), Rows: [][]string{}}}
}

func (t *table) add(values ...any) {
	row := make([]string, len(values))
	for i, v := range values {
		row[i] = fmt.Sprint(v)
	}
	t.Rows.Rows = append(t.Rows.Rows, row)
}

// sort sorts the rows by their first column. shorterFirst sorts shorter values first, which puts
// numbers in numeric order.
func (t *table) sort(shorterFirst bool) {
	sort.SliceStable(t.Rows.Rows, func(i, j int) bool {
		a, b := t.Rows.Rows[i][0], t.Rows.Rows[j][0]
		if shorterFirst && len(a) != len(b) {
			return len(a) < len(b)
		}
		return a < b
	})
}

// Show answers a shell query from this node's view. Rows are sorted by their first column,
// except events, which are in the order in which they were logged.
func (h *apiHandler) Show(_ context.Context, params api.ShowParams) (*api.Rows, error) {
	t := newTable()
	switch params.What {
	case api.ShowWhatMembers:
		t = h.n.showMembers()
	case api.ShowWhatParts:
		t = h.n.showShards()
	case api.ShowWhatTargets:
		t = h.n.showTargets()
	case api.ShowWhatAges:
		t = h.n.showAges()
	case api.ShowWhatCounts:
		t = h.n.showCounts()
	case api.ShowWhatTraffic:
		t = h.n.showTraffic()
	case api.ShowWhatLatency:
		t = h.n.showLatency()
	case api.ShowWhatEvents:
		return &h.n.showEvents().Rows, nil
	case api.ShowWhatNode:
		t = h.n.showNode()
	}
	t.sort(params.What == api.ShowWhatParts)
	return &t.Rows, nil
}

func (n *Node) showMembers() *table {
	t := newTable("name", "state", "role", "zone", "wire", "gate", "strength", "birth", "fleet")
	for name, m := range n.Members.View() {
		t.add(name, m.State, roleOf(m.Core, m.ProxyAddress), m.Zone, m.RPCAddress, m.ProxyAddress, m.Strength, m.ID, m.ClusterID)
	}
	return t
}

func (n *Node) showShards() *table {
	t := newTable("part", "owner", "term", "commit", "last", "serving", "age", "group")
	if n.Consensus == nil {
		return t
	}
	for _, replica := range n.Consensus.Replicas() {
		status := replica.Status()
		leader, _ := n.Consensus.Leader(status.Shard)
		voters := ""
		for _, peer := range status.Voters {
			voters += string(peer.Name) + " "
		}
		t.add(shardLabel(status.Shard), leader, status.CurrentTerm, status.CommitIndex, status.LastIndex, status.IsServing, status.ConfirmationAge.Round(time.Millisecond), voters)
	}
	return t
}

func (n *Node) showTargets() *table {
	t := newTable("service", "instance", "address", "zone", "weight", "state", "silence")
	if n.Targets != nil {
		for _, row := range n.Targets.Rows() {
			t.add(row.Service, row.Instance, row.Address, row.Zone, row.Weight, row.State, row.SinceHeartbeat)
		}
	}
	return t
}

// showAges shows the time since the latest epoch was confirmed, for the configuration and for
// each shard.
func (n *Node) showAges() *table {
	t := newTable("what", "epoch", "age")
	if n.Distribution == nil {
		return t
	}
	confirmed := n.Distribution.LatestConfirmation()
	t.add("in use", n.Distribution.Cache.Epoch(), "")
	t.add("config", confirmed.Epoch, n.Env.Since(confirmed.ConfigAsOf).Round(time.Millisecond))
	for shard, asOf := range confirmed.ShardsAsOf {
		t.add(fmt.Sprint("part ", shard), confirmed.Epoch, n.Env.Since(asOf).Round(time.Millisecond))
	}
	return t
}

func (n *Node) showCounts() *table {
	t := newTable("what", "count")
	for name, count := range n.Env.Events.Counts() {
		t.add("event "+name, count)
	}
	if n.Proxy != nil {
		n.Proxy.VisitOutcomes(func(name string, count int64) { t.add("outcome "+name, count) })
		t.add("requests under way", n.Proxy.InFlight())
	}
	if n.Store != nil {
		t.add("syncs", n.Store.SyncCount())
	}
	return t
}

func (n *Node) showTraffic() *table {
	t := newTable("kind", "messages", "bytes")
	for kind, sent := range n.RPC.Traffic() {
		t.add(kind, sent.Messages, sent.Bytes)
	}
	return t
}

func (n *Node) showLatency() *table {
	t := newTable("what", "service", "outcome", "count", "median", "99", "99.9", "most")
	n.Env.Latencies.Each(func(m metrics.Metric, labels []string, summary metrics.Summary) {
		labels = append(labels, "", "") // histograms of the whole node have no labels
		name := strings.TrimSuffix(strings.TrimPrefix(m.Name, "sumac_"), "_seconds")
		t.add(name, labels[0], labels[1], summary.Count, summary.Median, summary.P99, summary.P999, summary.Max)
	})
	return t
}

func (n *Node) showEvents() *table {
	t := newTable("time", "event", "name", "what")
	for _, e := range n.Env.Events.Recent(maxShownEvents) {
		fields := ""
		for i := 0; i+1 < len(e.Fields); i += 2 {
			fields += fmt.Sprintf("%v=%v ", e.Fields[i], e.Fields[i+1])
		}
		t.add(e.At.Format(time.RFC3339Nano), e.Event.Number, e.Event.Name, fields)
	}
	return t
}

func (n *Node) showNode() *table {
	t := newTable("name", "zone", "core", "gate", "ready")
	t.add(n.Env.Name, n.Env.Config.Zone, n.Consensus != nil, n.Env.Config.ProxyAddress, n.Ready() == nil)
	return t
}
