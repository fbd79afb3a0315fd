package proxy

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/distribution"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/proxy/endpoint"
	"github.com/sumactrestle/sumactrestle/internal/proxy/idempotency"
	"github.com/sumactrestle/sumactrestle/internal/proxy/routing"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

const (
	// defaultMaxAttempts is the maximum number of targets a request is sent to, unless its route
	// sets one. It also limits the attempts that fail before anything is written.
	defaultMaxAttempts = 4

	// maxRequestedDeadline is in milliseconds. A client's deadline of this value or more is
	// ignored.
	maxRequestedDeadline = 3600_000

	// minConnectTimeout is the minimum timeout for connecting to a target, unless the
	// configured timeout is shorter.
	minConnectTimeout = 250 * time.Millisecond
)

// requestPlan holds the decisions made for a request before it is admitted, and its progress.
// Only the request's goroutine changes it, except for the atomic fields.
type requestPlan struct {
	requestID string

	// Derived from the epoch's configuration.
	snapshot      *distribution.Snapshot
	route         *rpc.Route
	service       rpc.Service
	endpoints     *endpoint.Pool
	zoneProxies   int
	idempotent    bool // the route declares repeats safe (RFC 9110, section 9.2.2)
	maxAttempts   int  // maximum number of targets
	latencyTarget time.Duration
	deadline      time.Time

	// Derived from the client's idempotency key.
	keyHash        uint64 // zero without a key
	recordName     string // idempotency record to acquire; empty if none is needed
	reservationID  string // identifies the reservation of the record; clients may reuse request IDs
	isClientRepeat bool   // the client repeats a request whose key this proxy's tracker knows

	// Progress.
	bodyRead     bool // reading the body may have begun
	tried        []*endpoint.Endpoint
	hedges       int           // sent in addition to the current attempt
	writtenEpoch atomic.Uint64 // highest epoch under which it was written to a target
	upstreamTime atomic.Int64  // nanoseconds spent on targets; a hedged attempt may add to it later
}

// plan plans a request. A non-nil plan returned with an error holds at least the snapshot under
// which the error occurred.
func (p *Proxy) plan(r *http.Request, requestID string) (*requestPlan, error) {
	view := p.epoch.Load()
	if view == nil {
		return nil, errcode.New(errcode.NotFresh, "no configuration yet")
	}
	plan := &requestPlan{requestID: requestID, snapshot: view.snapshot, route: view.routes.Match(r)}
	if !p.opaqueSeals {
		plan.keyHash = idempotency.HashOf(r)
	}
	if plan.route == nil {
		if !p.configuration.IsFresh(view.snapshot, "") {
			return plan, errcode.New(errcode.NotFresh, "epoch %d", view.snapshot.Epoch)
		}
		return plan, errcode.New(errcode.NoRoute, "%s %s", r.Method, r.URL.Path)
	}
	service, ok := view.snapshot.Services[routing.ChooseService(plan.route)]
	if !ok {
		return plan, errcode.New(errcode.NoTarget, "service of %s", plan.route.Name)
	}
	plan.service, plan.idempotent, plan.maxAttempts = service, plan.route.Idempotent, defaultMaxAttempts
	if plan.route.MaxAttempts > 0 {
		plan.maxAttempts = plan.route.MaxAttempts
	}
	if deduplicate := plan.route.Deduplicate == nil || *plan.route.Deduplicate; plan.keyHash != 0 && deduplicate && !plan.idempotent {
		plan.recordName, plan.reservationID = idempotency.RecordName(r), requestID+"/"+ids.NewID()
	}
	now := time.Now()
	plan.deadline = p.lifecycle.capDeadline(p.deadline(r, plan.route, now))
	plan.latencyTarget = time.Duration(plan.route.LatencyTargetMillis) * time.Millisecond
	if plan.latencyTarget <= 0 {
		plan.latencyTarget = plan.deadline.Sub(now) / 4
	}
	if !p.configuration.IsFresh(view.snapshot, service.Name) {
		return plan, errcode.New(errcode.NotFresh, "epoch %d", view.snapshot.Epoch)
	}
	plan.endpoints, plan.zoneProxies = view.pools[service.Name], view.zoneProxies
	if plan.endpoints == nil || len(plan.endpoints.Endpoints) == 0 {
		return plan, errcode.New(errcode.NoTarget, "%s", service.Name)
	}
	return plan, nil
}

// deadline returns the route's deadline or the default, or the client's if that is earlier.
func (p *Proxy) deadline(r *http.Request, route *rpc.Route, now time.Time) time.Time {
	deadline := now.Add(p.environment.Config.ProxyDefaultDeadline)
	if route.DeadlineMillis > 0 {
		deadline = now.Add(time.Duration(route.DeadlineMillis) * time.Millisecond)
	}
	if milliseconds, err := strconv.ParseInt(r.Header.Get(p.environment.Config.HeaderDeadline), 10, 64); err == nil && milliseconds >= 0 && milliseconds < maxRequestedDeadline {
		if requested := now.Add(time.Duration(milliseconds) * time.Millisecond); requested.Before(deadline) {
			deadline = requested
		}
	}
	return deadline
}

// connectTimeout returns the timeout for connecting to a target: the configured one, limited to
// the latency target so that another target can still be tried, but not below minConnectTimeout
// unless the configured one is.
func (rp *requestPlan) connectTimeout(configured time.Duration) time.Duration {
	return min(configured, max(rp.latencyTarget, minConnectTimeout))
}

// uploadDeadline returns the latest time at which the body may be scheduled: the end of the
// latency target, or the request's deadline if that is earlier.
func (rp *requestPlan) uploadDeadline(now time.Time) time.Time {
	latest := now.Add(rp.latencyTarget)
	if rp.deadline.Before(latest) {
		return rp.deadline
	}
	return latest
}

// recordWrittenEpoch records that the request is written to a target under an epoch.
func (rp *requestPlan) recordWrittenEpoch(epoch ids.Epoch) {
	for {
		recorded := rp.writtenEpoch.Load()
		if recorded >= uint64(epoch) || rp.writtenEpoch.CompareAndSwap(recorded, uint64(epoch)) {
			return
		}
	}
}

// epoch returns the highest epoch under which the request was written to a target, or the
// plan's if it was not written.
func (rp *requestPlan) epoch() ids.Epoch {
	return max(rp.snapshot.Epoch, ids.Epoch(rp.writtenEpoch.Load()))
}

// addUpstreamTime adds the time since sentAt, when the request was sent to a target.
func (rp *requestPlan) addUpstreamTime(sentAt time.Time) {
	rp.upstreamTime.Add(int64(time.Since(sentAt)))
}
