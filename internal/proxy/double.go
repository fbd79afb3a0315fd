// A repeatable request whose answer is overdue is sent to a second target too, paid
// from the budget of extra tries, and the first good answer is taken. The other try
// goes on by itself to its end: a target at work is not broken off, its connection is
// used again, and how long it took is learnt. When an answer is overdue follows from
// what the service usually takes and from the request's aim, so that a service which
// is slow as a whole is not given more to do.
package proxy

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
)

// silentTimes is after how many times the usual a target that has not answered counts
// as silent.
const silentTimes = 5

// doubleMost is how many requests of a service may be doubled at once.
const doubleMost = 3

// outcome is what a try came to.
type outcome struct {
	got   *answer
	wrote bool
	err   error
}

// mayDouble takes a double out of the crew's allowance, a part of the requests: when all
// targets are slow, doubles would make them slower.
func (c *crew) mayDouble() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.allowance < 1 {
		return false
	}
	c.allowance--
	return true
}

// isGood tells whether nothing better can be had from another target.
func (o outcome) isGood() bool { return o.err == nil && o.got.response.StatusCode < 500 }

// overdue is how long after a request was sent its answer is overdue: late enough
// that most answers have come, early enough that a second one may still come inside
// the aim. Where the aim leaves no room for a second one, only silence counts.
func overdue(usual, aim time.Duration) time.Duration {
	at := min(usual*5/2, aim-usual)
	if at < usual*3/2 {
		return 3 * usual
	}
	return at
}

// await waits for the answer of a try, and for that of its double once it is overdue.
func (g *Gate) await(ctx context.Context, c *course, r *http.Request, a *asking, body func() io.Reader, no int) (*answer, bool, error) {
	var late <-chan time.Time
	usual := c.crew.typical()
	isDoubled := g.r.Props.GateDoubles > 0 && no == 0 && c.most > 1 && c.isRepeatable && r.ContentLength == 0
	if usual > 0 {
		patience := silentTimes * usual
		if isDoubled {
			patience = overdue(usual, c.aim)
		}
		wakeup := time.NewTimer(patience)
		defer wakeup.Stop()
		late = wakeup.C
	}
	var double chan outcome
	for {
		select {
		case got := <-a.out:
			first := outcome{}
			first.got, first.wrote, first.err = g.finish(c, a, &got)
			a.end()
			if double != nil && !first.isGood() {
				if second := <-double; second.isGood() || first.err != nil {
					first = second
				}
			}
			return first.got, true, first.err
		case <-late:
			if !c.crew.isCalm() {
				break
			}
			a.to.isOverdue(1)
			a.isLate = true
			if isDoubled {
				double = g.double(c, r, body, no+1)
			} else {
				g.fails(a.to)
			}
		case second := <-double:
			double = nil
			if second.isGood() {
				g.r.Go(func() { g.outlive(c, a, usual) })
				return second.got, true, nil
			}
		case <-ctx.Done():
			a.pipe.kill()
			a.end()
			if r.Context().Err() != nil {
				return nil, true, errcode.New(errcode.CallerGone, "%s", a.to.target.Instance)
			}
			a.to.strike(time.Now(), false)
			return nil, true, errcode.New(errcode.DeadlinePassed, "%s", a.to.target.Instance)
		}
	}
}

func (a *asking) end() {
	if a.isLate {
		a.to.isOverdue(-1)
	}
	a.to.end()
}

// double sends the request to a second target; nil if there is none, or no budget.
func (g *Gate) double(c *course, r *http.Request, body func() io.Reader, no int) chan outcome {
	p := g.assign(c, r.ContentLength)
	if p == nil || !p.isUsable(time.Now()) || !c.crew.mayDouble() || !g.extra(c) {
		return nil
	}
	c.tried = append(c.tried, p)
	c.doubles++
	out := make(chan outcome, 1)
	g.r.Go(func() {
		ctx, end := context.WithDeadline(g.r, c.deadline)
		defer end()
		got, wrote, err := g.try(ctx, c, r, p, body, no)
		out <- outcome{got, wrote, err}
	})
	return out
}

// outlive waits for an answer that nobody needs any more; the pipe's deadline bounds it.
func (g *Gate) outlive(c *course, a *asking, usual time.Duration) {
	defer a.end()
	silent := time.NewTimer(time.Until(a.sent.Add(silentTimes * usual)))
	defer silent.Stop()
	for {
		select {
		case got := <-a.out:
			g.finish(c, a, &got)
			return
		case <-silent.C:
			if c.crew.isCalm() {
				g.fails(a.to)
			}
		case <-g.r.Done():
			a.pipe.kill()
			return
		}
	}
}
