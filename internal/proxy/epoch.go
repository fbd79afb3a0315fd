package proxy

import (
	"time"

	"github.com/sumactrestle/sumactrestle/internal/distribution"
	"github.com/sumactrestle/sumactrestle/internal/proxy/endpoint"
	"github.com/sumactrestle/sumactrestle/internal/proxy/routing"
)

// epochView is one epoch of the configuration, prepared for serving requests. It is immutable,
// except for the state in its endpoint pools.
type epochView struct {
	snapshot     *distribution.Snapshot
	routes       *routing.Table
	pools        map[string]*endpoint.Pool     // by service name
	byReportID   map[string]*endpoint.Endpoint // by Endpoint.ReportID
	endpointKeys map[string]bool               // keys of all targets, including those of weight zero
	zoneProxies  int                           // number of proxies that share the endpoints of this zone
}

// newEpochView prepares an epoch. It reuses the routing table, if no route changed, and the
// state of endpoints from the previous view, which may be nil.
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

// hasSameRoutes reports whether the previous view is non-nil and has the same routes, by the
// digests in the manifest.
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

// zoneProxies returns the number of live proxies in this zone that the epoch lists. It is at
// least one, because the epoch may not list this proxy yet.
func (p *Proxy) zoneProxies(snapshot *distribution.Snapshot) int {
	count := 0
	for name, member := range p.membership.View() {
		if _, listed := snapshot.Shares[name]; listed && member.Zone == p.environment.Config.Zone && member.IsLive() {
			count++
		}
	}
	return max(count, 1)
}
