package node

import (
	"context"
	"encoding/json"

	"github.com/sumactrestle/sumactrestle/internal/api"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// operation is a kind of call that the leader of a shard executes. Forwarded messages contain
// its name. Response is the type into which the node that received the call decodes the
// result's JSON.
type operation[Request, Response any] struct {
	name    string
	execute func(ctx context.Context, n *Node, request *Request) (any, error)
}

// The operations. Their names are part of the protocol between nodes of different versions.
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
	configOperation = operation[noRequest, rpc.ConfigurationView]{"config", func(ctx context.Context, n *Node, _ *noRequest) (any, error) {
		return n.Planner.Config(ctx)
	}}
	epochOperation = operation[noRequest, api.EpochView]{"epoch", func(ctx context.Context, n *Node, _ *noRequest) (any, error) {
		return n.Planner.EpochView(ctx)
	}}
)

// noRequest is the request type of operations without a request, encoded as null.
type noRequest struct{}

// executors maps the names of operations to functions that execute them, from and to JSON.
var executors = map[string]func(ctx context.Context, n *Node, body json.RawMessage) (json.RawMessage, error){
	heartbeatOperation.name:    heartbeatOperation.executeJSON,
	coordinationOperation.name: coordinationOperation.executeJSON,
	submitOperation.name:       submitOperation.executeJSON,
	changeStatusOperation.name: changeStatusOperation.executeJSON,
	configOperation.name:       configOperation.executeJSON,
	epochOperation.name:        epochOperation.executeJSON,
}

// executeJSON executes the operation on this node, the leader. It returns an
// errcode.InvalidMessage if the request can't be decoded.
func (o operation[Request, Response]) executeJSON(ctx context.Context, n *Node, body json.RawMessage) (json.RawMessage, error) {
	request := new(Request)
	if _, hasNoRequest := any(request).(*noRequest); !hasNoRequest {
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

// call executes the operation on the shard's leader, which may be any node. The response is
// never nil.
func (o operation[Request, Response]) call(ctx context.Context, n *Node, shard ids.Shard, request *Request) (*Response, error) {
	response := new(Response)
	var body json.RawMessage
	var err error
	if _, hasNoRequest := any(request).(*noRequest); hasNoRequest {
		body = json.RawMessage("null")
	} else if body, err = marshal(request); err != nil {
		return response, err
	}
	c := call{shard: shard, operation: o.name, body: body}
	if coordinationCall, ok := any(request).(*rpc.CoordinationRequest); ok {
		c.longPoll = longPollOf(coordinationCall)
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

// marshal encodes a value as JSON, and returns an errcode.Internal if that fails.
func marshal(value any) (json.RawMessage, error) {
	body, err := json.Marshal(value)
	if err != nil {
		return nil, errcode.New(errcode.Internal, "%v", err)
	}
	return body, nil
}
