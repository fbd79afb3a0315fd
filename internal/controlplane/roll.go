// The Roll holds what servers report, in memory, at the owner of the service's
// part. Drains and sign-offs are committed in the part before the beat is
// answered; all else is only what was heard.
package controlplane

import (
	"context"
	"net/netip"
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

const (
	StateServing  = "serving"
	StateDraining = "draining"
	StateLeaving  = "leaving"
	StateTimedOut = "silent"

	departedRetention = 60 * time.Second
)

type targetRecord struct {
	heartbeat  rpc.TargetHeartbeat
	warmUp     int64
	firstSeen  time.Time
	lastSeen   time.Time
	inRotation bool
}

// TargetRegistry is one core node's, over all parts.
type TargetRegistry struct {
	env       *environment.Environment
	consensus *consensus.Node
	stores    []*coordination.Store
	config    *ConfigState

	// OnChange is told when a list says something else; set before the first beat.
	OnChange  func()
	notifying atomic.Bool

	mu          sync.Mutex
	targets     map[ids.Shard]map[string]map[string]*targetRecord
	terms       map[ids.Shard]ids.Term
	lastReports map[ids.Shard]reportedLists
}

// reportedLists is what the last news of a part said, ages aside, and its digest.
type reportedLists struct {
	lists  map[string][]rpc.ReportedTarget
	digest string
}

func NewTargetRegistry(env *environment.Environment, node *consensus.Node, stores []*coordination.Store, config *ConfigState) *TargetRegistry {
	return &TargetRegistry{env: env, consensus: node, stores: stores, config: config, targets: map[ids.Shard]map[string]map[string]*targetRecord{}, terms: map[ids.Shard]ids.Term{}, lastReports: map[ids.Shard]reportedLists{}}
}

// ValidateHeartbeat names what is wrong with a beat.
func ValidateHeartbeat(heartbeat *rpc.TargetHeartbeat) error {
	var paths []string
	if heartbeat.Service == "" || strings.ContainsAny(heartbeat.Service, "/ ") || len(heartbeat.Service) > 128 {
		paths = append(paths, "service: is empty, too long, or holds a slash or a space")
	}
	if heartbeat.Instance == "" || strings.ContainsAny(heartbeat.Instance, "/ ") || len(heartbeat.Instance) > 128 {
		paths = append(paths, "instance: is empty, too long, or holds a slash or a space")
	}
	if _, err := netip.ParseAddrPort(heartbeat.Address); err != nil {
		paths = append(paths, "address: is not an IP number with a port")
	}
	if heartbeat.Weight < 0 || heartbeat.Weight > 1_000_000 {
		paths = append(paths, "weight: is outside 0 to 1000000")
	}
	if heartbeat.Slots < 0 {
		paths = append(paths, "slots: is below zero")
	}
	if heartbeat.SlowStartMillis < 0 {
		paths = append(paths, "cold: is below zero")
	}
	if heartbeat.State != StateServing && heartbeat.State != StateDraining && heartbeat.State != StateLeaving {
		paths = append(paths, "state: is none of serving, draining, leaving")
	}
	if len(paths) > 0 {
		return errcode.At(errcode.BadBeat, paths)
	}
	return nil
}

// HandleHeartbeat folds one beat into the part owned here.
func (r *TargetRegistry) HandleHeartbeat(ctx context.Context, heartbeat *rpc.TargetHeartbeat) error {
	if err := ValidateHeartbeat(heartbeat); err != nil {
		r.env.Events.Say(eventlog.BeatRefused, "service", heartbeat.Service, "instance", heartbeat.Instance, "cause", err.Error())
		return err
	}
	shard := ids.ShardOf(heartbeat.Service)
	replica := r.consensus.Replica(shard)
	term, _, isServing := replica.LeadershipSince()
	if !isServing {
		return errcode.New(errcode.NotOwner, "part %d", shard)
	}
	if epoch := r.config.Current(); !r.env.Config.PlanStrangers && epoch.Epoch > 0 && !epoch.HasService(heartbeat.Service) {
		r.env.Events.Say(eventlog.BeatRefused, "service", heartbeat.Service, "instance", heartbeat.Instance, "cause", "no such service")
		return errcode.New(errcode.UnknownService, "%q", heartbeat.Service)
	}
	name := heartbeat.Service + "/" + heartbeat.Instance
	marked, isMarked := r.stores[shard].Get(coordination.KindInstanceState, name)
	r.mu.Lock()
	r.resetOnNewTerm(shard, term)
	if r.targets[shard] == nil {
		r.targets[shard] = map[string]map[string]*targetRecord{}
	}
	instances := r.targets[shard][heartbeat.Service]
	if instances == nil {
		instances = map[string]*targetRecord{}
		r.targets[shard][heartbeat.Service] = instances
	}
	target := instances[heartbeat.Instance]
	isOld := target != nil && heartbeat.Sequence < target.heartbeat.Sequence || isMarked && heartbeat.Sequence < marked.Sequence
	if isOld && heartbeat.State == StateServing {
		r.mu.Unlock()
		return nil
	}
	isNew := target == nil || r.env.Since(target.lastSeen) >= r.env.Config.PlanSilence || !isOld && changesTarget(&target.heartbeat, heartbeat)
	if target == nil {
		target = &targetRecord{firstSeen: r.env.Now(), warmUp: heartbeat.SlowStartMillis}
		instances[heartbeat.Instance] = target
	}
	target.lastSeen = r.env.Now()
	if !isOld {
		target.heartbeat = *heartbeat
	}
	r.mu.Unlock()
	var op *rpc.CoordinationRequest
	switch {
	case heartbeat.State == StateServing && isMarked && marked.Holder == StateDraining && heartbeat.Sequence > marked.Sequence:
		op = &rpc.CoordinationRequest{Operation: "unmark", Name: name, Sequence: heartbeat.Sequence}
	case heartbeat.State != StateServing && (!isMarked || marked.Holder != heartbeat.State && marked.Holder != StateLeaving):
		op = &rpc.CoordinationRequest{Operation: "mark", Name: name, Holder: heartbeat.State, Sequence: heartbeat.Sequence}
	}
	if op != nil {
		if err := r.propose(ctx, replica, op); err != nil {
			return err
		}
	}
	if op != nil || isNew {
		r.notifyChange()
	}
	if op != nil && op.Operation == "mark" {
		// The proxies hear of it before whoever goes may count on it.
		waitForPropagation(ctx, r.env)
	}
	return nil
}

// changesTarget tells whether a beat says of its server what the last did not.
func changesTarget(last, heartbeat *rpc.TargetHeartbeat) bool {
	return last.State != heartbeat.State || last.Address != heartbeat.Address || last.Zone != heartbeat.Zone || last.Weight != heartbeat.Weight || last.Slots != heartbeat.Slots
}

// notifyChange has the change told by a task of its own; many at once are told as one.
func (r *TargetRegistry) notifyChange() {
	if r.OnChange != nil && r.notifying.CompareAndSwap(false, true) {
		r.env.Go(func() {
			r.notifying.Store(false)
			r.OnChange()
		})
	}
}

func (r *TargetRegistry) propose(ctx context.Context, part *consensus.Replica, op *rpc.CoordinationRequest) error {
	_, _, err := part.Propose(ctx, op)
	return err
}

// waitForPropagation lets a moment pass between what is in force and the word that it is.
func waitForPropagation(ctx context.Context, env *environment.Environment) {
	if env.Config.PlanHold == 0 {
		return
	}
	wakeup := time.NewTimer(env.Config.PlanHold)
	defer wakeup.Stop()
	select {
	case <-wakeup.C:
	case <-ctx.Done():
	case <-env.Done():
	}
}

// resetOnNewTerm forgets what was heard under another term.
func (r *TargetRegistry) resetOnNewTerm(shard ids.Shard, term ids.Term) {
	if r.terms[shard] == term {
		return
	}
	r.terms[shard] = term
	delete(r.targets, shard)
}

// ServiceOf is the service of an instance, by the beats heard here, the marks kept
// here, or the epoch in force; empty if none names it.
func (r *TargetRegistry) ServiceOf(instance string) string {
	if service := r.serviceByHeartbeat(instance); service != "" {
		return service
	}
	for _, store := range r.stores {
		marks, _ := store.List(coordination.KindInstanceState, "")
		for _, m := range marks {
			if service, name, _ := strings.Cut(m.Name, "/"); name == instance {
				return service
			}
		}
	}
	epoch := r.config.Current()
	for name := range epoch.Groups {
		service, isTargets := strings.CutPrefix(name, TargetsPrefix)
		if !isTargets {
			continue
		}
		for _, t := range epoch.Targets(service) {
			if t.Instance == instance {
				return service
			}
		}
	}
	return ""
}

func (r *TargetRegistry) serviceByHeartbeat(instance string) (name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var last time.Time
	for _, services := range r.targets {
		for service, instances := range services {
			if h := instances[instance]; h != nil && (name == "" || h.lastSeen.After(last)) {
				name, last = service, h.lastSeen
			}
		}
	}
	return name
}

// Rows is what the shell shows of the targets heard here.
func (r *TargetRegistry) Rows() (rows [][]any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, services := range r.targets {
		for service, instances := range services {
			for instance, h := range instances {
				state := "out"
				if h.inRotation {
					state = "in"
				}
				rows = append(rows, []any{service, instance, h.heartbeat.Address, h.heartbeat.Zone, h.heartbeat.Weight, state + " (" + h.heartbeat.State + ")", r.env.Since(h.lastSeen).Round(time.Millisecond)})
			}
		}
	}
	return rows
}
