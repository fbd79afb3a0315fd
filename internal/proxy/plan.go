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
	// defaultMaxAttempts is how many targets one request is sent to, if its route names no
	// number.
	defaultMaxAttempts = 4

	// maxRequestedDeadline bounds, in milliseconds, the deadline that a client may ask for.
	maxRequestedDeadline = 3600_000

	// minConnectTimeout is the least time for a connection to a target, unless the settings
	// name less.
	minConnectTimeout = 250 * time.Millisecond
)

// requestPlan is what is to be done with a request, made as data before anything is done,
// and how far it has come. Only the request's own goroutine changes it, except upstreamTime.
type requestPlan struct {
	requestID string

	// What the epoch says.
	snapshot      *distribution.Snapshot
	route         *rpc.Route
	service       rpc.Service
	endpoints     *endpoint.Pool
	zoneProxies   int
	idempotent    bool // may be repeated by anyone (RFC 9110, section 9.2.2), as the route says
	maxAttempts   int  // targets that it may be sent to
	latencyTarget time.Duration
	deadline      time.Time

	// The client's idempotency key.
	keyHash     uint64 // zero if there is none
	recordName  string // of the record to acquire; empty if none is needed
	clientRetry bool   // repeats a request that is known here

	// How far it has come.
	bodyRead     bool // some of the body may have been read
	tried        []*endpoint.Endpoint
	hedges       int           // sent beside the attempt under way
	handedOver   atomic.Uint64 // the greatest epoch under which it was handed to a target
	upstreamTime atomic.Int64  // nanoseconds that targets took; a hedged attempt may end later
}

// plan plans a request. The plan that comes with an error, if any, says at least under which
// epoch the error arose.
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
		plan.recordName = idempotency.RecordName(r)
	}
	now := time.Now()
	plan.deadline = p.lifecycle.bound(p.deadline(r, plan.route, now))
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

// deadline is the route's or the default one, or the client's if that is earlier.
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

// connectTimeout is how long a connection to a target may take: the latency target at most,
// so that another target can still be tried.
func (rp *requestPlan) connectTimeout(configured time.Duration) time.Duration {
	return min(configured, max(rp.latencyTarget, minConnectTimeout))
}

// uploadDeadline is until when the turn of the request's body may come: one that would start
// later than it should have ended is rejected.
func (rp *requestPlan) uploadDeadline(now time.Time) time.Time {
	limit := now.Add(rp.latencyTarget)
	if rp.deadline.Before(limit) {
		return rp.deadline
	}
	return limit
}

// noteHandOver notes that the request is handed to a target under an epoch.
func (rp *requestPlan) noteHandOver(epoch ids.Epoch) {
	for {
		noted := rp.handedOver.Load()
		if noted >= uint64(epoch) || rp.handedOver.CompareAndSwap(noted, uint64(epoch)) {
			return
		}
	}
}

// epoch is the one under which the request was handed over; the plan's if it was not.
func (rp *requestPlan) epoch() ids.Epoch {
	return max(rp.snapshot.Epoch, ids.Epoch(rp.handedOver.Load()))
}

// addUpstreamTime adds the time since a request was sent to a target.
func (rp *requestPlan) addUpstreamTime(sent time.Time) { rp.upstreamTime.Add(int64(time.Since(sent))) }
