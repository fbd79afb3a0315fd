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

// Cache holds a proxy's configuration: the snapshot in use, and the groups that were
// fetched for a later epoch. A group is replaced only by one with a greater index. An epoch
// comes into use only as a whole, when all groups of its manifest are there, and only if it
// is greater than the one in use.
type Cache struct {
	events   *eventlog.Log
	snapshot atomic.Pointer[Snapshot] // written under mu

	// mu guards all below and makes the steps of Activate one.
	mu          sync.Mutex
	staged      map[string]rpc.Group
	subscribers []func(*Snapshot)
}

// NewCache returns an empty cache.
func NewCache(events *eventlog.Log) *Cache {
	return &Cache{events: events, staged: map[string]rpc.Group{}}
}

// Subscribe registers a function that is called with each snapshot that comes into use, in
// order, while the cache is locked: it must be short and must not call the cache's methods
// other than Snapshot and Epoch.
func (c *Cache) Subscribe(subscriber func(*Snapshot)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.subscribers = append(c.subscribers, subscriber)
}

// Snapshot returns the snapshot in use; nil before the first.
func (c *Cache) Snapshot() *Snapshot { return c.snapshot.Load() }

// Epoch returns the epoch in use; 0 before the first.
func (c *Cache) Epoch() ids.Epoch {
	if snapshot := c.Snapshot(); snapshot != nil {
		return snapshot.Epoch
	}
	return 0
}

// Stage keeps fetched groups, each only if it is newer than the one held, and reports
// whether any was. A group that does not have its digest, or a difference from one that is
// not held, is left out: it stays missing.
func (c *Cache) Stage(groups map[string]rpc.Group) (staged bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, group := range groups {
		if held, ok := c.newest(name); ok && group.Index <= held.Index {
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

// newest returns the group as staged or else as in use. The lock must be held.
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

// find returns the group with that digest, if it is staged or in use. The lock must be held.
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

// HeldDigests returns the digests of those of the groups that are held in some version.
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

// Missing returns the groups of a manifest that are neither staged nor in use, by name.
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

// Activate brings an epoch into use, if it is greater than the one in use and all groups of
// its manifest are held, and calls the subscribers. It reports whether it did. An error says
// that a group could not be decoded; the epoch in use stays.
func (c *Cache) Activate(epoch ids.Epoch, manifest map[string]rpc.GroupVersion) (activated bool, err error) {
	snapshot, err := c.activate(epoch, manifest)
	if snapshot == nil {
		return false, err
	}
	c.events.Emit(eventlog.EpochApplied, "epoch", uint64(epoch), "groups", len(snapshot.groups))
	return true, nil
}

// activate returns the new snapshot, or nil if there is none.
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
		if inUse, ok := groups[name]; ok && group.Index <= inUse.Index {
			delete(c.staged, name)
		}
	}
	c.snapshot.Store(snapshot)
	for _, subscriber := range c.subscribers {
		subscriber(snapshot)
	}
	return snapshot, nil
}
