package node

import (
	"context"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/consensus"
	"github.com/sumactrestle/sumactrestle/internal/controlplane"
	"github.com/sumactrestle/sumactrestle/internal/coordination"
	"github.com/sumactrestle/sumactrestle/internal/distribution"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

const (
	// messageTrigger notifies the leader of the configuration shard that targets changed.
	messageTrigger = "plan.stir"
	// messageReport requests from a core node the targets of the shards that it leads.
	messageReport = "plan.news"

	triggerTimeout = 500 * time.Millisecond
)

// newCore creates the components of a core node: the replicas of the shards with their state
// machines, and the services on top of them.
func (n *Node) newCore() error {
	var stateMachines []consensus.StateMachine
	for range ids.ShardCount {
		store := coordination.NewStore()
		n.Stores = append(n.Stores, store)
		stateMachines = append(stateMachines, store)
	}
	n.ConfigState = controlplane.NewConfigState()
	n.ConfigState.OnCommit = n.logEpoch
	n.ConfigState.OnDamage = func(err error) { n.Env.Events.Emit(eventlog.GroupDamaged, "cause", err.Error()) }
	stateMachines = append(stateMachines, n.ConfigState)
	var err error
	if n.Consensus, err = consensus.New(consensus.Config{Environment: n.Env, Transport: n.RPC, Members: n.Members, Store: n.Store, StateMachines: stateMachines}); err != nil {
		return err
	}
	n.Coordination = coordination.NewService(n.Env, n.Consensus, n.Stores)
	n.Targets = controlplane.NewTargetRegistry(controlplane.RegistryConfig{Env: n.Env, Consensus: n.Consensus, Stores: n.Stores, State: n.ConfigState, OnChange: n.notifyPlanner})
	n.Planner = controlplane.NewPlanner(controlplane.PlannerConfig{Env: n.Env, Transport: n.RPC, Members: n.Members, Consensus: n.Consensus, State: n.ConfigState})
	n.configServer = distribution.NewServer(distribution.ServerConfig{
		Environment: n.Env,
		Transport:   n.RPC,
		Members:     n.Members,
		Consensus:   n.Consensus,
		State:       n.ConfigState,
		Planner:     n.Planner,
	})
	n.handleCoreMessages()
	return nil
}

// handleCoreMessages registers the handlers of the messages about targets.
func (n *Node) handleCoreMessages() {
	rpc.Handle(n.RPC, messageLookup, func(_ context.Context, request *rpc.InstanceLookupRequest) (*rpc.InstanceLookupResponse, error) {
		return &rpc.InstanceLookupResponse{Service: n.Targets.ServiceOf(request.Instance)}, nil
	})
	n.RPC.Handle(messageTrigger, func(*rpc.Request) (any, error) {
		n.Planner.Trigger()
		return struct{}{}, nil
	})
	rpc.Handle(n.RPC, messageReport, func(ctx context.Context, request *rpc.TargetReportRequest) (*rpc.TargetReportResponse, error) {
		return n.Targets.Report(ctx, request), nil
	})
}

// logEpoch logs a committed epoch.
func (n *Node) logEpoch(state *controlplane.EpochState, entry *rpc.EpochEntry) {
	change := ""
	if entry.Change != nil {
		change = entry.Change.ID
	}
	n.Env.Events.Emit(eventlog.EpochCommitted, "epoch", uint64(state.Epoch), "change", change, "groups", len(entry.Put)+len(entry.Remove))
}

// notifyPlanner notifies the leader of the configuration shard that targets changed. Only one
// such message is in flight at a time.
func (n *Node) notifyPlanner() {
	if n.Consensus.Replica(ids.ConfigShard).IsServing() {
		n.Planner.Trigger()
		return
	}
	if !n.notifyingPlanner.CompareAndSwap(false, true) {
		return
	}
	n.Env.Go(func() {
		defer n.notifyingPlanner.Store(false)
		if address := n.leaderAddress(ids.ConfigShard, 0); address != "" {
			ctx, cancel := context.WithTimeout(n.Env, triggerTimeout)
			defer cancel()
			// A lost message only delays the change until the planner's next poll.
			_ = n.RPC.Call(ctx, address, messageTrigger, struct{}{}, nil)
		}
	})
}
