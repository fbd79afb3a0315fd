package controlplane

import (
	"context"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// EpochView is the epoch in force as operators see it. That it was in force after the call
// came is confirmed with a majority of the configuration shard.
func (p *Planner) EpochView(ctx context.Context) (*rpc.EpochView, error) {
	if err := p.replica.ConfirmLeadership(ctx, p.env.Now()); err != nil {
		return nil, err
	}
	view, err := p.state.Current().View()
	p.state.reportDamage(err)
	return view, err
}

// Config is the operators' configuration as they sent it, keys and all, confirmed as
// EpochView is.
func (p *Planner) Config(ctx context.Context) (*rpc.ConfigurationView, error) {
	if err := p.replica.ConfirmLeadership(ctx, p.env.Now()); err != nil {
		return nil, err
	}
	epoch := p.state.Current()
	config, err := epoch.Config()
	if err != nil {
		p.state.reportDamage(err)
		return nil, err
	}
	return &rpc.ConfigurationView{Version: epoch.Version, Epoch: epoch.Epoch, Configuration: config}, nil
}

// unreflected is the age told of a shard that the epoch in force does not reflect at all.
const unreflected = -1

// Freshness tells the epoch in force, and ages in microseconds: how long ago a majority
// confirmed that this node leads the configuration shard, and up to when the epoch reflects
// each data shard. It starts no confirmation of its own: the age of the last one counts.
func (p *Planner) Freshness() (*rpc.FreshnessResponse, error) {
	// What passes from here on makes the confirmation older, also where this process stands
	// still between two lines; the epoch is read last.
	began := p.env.Now()
	age, isServing := p.replica.ConfirmationAge()
	if !isServing {
		return nil, errcode.New(errcode.NotLeader, "configuration shard")
	}
	term, _, _ := p.replica.LeadershipSince()
	p.mu.Lock()
	defer p.mu.Unlock()
	response := &rpc.FreshnessResponse{ShardAgeMicros: make([]int64, ids.ShardCount)}
	for shard := range response.ShardAgeMicros {
		response.ShardAgeMicros[shard] = unreflected
		if at, ok := p.view.reflectedUpTo[ids.Shard(shard)]; ok && p.view.term == term {
			response.ShardAgeMicros[shard] = p.env.Since(at).Microseconds() + 1
		}
	}
	epoch := p.state.Current()
	response.Epoch, response.BindingEpoch = epoch.Epoch, epoch.LastBinding
	response.AgeMicros = (age + p.env.Since(began)).Microseconds() + 1
	return response, nil
}
