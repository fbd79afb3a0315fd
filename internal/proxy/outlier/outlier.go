// Package outlier shares request failures of endpoints among the proxies of a zone, to detect
// endpoints that fail although their heartbeats report them as healthy.
//
// Each failure (a server error, a lost or invalid response, or an unresponsive endpoint) adds to
// the endpoint's failure score, which decays over time (package endpoint). A single proxy sends
// few requests to each endpoint, so proxies report failures to one another, at most once per
// reportInterval.
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
	reportInterval       = 250 * time.Millisecond // between two reports
	reportTimeout        = 500 * time.Millisecond
	maxReportedEndpoints = 64 // per report; failures of further endpoints count only in this proxy

	// reportKind is the message kind of reports between proxies.
	reportKind = "gate.ill"
)

// Config holds the dependencies of a Reporter.
type Config struct {
	Environment *environment.Environment
	RPC         *rpc.Transport
	Membership  *membership.Memberlist
	// Lookup returns an endpoint of the current epoch by its ReportID, or nil if there is none.
	Lookup func(reportID string) *endpoint.Endpoint
}

// Reporter counts local failures, reports them to the other proxies of the zone, and applies
// their reports. It is safe for concurrent use.
type Reporter struct {
	config Config
	wake   chan struct{} // holds a value if there may be failures to report

	mu       sync.Mutex
	failures map[string]int // unreported failure counts by ReportID; guarded by mu
}

// NewReporter returns a reporter, registers it as the RPC handler of other proxies' reports, and
// starts its background task in the environment.
func NewReporter(config Config) *Reporter {
	r := &Reporter{config: config, failures: map[string]int{}, wake: make(chan struct{}, 1)}
	rpc.Handle(config.RPC, reportKind, r.receive)
	config.Environment.Go(r.run)
	return r
}

// Report records one failure of an endpoint and queues it for the other proxies. It does not
// block.
func (r *Reporter) Report(failed *endpoint.Endpoint) {
	failed.AddToFailureScore(time.Now(), 1)
	r.mu.Lock()
	if len(r.failures) < maxReportedEndpoints {
		r.failures[failed.ReportID]++
	}
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// receive applies the report of another proxy to the local failure scores.
func (r *Reporter) receive(_ context.Context, report *rpc.FailureReport) (struct{}, error) {
	now := time.Now()
	for id, count := range report.Failures {
		if failed := r.config.Lookup(id); failed != nil && count > 0 {
			failed.AddToFailureScore(now, float64(count))
		}
	}
	return struct{}{}, nil
}

// run sends the first failure immediately, and batches later ones per reportInterval.
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

// send sends failures to the other live proxies of the zone, without waiting for responses. Lost
// reports are not repeated, because the failures already count in this proxy.
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
