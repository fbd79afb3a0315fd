// Package outlier spreads failures of endpoints among the proxies of a zone: endpoints that
// fail although they send heartbeats and say that they are healthy.
//
// What counts is what became of requests: each failure (a server error, a response that was
// lost or is none, a long silence) adds to the endpoint's failure score, which fades
// (package endpoint). One proxy sees few requests of each endpoint, so proxies report
// failures to one another, a few times a second at most.
package outlier

import (
	"context"
	"sync"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/membership"
	"github.com/sumactrestle/sumactrestle/internal/proxy/endpoint"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

const (
	reportInterval = 250 * time.Millisecond // between two reports
	reportTimeout  = 500 * time.Millisecond
	maxEndpoints   = 64 // in one report; failures of further ones count here only

	// reportKind is the kind of the messages between proxies.
	reportKind = "gate.ill"
)

// Config is what a Reporter needs.
type Config struct {
	Environment *environment.Environment
	RPC         *rpc.Transport
	Membership  *membership.Memberlist
	// Lookup finds an endpoint of the epoch in use by its ReportID; nil if there is none.
	Lookup func(reportID string) *endpoint.Endpoint
}

// Reporter counts the failures seen here, reports them to the other proxies of the zone, and
// takes their reports. It is safe for concurrent use.
type Reporter struct {
	config Config
	wake   chan struct{} // has a value if there may be failures to report

	mu       sync.Mutex
	failures map[string]int // not reported yet, by ReportID; guarded by mu
}

// NewReporter returns a reporter, registers it as the handler of other proxies' reports, and
// starts its task of the environment.
func NewReporter(config Config) *Reporter {
	r := &Reporter{config: config, failures: map[string]int{}, wake: make(chan struct{}, 1)}
	rpc.Handle(config.RPC, reportKind, r.receive)
	config.Environment.Go(r.run)
	return r
}

// Report records one failure of an endpoint, here and for the other proxies. It never waits.
func (r *Reporter) Report(failed *endpoint.Endpoint) {
	failed.AddToFailureScore(time.Now(), 1)
	r.mu.Lock()
	if len(r.failures) < maxEndpoints {
		r.failures[failed.ReportID]++
	}
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// receive takes the report of another proxy.
func (r *Reporter) receive(_ context.Context, report *rpc.FailureReport) (struct{}, error) {
	now := time.Now()
	for id, count := range report.Failures {
		if failed := r.config.Lookup(id); failed != nil && count > 0 {
			failed.AddToFailureScore(now, float64(count))
		}
	}
	return struct{}{}, nil
}

// run reports the first failure at once, and those that follow together a little later.
func (r *Reporter) run() {
	for {
		select {
		case <-r.config.Environment.Done():
			return
		case <-r.wake:
		}
		r.mu.Lock()
		failures := r.failures
		r.failures = map[string]int{}
		r.mu.Unlock()
		r.send(failures)
		if !r.config.Environment.Sleep(reportInterval) {
			return
		}
	}
}

// send reports failures to the proxies of the zone, without waiting for them. A report that
// is lost is not repeated: the failures count here in any case.
func (r *Reporter) send(failures map[string]int) {
	if len(failures) == 0 {
		return
	}
	env := r.config.Environment
	for name, member := range r.config.Membership.View() {
		if name == env.Name || member.ProxyAddress == "" || member.Zone != env.Config.Zone || member.State != membership.StateAlive {
			continue
		}
		env.Go(func() {
			ctx, cancel := context.WithTimeout(env, reportTimeout)
			defer cancel()
			r.config.RPC.Call(ctx, member.RPCAddress, reportKind, &rpc.FailureReport{Failures: failures}, nil)
		})
	}
}
