package proxy

import (
	"context"
	"sync/atomic"
	"time"
)

// responseMargin is how long before the end of a planned stop requests in flight are aborted,
// so that clients receive a response before their connections close.
const responseMargin = 200 * time.Millisecond

// lifecycle holds the state of the proxy's shutdown.
type lifecycle struct {
	draining atomic.Bool // requests are served, but each client connection closes after its next response
	stopping atomic.Bool // all new requests are rejected
	// responseDeadline is when requests in flight are aborted and get an error response; nil
	// before the shutdown begins. It caps the deadline of each request planned after that.
	responseDeadline atomic.Pointer[time.Time]

	// admissionContext is canceled to abort large bodies that wait for admission,
	// forwardContext to abort all requests in flight. Both are children of the environment's
	// context.
	admissionContext, forwardContext context.Context
	cancelAdmissions, cancelForwards context.CancelFunc
}

// init derives the contexts from parent.
func (l *lifecycle) init(parent context.Context) {
	l.admissionContext, l.cancelAdmissions = context.WithCancel(parent)
	l.forwardContext, l.cancelForwards = context.WithCancel(parent)
}

// capDeadline returns the earlier of deadline and responseDeadline.
func (l *lifecycle) capDeadline(deadline time.Time) time.Time {
	if responseDeadline := l.responseDeadline.Load(); responseDeadline != nil && responseDeadline.Before(deadline) {
		return *responseDeadline
	}
	return deadline
}

// isAborted reports whether all requests in flight are aborted.
func (l *lifecycle) isAborted() bool { return l.forwardContext.Err() != nil }

// Drain begins the shutdown and returns immediately. Requests are still served, but each client
// connection closes after its next response. Requests still in flight shortly before end are
// aborted and get an error response that states whether they may have run.
func (p *Proxy) Drain(end time.Time) {
	responseDeadline := end.Add(-responseMargin)
	p.lifecycle.responseDeadline.Store(&responseDeadline)
	p.lifecycle.draining.Store(true)
	p.environment.Go(func() {
		// Waiting bodies are rejected earlier, because their connections then stay half-closed
		// for halfCloseDuration.
		p.environment.Sleep(time.Until(responseDeadline) - halfCloseDuration)
		p.lifecycle.cancelAdmissions()
		p.environment.Sleep(time.Until(responseDeadline))
		p.lifecycle.cancelForwards()
	})
}

// AbortContext returns a context that is canceled when all requests in flight are aborted.
func (p *Proxy) AbortContext() context.Context { return p.lifecycle.forwardContext }

// Stop makes the proxy reject all new requests.
func (p *Proxy) Stop() { p.lifecycle.stopping.Store(true) }
