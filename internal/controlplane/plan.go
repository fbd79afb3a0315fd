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

// acceptedChange is a change set that is to be committed with an epoch.
type acceptedChange struct {
	result *rpc.ChangeResult // its epoch is filled in
	config rpc.Configuration // the configuration with the change set
}

// planEpoch commits an epoch if what it should say differs from the one in force.
func (p *Planner) planEpoch(ctx context.Context) error {
	p.planning.Lock()
	defer p.planning.Unlock()
	return p.commitEpoch(ctx, nil)
}

// commitEpoch is planEpoch while planning is held. A change set is committed in any case.
// The error is errcode.NotLeader if this node does not lead the configuration shard any
// more, a *DamagedGroupError, which was reported, or that of the proposal.
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
				return errcode.New(errcode.NotLeader, "epoch %d was planned by another", planned.Epoch)
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
		for shard, at := range asOf {
			if p.view.reflectedUpTo[shard].Before(at) {
				p.view.reflectedUpTo[shard] = at
			}
		}
	}
	return nil
}

// nextEpoch is the epoch to be committed, with nothing in it if the one in force says
// everything, and the time up to which it reflects each shard.
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

// diffGroups puts into an epoch what is desired and is not in the one in force.
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

// quotaShares encodes the strength of every proxy, by which limits are divided among them.
// A proxy that went keeps its share for the time of the setting plan.linger: most come back
// at once, and shares that are too small do no harm, where an epoch for each coming and
// going does. For as long after its start this node does not know who is there, and keeps
// the shares in force.
func (p *Planner) quotaShares(epoch *EpochState) (json.RawMessage, error) {
	members := p.members.View()
	shares := map[ids.NodeName]int{}
	for name, member := range members {
		isHere := member.IsLive()
		if member.ProxyAddress != "" && (isHere || time.Since(member.StateChange) < p.env.Config.ControlplaneShareRetention) {
			shares[name] = member.Strength
		}
	}
	if p.env.Since(p.startedAt) < p.env.Config.ControlplaneShareRetention {
		var inForce map[ids.NodeName]int
		if err := epoch.decode(SharesGroup, &inForce); err != nil {
			return nil, err
		}
		for name, strength := range inForce {
			if _, isKnown := members[name]; !isKnown {
				shares[name] = strength
			}
		}
	}
	return mustMarshal(shares), nil
}

// desiredGroups is what every group of the next epoch should hold; mu is held. Without a
// change set the operators' groups are taken over as they are, and so are the target lists
// of shards that there is no report on.
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
		if inForce, ok := epoch.Groups[name]; ok && p.view.reports[ids.ShardOf(service.Name)] == nil {
			desired[name] = inForce.Data
			continue
		}
		desired[name] = mustMarshal(nonNil(resolved.targets[service.Name]))
	}
	return desired, nil
}

// operatorGroups is the groups that the operators write, and the services in them.
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

// logConflicts writes an event of each conflict that was not seen before.
func (p *Planner) logConflicts(conflicts []addressConflict) {
	for _, conflict := range conflicts {
		if !p.loggedConflicts[conflict] {
			p.loggedConflicts[conflict] = true
			p.env.Events.Emit(eventlog.AddressConflict, "address", conflict.address, "first", conflict.first, "second", conflict.second)
		}
	}
}
