package controlplane

import (
	"context"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// EpochView returns the current epoch as shown to operators. The read is linearizable: this
// node's leadership is first confirmed by a majority of the configuration shard.
func (p *Planner) EpochView(ctx context.Context) (*rpc.EpochView, error) {
	if err := p.replica.ConfirmLeadership(ctx, p.env.Now()); err != nil {
		return nil, err
	}
	view, err := p.state.Current().View()
	p.state.reportDamage(err)
	return view, err
}

// Config returns the operators' configuration, including sources and the keys of services. The
// read is linearizable, as that of EpochView.
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

// shardNotReflected is the age reported for a shard that the current epoch does not reflect.
const shardNotReflected = -1

// Freshness returns the current epoch and ages in microseconds: how long ago a majority last
// confirmed that this node leads the configuration shard, and how long ago the state of each
// data shard was that the epoch reflects. It does not start a new confirmation.
func (p *Planner) Freshness() (*rpc.FreshnessResponse, error) {
	// The time since start is added to the confirmation's age, so that a pause of this process
	// during the call counts. The epoch is read after the confirmation's age.
	start := p.env.Now()
	age, isServing := p.replica.ConfirmationAge()
	if !isServing {
		return nil, errcode.New(errcode.NotLeader, "configuration shard")
	}
	term, _, _ := p.replica.LeadershipSince()
	p.mu.Lock()
	defer p.mu.Unlock()
	response := &rpc.FreshnessResponse{ShardAgeMicros: make([]int64, ids.ShardCount)}
	for shard := range response.ShardAgeMicros {
		response.ShardAgeMicros[shard] = shardNotReflected
		if asOf, ok := p.view.reflectedUpTo[ids.Shard(shard)]; ok && p.view.term == term {
			response.ShardAgeMicros[shard] = p.env.Since(asOf).Microseconds() + 1
		}
	}
	epoch := p.state.Current()
	response.Epoch, response.BindingEpoch = epoch.Epoch, epoch.LastBinding
	response.AgeMicros = (age + p.env.Since(start)).Microseconds() + 1
	return response, nil
}
