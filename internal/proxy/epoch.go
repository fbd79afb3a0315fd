package proxy

import (
	"time"

	"github.com/sumactrestle/sumactrestle/internal/distribution"
	"github.com/sumactrestle/sumactrestle/internal/proxy/endpoint"
	"github.com/sumactrestle/sumactrestle/internal/proxy/routing"
)

// epochView is one epoch of the configuration, prepared for serving requests. It is made
// once an epoch and not changed afterwards, except within its endpoint pools.
type epochView struct {
	snapshot     *distribution.Snapshot
	routes       *routing.Table
	pools        map[string]*endpoint.Pool     // by service
	byReportID   map[string]*endpoint.Endpoint // by the names that proxies use among themselves
	endpointKeys map[string]bool               // of all targets, also those of weight zero
	zoneProxies  int                           // proxies that share the endpoints of this zone
}

// newEpochView prepares an epoch. Routes that have not changed, and what is known of
// endpoints, are taken over from the previous view, which may be nil.
func (p *Proxy) newEpochView(snapshot *distribution.Snapshot, previous *epochView) *epochView {
	view := &epochView{
		snapshot:     snapshot,
		pools:        map[string]*endpoint.Pool{},
		byReportID:   map[string]*endpoint.Endpoint{},
		endpointKeys: map[string]bool{},
		zoneProxies:  p.zoneProxies(snapshot),
	}
	if view.hasSameRoutes(previous) {
		view.routes = previous.routes
	} else {
		view.routes = routing.New(snapshot.Routes)
	}
	now := time.Now()
	for service, targets := range snapshot.Targets {
		config := endpoint.Config{
			Service:      service,
			Zone:         p.environment.Config.Zone,
			Targets:      targets,
			HedgePercent: p.environment.Config.ProxyHedgePercent,
			Durations:    p.environment.Latencies.Service(service),
		}
		if previous != nil {
			config.Previous = previous.pools[service]
		}
		pool := endpoint.NewPool(config, now)
		view.pools[service] = pool
		for _, target := range targets {
			view.endpointKeys[endpoint.Key(service, target.Instance, target.Address)] = true
		}
		for _, member := range pool.Endpoints {
			view.byReportID[member.ReportID] = member
		}
	}
	return view
}

// hasSameRoutes reports whether the routes are those of the previous view.
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

// zoneProxies counts the proxies of this zone that the epoch names and that seem to live; at
// least one, for this proxy may not be named yet.
func (p *Proxy) zoneProxies(snapshot *distribution.Snapshot) int {
	count := 0
	for name, member := range p.membership.View() {
		if _, named := snapshot.Shares[name]; named && member.Zone == p.environment.Config.Zone && member.IsLive() {
			count++
		}
	}
	return max(count, 1)
}
