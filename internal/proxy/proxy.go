// Package proxy forwards client requests to targets.
//
// ServeHTTP plans each request (plan.go), admits it (admit.go), forwards it to one target
// after another until one responds (forward.go, attempt.go, hedge.go), and writes the response
// (respond.go). A request that can't be served is rejected immediately, never queued. The
// rejection has a numbered error code, the request's outcome as far as it is known ("ran",
// "not run" or "unknown"), and a randomized Retry-After.
//
// Subpackages: routing finds the route, endpoint selects the target, outlier shares failures
// among proxies, upstream pools the connections, retry limits extra requests, admission
// schedules large bodies, and idempotency keeps requests from running twice.
package proxy

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/distribution"
	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/membership"
	"github.com/sumactrestle/sumactrestle/internal/proxy/admission"
	"github.com/sumactrestle/sumactrestle/internal/proxy/endpoint"
	"github.com/sumactrestle/sumactrestle/internal/proxy/idempotency"
	"github.com/sumactrestle/sumactrestle/internal/proxy/outlier"
	"github.com/sumactrestle/sumactrestle/internal/proxy/retry"
	"github.com/sumactrestle/sumactrestle/internal/proxy/upstream"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// Values of the settings proxy.seal_mode and proxy.request_id_source.
const (
	sealModeOpaque      = "opaque"
	requestIDFromClient = "caller"
)

// Config holds the dependencies of a Proxy.
type Config struct {
	Environment   *environment.Environment
	Configuration *distribution.Client
	RPC           *rpc.Transport
	Membership    *membership.Memberlist
	// Coordinate sends a coordination request to the leader of the replicated state.
	Coordinate func(context.Context, *rpc.CoordinationRequest) (*rpc.CoordinationResponse, error)
}

// Proxy is an http.Handler that forwards client requests. It is safe for concurrent use.
type Proxy struct {
	environment   *environment.Environment
	configuration *distribution.Client
	rpc           *rpc.Transport
	membership    *membership.Memberlist

	// opaqueSeals is set if only the client can verify the seal of a response. The proxy then
	// adds none of its own header fields.
	opaqueSeals bool

	epoch     atomic.Pointer[epochView] // current epoch; nil before the first
	lifecycle lifecycle
	counts    requestCounts

	// Admission.
	uploads     *admission.Uploads
	retryBudget *retry.Budget
	keyed       keyedRequests

	// Targets.
	connections *upstream.Pool
	outliers    *outlier.Reporter
}

// requestCounts holds the request counters.
type requestCounts struct {
	inFlight  atomic.Int64
	byService sync.Map // service name to *atomic.Int64: requests in flight
	outcomes  sync.Map // "ran" or error code name to *atomic.Int64
}

// keyedRequests keeps requests with an idempotency key from running twice.
type keyedRequests struct {
	tracker *idempotency.Tracker
	records *idempotency.Records
	losses  *idempotency.LossReporter
}

// New returns a proxy that applies each new epoch of the configuration, and starts its
// background tasks in the environment. New must be called before the RPC server accepts
// requests, because it registers RPC handlers.
func New(config Config) *Proxy {
	env, settings := config.Environment, config.Environment.Config
	p := &Proxy{
		environment: env, configuration: config.Configuration, rpc: config.RPC, membership: config.Membership,
		opaqueSeals: settings.ProxySealMode == sealModeOpaque,
		uploads:     admission.New(admission.Config{KilobytesPerSecond: settings.ProxyLargeBodyRate, ConcurrentReads: settings.ProxyMaxLargeBodies}),
		retryBudget: retry.NewBudget(settings.RetryBudgetWindow),
	}
	p.lifecycle.init(env)
	correlationHeader := ""
	if p.opaqueSeals {
		correlationHeader = settings.HeaderRequestID
	}
	p.connections = upstream.NewPool(upstream.Config{Environment: env, IdleTimeout: settings.ProxyIdleTimeout, CorrelationHeader: correlationHeader})
	p.keyed.tracker = idempotency.NewTracker()
	p.keyed.records = idempotency.NewRecords(idempotency.RecordsConfig{Environment: env, Membership: config.Membership, Coordinate: config.Coordinate})
	p.keyed.losses = idempotency.NewLossReporter(idempotency.LossReporterConfig{Environment: env, RPC: config.RPC, Membership: config.Membership, Budget: p.retryBudget, Tracker: p.keyed.tracker, Snapshot: config.Configuration.Cache.Snapshot})
	p.outliers = outlier.NewReporter(outlier.Config{Environment: env, RPC: config.RPC, Membership: config.Membership, Lookup: p.endpointByReportID})
	config.Configuration.Cache.Subscribe(p.applySnapshot)
	return p
}

