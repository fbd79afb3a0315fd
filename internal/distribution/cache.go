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

// Snapshot is one epoch, converted for use; it is never written to.
type Snapshot struct {
	Epoch          ids.Epoch
	Manifest       map[string]rpc.GroupVersion
	Routes         map[string][]rpc.Route
	Services       map[string]rpc.Service
	Limits         map[string]rpc.Limit
	ClientLimits   *rpc.ClientLimits
	Targets        map[string][]rpc.Target
	Shares         map[ids.NodeName]int
	groups         map[string]rpc.Group
	manifestDigest string
}

// Cache holds the chart in use and the groups staged for the next.
type Cache struct {
	log         *eventlog.Sign
	snapshot    atomic.Pointer[Snapshot]
	subscribers []func(*Snapshot)

	mu     sync.Mutex
	staged map[string]rpc.Group
}

func NewCache(s *eventlog.Sign) *Cache { return &Cache{log: s, staged: map[string]rpc.Group{}} }

// Subscribe names a verb that is told of every chart swapped in.
func (c *Cache) Subscribe(subscriber func(*Snapshot)) {
	c.subscribers = append(c.subscribers, subscriber)
}

// Snapshot is the epoch in use; nil before the first.
func (c *Cache) Snapshot() *Snapshot { return c.snapshot.Load() }

// Current is what a listener request carries: each group's digest and version.
func (c *Cache) Current() (ids.Epoch, map[string]rpc.GroupVersion) {
	snapshot := c.Snapshot()
	if snapshot == nil {
		return 0, nil
	}
	return snapshot.Epoch, snapshot.Manifest
}

// Stage keeps fetched groups, each only if it is newer than the one kept.
func (c *Cache) Stage(groups map[string]rpc.Group) (isNewer bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, group := range groups {
		if old, ok := c.newest(name); ok && group.Index <= old.Index {
			continue
		}
		if group.BaseDigest != "" {
			old, ok := c.withDigest(name, group.BaseDigest)
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

func (c *Cache) newest(name string) (rpc.Group, bool) {
	if group, ok := c.staged[name]; ok {
		return group, true
	}
	if snapshot := c.Snapshot(); snapshot != nil {
		group, ok := snapshot.groups[name]
		return group, ok
	}
	return rpc.Group{}, false
}

// withDigest is a group held under a digest, staged or in use.
func (c *Cache) withDigest(name, digest string) (rpc.Group, bool) {
	if group, ok := c.staged[name]; ok && group.Digest == digest {
		return group, true
	}
	if snapshot := c.Snapshot(); snapshot != nil && snapshot.groups[name].Digest == digest {
		return snapshot.groups[name], true
	}
	return rpc.Group{}, false
}

// Digests is the digests of the groups named that are held in some version.
func (c *Cache) Digests(names []string) map[string]string {
	c.mu.Lock()
	defer c.mu.Unlock()
	digests := map[string]string{}
	for _, name := range names {
		if group, ok := c.newest(name); ok {
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
		if !c.hasVersion(name, held) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (c *Cache) hasVersion(name string, held rpc.GroupVersion) bool {
	if group, ok := c.staged[name]; ok && group.Digest == held.Digest {
		return true
	}
	if snapshot := c.Snapshot(); snapshot != nil {
		group, ok := snapshot.groups[name]
		return ok && group.Digest == held.Digest
	}
	return false
}

// Activate takes a whole epoch into use if it is newer and all of it is there.
func (c *Cache) Activate(epoch ids.Epoch, manifest map[string]rpc.GroupVersion) (bool, error) {
	c.mu.Lock()
	old := c.Snapshot()
	if old != nil && epoch <= old.Epoch {
		c.mu.Unlock()
		return false, nil
	}
	groups := make(map[string]rpc.Group, len(manifest))
	for name, held := range manifest {
		if !c.hasVersion(name, held) {
			c.mu.Unlock()
			return false, nil
		}
		group := c.staged[name]
		if group.Digest != held.Digest {
			group = old.groups[name]
		}
		groups[name] = group
	}
	snapshot, err := newSnapshot(epoch, manifest, groups, old)
	if err != nil {
		c.mu.Unlock()
		return false, err
	}
	for name, group := range c.staged {
		if now, ok := groups[name]; ok && group.Index <= now.Index {
			delete(c.staged, name)
		}
	}
	c.snapshot.Store(snapshot)
	for _, subscriber := range c.subscribers {
		subscriber(snapshot)
	}
	c.mu.Unlock()
	c.log.Say(eventlog.EpochServed, "epoch", uint64(epoch), "groups", len(groups))
	return true, nil
}

// newSnapshot unpacks the groups; those that did not change are taken over.
func newSnapshot(epoch ids.Epoch, manifest map[string]rpc.GroupVersion, groups map[string]rpc.Group, old *Snapshot) (*Snapshot, error) {
	snapshot := &Snapshot{Epoch: epoch, Manifest: maps.Clone(manifest), groups: groups, manifestDigest: controlplane.DigestManifest(manifest),
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
	snapshot.Routes = routes
	var services []rpc.Service
	var limits []rpc.Limit
	if err := read(controlplane.ServicesGroup, &services); err != nil {
		return nil, err
	}
	if err := read(controlplane.LimitsGroup, &limits); err != nil {
		return nil, err
	}
	if err := read(controlplane.SharesGroup, &snapshot.Shares); err != nil {
		return nil, err
	}
	if err := read(controlplane.ClientLimitsGroup, &snapshot.ClientLimits); err != nil {
		return nil, err
	}
	for _, s := range services {
		snapshot.Services[s.Name] = s
	}
	for _, l := range limits {
		snapshot.Limits[l.Service] = l
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
		snapshot.Targets[service] = list
	}
	return snapshot, nil
}

// Delta makes a whole manifest of the one in use and what a listener reported.
func (c *Cache) Delta(base map[string]rpc.GroupVersion, response *rpc.ListenResponse) map[string]rpc.GroupVersion {
	manifest := maps.Clone(base)
	if manifest == nil {
		manifest = map[string]rpc.GroupVersion{}
	}
	for _, name := range response.Removed {
		delete(manifest, name)
	}
	for name, held := range response.Changed {
		manifest[name] = held
	}
	return manifest
}
