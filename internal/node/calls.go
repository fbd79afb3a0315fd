package node

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/controlplane"
	"github.com/sumactrestle/sumactrestle/internal/coordination"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// The calls below are what targets, operators and applications ask of any node. Whatever
// serves a node, its own API included, is made of them alone.

// How long calls take at most, unless the caller's context ends before.
const (
	callTimeout      = 3 * time.Second
	submitTimeout    = 2 * callTimeout
	heartbeatTimeout = 2 * time.Second
	lookupTimeout    = 500 * time.Millisecond
)

// messageLookup asks a core node for the service of an instance.
const messageLookup = "plan.whose"

// maxSequence is above every number that an instance gives its heartbeats.
const maxSequence = 1 << 62

// Heartbeat takes a target's heartbeat. The address returned is the API of the node that
// takes later ones without forwarding them; it is empty if that is this one, or not known.
func (n *Node) Heartbeat(ctx context.Context, heartbeat *rpc.TargetHeartbeat) (betterAddress string, err error) {
	n.heartbeats.Add(1)
	limited, end := context.WithTimeout(ctx, heartbeatTimeout)
	defer end()
	if err := controlplane.ValidateHeartbeat(heartbeat); err != nil {
		n.Env.Events.Emit(eventlog.HeartbeatRejected, "service", heartbeat.Service, "instance", heartbeat.Instance, "cause", err.Error())
		return "", err
	}
	if heartbeat.State != controlplane.StateServing {
		n.Env.Events.Emit(eventlog.TargetLeaving, "service", heartbeat.Service, "instance", heartbeat.Instance, "state", heartbeat.State)
	}
	shard := ids.ShardOf(heartbeat.Service)
	if _, err := heartbeatOperation.call(limited, n, shard, heartbeat); err != nil {
		return "", err
	}
	if n.Consensus == nil || !n.Consensus.Replica(shard).IsServing() {
		return n.leaderAPIAddress(shard), nil
	}
	return "", nil
}

// Deregister takes an instance out that names itself alone. It is an errcode.UnknownService
// if no core node knows the instance.
func (n *Node) Deregister(ctx context.Context, instance string) error {
	limited, end := context.WithTimeout(ctx, heartbeatTimeout)
	defer end()
	service := n.serviceOf(limited, instance)
	if service == "" {
		return errcode.New(errcode.UnknownService, "of instance %q", instance)
	}
	n.Env.Events.Emit(eventlog.TargetLeaving, "service", service, "instance", instance, "state", controlplane.StateLeaving)
	heartbeat := &rpc.TargetHeartbeat{Service: service, Instance: instance, Sequence: maxSequence, Address: "0.0.0.0:0", State: controlplane.StateLeaving}
	_, err := heartbeatOperation.call(limited, n, ids.ShardOf(service), heartbeat)
	return err
}

// serviceOf finds the service of an instance, here first, then at all core nodes; it is
// empty if none knows it.
func (n *Node) serviceOf(ctx context.Context, instance string) string {
	if n.Targets != nil {
		if service := n.Targets.ServiceOf(instance); service != "" {
			return service
		}
	}
	cores := n.Members.CoreMembers()
	found := make(chan string, len(cores))
	var lookups sync.WaitGroup
	limited, end := context.WithTimeout(ctx, lookupTimeout)
	defer end()
	for _, m := range cores {
		if m.Name == n.Env.Name {
			continue
		}
		lookups.Add(1)
		n.Env.Go(func() {
			defer lookups.Done()
			var response rpc.InstanceLookupResponse
			if n.RPC.Call(limited, m.RPCAddress, messageLookup, &rpc.InstanceLookupRequest{Instance: instance}, &response) == nil && response.Service != "" {
				found <- response.Service
			}
		})
	}
	n.Env.Go(func() { lookups.Wait(); close(found) })
	return <-found
}

// Submit submits a change set. Only the leader can say that one was not accepted: any other
// node can't know whether it was when it was sent before under its id. So an error that
// tells an outcome becomes an errcode.ChangeUnknown.
func (n *Node) Submit(ctx context.Context, change *rpc.ChangeSet) (*rpc.ChangeResult, error) {
	limited, end := context.WithTimeout(ctx, submitTimeout)
	defer end()
	result, err := submitOperation.call(limited, n, ids.ConfigShard, change)
	if err != nil && errcode.From(err).Code.Outcome != "" {
		err = errcode.New(errcode.ChangeUnknown, "%v", err)
	}
	return result, err
}

// Config returns the configuration in force, as the operators sent it.
func (n *Node) Config(ctx context.Context) (*rpc.ConfigurationView, error) {
	limited, end := context.WithTimeout(ctx, callTimeout)
	defer end()
	return configOperation.call(limited, n, ids.ConfigShard, nil)
}

// Coordinate makes a coordination call. One with an id may repeat one that was executed, so
// that only the leader can say that it was not: any other error of it, and any reply that
// was lost, becomes an errcode.WriteUnknown.
func (n *Node) Coordinate(ctx context.Context, request *rpc.CoordinationRequest) (*rpc.CoordinationResponse, error) {
	limited, end := context.WithTimeout(ctx, callTimeout+time.Duration(request.Wait)*time.Millisecond)
	defer end()
	if request.Operation != coordination.OpWatch && request.Operation != coordination.OpFollow {
		defer n.observeCall(time.Now())
	}
	response, err := n.coordinate(limited, request)
	if err != nil {
		notRun := errcode.From(err).Code.Outcome == "not run"
		if errors.Is(err, errcode.ReplyLost) || notRun && request.ID != "" {
			err = errcode.New(errcode.WriteUnknown, "%v", err)
		}
		return nil, err
	}
	return response, nil
}

// coordinate makes a coordination call, whose errors are as they come.
func (n *Node) coordinate(ctx context.Context, request *rpc.CoordinationRequest) (*rpc.CoordinationResponse, error) {
	return coordinationOperation.call(ctx, n, ids.ShardOf(request.Name), request)
}

// Ready returns nil if this node can do its work now, or else what keeps it from it.
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
