// What a gate shows of itself, folded when it is asked: how long requests took, what
// it holds of its targets, and what each service's budget of further tries holds.
package proxy

import (
	"sync/atomic"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/metrics"
)

// back notes that a target was left, having been written to then.
func (c *course) back(sent time.Time) { c.away += time.Since(sent) }

// took notes how long a request took; one that found no service has no name.
func (g *Gate) took(c *course, began time.Time, err error) {
	whole := time.Since(began)
	outcome := metrics.Ran
	if err != nil {
		outcome = metrics.OutcomeOf(errcode.Of(err).Code.Outcome)
	}
	switch {
	case c == nil:
		g.r.Times.Service("").Take(outcome, whole)
	case c.crew == nil:
		g.r.Times.Service(c.service.Name).Take(outcome, whole)
	default:
		c.crew.times.Take(outcome, whole)
	}
	if err == nil {
		g.r.Times.Added.Take(whole - c.away)
	}
}

// Outcome is how often requests ended in one way: in "ran", or in a code's name.
func (g *Gate) Outcome(visit func(name string, count int64)) {
	g.Outcomes.Range(func(name, count any) bool {
		visit(name.(string), count.(*atomic.Int64).Load())
		return true
	})
}

// Posts counts a service's targets in the epoch in use, as this gate holds them.
type Posts struct {
	Service         string
	In, Out, Barred int
}

// Posts is the targets of every service in the epoch in use.
func (g *Gate) Posts() (list []Posts) {
	t := g.table.Load()
	if t == nil {
		return nil
	}
	now := time.Now()
	for service, crew := range t.crews {
		one := Posts{Service: service}
		for _, p := range crew.posts {
			p.mu.Lock()
			switch {
			case p.isBarred:
				one.Barred++
			case now.Before(p.outUntil):
				one.Out++
			default:
				one.In++
			}
			p.mu.Unlock()
		}
		list = append(list, one)
	}
	return list
}

// Pipes is how many idle connections to targets there are.
func (g *Gate) Pipes() (n int) {
	g.pool.mu.Lock()
	defer g.pool.mu.Unlock()
	for _, list := range g.pool.idle {
		n += len(list)
	}
	return n
}

// Budgets visits what each service's budget held when it was last looked at.
func (g *Gate) Budgets(visit func(service string, tries, debt float64)) {
	g.budget.mu.Lock()
	defer g.budget.mu.Unlock()
	for service, b := range g.budget.services {
		visit(service, b.tries, b.debt)
	}
}
