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

func (d *desk) Show(ctx context.Context, params api.ShowParams) (*api.Rows, error) {
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
		for name, m := range n.Kin.View() {
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
		if n.Roll != nil {
			for _, row := range n.Roll.Rows() {
				add(row.Service, row.Instance, row.Address, row.Zone, row.Weight, row.State, row.SinceHeartbeat)
			}
		}
	case api.ShowWhatAges:
		columns("what", "epoch", "age")
		if n.Flow != nil {
			ages := n.Flow.LatestConfirmation()
			epoch := n.Flow.Cache.Epoch()
			add("in use", epoch, "")
			add("config", ages.Epoch, d.n.R.Since(ages.ConfigAsOf).Round(time.Millisecond))
			for no, at := range ages.ShardsAsOf {
				add(fmt.Sprint("part ", no), ages.Epoch, d.n.R.Since(at).Round(time.Millisecond))
			}
		}
	case api.ShowWhatCounts:
		columns("what", "count")
		for name, count := range n.R.Events.Counts() {
			add("event "+name, count)
		}
		if n.Gate != nil {
			n.Gate.VisitOutcomes(func(name string, count int64) { add("outcome "+name, count) })
			add("requests under way", n.Gate.InFlight())
		}
		if n.Store != nil {
			add("syncs", n.Store.SyncCount())
		}
	case api.ShowWhatTraffic:
		columns("kind", "messages", "bytes")
		for kind, sent := range n.Wire.Traffic() {
			add(kind, sent.Messages, sent.Bytes)
		}
	case api.ShowWhatLatency:
		columns("what", "service", "outcome", "count", "median", "99", "99.9", "most")
		n.R.Latencies.Each(func(m metrics.Metric, labels []string, sum metrics.Sum) {
			labels = append(labels, "", "")
			add(strings.TrimSuffix(strings.TrimPrefix(m.Name, "sumac_"), "_seconds"), labels[0], labels[1], sum.Count, sum.Median, sum.P99, sum.P999, sum.Most)
		})
	case api.ShowWhatEvents:
		columns("time", "event", "name", "what")
		for _, e := range n.R.Events.Recent(200) {
			what := ""
			for i := 0; i+1 < len(e.Pairs); i += 2 {
				what += fmt.Sprintf("%v=%v ", e.Pairs[i], e.Pairs[i+1])
			}
			add(e.At.Format(time.RFC3339Nano), e.Event.No, e.Event.Name, what)
		}
		return rows, nil
	case api.ShowWhatNode:
		columns("name", "zone", "core", "gate", "ready")
		_, err := d.Ready(ctx)
		add(n.R.Name, n.R.Config.Zone, n.Consensus != nil, n.R.Config.GateAddress, err == nil)
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
