package distribution

import (
	"slices"
	"sync"
	"sync/atomic"

	"github.com/sumactrestle/sumactrestle/internal/controlplane"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// Cache holds a proxy's configuration: the active snapshot and the groups staged for a later
// epoch. A group is replaced only by one with a greater index. An epoch is activated as a
// whole, only when all groups of its manifest are present and only if it is greater than the
// active one.
type Cache struct {
	events   *eventlog.Log
	snapshot atomic.Pointer[Snapshot] // written under mu

	// mu guards the fields below and makes Activate atomic.
	mu          sync.Mutex
	staged      map[string]rpc.Group
	subscribers []func(*Snapshot)
}

// NewCache returns an empty cache.
func NewCache(events *eventlog.Log) *Cache {
	return &Cache{events: events, staged: map[string]rpc.Group{}}
}

// Subscribe registers a function that is called with each activated snapshot, in order of
// epochs. It is called with the cache locked, so it must return quickly and must call no
// method of the cache other than Snapshot and Epoch.
func (c *Cache) Subscribe(subscriber func(*Snapshot)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.subscribers = append(c.subscribers, subscriber)
}

// Snapshot returns the active snapshot, or nil before the first activation.
func (c *Cache) Snapshot() *Snapshot { return c.snapshot.Load() }

// Epoch returns the active epoch, or 0 before the first activation.
func (c *Cache) Epoch() ids.Epoch {
	if snapshot := c.Snapshot(); snapshot != nil {
		return snapshot.Epoch
	}
	return 0
}

// Stage stores fetched groups that are newer than the cached ones and reports whether it
// stored any. It skips a group whose data does not match its digest and a delta whose base
// is not cached; Missing still reports these.
func (c *Cache) Stage(groups map[string]rpc.Group) (staged bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, group := range groups {
		if current, ok := c.newest(name); ok && group.Index <= current.Index {
			continue
		}
		if group.BaseDigest != "" {
			base, ok := c.find(name, group.BaseDigest)
			if !ok {
				continue
			}
			data, err := controlplane.PatchTargets(base.Data, group.PutTargets, group.RemovedTargets)
			if err != nil {
				continue
			}
			group = rpc.Group{Digest: group.Digest, Index: group.Index, Data: data}
		}
		if controlplane.Digest(group.Data) != group.Digest {
			continue
		}
		c.staged[name] = group
		staged = true
	}
	return staged
}

// newest returns the staged version of a group, or else the active one. The caller holds mu.
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

// find returns the staged or active version of a group that has the digest. The caller
// holds mu.
func (c *Cache) find(name, digest string) (rpc.Group, bool) {
	if group, ok := c.staged[name]; ok && group.Digest == digest {
		return group, true
	}
	if snapshot := c.Snapshot(); snapshot != nil {
		group, ok := snapshot.groups[name]
		return group, ok && group.Digest == digest
	}
	return rpc.Group{}, false
}

// HeldDigests returns the digest of the newest cached version of each named group. Groups
// that are not cached are omitted.
func (c *Cache) HeldDigests(names []string) map[string]string {
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

// Missing returns the sorted names of the manifest's groups that are neither staged nor
// active in the manifest's version.
func (c *Cache) Missing(manifest map[string]rpc.GroupVersion) (names []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, version := range manifest {
		if _, ok := c.find(name, version.Digest); !ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Activate makes an epoch the active one and calls the subscribers, provided that the epoch
// is greater than the active one and all groups of its manifest are cached. It reports
// whether it did so. If a group cannot be decoded, it returns an error and the active epoch
// does not change.
func (c *Cache) Activate(epoch ids.Epoch, manifest map[string]rpc.GroupVersion) (activated bool, err error) {
	snapshot, err := c.activate(epoch, manifest)
	if snapshot == nil {
		return false, err
	}
	c.events.Emit(eventlog.EpochApplied, "epoch", uint64(epoch), "groups", len(snapshot.groups))
	return true, nil
}

// activate returns the newly activated snapshot, or nil if the epoch was not activated.
func (c *Cache) activate(epoch ids.Epoch, manifest map[string]rpc.GroupVersion) (*Snapshot, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	previous := c.Snapshot()
	if previous != nil && epoch <= previous.Epoch {
		return nil, nil
	}
	groups := make(map[string]rpc.Group, len(manifest))
	for name, version := range manifest {
		group, ok := c.find(name, version.Digest)
		if !ok {
			return nil, nil
		}
		groups[name] = group
	}
	snapshot, err := newSnapshot(epoch, manifest, groups, previous)
	if err != nil {
		return nil, err
	}
	for name, group := range c.staged {
		if active, ok := groups[name]; ok && group.Index <= active.Index {
			delete(c.staged, name)
		}
	}
	c.snapshot.Store(snapshot)
	for _, subscriber := range c.subscribers {
		subscriber(snapshot)
	}
	return snapshot, nil
}
