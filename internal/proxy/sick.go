// Targets that fail, though they beat and say that they are well. What counts is what
// became of requests: each failure (an answer that it failed, one that was lost or is no
// answer, a long silence) adds to the target's illness, which fades. A proxy sees few
// requests of each target, so proxies of a zone tell one another of failures, a few
// times a second at most. How much counts as ill follows from the service as a whole:
// where all targets fail alike, or a large part of them, none of them is ill, for
// nothing is gained by crowding the rest. An ill one is out at first, then it is merely
// dear, so that it comes back slowly, and goes out again by the first few failures.
package proxy

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/membership"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

const (
	illFades = 5 * time.Second // an illness is half of what it was
	illMost  = 8
	illBorne = 1.5 // failures of a post that count for nothing
	illTimes = 2   // and how many times what the others have on average does so too
	illsKept = 50 * time.Millisecond

	sickPause = 250 * time.Millisecond
	sickTime  = 500 * time.Millisecond
	sickMost  = 64
)

// illness is the failures of the post, as they have faded by now; its lock is held.
func (p *post) illness(now time.Time) float64 {
	if p.ills == 0 {
		return 0
	}
	age := now.Sub(p.illAt)
	if age > 8*illFades {
		p.ills = 0
		return 0
	}
	// The half of each whole time, and a straight line between.
	left := p.ills
	for ; age >= illFades; age -= illFades {
		left /= 2
	}
	return left * (1 - float64(age)/float64(2*illFades))
}

// sicken adds failures.
func (p *post) sicken(now time.Time, n float64) {
	p.mu.Lock()
	p.ills = min(p.illness(now)+n, illMost)
	p.illAt = now
	p.mu.Unlock()
}

// over is by how much the post is more ill than counts for nothing, where all posts'
// illness together is ills, and it has so many peers; its lock is held.
func (p *post) over(now time.Time, ills float64, peers int) float64 {
	ill := p.illness(now)
	if ill <= illBorne {
		return 0
	}
	return max(0, ill-illBorne-illTimes*max(0, ills-ill)/float64(max(peers, 1)))
}

// illness is the sum of all posts' illness, not older than a moment.
func (c *crew) illness(now time.Time) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.illsAt) < illsKept {
		return c.ills
	}
	c.ills, c.illsAt = 0, now
	for _, p := range c.posts {
		p.mu.Lock()
		c.ills += p.illness(now)
		p.mu.Unlock()
	}
	return c.ills
}

// sick gathers the failures seen here, and takes those that others tell of.
type sick struct {
	g     *Gate
	mu    sync.Mutex
	fails map[string]int
	stir  chan struct{}
}

func newSick(g *Gate) *sick {
	s := &sick{g: g, fails: map[string]int{}, stir: make(chan struct{}, 1)}
	g.wire.Handle("gate.ill", func(c *rpc.Call) (any, error) {
		var ask rpc.IllAsk
		if err := c.Read(&ask); err != nil {
			return nil, err
		}
		s.heard(ask.Fails)
		return struct{}{}, nil
	})
	g.r.Go(s.run)
	return s
}

// fails notes a failure of a target, here and for the others.
func (g *Gate) fails(p *post) {
	p.sicken(time.Now(), 1)
	s := g.sick
	s.mu.Lock()
	if len(s.fails) < sickMost {
		s.fails[p.mark]++
	}
	s.mu.Unlock()
	select {
	case s.stir <- struct{}{}:
	default:
	}
}

// markOf is by what proxies name a target to one another.
func markOf(at string) string { return strconv.FormatUint(ids.Score(at), 36) }

func (s *sick) heard(fails map[string]int) {
	t := s.g.table.Load()
	if t == nil {
		return
	}
	now := time.Now()
	for name, n := range fails {
		if p := t.marks[name]; p != nil && n > 0 {
			p.sicken(now, float64(n))
		}
	}
}

// run tells the first failure at once, and those that follow a little later.
func (s *sick) run() {
	for {
		select {
		case <-s.g.r.Done():
			return
		case <-s.stir:
		}
		s.mu.Lock()
		fails := s.fails
		s.fails = map[string]int{}
		s.mu.Unlock()
		s.spread(fails)
		if !s.g.r.Pause(sickPause) {
			return
		}
	}
}

// spread tells the proxies of the zone; nobody waits for it.
func (s *sick) spread(fails map[string]int) {
	if len(fails) == 0 {
		return
	}
	for name, m := range s.g.kin.View() {
		if name == s.g.r.Name || m.Gate == "" || m.Zone != s.g.r.Props.Zone || m.State != membership.Alive {
			continue
		}
		s.g.r.Go(func() {
			ctx, end := context.WithTimeout(s.g.r, sickTime)
			defer end()
			s.g.wire.Ask(ctx, m.Wire, "gate.ill", &rpc.IllAsk{Fails: fails}, nil)
		})
	}
}
