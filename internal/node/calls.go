// The node's calls, as Go verbs: what servers, operators and applications ask of
// any node, passed on to the owner of its part. The product's own API and any
// other face of a node are made of these, and of nothing else.
package node

import (
	"context"
	"sync"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/controlplane"
	"github.com/sumactrestle/sumactrestle/internal/coordination"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// Heartbeat folds a server's beat. The address is where later beats are taken without
// being passed on; it is empty if that is here, or not known.
func (n *Node) Heartbeat(ctx context.Context, beat *rpc.TargetHeartbeat) (better string, err error) {
	n.heartbeats.Add(1)
	limited, end := context.WithTimeout(ctx, heartbeatTimeout)
	defer end()
	if err := controlplane.ValidateHeartbeat(beat); err != nil {
		n.Env.Events.Emit(eventlog.HeartbeatRejected, "service", beat.Service, "instance", beat.Instance, "cause", err.Error())
		return "", err
	}
	if beat.State != controlplane.StateServing {
		n.Env.Events.Emit(eventlog.TargetLeaving, "service", beat.Service, "instance", beat.Instance, "state", beat.State)
	}
	no := ids.ShardOf(beat.Service)
	var done struct{}
	if err := n.forward(limited, operation{no, "beat", beat}, 0, &done); err != nil {
		return "", err
	}
	if n.Consensus == nil || !n.Consensus.Replica(no).IsServing() {
		better = n.leaderAPI(no)
	}
	return better, nil
}

// leaderAPI is the API address of the node that owns a part, if it is known.
func (n *Node) leaderAPI(no ids.Shard) string {
	known := n.leaders[no].Load()
	if n.Consensus != nil {
		if name, ok := n.Consensus.Leader(no); ok {
			if m, ok := n.Members.Lookup(name); ok {
				return m.APIAddress
			}
		}
	}
	if known == nil {
		return ""
	}
	for _, m := range n.Members.CoreMembers() {
		if m.RPCAddress == *known {
			return m.APIAddress
		}
	}
	return ""
}

// Deregister signs an instance off that names itself alone.
func (n *Node) Deregister(ctx context.Context, instance string) error {
	limited, end := context.WithTimeout(ctx, heartbeatTimeout)
	defer end()
	service := n.serviceOf(limited, instance)
	if service == "" {
		return errcode.New(errcode.UnknownService, "of instance %q", instance)
	}
	n.Env.Events.Emit(eventlog.TargetLeaving, "service", service, "instance", instance, "state", controlplane.StateLeaving)
	beat := &rpc.TargetHeartbeat{Service: service, Instance: instance, Sequence: maxSequence, Address: "0.0.0.0:0", State: controlplane.StateLeaving}
	var done struct{}
	return n.forward(limited, operation{ids.ShardOf(service), "beat", beat}, 0, &done)
}

// maxSequence is above every number that an instance gives its beats.
const maxSequence = 1 << 62

// serviceOf finds the service of an instance: here first, then at all core nodes.
func (n *Node) serviceOf(ctx context.Context, instance string) string {
	if n.Targets != nil {
		if service := n.Targets.ServiceOf(instance); service != "" {
			return service
		}
	}
	cores := n.Members.CoreMembers()
	found := make(chan string, len(cores))
	var all sync.WaitGroup
	limited, end := context.WithTimeout(ctx, 500*time.Millisecond)
	defer end()
	for _, m := range cores {
		if m.Name == n.Env.Name {
			continue
		}
		all.Add(1)
		n.Env.Go(func() {
			defer all.Done()
			var receipt rpc.InstanceLookupResponse
			if n.RPC.Call(limited, m.RPCAddress, "plan.whose", &rpc.InstanceLookupRequest{Instance: instance}, &receipt) == nil && receipt.Service != "" {
				found <- receipt.Service
			}
		})
	}
	n.Env.Go(func() { all.Wait(); close(found) })
	return <-found
}

// Submit is answered with yes or no by the owner alone: any other node can't know
// whether the set was accepted when it was sent before under its id.
func (n *Node) Submit(ctx context.Context, change *rpc.ChangeSet) (*rpc.ChangeResult, error) {
	limited, end := context.WithTimeout(ctx, 2*callTimeout)
	defer end()
	receipt := &rpc.ChangeResult{}
	err := n.forward(limited, operation{ids.ConfigShard, "submit", change}, 0, receipt)
	if err != nil && errcode.From(err).Code.Outcome != "" {
		err = errcode.New(errcode.ChangeUnknown, "%v", err)
	}
	return receipt, err
}

// Config is the configuration in force, as the operators sent it.
func (n *Node) Config(ctx context.Context) (*rpc.ConfigurationView, error) {
	limited, end := context.WithTimeout(ctx, callTimeout)
	defer end()
	view := &rpc.ConfigurationView{}
	return view, n.forward(limited, operation{ids.ConfigShard, "config", nil}, 0, view)
}

// Coordinate passes a coordination call. One under an id may be a repeat of one that
// was done, so that only an owner can say that it was not.
func (n *Node) Coordinate(ctx context.Context, call *rpc.CoordinationRequest) (*rpc.CoordinationResponse, error) {
	limited, end := context.WithTimeout(ctx, callTimeout+time.Duration(call.Wait)*time.Millisecond)
	defer end()
	if call.Operation != coordination.OpWatch && call.Operation != coordination.OpFollow {
		defer n.observeCall(time.Now())
	}
	receipt := &rpc.CoordinationResponse{}
	if err := n.forward(limited, operation{ids.ShardOf(call.Name), "bond", call}, 0, receipt); err != nil {
		isNotRun := errcode.From(err).Code.Outcome == "not run"
		if errcode.Is(err, errcode.ReplyLost) || isNotRun && call.ID != "" {
			err = errcode.New(errcode.WriteUnknown, "%v", err)
		}
		return nil, err
	}
	return receipt, nil
}

// Ready tells whether this node can do its work now.
func (n *Node) Ready() error {
	if n.stopping.Load() {
		return errcode.New(errcode.Stopping, "")
	}
	if n.Distribution != nil && !n.Distribution.IsFresh(n.Distribution.Cache.Snapshot(), "") {
		return errcode.New(errcode.NotFresh, "")
	}
	if n.Consensus != nil && n.Consensus.Charter() == nil {
		return errcode.New(errcode.NoLeader, "no fleet yet")
	}
	return nil
}
