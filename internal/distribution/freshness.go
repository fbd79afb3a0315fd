package distribution

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// Confirmation holds the times as of which an epoch was known to be in force and to reflect
// each data shard. The times are on this node's clock (Environment.Now). Messages carry only
// ages, and each hop adds the time since it sent its request. A zero time means never.
type Confirmation struct {
	Epoch        ids.Epoch
	BindingEpoch ids.Epoch // last epoch up to Epoch that contains a change set or removes a target
	ConfigAsOf   time.Time
	ShardsAsOf   [ids.ShardCount]time.Time
}

// mergeLater sets each time to the later one of c and other, which must be of the same epoch.
func (c *Confirmation) mergeLater(other *Confirmation) {
	if c.ConfigAsOf.Before(other.ConfigAsOf) {
		c.ConfigAsOf = other.ConfigAsOf
	}
	for i := range c.ShardsAsOf {
		if c.ShardsAsOf[i].Before(other.ShardsAsOf[i]) {
			c.ShardsAsOf[i] = other.ShardsAsOf[i]
		}
	}
}

// confirmations holds the confirmation of the greatest reported epoch, and the last
// confirmation of an earlier epoch that was valid for the active snapshot.
type confirmations struct{ latest, previous Confirmation }

// freshness records the responses to freshness requests and decides by them whether a snapshot
// may be used to serve requests.
type freshness struct {
	env       *environment.Environment
	cache     *Cache
	startedAt time.Time

	confirmations atomic.Pointer[confirmations] // never nil; written under mu
	lastContact   atomic.Pointer[time.Time]     // last response of any control node; nil before the first

	// mu makes record atomic and guards wasFresh.
	mu       sync.Mutex
	wasFresh bool // state reported by the last event
}

func newFreshness(env *environment.Environment, cache *Cache) *freshness {
	f := &freshness{env: env, cache: cache, startedAt: env.Now()}
	f.confirmations.Store(&confirmations{})
	return f
}

// recordContact records that a control node has just responded.
func (f *freshness) recordContact() {
	now := f.env.Now()
	f.lastContact.Store(&now)
}

// latest returns the confirmation of the greatest reported epoch.
func (f *freshness) latest() Confirmation { return f.confirmations.Load().latest }

// record stores the response to a freshness request that was sent at the given time. A
// confirmation of an epoch greater than the active one does not cover the active epoch, but
// the previous confirmation does until it is too old, so both are kept.
func (f *freshness) record(sent time.Time, response *rpc.FreshnessResponse) {
	f.recordContact()
	f.mu.Lock()
	defer f.mu.Unlock()
	recorded := f.confirmations.Load()
	if response.Epoch < recorded.latest.Epoch || len(response.ShardAgeMicros) != ids.ShardCount {
		return
	}
	next := Confirmation{Epoch: response.Epoch, BindingEpoch: response.BindingEpoch, ConfigAsOf: sent.Add(-time.Duration(response.AgeMicros) * time.Microsecond)}
	if next.BindingEpoch == 0 || next.BindingEpoch > next.Epoch {
		next.BindingEpoch = next.Epoch // an older build does not report it
	}
	for i, age := range response.ShardAgeMicros {
		if age >= 0 {
			next.ShardsAsOf[i] = sent.Add(-time.Duration(age) * time.Microsecond)
		}
	}
	updated := &confirmations{latest: next, previous: recorded.previous}
	if response.Epoch == recorded.latest.Epoch {
		updated.latest.mergeLater(&recorded.latest)
	} else if snapshot := f.cache.Snapshot(); snapshot != nil && snapshot.Epoch >= recorded.latest.Epoch {
		updated.previous = recorded.latest
	}
	f.confirmations.Store(updated)
}

// isFresh reports whether a snapshot may be used to serve requests for a service. An empty
// service checks only the configuration.
//
// By default the configuration and the service's shard must have been confirmed within
// distribution.max_age. A confirmation of an older epoch is also valid for a newer snapshot,
// which contains everything that was in force then. A confirmation as of a time before this
// process started is not valid: an earlier run of this proxy may have used an epoch that a
// deposed leader does not know.
//
// With distribution.offline_grace set, the snapshot is instead fresh for that long after the
// last contact with any control node. With distribution.unconfirmed_grace set too, it must
// also have been confirmed within that time that no newer binding epoch exists.
func (f *freshness) isFresh(snapshot *Snapshot, service string) bool {
	if snapshot == nil {
		return false
	}
	if offlineGrace := f.env.Config.DistributionOfflineGrace; offlineGrace > 0 {
		lastContact := f.lastContact.Load()
		if lastContact == nil || f.env.Since(*lastContact) >= offlineGrace {
			return false
		}
		unconfirmedGrace := f.env.Config.DistributionUnconfirmedGrace
		return unconfirmedGrace == 0 || f.hasLatestBindingEpoch(snapshot, unconfirmedGrace)
	}
	recorded := f.confirmations.Load()
	shard, maxAge := ids.ShardOf(service), f.env.Config.DistributionMaxAge
	for _, c := range []*Confirmation{&recorded.latest, &recorded.previous} {
		if c.Epoch <= snapshot.Epoch && f.env.Since(c.ConfigAsOf) < maxAge && c.ConfigAsOf.After(f.startedAt) && (service == "" || f.env.Since(c.ShardsAsOf[shard]) < maxAge) {
			return true
		}
	}
	return false
}

// hasLatestBindingEpoch reports whether a confirmation younger than maxAge shows that no
// binding epoch is newer than the snapshot.
func (f *freshness) hasLatestBindingEpoch(snapshot *Snapshot, maxAge time.Duration) bool {
	recorded := f.confirmations.Load()
	for _, c := range []*Confirmation{&recorded.latest, &recorded.previous} {
		if c.Epoch > 0 && c.BindingEpoch <= snapshot.Epoch && f.env.Since(c.ConfigAsOf) < maxAge {
			return true
		}
	}
	return false
}

// report emits FreshnessLost or FreshnessRegained if the state changed since the last event.
// The configuration counts as fresh while the latest reported epoch is active and was
// confirmed within distribution.max_age or three renewal intervals, whichever is longer.
func (f *freshness) report() {
	f.mu.Lock()
	defer f.mu.Unlock()
	snapshot, latest := f.cache.Snapshot(), f.latest()
	maxAge := max(f.env.Config.DistributionMaxAge, 3*f.env.Config.DistributionRenewalInterval)
	isFresh := snapshot != nil && snapshot.Epoch >= latest.Epoch && f.env.Since(latest.ConfigAsOf) < maxAge
	if isFresh == f.wasFresh {
		return
	}
	f.wasFresh = isFresh
	event := eventlog.FreshnessLost
	if isFresh {
		event = eventlog.FreshnessRegained
	}
	f.env.Events.Emit(event, "epoch", uint64(latest.Epoch))
}
