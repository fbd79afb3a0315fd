package controlplane

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/consensus"
	"github.com/sumactrestle/sumactrestle/internal/coordination"
	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// departedRetention is for how long a target that sends no heartbeats is remembered, and
// with it the record that it drains or left.
const departedRetention = 60 * time.Second

// RegistryConfig is what a TargetRegistry works with.
type RegistryConfig struct {
	Env       *environment.Environment
	Consensus *consensus.Node
	Stores    []*coordination.Store // the state of each data shard
	State     *ConfigState
	// OnChange is called, in a goroutine of its own, after a heartbeat that should change a
	// target list. It may be nil. Changes that come before it has begun share one call.
	OnChange func()
}

// TargetRegistry keeps the targets of the shards that this core node leads: the last
// heartbeat of each is held in memory only, and is forgotten with the leader's term. That
// a target drains or leaves is committed to the shard's log before the heartbeat which
// says so is answered, so that a later leader knows of it.
type TargetRegistry struct {
	env       *environment.Environment
	consensus *consensus.Node
	stores    []*coordination.Store
	state     *ConfigState

	onChange  func()
	notifying atomic.Bool // onChange is to be called

	mu     sync.Mutex // guards shards and all that they hold
	shards [ids.ShardCount]shardTargets
}

// shardTargets is what was heard of one shard's targets under one term.
type shardTargets struct {
	term       ids.Term
	services   map[string]map[string]*targetRecord // by service and instance
	lastReport reportedLists
}

// targetRecord is one target as the registry knows it.
type targetRecord struct {
	heartbeat  rpc.TargetHeartbeat // the newest
	warmUp     int64               // slow start, in milliseconds, as the first heartbeat named it
	firstSeen  time.Time
	lastSeen   time.Time
	inRotation bool // as last reported, for the events of coming and going
}

// NewTargetRegistry makes an empty registry.
func NewTargetRegistry(config RegistryConfig) *TargetRegistry {
	return &TargetRegistry{env: config.Env, consensus: config.Consensus, stores: config.Stores, state: config.State, onChange: config.OnChange}
}

// HandleHeartbeat takes a heartbeat of a target whose service lies in a shard led here;
// otherwise the error is errcode.NotLeader. It returns once the heartbeat is in force: a
// target that drains or leaves may then count on getting nothing more.
func (r *TargetRegistry) HandleHeartbeat(ctx context.Context, heartbeat *rpc.TargetHeartbeat) error {
	if err := ValidateHeartbeat(heartbeat); err != nil {
		r.logRefusal(heartbeat, err.Error())
		return err
	}
	shard := ids.ShardOf(heartbeat.Service)
	replica := r.consensus.Replica(shard)
	term, _, isServing := replica.LeadershipSince()
	if !isServing {
		return errcode.New(errcode.NotLeader, "shard %d", shard)
	}
	if epoch := r.state.Current(); !r.env.Config.ControlplaneAcceptUnknownServices && epoch.Epoch > 0 && !epoch.HasService(heartbeat.Service) {
		r.logRefusal(heartbeat, "no such service")
		return errcode.New(errcode.UnknownService, "%q", heartbeat.Service)
	}
	if heartbeat.State != StateServing {
		// What is known of its departure may be answered from here only by a leader that still is one.
		if err := replica.ConfirmLeadership(ctx, r.env.Now()); err != nil {
			return err
		}
	}
	departure, hasDeparture := r.stores[shard].Get(coordination.KindInstanceState, heartbeat.Service+"/"+heartbeat.Instance)
	outdated, changed := r.record(shard, term, heartbeat, hasDeparture && heartbeat.Sequence < departure.Sequence)
	if outdated && heartbeat.State == StateServing {
		return nil
	}
	var entry *rpc.CoordinationRequest
	switch {
	case heartbeat.State == StateServing && hasDeparture && departure.Holder == StateDraining && heartbeat.Sequence > departure.Sequence:
		entry = clearDeparture(heartbeat.Service, heartbeat.Instance, heartbeat.Sequence)
	case heartbeat.State != StateServing && (!hasDeparture || departure.Holder != heartbeat.State && departure.Holder != StateLeaving):
		entry = recordDeparture(heartbeat)
	}
	if entry != nil {
		if _, _, err := replica.Propose(ctx, entry); err != nil {
			return err
		}
	}
	if entry != nil || changed {
		r.notifyChange()
	}
	if heartbeat.State != StateServing {
		// The proxies hear of it before whoever goes may count on it. The answer to a repeat may
		// come before that to the first, so it waits for as long.
		waitForPropagation(ctx, r.env)
	}
	return nil
}

// recordDeparture is the entry by which a shard remembers that a target drains or left: its
// departure, which is the state that the instance announced last.
func recordDeparture(heartbeat *rpc.TargetHeartbeat) *rpc.CoordinationRequest {
	return &rpc.CoordinationRequest{Operation: coordination.OpSetInstanceState, Name: heartbeat.Service + "/" + heartbeat.Instance, Holder: heartbeat.State, Sequence: heartbeat.Sequence}
}

