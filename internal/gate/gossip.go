// Proxies tell one another of orders that were handed over and got no answer,
// so that a caller's repeat is recognised whichever proxy it comes to. Only
// failures are told, as hashes, the first at once and those that follow gathered
// for a moment; nobody waits for it.
package gate

import (
	"context"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/kin"
	"github.com/sumactrestle/sumactrestle/internal/realm"
	"github.com/sumactrestle/sumactrestle/internal/wire"
)

const (
	gossipPause = 2 * time.Millisecond
	gossipMost  = 512
)

type gossip struct {
	r     *realm.Realm
	w     *wire.Wire
	k     *kin.Kin
	queue chan uint64
}

func newGossip(r *realm.Realm, w *wire.Wire, k *kin.Kin, b *Budget, o *Orders) *gossip {
	g := &gossip{r: r, w: w, k: k, queue: make(chan uint64, gossipMost)}
	w.Handle("gate.seen", func(c *wire.Call) (any, error) {
		var ask wire.SeenAsk
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

// tell never waits; in the worst of storms some keys are left out.
func (g *gossip) tell(key uint64) {
	select {
	case g.queue <- key:
	default:
	}
}

func (g *gossip) run() {
	for {
		var keys []uint64
		select {
		case <-g.r.Done():
			return
		case key := <-g.queue:
			keys = append(keys, key)
		}
		for isMore := true; isMore && len(keys) < gossipMost; {
			select {
			case key := <-g.queue:
				keys = append(keys, key)
			default:
				isMore = false
			}
		}
		for name, m := range g.k.View() {
			if name == g.r.Name || m.Gate == "" || m.State != kin.Alive {
				continue
			}
			g.r.Go(func() {
				ctx, end := context.WithTimeout(g.r, time.Second)
				defer end()
				g.w.Ask(ctx, m.Wire, "gate.seen", &wire.SeenAsk{Keys: keys}, nil)
			})
		}
		if !g.r.Pause(gossipPause) {
			return
		}
	}
}
