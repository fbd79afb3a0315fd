// The Gate takes callers' requests, plans each and carries the plan out. What
// can't be done is answered at once, with a numbered code, the outcome as far
// as it is known, and a spread Retry-After; nothing is ever held back.
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
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/membership"
	"github.com/sumactrestle/sumactrestle/internal/proxy/admission"
	"github.com/sumactrestle/sumactrestle/internal/proxy/retry"
	"github.com/sumactrestle/sumactrestle/internal/proxy/upstream"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

const (
	maxReplayableBody = 64 << 10

	// defaultMaxAttempts is how many targets one request is sent to, if its mapping names
	// no number.
	defaultMaxAttempts = 4
)

// Proxy is one proxy's.
type Proxy struct {
	environment       *environment.Environment
	configuration     *distribution.Client
	current           atomic.Pointer[epochView]
	connections       *upstream.Pool
	retryBudget       *retry.Budget
	orders            *Tracker
	inFlightByService sync.Map
	uploads           *admission.Uploads
	opaqueSeals       bool // answers bear an opaque seal, and nothing of ours is added
	inFlight          atomic.Int64
	stopping          atomic.Bool
	// draining is set while a stopping proxy still serves whoever comes.
	draining      atomic.Bool
	orderReports  *orderReporter
	outliers      *outlierReporter
	membership    *membership.Memberlist
	rpc           *rpc.Transport
	unwritten     chan orderOutcome
	coordinate    func(context.Context, *rpc.CoordinationRequest) (*rpc.CoordinationResponse, error)
	OutcomeCounts sync.Map
}

func New(env *environment.Environment, configuration *distribution.Client, rpcClient *rpc.Transport, membership *membership.Memberlist, coordinate func(context.Context, *rpc.CoordinationRequest) (*rpc.CoordinationResponse, error)) *Proxy {
	correlationHeader := ""
	if env.Config.GateSeal == "opaque" {
		correlationHeader = env.Config.HeaderRequest
	}
	p := &Proxy{environment: env, configuration: configuration, connections: upstream.NewPool(upstream.Config{Environment: env, IdleTimeout: env.Config.GateIdle, CorrelationHeader: correlationHeader}), retryBudget: retry.NewBudget(env.Config.ExtraWindow), uploads: admission.New(admission.Config{KilobytesPerSecond: env.Config.GateRate, ConcurrentReads: env.Config.GateBodies}), opaqueSeals: env.Config.GateSeal == "opaque", orders: NewTracker(), membership: membership, rpc: rpcClient, coordinate: coordinate, unwritten: make(chan orderOutcome, 4096)}
	env.Go(p.writeOutcomes)
	p.orderReports = newOrderReporter(env, rpcClient, membership, p.retryBudget, p.orders, configuration.Cache.Snapshot)
	p.outliers = newOutlierReporter(p)
	configuration.Cache.Subscribe(func(snapshot *distribution.Snapshot) {
		next := p.newEpochView(snapshot, p.current.Load())
		p.current.Store(next)
		p.retryBudget.SetProxyCount(len(snapshot.Shares))
		p.connections.Prune(func(at string) bool { return next.addresses[at] })
	})
	return p
}

// Drain serves on, and has every connection closed after its next answer.
func (p *Proxy) Drain() { p.draining.Store(true) }

// Stop refuses what comes from now on.
func (p *Proxy) Stop() { p.stopping.Store(true) }

// Close ends the idle pipes.
func (p *Proxy) Close() { p.connections.Close() }

// InFlight is how many requests are under way.
func (p *Proxy) InFlight() int64 { return p.inFlight.Load() }

func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	started, inFlight := time.Now(), p.inFlight.Add(1)
	defer p.inFlight.Add(-1)
	requestID := ""
	if p.environment.Config.GateIds == "caller" {
		requestID = r.Header.Get(p.environment.Config.HeaderRequest)
	} else {
		requestID = ids.NewID()
	}
	if requestID != "" {
		w.Header().Set(p.environment.Config.HeaderRequest, requestID)
	}
	if p.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	plan, response, err := p.handle(w, r, requestID, inFlight)
	if err != nil {
		p.reject(w, r, plan, err)
	} else {
		p.writeResponse(w, plan, response)
	}
	p.recordDuration(plan, started, err)
}

