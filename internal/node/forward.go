package node

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/coordination"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

const (
	// messageForward is the kind of the message that carries a call to another node.
	messageForward = "seat.pass"
	// leaderCheckInterval is how often a node that forwarded a long poll checks whether the
	// shard has another leader.
	leaderCheckInterval = 200 * time.Millisecond
	// Linear back-off between attempts to reach a leader.
	retryDelayStep, maxRetryDelay = 20 * time.Millisecond, 150 * time.Millisecond
)

// errLeaderChanged cancels a long poll that was forwarded to a node which no longer leads the
// shard.
var errLeaderChanged = errors.New("another node leads the part")

// call is a call to be executed by the leader of its shard.
type call struct {
	shard     ids.Shard
	operation string
	body      json.RawMessage
	// longPoll is the decoded request of a long poll, otherwise nil. A long poll only reads,
	// so it may be repeated at another leader.
	longPoll *rpc.CoordinationRequest
}

// longPollOf returns the request if it is a long poll, otherwise nil.
func longPollOf(request *rpc.CoordinationRequest) *rpc.CoordinationRequest {
	if request.Wait <= 0 || request.Operation != coordination.OpFollow && request.Operation != coordination.OpWatch {
		return nil
	}
	return request
}

// forward executes a call on this node if it leads the call's shard. Otherwise it forwards the
// call to the leader, or to each core node in turn while the leader is not known. It retries
// until the context ends, as long as the call certainly did not run. A call that was forwarded
// to this node (hops above zero) is tried once.
func (n *Node) forward(ctx context.Context, c call, hops int) (*rpc.ForwardResponse, error) {
	began := n.Env.Now()
	var err error
	for attempt := 0; ctx.Err() == nil; attempt++ {
		if n.Consensus != nil && n.Consensus.HasLostQuorum(c.shard) {
			return nil, errcode.New(errcode.NoLeader, "part %d: this node has no contact with a majority; retry at another node", c.shard)
		}
		if c.longPoll != nil && attempt > 0 {
			remaining := *c.longPoll
			remaining.Wait = max(0, c.longPoll.Wait-n.Env.Since(began).Milliseconds())
			body, err := marshal(&remaining)
			if err != nil {
				return nil, err
			}
			c.body = body
		}
		var result *rpc.ForwardResponse
		if n.Consensus != nil && n.Consensus.Replica(c.shard).IsServing() {
			result, err = n.execute(ctx, c)
		} else if address := n.leaderAddress(c.shard, attempt); address != "" {
			result, err = n.forwardTo(ctx, c, hops, address)
		} else if err == nil {
			err = errcode.New(errcode.NoLeader, "part %d", c.shard)
		}
		if err == nil {
			return result, nil
		}
		if hops > 0 || !isRetryable(err) {
			return nil, err
		}
		select {
		case <-ctx.Done():
		case <-time.After(min(time.Duration(attempt+1)*retryDelayStep, maxRetryDelay)):
		}
	}
	if err == nil {
		err = errcode.New(errcode.NoLeader, "part %d", c.shard)
	}
	return nil, err
}

// execute executes a call on this node, the leader of its shard.
func (n *Node) execute(ctx context.Context, c call) (*rpc.ForwardResponse, error) {
	execute, ok := executors[c.operation]
	if !ok {
		return nil, errcode.New(errcode.UnknownKind, "%q", c.operation)
	}
	body, err := execute(ctx, n, c.body)
	if err != nil {
		return nil, err
	}
	return &rpc.ForwardResponse{Body: body, LeaderAddress: n.Members.Self().RPCAddress}, nil
}

// forwardTo sends a call to the node at an address and records the leader that executed it. A
// long poll ends with an errcode.NoLeader, which is retried, when the leader changes or the
// reply is lost.
func (n *Node) forwardTo(ctx context.Context, c call, hops int, address string) (*rpc.ForwardResponse, error) {
	callCtx, cancel := ctx, context.CancelFunc(func() {})
	if c.longPoll != nil {
		callCtx, cancel = n.cancelOnLeaderChange(ctx, c.shard, address)
	}
	defer cancel()
	var response rpc.ForwardResponse
	err := n.RPC.Forward(callCtx, address, messageForward, hops+1, &rpc.ForwardRequest{Shard: c.shard, Operation: c.operation, Body: c.body}, &response)
	if err != nil {
		wasReached := !errors.Is(err, errcode.Unreachable) && !errors.Is(err, errcode.PeerResponseLost)
		if c.longPoll != nil && (context.Cause(callCtx) == errLeaderChanged || errors.Is(err, errcode.PeerResponseLost)) {
			err = errcode.New(errcode.NoLeader, "part %d: %v", c.shard, err)
		}
		n.leaders.RecordError(c.shard, address, wasReached)
		return nil, err
	}
	n.leaders.RecordResponse(c.shard, address, response.LeaderAddress)
	return &response, nil
}

