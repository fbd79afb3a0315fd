package controlplane

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// acceptedChange is a change set to be committed with the next epoch.
type acceptedChange struct {
	result *rpc.ChangeResult // nextEpoch sets its epoch
	config rpc.Configuration // the configuration with the change set merged in
}

// planEpoch commits a new epoch if the desired content differs from the current epoch.
func (p *Planner) planEpoch(ctx context.Context) error {
	p.planningMu.Lock()
	defer p.planningMu.Unlock()
	return p.commitEpoch(ctx, nil)
}

// commitEpoch commits a new epoch if there is a change set or if the desired content differs
// from the current epoch. The caller holds planningMu. The error is errcode.NotLeader if this
// node no longer leads the configuration shard, a *DamagedGroupError, which is already
// reported, or the error of the proposal.
func (p *Planner) commitEpoch(ctx context.Context, change *acceptedChange) error {
	term, _, isServing := p.replica.LeadershipSince()
	if !isServing {
		return errcode.New(errcode.NotLeader, "configuration shard")
	}
	planned, asOf, err := p.nextEpoch(term, change)
	if err != nil {
		p.state.reportDamage(err)
		return err
	}
	if len(planned.Put)+len(planned.Remove) > 0 || change != nil {
		_, result, err := p.replica.Propose(ctx, planned)
		if err != nil {
			return err
		}
		if err, isError := result.(error); isError {
			if errors.Is(err, ErrEpochOutOfOrder) {
				return errcode.New(errcode.NotLeader, "epoch %d was committed by another planner", planned.Epoch)
			}
			return err
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.awaitsRelease && len(planned.Put) > 0 {
		p.Trigger()
	}
	if p.view.term == term {
		for shard, reportAsOf := range asOf {
			if p.view.reflectedUpTo[shard].Before(reportAsOf) {
				p.view.reflectedUpTo[shard] = reportAsOf
			}
		}
	}
	return nil
}

// nextEpoch returns the epoch to be committed and the time up to which it reflects each shard.
// The epoch has no changes if the current one already has the desired content.
func (p *Planner) nextEpoch(term ids.Term, change *acceptedChange) (planned *rpc.EpochEntry, asOf map[ids.Shard]time.Time, err error) {
	epoch := p.state.Current()
	planned = &rpc.EpochEntry{Epoch: epoch.Epoch + 1, Put: map[string]json.RawMessage{}}
	if change != nil {
		change.result.Epoch = planned.Epoch
		planned.Change, planned.ResultsKept = change.result, p.env.Config.ControlplaneChangeHistory
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	view := p.viewOf(term)
	asOf = map[ids.Shard]time.Time{}
	for shard, report := range view.reports {
		asOf[shard] = report.asOf
	}
	shares, err := p.quotaShares(epoch)
	if err != nil {
		return nil, nil, err
	}
	if change == nil && view.converged == epoch && bytes.Equal(epoch.Groups[SharesGroup].Data, shares) {
		return planned, asOf, nil
	}
	desired, err := p.desiredGroups(epoch, change, shares)
	if err != nil {
		return nil, nil, err
	}
	diffGroups(planned, epoch, desired)
	if len(planned.Put)+len(planned.Remove) == 0 {
		view.converged = epoch
	}
	return planned, asOf, nil
}

// diffGroups sets the planned epoch's Put and Remove to the difference between the current
// epoch and the desired groups.
func diffGroups(planned *rpc.EpochEntry, epoch *EpochState, desired map[string]json.RawMessage) {
	for name, data := range desired {
		if group, ok := epoch.Groups[name]; !ok || !bytes.Equal(group.Data, data) {
			planned.Put[name] = data
		}
	}
	for name := range epoch.Groups {
		if _, ok := desired[name]; !ok {
			planned.Remove = append(planned.Remove, name)
		}
	}
	slices.Sort(planned.Remove)
}

// quotaShares encodes the strength of every proxy. Limits are divided among the proxies in
// proportion to it. A departed proxy keeps its share for controlplane.share_retention: most
// return quickly, and shares that are too small are harmless, whereas an epoch for each
// departure and return is not. For the same time after its start this node may not know all
// members yet, and keeps the current shares of unknown ones.
func (p *Planner) quotaShares(epoch *EpochState) (json.RawMessage, error) {
	members := p.members.View()
	shares := map[ids.NodeName]int{}
	for name, member := range members {
		isLive := member.IsLive()
		if member.ProxyAddress != "" && (isLive || time.Since(member.StateChange) < p.env.Config.ControlplaneShareRetention) {
			shares[name] = member.Strength
		}
	}
	if p.env.Since(p.startedAt) < p.env.Config.ControlplaneShareRetention {
		var currentShares map[ids.NodeName]int
		if err := epoch.decode(SharesGroup, &currentShares); err != nil {
			return nil, err
		}
		for name, strength := range currentShares {
			if _, isKnown := members[name]; !isKnown {
				shares[name] = strength
			}
		}
	}
	return mustMarshal(shares), nil
}

// desiredGroups returns the desired content of every group of the next epoch. Without a
// change set the operators' groups remain unchanged. The target lists of shards without a
// report remain unchanged, too. The caller holds mu.
func (p *Planner) desiredGroups(epoch *EpochState, change *acceptedChange, shares json.RawMessage) (map[string]json.RawMessage, error) {
	desired, services, err := operatorGroups(epoch, change)
	if err != nil {
		return nil, err
	}
	desired[SharesGroup] = shares
	resolved, err := resolveTargets(epoch, services, p.view.reports)
	if err != nil {
		return nil, err
	}
	p.awaitsRelease = resolved.awaitsRelease
	p.logConflicts(resolved.conflicts)
	for _, service := range services {
		name := TargetsPrefix + service.Name
		if current, ok := epoch.Groups[name]; ok && p.view.reports[ids.ShardOf(service.Name)] == nil {
			desired[name] = current.Data
			continue
		}
		desired[name] = mustMarshal(nonNil(resolved.targets[service.Name]))
	}
	return desired, nil
}

// operatorGroups returns the groups that operators write, with the change set if there is
// one, and the services in them.
func operatorGroups(epoch *EpochState, change *acceptedChange) (groups map[string]json.RawMessage, services []rpc.Service, err error) {
	if change != nil {
		groups, err = encodeGroups(change.config)
		return groups, change.config.Services, err
	}
	groups = map[string]json.RawMessage{}
	for name, group := range epoch.Groups {
		if isOperatorGroup(name) {
			groups[name] = group.Data
		}
	}
	err = epoch.decode(ServicesGroup, &services)
	return groups, services, err
}

// logConflicts emits an event for each conflict that was not logged before.
func (p *Planner) logConflicts(conflicts []addressConflict) {
	for _, conflict := range conflicts {
		if !p.loggedConflicts[conflict] {
			p.loggedConflicts[conflict] = true
			p.env.Events.Emit(eventlog.AddressConflict, "address", conflict.address, "first", conflict.first, "second", conflict.second)
		}
	}
}
