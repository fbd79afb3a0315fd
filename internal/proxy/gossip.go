// Proxies tell one another of orders that were handed over and got no answer,
// so that a caller's repeat is recognised whichever proxy it comes to. Only
// failures are told, as hashes, the first at once and those that follow gathered
// for a moment; nobody waits for it. What could not be told to every proxy of the
// epoch may come back unrecognised, so it is charged to this proxy's own budget.
package proxy

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/distribution"
	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/membership"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

const (
	gossipPause = 2 * time.Millisecond
	gossipTime  = 500 * time.Millisecond
	gossipMost  = 512
)

type lostOrder struct {
	key     uint64
	service string
}

type gossip struct {
	r     *environment.Realm
	w     *rpc.Wire
	k     *membership.Kin
	b     *Budget
	chart func() *distribution.Chart
	queue chan lostOrder
}

func newGossip(r *environment.Realm, w *rpc.Wire, k *membership.Kin, b *Budget, o *Orders, chart func() *distribution.Chart) *gossip {
	g := &gossip{r: r, w: w, k: k, b: b, chart: chart, queue: make(chan lostOrder, gossipMost)}
	w.Handle("gate.seen", func(c *rpc.Call) (any, error) {
		var ask rpc.SeenAsk
		if err := c.Read(&ask); err != nil {
			return nil, err
		}
		b.Heard(ask.Keys)
		o.Heard(ask.Keys)
		return struct{}{}, nil
	})
	r.Go(g.run)
	return g
}

// tell never waits; in the worst of storms some are left out, and charged.
func (g *gossip) tell(lost lostOrder) {
	g.b.Lose(lost.service)
	select {
	case g.queue <- lost:
	default:
		g.b.Told(nil, map[string]int{lost.service: 1}, false)
	}
}

func (g *gossip) run() {
	for {
		var batch []lostOrder
		select {
		case <-g.r.Done():
			return
		case lost := <-g.queue:
			batch = append(batch, lost)
		}
		for isMore := true; isMore && len(batch) < gossipMost; {
			select {
			case lost := <-g.queue:
				batch = append(batch, lost)
			default:
				isMore = false
			}
		}
		g.r.Go(func() { g.spread(batch) })
		if !g.r.Pause(gossipPause) {
			return
		}
	}
}

// spread tells every proxy there is, and notes whether all that the epoch names
// have heard.
func (g *gossip) spread(batch []lostOrder) {
	var keys []uint64
	services := map[string]int{}
	for _, lost := range batch {
		keys = append(keys, lost.key)
		services[lost.service]++
	}
	var all sync.WaitGroup
	var misses atomic.Int64
	chart := g.chart()
	if chart == nil {
		return
	}
	for name, m := range g.k.View() {
		_, isNamed := chart.Shares[name]
		if name == g.r.Name || m.Gate == "" || m.State == membership.Left {
			continue
		}
		all.Add(1)
		g.r.Go(func() {
			defer all.Done()
			ctx, end := context.WithTimeout(g.r, gossipTime)
			defer end()
			if g.w.Ask(ctx, m.Wire, "gate.seen", &rpc.SeenAsk{Keys: keys}, nil) != nil && isNamed {
				misses.Add(1)
			}
		})
	}
	for name := range chart.Shares {
		if _, ok := g.k.View()[name]; !ok {
			misses.Add(1)
		}
	}
	all.Wait()
	g.b.Told(keys, services, misses.Load() == 0)
}
