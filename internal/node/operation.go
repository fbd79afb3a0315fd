package node

import (
	"context"
	"encoding/json"

	"github.com/sumactrestle/sumactrestle/internal/api"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// operation is a kind of call that the leader of a shard executes. Its name stands in
// forwarded messages. Response is what the result's JSON is read as where the call came in.
type operation[Request, Response any] struct {
	name    string
	execute func(ctx context.Context, n *Node, request *Request) (any, error)
}

// The operations. Two builds in one fleet know them by their names.
var (
	heartbeatOperation = operation[rpc.TargetHeartbeat, struct{}]{"beat", func(ctx context.Context, n *Node, heartbeat *rpc.TargetHeartbeat) (any, error) {
		return struct{}{}, n.Targets.HandleHeartbeat(ctx, heartbeat)
	}}
	coordinationOperation = operation[rpc.CoordinationRequest, rpc.CoordinationResponse]{"bond", func(ctx context.Context, n *Node, request *rpc.CoordinationRequest) (any, error) {
		return n.Coordination.Handle(ctx, request)
	}}
	submitOperation = operation[rpc.ChangeSet, rpc.ChangeResult]{"submit", func(ctx context.Context, n *Node, change *rpc.ChangeSet) (any, error) {
		return n.Planner.Submit(ctx, change)
	}}
	changeStatusOperation = operation[string, api.ChangeReceipt]{"change", func(ctx context.Context, n *Node, id *string) (any, error) {
		return n.Planner.ChangeStatus(ctx, *id)
	}}
	configOperation = operation[none, rpc.ConfigurationView]{"config", func(ctx context.Context, n *Node, _ *none) (any, error) {
		return n.Planner.Config(ctx)
	}}
	epochOperation = operation[none, api.EpochView]{"epoch", func(ctx context.Context, n *Node, _ *none) (any, error) {
		return n.Planner.EpochView(ctx)
	}}
)

// none is the request of an operation that takes none; it travels as null.
type none struct{}

// executors execute an operation by its name, from and to JSON.
var executors = map[string]func(ctx context.Context, n *Node, body json.RawMessage) (json.RawMessage, error){
	heartbeatOperation.name:    heartbeatOperation.executeJSON,
	coordinationOperation.name: coordinationOperation.executeJSON,
	submitOperation.name:       submitOperation.executeJSON,
	changeStatusOperation.name: changeStatusOperation.executeJSON,
	configOperation.name:       configOperation.executeJSON,
	epochOperation.name:        epochOperation.executeJSON,
}

// executeJSON executes the operation at the leader. A request that can't be read is an
// errcode.InvalidMessage.
func (o operation[Request, Response]) executeJSON(ctx context.Context, n *Node, body json.RawMessage) (json.RawMessage, error) {
	request := new(Request)
	if _, takesNone := any(request).(*none); !takesNone {
		if err := json.Unmarshal(body, request); err != nil {
			return nil, errcode.New(errcode.InvalidMessage, "%s: %v", o.name, err)
		}
	}
	result, err := o.execute(ctx, n, request)
	if err != nil {
		return nil, err
	}
	return marshal(result)
}

// call has the operation executed by the shard's leader, wherever it is, and returns the
// result, which is never nil.
func (o operation[Request, Response]) call(ctx context.Context, n *Node, shard ids.Shard, request *Request) (*Response, error) {
	response := new(Response)
	var body json.RawMessage
	var err error
	if _, takesNone := any(request).(*none); takesNone {
		body = json.RawMessage("null")
	} else if body, err = marshal(request); err != nil {
		return response, err
	}
	c := call{shard: shard, operation: o.name, body: body}
	if coordinate, ok := any(request).(*rpc.CoordinationRequest); ok {
		c.longPoll = longPollOf(coordinate)
	}
	result, err := n.forward(ctx, c, 0)
	if err != nil {
		return response, err
	}
	if err := json.Unmarshal(result.Body, response); err != nil {
		return response, errcode.New(errcode.Internal, "%v", err)
	}
	return response, nil
}

// marshal encodes a value of this program; that it can't is an errcode.Internal.
func marshal(value any) (json.RawMessage, error) {
	body, err := json.Marshal(value)
	if err != nil {
		return nil, errcode.New(errcode.Internal, "%v", err)
	}
	return body, nil
}