// handle plans a request, asks for what it needs, and carries it out.
func (p *Proxy) handle(w http.ResponseWriter, r *http.Request, requestID string, inFlight int64) (*requestPlan, *upstream.Response, error) {
	if p.stopping.Load() {
		w.Header().Set("Connection", "close")
		return nil, nil, errcode.New(errcode.Stopping, "")
	}
	if inFlight > int64(p.environment.Config.GateInflight) {
		return nil, nil, errcode.New(errcode.Overload, "%d requests are under way", inFlight-1)
	}
	if r.ContentLength > int64(p.environment.Config.GateRequest) {
		return nil, nil, errcode.New(errcode.RequestTooLarge, "%d bytes", r.ContentLength)
	}
	plan, err := p.plan(r, requestID)
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
	if err := p.acquireRecord(plan); err != nil {
		p.orders.End(plan.orderKey, attemptState(err))
		return plan, nil, err
	}
	response, err := p.forward(plan, r)
	p.orders.End(plan.orderKey, attemptState(err))
	p.recordOutcome(plan, err)
	if plan.orderKey != 0 && attemptState(err) == Unknown {
		p.orderReports.report(lostOrder{plan.orderKey, plan.service.Name})
	}
	return plan, response, err
}

// attemptState tells what a try that ended so makes known of its order.
func attemptState(err error) string {
	switch {
	case err == nil || errcode.Is(err, errcode.OrderRan):
		return Ran
	case errcode.Of(err).Code.Outcome == "unknown" && !errcode.Is(err, errcode.OrderUnderWay):
		return Unknown
	}
	return Unheard
}

// admit holds the proxy's share of the service and the budget of repeats.
func (p *Proxy) admit(plan *requestPlan) (func(), error) {
	inFlight := p.serviceInFlight("service\n" + plan.service.Name)
	count := inFlight.Add(1)
	release := func() { inFlight.Add(-1) }
	if limit := plan.snapshot.Limits[plan.service.Name].MaxInFlight; limit > 0 {
		if share := p.quotaShare(plan.snapshot, limit); count > share {
			release()
			return nil, errcode.New(errcode.Overload, "%s: the share of this proxy is %d", plan.service.Name, share)
		}
	}
	if plan.orderKey != 0 && plan.recordName == "" && !plan.idempotent {
		if err := p.checkLossCover(plan); err != nil {
			release()
			return nil, err
		}
	}
	state := p.orders.Begin(plan.orderKey, plan.recordName != "")
	plan.clientRetry = state != Unheard
	if plan.clientRetry && plan.recordName != "" {
		release()
		return nil, errKnown(state, "this proxy handed it over")
	}
	if plan.clientRetry && !p.withdrawRetry(plan) {
		p.orders.End(plan.orderKey, Unheard)
		release()
		return nil, errcode.New(errcode.BudgetSpent, "%s: a repeat of a request", plan.service.Name)
	}
	return release, nil
}

// checkLossCover tells whether an order that may be lost can be handed over, although
// its repeat may come to a proxy that does not hear of it, or came from one that
// could not tell this one: the others tell those that the epoch names.
func (p *Proxy) checkLossCover(plan *requestPlan) error {
	if _, ok := plan.snapshot.Shares[p.environment.Name]; !ok {
		return errcode.New(errcode.Overload, "epoch %d does not name this proxy yet", plan.snapshot.Epoch)
	}
	if !p.retryBudget.CoversLosses(plan.service.Name, p.retryLimits(plan)) {
		return errcode.New(errcode.Overload, "%s: orders were lost of which not all proxies know", plan.service.Name)
	}
	return nil
}

