// The proxy's cache: per group the copy with its digest and version, replaced
// only by newer, and staged until all groups of one epoch's manifest are there;
// then the whole epoch is swapped in by one pointer and subscribers are told.
// Epochs only go up.
package distribution

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/sumactrestle/sumactrestle/internal/controlplane"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// Chart is one epoch, converted for use; it is never written to.
type Chart struct {
	Epoch    ids.Epoch
	Manifest map[string]rpc.GroupVersion
	Routes   map[string][]rpc.Route
	Services map[string]rpc.Service
	Limits   map[string]rpc.Limit
	Manners  *rpc.ClientLimits
	Targets  map[string][]rpc.Target
	Shares   map[ids.NodeName]int
	groups   map[string]rpc.Group
	sum      string
}

// Cache holds the chart in use and the groups staged for the next.
type Cache struct {
	s     *eventlog.Sign
	chart atomic.Pointer[Chart]
	told  []func(*Chart)

	mu     sync.Mutex
	staged map[string]rpc.Group
}

func NewCache(s *eventlog.Sign) *Cache { return &Cache{s: s, staged: map[string]rpc.Group{}} }

// Subscribe names a verb that is told of every chart swapped in.
func (c *Cache) Subscribe(verb func(*Chart)) { c.told = append(c.told, verb) }

// Chart is the epoch in use; nil before the first.
func (c *Cache) Chart() *Chart { return c.chart.Load() }

// Have is what a listener request carries: each group's digest and version.
func (c *Cache) Have() (ids.Epoch, map[string]rpc.GroupVersion) {
	chart := c.Chart()
	if chart == nil {
		return 0, nil
	}
	return chart.Epoch, chart.Manifest
}

// Stage keeps fetched groups, each only if it is newer than the one kept.
func (c *Cache) Stage(groups map[string]rpc.Group) (isNewer bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, group := range groups {
		if old, ok := c.held(name); ok && group.Index <= old.Index {
			continue
		}
		if group.BaseDigest != "" {
			old, ok := c.under(name, group.BaseDigest)
			if !ok {
				continue
			}
			whole, err := controlplane.PatchTargets(old.Data, group.PutTargets, group.RemovedTargets)
			if err != nil {
				continue
			}
			group = rpc.Group{Digest: group.Digest, Index: group.Index, Data: whole}
		}
		if controlplane.Digest(group.Data) != group.Digest {
			continue
		}
		c.staged[name] = group
		isNewer = true
	}
	return isNewer
}

func (c *Cache) held(name string) (rpc.Group, bool) {
	if group, ok := c.staged[name]; ok {
		return group, true
	}
	if chart := c.Chart(); chart != nil {
		group, ok := chart.groups[name]
		return group, ok
	}
	return rpc.Group{}, false
}

// under is a group held under a digest, staged or in use.
func (c *Cache) under(name, digest string) (rpc.Group, bool) {
	if group, ok := c.staged[name]; ok && group.Digest == digest {
		return group, true
	}
	if chart := c.Chart(); chart != nil && chart.groups[name].Digest == digest {
		return chart.groups[name], true
	}
	return rpc.Group{}, false
}

// Holds is the digests of the groups named that are held in some version.
func (c *Cache) Holds(names []string) map[string]string {
	c.mu.Lock()
	defer c.mu.Unlock()
	digests := map[string]string{}
	for _, name := range names {
		if group, ok := c.held(name); ok {
			digests[name] = group.Digest
		}
	}
	return digests
}

