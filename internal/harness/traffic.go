package harness

import (
	"context"
	"maps"
	"strconv"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/api"
	"github.com/sumactrestle/sumactrestle/internal/checker"
)

const (
	trafficSampleInterval = 2 * time.Second
	trafficCallTimeout    = 2 * time.Second
	// syncs is counted beside the kinds of messages: writes of the disk, without bytes.
	syncs = "syncs"
)

// volume is a number of messages and their bytes.
type volume struct{ messages, bytes int64 }

func (v volume) plus(other volume) volume {
	return volume{v.messages + other.messages, v.bytes + other.bytes}
}

func (v volume) minus(other volume) volume {
	return volume{v.messages - other.messages, v.bytes - other.bytes}
}

// traffic returns what all nodes have sent since they started, by kind of message, and syncs.
func (r *run) traffic() map[string]volume {
	sum := map[string]volume{}
	for _, m := range r.fleet.Machines {
		for kind, sent := range r.trafficOf(m) {
			sum[kind] = sum[kind].plus(sent)
		}
	}
	return sum
}

// trafficOf returns what one node has sent; nothing if it does not answer.
func (r *run) trafficOf(m *Machine) map[string]volume {
	sent := map[string]volume{}
	client, err := api.NewClient("http://" + m.APIAddress())
	if err != nil {
		return sent
	}
	ctx, cancel := context.WithTimeout(r.ctx, trafficCallTimeout)
	defer cancel()
	for _, what := range []api.ShowWhat{api.ShowWhatTraffic, api.ShowWhatCounts} {
		table, err := client.Show(ctx, api.ShowParams{What: what})
		if err != nil {
			continue
		}
		for _, row := range table.Rows {
			if what == api.ShowWhatCounts && row[0] != syncs {
				continue
			}
			if v, err := parseVolume(row[1:]); err == nil {
				sent[row[0]] = sent[row[0]].plus(v)
			}
		}
	}
	return sent
}

// parseVolume reads the messages and, if there is a second column, the bytes.
func parseVolume(columns []string) (v volume, err error) {
	if v.messages, err = strconv.ParseInt(columns[0], 10, 64); err != nil {
		return volume{}, err
	}
	if len(columns) > 1 {
		v.bytes, err = strconv.ParseInt(columns[1], 10, 64)
	}
	return v, err
}

// sampleTraffic records in the history what all nodes have sent, until the context ends.
func (r *run) sampleTraffic(ctx context.Context) {
	tick := time.NewTicker(trafficSampleInterval)
	defer tick.Stop()
	total := newTrafficTotal()
	for ctx.Err() == nil {
		for _, m := range r.fleet.Machines {
			total.add(m.Name, r.trafficOf(m))
		}
		r.history.Add(checker.Record{Kind: checker.TrafficSent, SentBytes: maps.Clone(total.bytes)})
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
}

// trafficTotal adds up the bytes of nodes, each of which counts from zero when it is restarted.
// What a node had sent before it went stays in the total.
type trafficTotal struct {
	last  map[string]map[string]int64 // bytes at the last sample, by node and kind
	bytes map[string]int64            // by kind
}

func newTrafficTotal() *trafficTotal {
	return &trafficTotal{last: map[string]map[string]int64{}, bytes: map[string]int64{}}
}

// add takes a sample of one node. An empty one is of a node that did not answer.
func (t *trafficTotal) add(node string, sample map[string]volume) {
	if len(sample) == 0 {
		return
	}
	last, now := t.last[node], map[string]int64{}
	for kind, sent := range sample {
		if kind == syncs {
			continue
		}
		now[kind] = sent.bytes
		growth := sent.bytes - last[kind]
		if growth < 0 {
			growth = sent.bytes // restarted
		}
		t.bytes[kind] += growth
	}
	t.last[node] = now
}