// clearDeparture is the entry by which a shard forgets it.
func clearDeparture(service, instance string, sequence uint64) *rpc.CoordinationRequest {
	return &rpc.CoordinationRequest{Operation: coordination.OpClearInstanceState, Name: service + "/" + instance, Sequence: sequence}
}

// record notes a heartbeat, unless it is outdated: sent before one that was already taken,
// or before the target's departure. It tells whether it is, and whether a target list may
// have changed by it. An outdated one that says that its target serves counts for nothing;
// any other one still shows that the target is there.
func (r *TargetRegistry) record(shard ids.Shard, term ids.Term, heartbeat *rpc.TargetHeartbeat, precedesDeparture bool) (outdated, changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	instances := r.shards[shard].forTerm(term).instances(heartbeat.Service)
	target := instances[heartbeat.Instance]
	outdated = precedesDeparture || target != nil && heartbeat.Sequence < target.heartbeat.Sequence
	if outdated && heartbeat.State == StateServing {
		return true, false
	}
	changed = target == nil || r.env.Since(target.lastSeen) >= r.env.Config.ControlplaneHeartbeatTimeout || !outdated && changesTarget(&target.heartbeat, heartbeat)
	if target == nil {
		target = &targetRecord{firstSeen: r.env.Now(), warmUp: heartbeat.SlowStartMillis}
		instances[heartbeat.Instance] = target
	}
	target.lastSeen = r.env.Now()
	if !outdated {
		target.heartbeat = *heartbeat
	}
	return outdated, changed
}

// forTerm forgets what was heard under another term.
func (s *shardTargets) forTerm(term ids.Term) *shardTargets {
	if s.term != term {
		s.term, s.services = term, nil
	}
	return s
}

// instances is the targets of a service, which may be added to.
func (s *shardTargets) instances(service string) map[string]*targetRecord {
	if s.services == nil {
		s.services = map[string]map[string]*targetRecord{}
	}
	if s.services[service] == nil {
		s.services[service] = map[string]*targetRecord{}
	}
	return s.services[service]
}

func (r *TargetRegistry) logRefusal(heartbeat *rpc.TargetHeartbeat, cause string) {
	r.env.Events.Emit(eventlog.HeartbeatRejected, "service", heartbeat.Service, "instance", heartbeat.Instance, "cause", cause)
}

// notifyChange calls OnChange in a goroutine of its own, once for all changes that come
// before it has begun.
func (r *TargetRegistry) notifyChange() {
	if r.onChange != nil && r.notifying.CompareAndSwap(false, true) {
		r.env.Go(func() {
			r.notifying.Store(false)
			r.onChange()
		})
	}
}

// waitForPropagation lets the time of the setting plan.hold pass between something being in
// force and the word that it is, so that proxies on busy links have heard of it.
func waitForPropagation(ctx context.Context, env *environment.Environment) {
	if env.Config.ControlplaneAcknowledgeDelay == 0 {
		return
	}
	wakeup := time.NewTimer(env.Config.ControlplaneAcknowledgeDelay)
	defer wakeup.Stop()
	select {
	case <-wakeup.C:
	case <-ctx.Done():
	case <-env.Done():
	}
}

// ServiceOf is the service of an instance, by the heartbeats taken here, the departures
// recorded here or the epoch in force; empty if none of them names it.
func (r *TargetRegistry) ServiceOf(instance string) string {
	if service := r.serviceByHeartbeat(instance); service != "" {
		return service
	}
	for _, store := range r.stores {
		departures, _ := store.List(coordination.KindInstanceState, "")
		for _, departure := range departures {
			if service, name, _ := strings.Cut(departure.Name, "/"); name == instance {
				return service
			}
		}
	}
	epoch := r.state.Current()
	for service := range epoch.targetServices() {
		targets, err := epoch.Targets(service)
		if err != nil {
			// It may be in another service's list.
			r.state.reportDamage(err)
		}
		for _, target := range targets {
			if target.Instance == instance {
				return service
			}
		}
	}
	return ""
}

// serviceByHeartbeat is the service that an instance's latest heartbeat named.
func (r *TargetRegistry) serviceByHeartbeat(instance string) (service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var latest time.Time
	for i := range r.shards {
		for name, instances := range r.shards[i].services {
			if target := instances[instance]; target != nil && (service == "" || target.lastSeen.After(latest)) {
				service, latest = name, target.lastSeen
			}
		}
	}
	return service
}

// eachTarget calls visit, under the lock, for every target of the shards led here.
func (r *TargetRegistry) eachTarget(visit func(service, instance string, target *targetRecord)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.shards {
		for service, instances := range r.shards[i].services {
			for instance, target := range instances {
				visit(service, instance, target)
			}
		}
	}
}
