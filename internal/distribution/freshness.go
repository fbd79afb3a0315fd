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

// Confirmation tells as of when an epoch, and each data shard as far as the epoch reflects
// it, was known to be in force. The times are this node's own, by Environment.Now: only ages
// travel, and each hop counts its own from when it sent its request. The zero time is never.
type Confirmation struct {
	Epoch        ids.Epoch
	BindingEpoch ids.Epoch // the last up to Epoch that bore a change set or took a target away
	ConfigAsOf   time.Time
	ShardsAsOf   [ids.ShardCount]time.Time
}

// mergeLater takes over what another confirmation of the same epoch has later.
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

// confirmations are that of the greatest epoch heard of, and the last of the epoch before.
type confirmations struct{ latest, previous Confirmation }

// freshness judges by the answers to pulses whether a snapshot may be acted on.
type freshness struct {
	env       *environment.Environment
	cache     *Cache
	startedAt time.Time

	confirmations atomic.Pointer[confirmations] // never nil; written under mu
	lastContact   atomic.Pointer[time.Time]     // with any control node; nil before the first

	// mu makes the steps of record one, and guards wasFresh.
	mu       sync.Mutex
	wasFresh bool // as last reported
}

func newFreshness(env *environment.Environment, cache *Cache) *freshness {
	f := &freshness{env: env, cache: cache, startedAt: env.Now()}
	f.confirmations.Store(&confirmations{})
	return f
}

// noteContact notes that a control node answered just now.
func (f *freshness) noteContact() {
	now := f.env.Now()
	f.lastContact.Store(&now)
}

// latest returns the confirmation of the greatest epoch heard of.
func (f *freshness) latest() Confirmation { return f.confirmations.Load().latest }

// record takes over the answer to a pulse that was sent at that time. A confirmation of an
// epoch greater than the one in use says nothing of that one, but the confirmation before
// still does until it is too old; so both are kept.
func (f *freshness) record(sent time.Time, response *rpc.FreshnessResponse) {
	f.noteContact()
	f.mu.Lock()
	defer f.mu.Unlock()
	held := f.confirmations.Load()
	if response.Epoch < held.latest.Epoch || len(response.ShardAgeMicros) != ids.ShardCount {
		return
	}
	next := Confirmation{Epoch: response.Epoch, BindingEpoch: response.BindingEpoch, ConfigAsOf: sent.Add(-time.Duration(response.AgeMicros) * time.Microsecond)}
	if next.BindingEpoch == 0 || next.BindingEpoch > next.Epoch {
		next.BindingEpoch = next.Epoch // an older build does not tell it
	}
	for i, age := range response.ShardAgeMicros {
		if age >= 0 {
			next.ShardsAsOf[i] = sent.Add(-time.Duration(age) * time.Microsecond)
		}
	}
	both := &confirmations{latest: next, previous: held.previous}
	if response.Epoch == held.latest.Epoch {
		both.latest.mergeLater(&held.latest)
	} else if snapshot := f.cache.Snapshot(); snapshot != nil && snapshot.Epoch >= held.latest.Epoch {
		both.previous = held.latest
	}
	f.confirmations.Store(both)
}

// isFresh reports whether a snapshot may be acted on now, for a service or, if that is empty,
// for what concerns none.
//
// By default the configuration and the service's shard must be confirmed within the setting
// distribution.max_age. A confirmation of an older epoch does for a newer snapshot too: what was in
// force then is in it. One from before this process started does for nothing: an earlier run
// of this proxy may have used an epoch that a deposed leader does not know.
//
// With the setting distribution.offline_grace the proxy goes on for so long after its last
// contact with any control node; with distribution.unconfirmed_grace as well, only while no
// newer binding epoch is known within that time.
func (f *freshness) isFresh(snapshot *Snapshot, service string) bool {
	if snapshot == nil {
		return false
	}
	if stay := f.env.Config.DistributionOfflineGrace; stay > 0 {
		lastContact := f.lastContact.Load()
		if lastContact == nil || f.env.Since(*lastContact) >= stay {
			return false
		}
		behind := f.env.Config.DistributionUnconfirmedGrace
		return behind == 0 || f.holdsBindingEpoch(snapshot, behind)
	}
	held := f.confirmations.Load()
	shard, bound := ids.ShardOf(service), f.env.Config.DistributionMaxAge
	for _, c := range []*Confirmation{&held.latest, &held.previous} {
		if c.Epoch <= snapshot.Epoch && f.env.Since(c.ConfigAsOf) < bound && c.ConfigAsOf.After(f.startedAt) && (service == "" || f.env.Since(c.ShardsAsOf[shard]) < bound) {
			return true
		}
	}
	return false
}

// holdsBindingEpoch reports whether it was confirmed within that time that no binding epoch
// is newer than the snapshot.
func (f *freshness) holdsBindingEpoch(snapshot *Snapshot, bound time.Duration) bool {
	held := f.confirmations.Load()
	for _, c := range []*Confirmation{&held.latest, &held.previous} {
		if c.Epoch > 0 && c.BindingEpoch <= snapshot.Epoch && f.env.Since(c.ConfigAsOf) < bound {
			return true
		}
	}
	return false
}

// report writes an event when the configuration's freshness is lost, or is back.
func (f *freshness) report() {
	f.mu.Lock()
	defer f.mu.Unlock()
	snapshot, latest := f.cache.Snapshot(), f.latest()
	bound := max(f.env.Config.DistributionMaxAge, 3*f.env.Config.DistributionRenewalInterval)
	isFresh := snapshot != nil && snapshot.Epoch >= latest.Epoch && f.env.Since(latest.ConfigAsOf) < bound
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