// quotaShare is this proxy's part of a fleet-wide bound, by strength.
func (p *Proxy) quotaShare(snapshot *distribution.Snapshot, limit int) int64 {
	total := 0
	for _, strength := range snapshot.Shares {
		total += strength
	}
	mine := snapshot.Shares[p.environment.Name]
	if total == 0 || mine == 0 {
		mine, total = 1, len(snapshot.Shares)+1
	}
	return max(1, int64(limit)*int64(mine)/int64(total))
}

func (p *Proxy) serviceInFlight(key string) *atomic.Int64 {
	if found, ok := p.inFlightByService.Load(key); ok {
		return found.(*atomic.Int64)
	}
	found, _ := p.inFlightByService.LoadOrStore(key, new(atomic.Int64))
	return found.(*atomic.Int64)
}

func (p *Proxy) retryLimits(plan *requestPlan) retry.Limits {
	limits := retry.Limits{Percent: p.environment.Config.ExtraPercent, Base: p.environment.Config.ExtraBase}
	quota := plan.snapshot.Limits[plan.service.Name]
	if quota.RetryPercent != nil {
		limits.Percent = min(limits.Percent, *quota.RetryPercent)
	}
	if quota.RetryBase != nil {
		limits.Base = min(limits.Base, *quota.RetryBase)
	}
	return limits
}

func (p *Proxy) withdrawRetry(plan *requestPlan) bool {
	return p.retryBudget.Withdraw(plan.service.Name, p.retryLimits(plan))
}

// forward tries targets until one answers. A try that ran nothing, as far as is
// known for certain, may be followed by another; one that may have run something
// only if the request may be repeated. Each target that a request was sent to,
// beyond the first, is paid from the budget of extra tries. A target's own failure at a
// request that may be repeated is passed on only if no other target does better.
func (p *Proxy) forward(plan *requestPlan, r *http.Request) (*upstream.Response, error) {
	ctx, cancel := context.WithDeadline(p.environment, plan.deadline)
	defer cancel()
	if plan.idempotent {
		// A target works for nobody once the caller has gone; what may not be repeated
		// is left to end, for it may have run.
		defer context.AfterFunc(r.Context(), cancel)()
	}
	body, replayable, err := p.requestBody(ctx, plan, r)
	if err != nil {
		return nil, err
	}
	var lastErr error
	var failed *upstream.Response
	sent, misses := 0, 0
	written := false
	for sent < plan.maxAttempts && misses < defaultMaxAttempts {
		if r.Context().Err() != nil {
			if !written {
				lastErr = errcode.New(errcode.NotWritten, "%s: the caller has gone", plan.service.Name)
			}
			break
		}
		if len(plan.tried) > 0 && !p.uploads.AwaitTurn(ctx, r.ContentLength, plan.deadline) {
			break
		}
		candidate := p.selectEndpoint(plan, r.ContentLength)
		if candidate == nil || sent > 0 && (time.Now().After(plan.deadline) || !p.withdrawRetry(plan)) {
			break
		}
		plan.tried = append(plan.tried, candidate)
		response, wrote, err := p.attempt(ctx, plan, r, candidate, body, sent)
		sent, plan.hedges = sent+plan.hedges, 0
		if err == nil {
			if response.HTTP.StatusCode < 500 || !plan.idempotent || !replayable {
				return response, nil
			}
			failed = response
			sent++
			continue
		}
		mayHaveRun := wrote && response == nil
		written = written || mayHaveRun
		if wrote {
			sent++
		} else {
			misses++
		}
		p.environment.Events.Say(eventlog.TryFailed, "request", plan.requestID, "service", plan.service.Name, "instance", candidate.Target.Instance, "wrote", wrote, "cause", err.Error())
		if !written || mayHaveRun {
			lastErr = err
		}
		if mayHaveRun && !plan.idempotent || wrote && !replayable || errcode.Is(err, errcode.NotFresh) || errcode.Is(err, errcode.BodyCut) {
			break
		}
	}
	if failed != nil {
		return failed, nil
	}
	if lastErr == nil {
		lastErr = errcode.New(errcode.NotWritten, "%s", plan.service.Name)
	}
	return nil, lastErr
}
