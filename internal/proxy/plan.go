// A course is the plan of one request, made as data before anything is done:
// the mapping, the service, the targets in order, the deadline, whether it may
// be repeated. The table that mappings are found by is made once an epoch.
package proxy

import (
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/distribution"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

type requestPlan struct {
	requestID     string
	snapshot      *distribution.Snapshot
	route         *rpc.Route
	service       rpc.Service
	endpoints     *Pool
	tried         []*Endpoint
	maxAttempts   int // targets that it may be sent to
	hedges        int // sent beside a first try
	zoneProxies   int
	latencyTarget time.Duration
	deadline      time.Time
	idempotent    bool
	orderKey      uint64
	clientRetry   bool
	bodyRead      bool // some of the body may have been read
	recordName    string
	upstreamTime  time.Duration // how long targets took
}

// minConnectTimeout is the least time for a connection to a target, unless gate.connect is
// shorter.
const minConnectTimeout = 250 * time.Millisecond

// connectTimeout is how long a connection to a target may take: the request's aim at most, so
// that another target can still be tried.
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

// epochView finds mappings by path, and knows the targets of the epoch.
type epochView struct {
	snapshot     *distribution.Snapshot
	routesByPath map[string][]*rpc.Route
	addresses    map[string]bool
	byReportID   map[string]*Endpoint // by what proxies name them to one another
	pools        map[string]*Pool
	zoneProxies  int
}

func (p *Proxy) newEpochView(snapshot *distribution.Snapshot, previous *epochView) *epochView {
	view := &epochView{snapshot: snapshot, addresses: map[string]bool{}, byReportID: map[string]*Endpoint{}, pools: map[string]*Pool{}, zoneProxies: p.zoneProxies(snapshot)}
	if view.hasSameRoutes(previous) {
		view.routesByPath = previous.routesByPath
	} else {
		view.routesByPath = map[string][]*rpc.Route{}
		for _, routes := range snapshot.Routes {
			for i := range routes {
				path := strings.TrimSuffix(routes[i].Path, "/")
				view.routesByPath[path] = append(view.routesByPath[path], &routes[i])
			}
		}
	}
	now := time.Now()
	for service, targets := range snapshot.Targets {
		var inherited *Pool
		if previous != nil {
			inherited = previous.pools[service]
		}
		view.pools[service] = p.newPool(service, targets, inherited, now)
		view.pools[service].Durations = p.environment.Latencies.Service(service)
		for _, target := range targets {
			view.addresses[EndpointKey(service, target.Instance, target.Address)] = true
		}
		for _, candidate := range view.pools[service].Endpoints {
			view.byReportID[candidate.ReportID] = candidate
		}
	}
	return view
}

// hasSameRoutes tells whether the routes are those of the table before.
func (v *epochView) hasSameRoutes(previous *epochView) bool {
	if previous == nil || len(previous.snapshot.Routes) != len(v.snapshot.Routes) {
		return false
	}
	for name := range v.snapshot.Routes {
		if previous.snapshot.Manifest[name].Digest != v.snapshot.Manifest[name].Digest {
			return false
		}
	}
	return true
}

// match takes the longest path that fits, one with a host before one without.
func (v *epochView) match(r *http.Request) *rpc.Route {
	host := r.Host
	if strings.IndexByte(host, ':') >= 0 {
		if hostname, _, err := net.SplitHostPort(host); err == nil {
			host = hostname
		}
	}
	requestPath := r.URL.Path
	path := strings.TrimSuffix(requestPath, "/")
	for {
		var best *rpc.Route
		for _, route := range v.routesByPath[path] {
			if route.Host != "" && route.Host != host || !allowsMethod(route, r.Method) {
				continue
			}
			if len(requestPath) < len(route.Path) && len(route.Path) > 1 && strings.HasSuffix(route.Path, "/") {
				continue
			}
			if best == nil || best.Host == "" && route.Host != "" {
				best = route
			}
		}
		if best != nil {
			return best
		}
		slash := strings.LastIndexByte(path, '/')
		if slash < 0 {
			return nil
		}
		path = path[:slash]
	}
}

func allowsMethod(route *rpc.Route, method string) bool {
	if len(route.Methods) == 0 {
		return true
	}
	for _, allowed := range route.Methods {
		if allowed == method {
			return true
		}
	}
	return false
}

// chooseService chooses a service by the weights of the mapping's splits.
func chooseService(route *rpc.Route) string {
	total := 0
	for _, split := range route.Services {
		total += split.Weight
	}
	if total <= 0 {
		return route.Services[0].Service
	}
	n := rand.IntN(total)
	for _, split := range route.Services {
		if n -= split.Weight; n < 0 {
			return split.Service
		}
	}
	return route.Services[0].Service
}

// plan plans a request. With a problem, the course says at least under which
// epoch it arose.
func (p *Proxy) plan(r *http.Request, requestID string) (*requestPlan, error) {
	view := p.current.Load()
	if view == nil {
		return nil, errcode.New(errcode.NotFresh, "no plan yet")
	}
	plan := &requestPlan{requestID: requestID, snapshot: view.snapshot, route: view.match(r)}
	if !p.opaqueSeals {
		plan.orderKey = KeyOf(r)
	}
	if plan.route == nil {
		if !p.configuration.IsFresh(view.snapshot, "") {
			return plan, errcode.New(errcode.NotFresh, "epoch %d", view.snapshot.Epoch)
		}
		return plan, errcode.New(errcode.NoMapping, "%s %s", r.Method, r.URL.Path)
	}
	service, ok := view.snapshot.Services[chooseService(plan.route)]
	if !ok {
		return plan, errcode.New(errcode.NoTarget, "service of %s", plan.route.Name)
	}
	plan.service, plan.idempotent, plan.maxAttempts = service, plan.route.Idempotent, defaultMaxAttempts
	if plan.route.MaxAttempts > 0 {
		plan.maxAttempts = plan.route.MaxAttempts
	}
	if once := plan.route.Deduplicate == nil || *plan.route.Deduplicate; plan.orderKey != 0 && once && !plan.idempotent {
		plan.recordName = recordName(r)
	}
	now := time.Now()
	plan.deadline = now.Add(p.environment.Config.GateDeadline)
	if plan.route.DeadlineMillis > 0 {
		plan.deadline = now.Add(time.Duration(plan.route.DeadlineMillis) * time.Millisecond)
	}
	if milliseconds, err := strconv.ParseInt(r.Header.Get(p.environment.Config.HeaderDeadline), 10, 64); err == nil && milliseconds >= 0 && milliseconds < 3600_000 {
		if requested := now.Add(time.Duration(milliseconds) * time.Millisecond); requested.Before(plan.deadline) {
			plan.deadline = requested
		}
	}
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
