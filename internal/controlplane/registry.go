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

// departedRetention is how long a target that sends no heartbeats is kept, along with the
// record that it drains or left.
const departedRetention = 60 * time.Second

// RegistryConfig holds the dependencies of a TargetRegistry.
type RegistryConfig struct {
	Env       *environment.Environment
	Consensus *consensus.Node
	Stores    []*coordination.Store // the state of each data shard
	State     *ConfigState
	// OnChange is called in a new goroutine after a heartbeat that may change a target list.
	// Changes that occur before the call has begun share it. OnChange is optional.
	OnChange func()
}

// TargetRegistry keeps the targets of the shards that this core node leads. The last heartbeat
// of each target is kept only in memory and is discarded when the leader's term ends. If a
// target drains or leaves, this departure is committed to the shard's log before its heartbeat
// is acknowledged, so that later leaders know of it.
type TargetRegistry struct {
	env       *environment.Environment
	consensus *consensus.Node
	stores    []*coordination.Store
	state     *ConfigState

	onChange  func()
	notifying atomic.Bool // a call of onChange is scheduled and has not begun

	mu     sync.Mutex // guards shards, including the target records
	shards [ids.ShardCount]shardTargets
}

// shardTargets holds the targets of one shard that sent heartbeats in one term.
type shardTargets struct {
	term       ids.Term
	services   map[string]map[string]*targetRecord // by service and instance
	lastReport reportedLists
}

// targetRecord is the registry's state of one target.
type targetRecord struct {
	heartbeat       rpc.TargetHeartbeat // the one with the highest sequence number
	slowStartMillis int64               // from the first heartbeat
	firstSeen       time.Time
	lastSeen        time.Time
	inRotation      bool // as of the last report, to detect transitions for the event log
}

// NewTargetRegistry returns an empty registry.
func NewTargetRegistry(config RegistryConfig) *TargetRegistry {
	return &TargetRegistry{env: config.Env, consensus: config.Consensus, stores: config.Stores, state: config.State, onChange: config.OnChange}
}

// HandleHeartbeat processes a heartbeat of a target. It returns once the heartbeat is in
// effect: a target that drains or leaves may then rely on receiving no more requests. The
// error is errcode.NotLeader if this node does not lead the shard of the target's service.
func (r *TargetRegistry) HandleHeartbeat(ctx context.Context, heartbeat *rpc.TargetHeartbeat) error {
	if err := ValidateHeartbeat(heartbeat); err != nil {
		r.logRejection(heartbeat, err.Error())
		return err
	}
	shard := ids.ShardOf(heartbeat.Service)
	replica := r.consensus.Replica(shard)
	term, _, isServing := replica.LeadershipSince()
	if !isServing {
		return errcode.New(errcode.NotLeader, "shard %d", shard)
	}
	if epoch := r.state.Current(); !r.env.Config.ControlplaneAcceptUnknownServices && epoch.Epoch > 0 && !epoch.HasService(heartbeat.Service) {
		r.logRejection(heartbeat, "no such service")
		return errcode.New(errcode.UnknownService, "%q", heartbeat.Service)
	}
	if heartbeat.State != StateServing {
		// A departure recorded before may be acknowledged only if this node is still the leader.
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
		entry = newClearDepartureEntry(heartbeat.Service, heartbeat.Instance, heartbeat.Sequence)
	case heartbeat.State != StateServing && (!hasDeparture || departure.Holder != heartbeat.State && departure.Holder != StateLeaving):
		entry = newDepartureEntry(heartbeat)
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
		// The proxies must learn of the departure before it is acknowledged. A repeated heartbeat
		// waits, too, because its response may arrive before that of the first one.
		waitForPropagation(ctx, r.env)
	}
	return nil
}

// newDepartureEntry returns the log entry that records a target's departure: that it drains or
// leaves, as its heartbeat says.
func newDepartureEntry(heartbeat *rpc.TargetHeartbeat) *rpc.CoordinationRequest {
	return &rpc.CoordinationRequest{Operation: coordination.OpSetInstanceState, Name: heartbeat.Service + "/" + heartbeat.Instance, Holder: heartbeat.State, Sequence: heartbeat.Sequence}
}

// newClearDepartureEntry returns the log entry that removes the record of a departure.
func newClearDepartureEntry(service, instance string, sequence uint64) *rpc.CoordinationRequest {
	return &rpc.CoordinationRequest{Operation: coordination.OpClearInstanceState, Name: service + "/" + instance, Sequence: sequence}
}

// record stores a heartbeat unless it is outdated: sent before one already stored, or before
// the target's departure. An outdated heartbeat with the state serving is ignored; with
// another state it still updates the time when the target was last seen. record reports
// whether the heartbeat is outdated and whether it may change a target list.
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
		target = &targetRecord{firstSeen: r.env.Now(), slowStartMillis: heartbeat.SlowStartMillis}
		instances[heartbeat.Instance] = target
	}
	target.lastSeen = r.env.Now()
	if !outdated {
		target.heartbeat = *heartbeat
	}
	return outdated, changed
}

// forTerm discards the targets of another term and returns s.
func (s *shardTargets) forTerm(term ids.Term) *shardTargets {
	if s.term != term {
		s.term, s.services = term, nil
	}
	return s
}

// instances returns the targets of a service as a map that the caller may modify.
func (s *shardTargets) instances(service string) map[string]*targetRecord {
	if s.services == nil {
		s.services = map[string]map[string]*targetRecord{}
	}
	if s.services[service] == nil {
		s.services[service] = map[string]*targetRecord{}
	}
	return s.services[service]
}

func (r *TargetRegistry) logRejection(heartbeat *rpc.TargetHeartbeat, cause string) {
	r.env.Events.Emit(eventlog.HeartbeatRejected, "service", heartbeat.Service, "instance", heartbeat.Instance, "cause", cause)
}

// notifyChange schedules a call of onChange, unless one is scheduled already.
func (r *TargetRegistry) notifyChange() {
	if r.onChange != nil && r.notifying.CompareAndSwap(false, true) {
		r.env.Go(func() {
			r.notifying.Store(false)
			r.onChange()
		})
	}
}

// waitForPropagation waits for controlplane.acknowledge_delay, or until ctx or the environment
// ends. It delays the acknowledgement of a change that is in effect, so that proxies on busy
// links receive the change first.
func waitForPropagation(ctx context.Context, env *environment.Environment) {
	if env.Config.ControlplaneAcknowledgeDelay == 0 {
		return
	}
	timer := time.NewTimer(env.Config.ControlplaneAcknowledgeDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	case <-env.Done():
	}
}

// ServiceOf returns the service of an instance according to the heartbeats stored here, the
// departures recorded here, or the current epoch, in this order. It returns an empty string
// if none of them contains the instance.
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
			// The instance may be in another service's list, so the search continues.
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

// serviceByHeartbeat returns the service in the latest heartbeat of an instance, or an empty
// string if there is none.
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

// eachTarget calls visit for every target of the shards led here, while holding mu.
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