// Missing is which groups of a manifest are neither in use nor staged.
func (c *Cache) Missing(manifest map[string]rpc.GroupVersion) (names []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, held := range manifest {
		if !c.has(name, held) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (c *Cache) has(name string, held rpc.GroupVersion) bool {
	if group, ok := c.staged[name]; ok && group.Digest == held.Digest {
		return true
	}
	if chart := c.Chart(); chart != nil {
		group, ok := chart.groups[name]
		return ok && group.Digest == held.Digest
	}
	return false
}

// Swap takes a whole epoch into use if it is newer and all of it is there.
func (c *Cache) Swap(epoch ids.Epoch, manifest map[string]rpc.GroupVersion) (bool, error) {
	c.mu.Lock()
	old := c.Chart()
	if old != nil && epoch <= old.Epoch {
		c.mu.Unlock()
		return false, nil
	}
	groups := make(map[string]rpc.Group, len(manifest))
	for name, held := range manifest {
		if !c.has(name, held) {
			c.mu.Unlock()
			return false, nil
		}
		group := c.staged[name]
		if group.Digest != held.Digest {
			group = old.groups[name]
		}
		groups[name] = group
	}
	chart, err := convert(epoch, manifest, groups, old)
	if err != nil {
		c.mu.Unlock()
		return false, err
	}
	for name, group := range c.staged {
		if now, ok := groups[name]; ok && group.Index <= now.Index {
			delete(c.staged, name)
		}
	}
	c.chart.Store(chart)
	for _, verb := range c.told {
		verb(chart)
	}
	c.mu.Unlock()
	c.s.Say(eventlog.EpochServed, "epoch", uint64(epoch), "groups", len(groups))
	return true, nil
}

// convert unpacks the groups; those that did not change are taken over.
func convert(epoch ids.Epoch, manifest map[string]rpc.GroupVersion, groups map[string]rpc.Group, old *Chart) (*Chart, error) {
	chart := &Chart{Epoch: epoch, Manifest: maps.Clone(manifest), groups: groups, sum: controlplane.DigestManifest(manifest),
		Services: map[string]rpc.Service{}, Limits: map[string]rpc.Limit{}, Targets: map[string][]rpc.Target{}, Shares: map[ids.NodeName]int{}}
	read := func(name string, into any) error {
		group, ok := groups[name]
		if !ok {
			return nil
		}
		if err := json.Unmarshal(group.Data, into); err != nil {
			return errcode.New(errcode.BadMessage, "group %s: %v", name, err)
		}
		return nil
	}
	isSame := func(name string) bool { return old != nil && old.groups[name].Digest == groups[name].Digest }
	routes := map[string][]rpc.Route{}
	for name := range groups {
		if !strings.HasPrefix(name, controlplane.RoutesPrefix) {
			continue
		}
		var some []rpc.Route
		if isSame(name) {
			some = old.Routes[name]
		} else if err := read(name, &some); err != nil {
			return nil, err
		}
		routes[name] = some
	}
	chart.Routes = routes
	var services []rpc.Service
	var limits []rpc.Limit
	if err := read(controlplane.ServicesGroup, &services); err != nil {
		return nil, err
	}
	if err := read(controlplane.LimitsGroup, &limits); err != nil {
		return nil, err
	}
	if err := read(controlplane.SharesGroup, &chart.Shares); err != nil {
		return nil, err
	}
	if err := read(controlplane.ClientLimitsGroup, &chart.Manners); err != nil {
		return nil, err
	}
	for _, s := range services {
		chart.Services[s.Name] = s
	}
	for _, l := range limits {
		chart.Limits[l.Service] = l
	}
	for name := range groups {
		service, ok := strings.CutPrefix(name, controlplane.TargetsPrefix)
		if !ok {
			continue
		}
		var list []rpc.Target
		if isSame(name) {
			list = old.Targets[service]
		} else if err := read(name, &list); err != nil {
			return nil, err
		}
		chart.Targets[service] = list
	}
	return chart, nil
}

// Delta makes a whole manifest of the one in use and what a listener reported.
func (c *Cache) Delta(base map[string]rpc.GroupVersion, receipt *rpc.ListenResponse) map[string]rpc.GroupVersion {
	manifest := maps.Clone(base)
	if manifest == nil {
		manifest = map[string]rpc.GroupVersion{}
	}
	for _, name := range receipt.Removed {
		delete(manifest, name)
	}
	for name, held := range receipt.Changed {
		manifest[name] = held
	}
	return manifest
}
