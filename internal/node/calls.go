// The node's calls, as Go verbs: what servers, operators and applications ask of
// any node, passed on to the owner of its part. The product's own API and any
// other face of a node are made of these, and of nothing else.
package node

import (
	"context"
	"sync"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/controlplane"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// Take folds a server's beat. The address is where later beats are taken without
// being passed on; it is empty if that is here, or not known.
func (n *Node) Take(ctx context.Context, beat *rpc.TargetHeartbeat) (better string, err error) {
	n.beats.Add(1)
	limited, end := context.WithTimeout(ctx, beatTime)
	defer end()
	if err := controlplane.ValidateHeartbeat(beat); err != nil {
		n.R.Events.Say(eventlog.BeatRefused, "service", beat.Service, "instance", beat.Instance, "cause", err.Error())
		return "", err
	}
	if beat.State != controlplane.StateServing {
		n.R.Events.Say(eventlog.TargetGoing, "service", beat.Service, "instance", beat.Instance, "state", beat.State)
	}
	no := ids.ShardOf(beat.Service)
	var done struct{}
	if err := n.pass(limited, op{no, "beat", beat}, 0, &done); err != nil {
		return "", err
	}
	if n.Consensus == nil || !n.Consensus.Replica(no).IsServing() {
		better = n.ownerApi(no)
	}
	return better, nil
}

// ownerApi is the API address of the node that owns a part, if it is known.
func (n *Node) ownerApi(no ids.Shard) string {
	known := n.owners[no].Load()
	if n.Consensus != nil {
		if name, ok := n.Consensus.Leader(no); ok {
			if m, ok := n.Kin.Lookup(name); ok {
				return m.APIAddress
			}
		}
	}
	if known == nil {
		return ""
	}
	for _, m := range n.Kin.CoreMembers() {
		if m.RPCAddress == *known {
			return m.APIAddress
		}
	}
	return ""
}

// Leave signs an instance off that names itself alone.
func (n *Node) Leave(ctx context.Context, instance string) error {
	limited, end := context.WithTimeout(ctx, beatTime)
	defer end()
	service := n.whose(limited, instance)
	if service == "" {
		return errcode.New(errcode.UnknownService, "of instance %q", instance)
	}
	n.R.Events.Say(eventlog.TargetGoing, "service", service, "instance", instance, "state", controlplane.StateLeaving)
	beat := &rpc.TargetHeartbeat{Service: service, Instance: instance, Sequence: lastSeq, Address: "0.0.0.0:0", State: controlplane.StateLeaving}
	var done struct{}
	return n.pass(limited, op{ids.ShardOf(service), "beat", beat}, 0, &done)
}

// lastSeq is above every number that an instance gives its beats.
const lastSeq = 1 << 62

// whose finds the service of an instance: here first, then at all core nodes.
func (n *Node) whose(ctx context.Context, instance string) string {
	if n.Roll != nil {
		if service := n.Roll.ServiceOf(instance); service != "" {
			return service
		}
	}
	cores := n.Kin.CoreMembers()
	found := make(chan string, len(cores))
	var all sync.WaitGroup
	limited, end := context.WithTimeout(ctx, 500*time.Millisecond)
	defer end()
	for _, m := range cores {
		if m.Name == n.R.Name {
			continue
		}
		all.Add(1)
		n.R.Go(func() {
			defer all.Done()
			var receipt rpc.InstanceLookupResponse
			if n.Wire.Call(limited, m.RPCAddress, "plan.whose", &rpc.InstanceLookupRequest{Instance: instance}, &receipt) == nil && receipt.Service != "" {
				found <- receipt.Service
			}
		})
	}
	n.R.Go(func() { all.Wait(); close(found) })
	return <-found
}

// Submit is answered with yes or no by the owner alone: any other node can't know
// whether the set was accepted when it was sent before under its id.
func (n *Node) Submit(ctx context.Context, change *rpc.ChangeSet) (*rpc.ChangeResult, error) {
	limited, end := context.WithTimeout(ctx, 2*callTime)
	defer end()
	receipt := &rpc.ChangeResult{}
	err := n.pass(limited, op{ids.ConfigShard, "submit", change}, 0, receipt)
	if err != nil && errcode.Of(err).Code.Outcome != "" {
		err = errcode.New(errcode.ChangeUnknown, "%v", err)
	}
	return receipt, err
}

// Config is the configuration in force, as the operators sent it.
func (n *Node) Config(ctx context.Context) (*rpc.ConfigurationView, error) {
	limited, end := context.WithTimeout(ctx, callTime)
	defer end()
	view := &rpc.ConfigurationView{}
	return view, n.pass(limited, op{ids.ConfigShard, "config", nil}, 0, view)
}

// Bond passes a coordination call. One under an id may be a repeat of one that
// was done, so that only an owner can say that it was not.
func (n *Node) Bond(ctx context.Context, call *rpc.CoordinationRequest) (*rpc.CoordinationResponse, error) {
	limited, end := context.WithTimeout(ctx, callTime+time.Duration(call.Wait)*time.Millisecond)
	defer end()
	if call.Operation != "watch" && call.Operation != "follow" {
		defer n.called(time.Now())
	}
	receipt := &rpc.CoordinationResponse{}
	if err := n.pass(limited, op{ids.ShardOf(call.Name), "bond", call}, 0, receipt); err != nil {
		isNotRun := errcode.Of(err).Code.Outcome == "not run"
		if errcode.Is(err, errcode.ReplyLost) || isNotRun && call.ID != "" {
			err = errcode.New(errcode.Unsure, "%v", err)
		}
		return nil, err
	}
	return receipt, nil
}

// Ready tells whether this node can do its work now.
func (n *Node) Ready() error {
	if n.isGoing.Load() {
		return errcode.New(errcode.Stopping, "")
	}
	if n.Flow != nil && !n.Flow.IsFresh(n.Flow.Cache.Snapshot(), "") {
		return errcode.New(errcode.NotFresh, "")
	}
	if n.Consensus != nil && n.Consensus.Charter() == nil {
		return errcode.New(errcode.NoOwner, "no fleet yet")
	}
	return nil
}