// applySnapshot makes the snapshot's epoch the current one.
func (p *Proxy) applySnapshot(snapshot *distribution.Snapshot) {
	next := p.newEpochView(snapshot, p.epoch.Load())
	p.epoch.Store(next)
	p.retryBudget.SetProxyCount(len(snapshot.Shares))
	p.connections.Prune(func(key string) bool { return next.endpointKeys[key] })
}

// endpointByReportID returns an endpoint of the current epoch, or nil if there is none.
func (p *Proxy) endpointByReportID(id string) *endpoint.Endpoint {
	view := p.epoch.Load()
	if view == nil {
		return nil
	}
	return view.byReportID[id]
}

// Close closes the idle connections to targets.
func (p *Proxy) Close() { p.connections.Close() }

// InFlight returns the number of requests in flight.
func (p *Proxy) InFlight() int64 { return p.counts.inFlight.Load() }

// ServeHTTP implements http.Handler.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	startedAt, inFlight := time.Now(), p.counts.inFlight.Add(1)
	defer p.counts.inFlight.Add(-1)
	requestID := ""
	if p.environment.Config.ProxyRequestIDSource == requestIDFromClient {
		requestID = r.Header.Get(p.environment.Config.HeaderRequestID)
	} else {
		requestID = ids.NewID()
	}
	if requestID != "" {
		w.Header().Set(p.environment.Config.HeaderRequestID, requestID)
	}
	if p.lifecycle.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	plan, response, err := p.serve(w, r, requestID, inFlight)
	if err != nil {
		p.reject(w, r, plan, err)
	} else {
		p.writeResponse(w, plan, response)
	}
	p.recordDuration(plan, startedAt, err)
}

// serve plans, admits and forwards a request. The plan is nil if the request was rejected
// before planning or there is no configuration.
func (p *Proxy) serve(w http.ResponseWriter, r *http.Request, requestID string, inFlight int64) (plan *requestPlan, response *upstream.Response, err error) {
	if p.lifecycle.stopping.Load() {
		w.Header().Set("Connection", "close")
		return nil, nil, errcode.New(errcode.Stopping, "")
	}
	if inFlight > int64(p.environment.Config.ProxyMaxInflight) {
		return nil, nil, errcode.New(errcode.Overload, "%d requests are in flight", inFlight-1)
	}
	if r.ContentLength > int64(p.environment.Config.ProxyMaxRequestBytes) {
		return nil, nil, errcode.New(errcode.RequestTooLarge, "%d bytes", r.ContentLength)
	}
	plan, err = p.plan(r, requestID)
	if plan != nil && !p.opaqueSeals {
		w.Header().Set(HeaderEpoch, strconv.FormatUint(uint64(plan.snapshot.Epoch), 10))
	}
	if err != nil {
		return plan, nil, err
	}
	release, err := p.admit(plan)
	if err != nil {
		return plan, nil, err
	}
	defer release()
	if plan.recordName != "" {
		if err := p.keyed.records.Acquire(plan.recordName, plan.reservationID, plan.deadline); err != nil {
			p.keyed.tracker.End(plan.keyHash, idempotency.StateAfter(err))
			return plan, nil, err
		}
	}
	response, err = p.forward(plan, r)
	state := idempotency.StateAfter(err)
	p.keyed.tracker.End(plan.keyHash, state)
	if plan.recordName != "" {
		p.keyed.records.Finish(plan.recordName, plan.reservationID, err)
	}
	if plan.keyHash != 0 && state == idempotency.Unknown {
		p.keyed.losses.Report(plan.keyHash, plan.service.Name)
	}
	return plan, response, err
}