// handleForward executes a call that another node forwarded, or forwards it again.
func (n *Node) handleForward(r *rpc.Request) (any, error) {
	var request rpc.ForwardRequest
	if err := r.Decode(&request); err != nil {
		return nil, err
	}
	if request.Shard < 0 || request.Shard > ids.ConfigShard {
		return nil, errcode.New(errcode.InvalidMessage, "no part %d", request.Shard)
	}
	if r.Hops > rpc.MaxHops {
		return nil, errcode.New(errcode.TooManyHops, "%d", r.Hops)
	}
	c := call{shard: request.Shard, operation: request.Operation, body: request.Body}
	if c.operation == coordinationOperation.name {
		// The leader rejects a request that can't be decoded.
		var decoded rpc.CoordinationRequest
		if json.Unmarshal(c.body, &decoded) == nil {
			c.longPoll = longPollOf(&decoded)
		}
	}
	return n.forward(r, c, r.Hops)
}

// cancelOnLeaderChange returns a context that is canceled with errLeaderChanged once another
// node leads the shard. Without it a long poll to a leader that crashed would wait until its
// own timeout, because a missing reply is normal for that long.
func (n *Node) cancelOnLeaderChange(ctx context.Context, shard ids.Shard, address string) (context.Context, context.CancelFunc) {
	callCtx, cancel := context.WithCancelCause(ctx)
	if n.Consensus != nil {
		n.Env.Go(func() {
			ticker := time.NewTicker(leaderCheckInterval)
			defer ticker.Stop()
			for {
				select {
				case <-callCtx.Done():
					return
				case <-ticker.C:
				}
				if n.isLedElsewhere(shard, address) {
					cancel(errLeaderChanged)
					return
				}
			}
		})
	}
	return callCtx, func() { cancel(nil) }
}

// isLedElsewhere reports whether a node at another address is known to lead the shard.
func (n *Node) isLedElsewhere(shard ids.Shard, address string) bool {
	name, ok := n.Consensus.Leader(shard)
	if !ok {
		return false
	}
	if name == n.Env.Name {
		return n.Consensus.Replica(shard).IsServing()
	}
	m, ok := n.Members.Lookup(name)
	return ok && m.RPCAddress != address
}

// isRetryable reports whether a call that failed with err certainly did not run.
func isRetryable(err error) bool {
	for _, code := range []errcode.Code{errcode.NotLeader, errcode.NoLeader, errcode.Unreachable, errcode.TooManyHops, errcode.Stopping} {
		if errors.Is(err, code) {
			return true
		}
	}
	return false
}

// leaderAddress returns the RPC address to send a call to: the leader's if it is known, or else
// that of a core node, chosen by the number of the attempt. It is empty if there is none.
func (n *Node) leaderAddress(shard ids.Shard, attempt int) string {
	if n.Consensus != nil {
		if name, ok := n.Consensus.Leader(shard); ok && name != n.Env.Name {
			if m, ok := n.Members.Lookup(name); ok {
				return m.RPCAddress
			}
		}
	}
	if address := n.leaders.Address(shard); address != "" {
		return address
	}
	var cores []rpc.Member
	for _, m := range n.Members.CoreMembers() {
		if m.Name != n.Env.Name {
			cores = append(cores, m)
		}
	}
	if len(cores) == 0 {
		return ""
	}
	return cores[attempt%len(cores)].RPCAddress
}

// leaderAPIAddress returns the API address of a shard's leader, or "" if it is not known.
func (n *Node) leaderAPIAddress(shard ids.Shard) string {
	if n.Consensus != nil {
		if name, ok := n.Consensus.Leader(shard); ok {
			if m, ok := n.Members.Lookup(name); ok {
				return m.APIAddress
			}
		}
	}
	rpcAddress := n.leaders.Address(shard)
	if rpcAddress == "" {
		return ""
	}
	for _, m := range n.Members.CoreMembers() {
		if m.RPCAddress == rpcAddress {
			return m.APIAddress
		}
	}
	return ""
}
