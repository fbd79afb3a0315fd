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
	// diskSyncs is the key of disk syncs, which are counted like a kind of message but without bytes.
	diskSyncs = "syncs"
)

// volume is a number of messages and their total size in bytes.
type volume struct{ messages, bytes int64 }

func (v volume) plus(other volume) volume {
	return volume{v.messages + other.messages, v.bytes + other.bytes}
}

func (v volume) minus(other volume) volume {
	return volume{v.messages - other.messages, v.bytes - other.bytes}
}

// traffic returns the messages that all nodes have sent since they started, by kind, and their
// disk syncs.
func (r *run) traffic() map[string]volume {
	total := map[string]volume{}
	for _, m := range r.fleet.Machines {
		for kind, sent := range r.trafficOf(m) {
			total[kind] = total[kind].plus(sent)
		}
	}
	return total
}

// trafficOf returns the messages that one node has sent since it started, by kind, and its disk
// syncs. It returns an empty map if the node doesn't respond.
func (r *run) trafficOf(m *Machine) map[string]volume {
	sent := map[string]volume{}
	client, err := api.NewClient("http://" + m.APIAddress())
	if err != nil {
		return sent
	}
	ctx, cancel := context.WithTimeout(r.ctx, trafficCallTimeout)
	defer cancel()
	for _, table := range []api.ShowWhat{api.ShowWhatTraffic, api.ShowWhatCounts} {
		response, err := client.Show(ctx, api.ShowParams{What: table})
		if err != nil {
			continue
		}
		for _, row := range response.Rows {
			if table == api.ShowWhatCounts && row[0] != diskSyncs {
				continue
			}
			if v, err := parseVolume(row[1:]); err == nil {
				sent[row[0]] = sent[row[0]].plus(v)
			}
		}
	}
	return sent
}

// parseVolume parses the number of messages and, if there is a second column, the bytes.
func parseVolume(columns []string) (v volume, err error) {
	if v.messages, err = strconv.ParseInt(columns[0], 10, 64); err != nil {
		return volume{}, err
	}
	if len(columns) > 1 {
		v.bytes, err = strconv.ParseInt(columns[1], 10, 64)
	}
	return v, err
}

// sampleTraffic periodically records in the history the bytes that all nodes have sent, until the
// context ends.
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

// trafficTotal sums the bytes sent by all nodes. A node's counters restart at zero with its
// process; the total keeps the bytes that it had sent before.
type trafficTotal struct {
	lastSample map[string]map[string]int64 // bytes at the last sample, by node and kind
	bytes      map[string]int64            // by kind
}

func newTrafficTotal() *trafficTotal {
	return &trafficTotal{lastSample: map[string]map[string]int64{}, bytes: map[string]int64{}}
}

// add adds a sample of one node's traffic. It ignores an empty sample, which means that the node
// did not respond.
func (t *trafficTotal) add(node string, sample map[string]volume) {
	if len(sample) == 0 {
		return
	}
	previous, current := t.lastSample[node], map[string]int64{}
	for kind, sent := range sample {
		if kind == diskSyncs {
			continue
		}
		current[kind] = sent.bytes
		delta := sent.bytes - previous[kind]
		if delta < 0 {
			delta = sent.bytes // the node was restarted
		}
		t.bytes[kind] += delta
	}
	t.lastSample[node] = current
}
