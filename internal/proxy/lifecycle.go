package proxy

import (
	"context"
	"sync/atomic"
	"time"
)

// answerMargin is how long before the end of a planned stop whatever is still in flight is
// given up, so that its client gets an answer before the connection ends.
const answerMargin = 200 * time.Millisecond

// lifecycle is how far the proxy's shutdown has come.
type lifecycle struct {
	draining atomic.Bool // still serves, and closes each connection after its next response
	stopping atomic.Bool // rejects all requests
	// answersBy is when the last answer has to go out; nil before the shutdown begins. No
	// request that comes after its beginning has a later deadline.
	answersBy atomic.Pointer[time.Time]

	// admissions is done when large bodies that wait for their turn are given up, forwards
	// when everything that is in flight is. Both end with the environment.
	admissions, forwards       context.Context
	endAdmissions, endForwards context.CancelFunc
}

// init prepares the contexts under a parent.
func (l *lifecycle) init(parent context.Context) {
	l.admissions, l.endAdmissions = context.WithCancel(parent)
	l.forwards, l.endForwards = context.WithCancel(parent)
}

// bound returns a deadline, or the last moment for an answer if that is earlier.
func (l *lifecycle) bound(deadline time.Time) time.Time {
	if answersBy := l.answersBy.Load(); answersBy != nil && answersBy.Before(deadline) {
		return *answersBy
	}
	return deadline
}

// isOver tells whether everything that is in flight is given up.
func (l *lifecycle) isOver() bool { return l.forwards.Err() != nil }

// Drain serves on, and closes each connection of a client after its next response. Whatever
// is still in flight shortly before end is answered then: with a refusal if no target was
// handed it, and else with what is known of it.
func (p *Proxy) Drain(end time.Time) {
	answersBy := end.Add(-answerMargin)
	p.lifecycle.answersBy.Store(&answersBy)
	p.lifecycle.draining.Store(true)
	p.environment.Go(func() {
		// A refusal before the body was read takes halfCloseTime to arrive.
		p.environment.Sleep(time.Until(answersBy) - halfCloseTime)
		p.lifecycle.endAdmissions()
		p.environment.Sleep(time.Until(answersBy))
		p.lifecycle.endForwards()
	})
}

// GivenUp is done when everything in flight is given up, and its answers go out.
func (p *Proxy) GivenUp() context.Context { return p.lifecycle.forwards }

// Stop rejects all requests from now on.
func (p *Proxy) Stop() { p.lifecycle.stopping.Store(true) }
