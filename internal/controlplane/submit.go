// What operators ask of the planner: to take a change set whole, to tell what
// became of one, and to show the epoch in force.
package controlplane

import (
	"context"
	"encoding/json"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// Submit takes a change set whole, or not at all.
func (p *Planner) Submit(ctx context.Context, change *rpc.ChangeSet) (*rpc.ChangeResult, error) {
	receipt, isNew, err := p.submit(ctx, change)
	if isNew {
		waitForPropagation(ctx, p.env)
	}
	return receipt, err
}

func (p *Planner) submit(ctx context.Context, change *rpc.ChangeSet) (receipt *rpc.ChangeResult, isNew bool, err error) {
	p.planning.Lock()
	defer p.planning.Unlock()
	if err := p.replica.ConfirmLeadership(ctx, p.env.Now()); err != nil {
		return nil, false, err
	}
	encoded, _ := json.Marshal(change)
	digest := Digest(encoded)
	epoch := p.config.Current()
	first, err := epoch.CheckPrecondition(change, digest)
	if first != nil {
		return first, false, nil
	}
	var config rpc.Configuration
	if err == nil {
		var paths []string
		if config, paths = MergeChange(epoch.Config(), change); len(paths) > 0 {
			err = errcode.At(errcode.BadChange, paths)
		}
	}
	if err != nil {
		if !errcode.Is(err, errcode.ChangeReused) {
			p.env.Events.Say(eventlog.ChangeRefused, "id", change.ID, "code", errcode.Of(err).Code.No)
		}
		return nil, false, err
	}
	receipt = &rpc.ChangeResult{ID: change.ID, State: "accepted", Digest: digest, Version: change.Version}
	if err := p.planEpoch(ctx, receipt, &config); err != nil {
		if errcode.Is(err, errcode.NotOwner) {
			return nil, false, err
		}
		return nil, false, errcode.New(errcode.ChangeUnknown, "%v", err)
	}
	p.env.Events.Say(eventlog.ChangeAccepted, "id", change.ID, "epoch", uint64(receipt.Epoch))
	return receipt, true, nil
}

// ChangeStatus tells what became of a change set. It waits for all that is in the
// log, so that "absent" can't be followed by a late acceptance.
func (p *Planner) ChangeStatus(ctx context.Context, id string) (*rpc.ChangeResult, error) {
	p.planning.Lock()
	defer p.planning.Unlock()
	if err := p.replica.Barrier(ctx); err != nil {
		return nil, err
	}
	if receipt, ok := p.config.Current().FindChange(id); ok {
		return &receipt, nil
	}
	return nil, errcode.New(errcode.ChangeAbsent, "%q", id)
}

// EpochView is the epoch in force, confirmed since the call came.
func (p *Planner) EpochView(ctx context.Context) (*rpc.EpochView, error) {
	if err := p.replica.ConfirmLeadership(ctx, p.env.Now()); err != nil {
		return nil, err
	}
	return p.config.Current().View(), nil
}

// Config is the operators' configuration as they sent it, keys and all,
// confirmed since the call came.
func (p *Planner) Config(ctx context.Context) (*rpc.ConfigurationView, error) {
	if err := p.replica.ConfirmLeadership(ctx, p.env.Now()); err != nil {
		return nil, err
	}
	epoch := p.config.Current()
	return &rpc.ConfigurationView{Version: epoch.Version, Epoch: epoch.Epoch, Configuration: epoch.Config()}, nil
}

// Freshness tells the epoch in force and the ages of what it reflects. It asks for
// no round of its own: the age of the last one is told, and is what counts.
func (p *Planner) Freshness() (*rpc.FreshnessResponse, error) {
	age, isServing := p.replica.ConfirmationAge()
	if !isServing {
		return nil, errcode.New(errcode.NotOwner, "configuration part")
	}
	began := p.env.Now()
	term, _, _ := p.replica.LeadershipSince()
	p.mu.Lock()
	defer p.mu.Unlock()
	response := &rpc.FreshnessResponse{ShardAgeMicros: make([]int64, ids.ShardCount)}
	for shard := range response.ShardAgeMicros {
		response.ShardAgeMicros[shard] = -1
		if at, ok := p.reflectedUpTo[ids.Shard(shard)]; ok && p.term == term {
			response.ShardAgeMicros[shard] = p.env.Since(at).Microseconds() + 1
		}
	}
	epoch := p.config.Current()
	response.Epoch, response.BindingEpoch = epoch.Epoch, epoch.LastBinding
	response.AgeMicros = (age + p.env.Since(began)).Microseconds() + 1
	return response, nil
}
