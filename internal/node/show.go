// What a node shows of itself to the shell: rows of words under columns, each
// folded from the live state at the time of the call.
package node

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/api"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/metrics"
)

func (d *apiHandler) Show(ctx context.Context, params api.ShowParams) (*api.Rows, error) {
	rows := &api.Rows{Columns: []string{}, Rows: [][]string{}}
	columns := func(names ...string) { rows.Columns = names }
	add := func(values ...any) {
		row := make([]string, len(values))
		for i, v := range values {
			row[i] = fmt.Sprint(v)
		}
		rows.Rows = append(rows.Rows, row)
	}
	n := d.n
	switch params.What {
	case api.ShowWhatMembers:
		columns("name", "state", "role", "zone", "wire", "gate", "strength", "birth", "fleet")
		for name, m := range n.Members.View() {
			add(name, m.State, roleOf(m.Core, m.ProxyAddress), m.Zone, m.RPCAddress, m.ProxyAddress, m.Strength, m.ID, m.Fleet)
		}
	case api.ShowWhatParts:
		columns("part", "owner", "term", "commit", "last", "serving", "age", "group")
		if n.Consensus != nil {
			for _, part := range n.Consensus.Replicas() {
				o := part.Status()
				owner, _ := n.Consensus.Leader(o.Shard)
				group := ""
				for _, peer := range o.Voters {
					group += string(peer.Name) + " "
				}
				no := fmt.Sprint(int(o.Shard))
				if o.Shard == ids.ConfigShard {
					no = "config"
				}
				add(no, owner, o.CurrentTerm, o.CommitIndex, o.LastIndex, o.IsServing, o.ConfirmationAge.Round(time.Millisecond), group)
			}
		}
	case api.ShowWhatTargets:
		columns("service", "instance", "address", "zone", "weight", "state", "silence")
		if n.Targets != nil {
			for _, row := range n.Targets.Rows() {
				add(row.Service, row.Instance, row.Address, row.Zone, row.Weight, row.State, row.SinceHeartbeat)
			}
		}
	case api.ShowWhatAges:
		columns("what", "epoch", "age")
		if n.Distribution != nil {
			ages := n.Distribution.LatestConfirmation()
			epoch := n.Distribution.Cache.Epoch()
			add("in use", epoch, "")
			add("config", ages.Epoch, d.n.Env.Since(ages.ConfigAsOf).Round(time.Millisecond))
			for no, at := range ages.ShardsAsOf {
				add(fmt.Sprint("part ", no), ages.Epoch, d.n.Env.Since(at).Round(time.Millisecond))
			}
		}
	case api.ShowWhatCounts:
		columns("what", "count")
		for name, count := range n.Env.Events.Counts() {
			add("event "+name, count)
		}
		if n.Proxy != nil {
			n.Proxy.VisitOutcomes(func(name string, count int64) { add("outcome "+name, count) })
			add("requests under way", n.Proxy.InFlight())
		}
		if n.Store != nil {
			add("syncs", n.Store.SyncCount())
		}
	case api.ShowWhatTraffic:
		columns("kind", "messages", "bytes")
		for kind, sent := range n.RPC.Traffic() {
			add(kind, sent.Messages, sent.Bytes)
		}
	case api.ShowWhatLatency:
		columns("what", "service", "outcome", "count", "median", "99", "99.9", "most")
		n.Env.Latencies.Each(func(m metrics.Metric, labels []string, sum metrics.Summary) {
			labels = append(labels, "", "")
			add(strings.TrimSuffix(strings.TrimPrefix(m.Name, "sumac_"), "_seconds"), labels[0], labels[1], sum.Count, sum.Median, sum.P99, sum.P999, sum.Max)
		})
	case api.ShowWhatEvents:
		columns("time", "event", "name", "what")
		for _, e := range n.Env.Events.Recent(200) {
			what := ""
			for i := 0; i+1 < len(e.Fields); i += 2 {
				what += fmt.Sprintf("%v=%v ", e.Fields[i], e.Fields[i+1])
			}
			add(e.At.Format(time.RFC3339Nano), e.Event.Number, e.Event.Name, what)
		}
		return rows, nil
	case api.ShowWhatNode:
		columns("name", "zone", "core", "gate", "ready")
		_, err := d.Ready(ctx)
		add(n.Env.Name, n.Env.Config.Zone, n.Consensus != nil, n.Env.Config.ProxyAddress, err == nil)
	}
	sort.SliceStable(rows.Rows, func(i, j int) bool {
		a, b := rows.Rows[i][0], rows.Rows[j][0]
		if len(a) != len(b) && params.What == api.ShowWhatParts {
			return len(a) < len(b)
		}
		return a < b
	})
	return rows, nil
}
