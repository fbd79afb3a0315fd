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

// The methods below execute the calls of targets, operators and applications. Any node accepts
// them. The handlers of a node, such as its API, are built on these methods.

// Time limits of calls. The caller's context may end a call earlier.
const (
	callTimeout      = 3 * time.Second
	submitTimeout    = 2 * callTimeout
	heartbeatTimeout = 2 * time.Second
	lookupTimeout    = 500 * time.Millisecond
)

// messageLookup is the kind of the message that requests the service of an instance from a
// core node.
const messageLookup = "plan.whose"

// maxSequence is greater than any sequence number in an instance's heartbeats.
const maxSequence = 1 << 62

// Heartbeat processes a target's heartbeat. leaderAPIAddress is the API address of the shard's
// leader, which processes later heartbeats without forwarding; it is empty if this node is the
// leader or the leader is not known.
func (n *Node) Heartbeat(ctx context.Context, heartbeat *rpc.TargetHeartbeat) (leaderAPIAddress string, err error) {
	n.heartbeats.Add(1)
	callCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	if err := controlplane.ValidateHeartbeat(heartbeat); err != nil {
		n.Env.Events.Emit(eventlog.HeartbeatRejected, "service", heartbeat.Service, "instance", heartbeat.Instance, "cause", err.Error())
		return "", err
	}
	if heartbeat.State != controlplane.StateServing {
		n.Env.Events.Emit(eventlog.TargetLeaving, "service", heartbeat.Service, "instance", heartbeat.Instance, "state", heartbeat.State)
	}
	shard := ids.ShardOf(heartbeat.Service)
	if _, err := heartbeatOperation.call(callCtx, n, shard, heartbeat); err != nil {
		return "", err
	}
	if n.Consensus == nil || !n.Consensus.Replica(shard).IsServing() {
		return n.leaderAPIAddress(shard), nil
	}
	return "", nil
}

// Deregister removes an instance whose service the caller does not name. It returns an
// errcode.UnknownService if no core node knows the instance.
func (n *Node) Deregister(ctx context.Context, instance string) error {
	callCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	service := n.serviceOf(callCtx, instance)
	if service == "" {
		return errcode.New(errcode.UnknownService, "of instance %q", instance)
	}
	n.Env.Events.Emit(eventlog.TargetLeaving, "service", service, "instance", instance, "state", controlplane.StateLeaving)
	heartbeat := &rpc.TargetHeartbeat{Service: service, Instance: instance, Sequence: maxSequence, Address: "0.0.0.0:0", State: controlplane.StateLeaving}
	_, err := heartbeatOperation.call(callCtx, n, ids.ShardOf(service), heartbeat)
	return err
}

// serviceOf returns the service of an instance, from this node's registry or else from the
// first core node that knows it. It is empty if none does.
func (n *Node) serviceOf(ctx context.Context, instance string) string {
	if n.Targets != nil {
		if service := n.Targets.ServiceOf(instance); service != "" {
			return service
		}
	}
	cores := n.Members.CoreMembers()
	services := make(chan string, len(cores))
	var lookups sync.WaitGroup
	lookupCtx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	for _, m := range cores {
		if m.Name == n.Env.Name {
			continue
		}
		lookups.Add(1)
		n.Env.Go(func() {
			defer lookups.Done()
			var response rpc.InstanceLookupResponse
			if n.RPC.Call(lookupCtx, m.RPCAddress, messageLookup, &rpc.InstanceLookupRequest{Instance: instance}, &response) == nil && response.Service != "" {
				services <- response.Service
			}
		})
	}
	n.Env.Go(func() { lookups.Wait(); close(services) })
	return <-services
}

// Submit submits a change set. Only the leader can state that a change set was not accepted:
// it may have been accepted in an earlier attempt under the same ID. So an error whose code
// has an outcome, such as NoLeader, becomes an errcode.ChangeUnknown.
func (n *Node) Submit(ctx context.Context, change *rpc.ChangeSet) (*rpc.ChangeResult, error) {
	callCtx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	result, err := submitOperation.call(callCtx, n, ids.ConfigShard, change)
	if err != nil && errcode.From(err).Code.Outcome != "" {
		err = errcode.New(errcode.ChangeUnknown, "%v", err)
	}
	return result, err
}

// Config returns the active configuration in the form in which operators submitted it.
func (n *Node) Config(ctx context.Context) (*rpc.ConfigurationView, error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return configOperation.call(callCtx, n, ids.ConfigShard, nil)
}

// Coordinate executes a coordination call. A call with an ID may repeat one that was already
// executed, which only the leader knows. So an error that says such a call did not run, and
// a lost reply to any call, become an errcode.WriteUnknown.
func (n *Node) Coordinate(ctx context.Context, request *rpc.CoordinationRequest) (*rpc.CoordinationResponse, error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout+time.Duration(request.Wait)*time.Millisecond)
	defer cancel()
	if request.Operation != coordination.OpWatch && request.Operation != coordination.OpFollow {
		defer n.observeCall(time.Now())
	}
	response, err := n.coordinate(callCtx, request)
	if err != nil {
		isNotRun := errcode.From(err).Code.Outcome == "not run"
		if errors.Is(err, errcode.PeerResponseLost) || isNotRun && request.ID != "" {
			err = errcode.New(errcode.WriteUnknown, "%v", err)
		}
		return nil, err
	}
	return response, nil
}

// coordinate executes a coordination call and returns errors unchanged.
func (n *Node) coordinate(ctx context.Context, request *rpc.CoordinationRequest) (*rpc.CoordinationResponse, error) {
	return coordinationOperation.call(ctx, n, ids.ShardOf(request.Name), request)
}

// Ready returns nil if this node can serve, or else the reason why not.
func (n *Node) Ready() error {
	if n.stopping.Load() {
		return errcode.New(errcode.Stopping, "")
	}
	if n.Distribution != nil && !n.Distribution.IsFresh(n.Distribution.Cache.Snapshot(), "") {
		return errcode.New(errcode.NotFresh, "")
	}
	if n.Consensus != nil && n.Consensus.Charter() == nil {
		return errcode.New(errcode.NoLeader, "the fleet is not bootstrapped yet")
	}
	return nil
}
