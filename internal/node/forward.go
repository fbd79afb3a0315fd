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
	// leaderCheckInterval is how often a node that forwarded a long poll looks whether
	// the shard has another leader.
	leaderCheckInterval = 200 * time.Millisecond
	// The pause between two attempts to reach a leader grows by the first up to the second.
	retryDelayStep, maxRetryDelay = 20 * time.Millisecond, 150 * time.Millisecond
)

// errLeaderMoved ends the wait for a node that no longer leads the shard.
var errLeaderMoved = errors.New("part has another owner")

// call is one call on its way to the leader of its shard.
type call struct {
	shard     ids.Shard
	operation string
	body      json.RawMessage
	// longPoll is the request if it waits until something happens, or else nil. It only
	// reads, so that it may be asked again of another leader.
	longPoll *rpc.CoordinationRequest
}

// longPollOf returns the request if it is a long poll.
func longPollOf(request *rpc.CoordinationRequest) *rpc.CoordinationRequest {
	if request.Wait <= 0 || request.Operation != coordination.OpFollow && request.Operation != coordination.OpWatch {
		return nil
	}
	return request
}

// forward has a call executed here, if this node leads its shard, or forwards it to the
// leader, or to the core nodes in turn while that is not known. Until the context ends it
// looks for the leader again, as long as the call is known not to have run; one that was
// forwarded to this node (hops above zero) is tried once.
func (n *Node) forward(ctx context.Context, c call, hops int) (*rpc.ForwardResponse, error) {
	began := n.Env.Now()
	var err error
	for attempt := 0; ctx.Err() == nil; attempt++ {
		if n.Consensus != nil && n.Consensus.HasLostQuorum(c.shard) {
			return nil, errcode.New(errcode.NoLeader, "part %d: no word of a majority here; ask another node", c.shard)
		}
		if c.longPoll != nil && attempt > 0 {
			rest := *c.longPoll
			rest.Wait = max(0, c.longPoll.Wait-n.Env.Since(began).Milliseconds())
			body, err := marshal(&rest)
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

// execute executes a call at the leader of its shard, which is this node.
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

// forwardTo sends a call to the node at an address, and remembers the leader that executed
// it. A long poll is given up, as one without a leader, when the leader changes.
func (n *Node) forwardTo(ctx context.Context, c call, hops int, address string) (*rpc.ForwardResponse, error) {
	limited, cancel := ctx, context.CancelFunc(func() {})
	if c.longPoll != nil {
		limited, cancel = n.whileLedAt(ctx, c.shard, address)
	}
	defer cancel()
	var response rpc.ForwardResponse
	err := n.RPC.Forward(limited, address, messageForward, hops+1, &rpc.ForwardRequest{Shard: c.shard, Operation: c.operation, Body: c.body}, &response)
	if err != nil {
		wasReached := !errors.Is(err, errcode.Unreachable) && !errors.Is(err, errcode.ReplyLost)
		if c.longPoll != nil && (context.Cause(limited) == errLeaderMoved || errors.Is(err, errcode.ReplyLost)) {
			err = errcode.New(errcode.NoLeader, "part %d: %v", c.shard, err)
		}
		n.leaders.NoteError(c.shard, address, wasReached)
		return nil, err
	}
	n.leaders.NoteAnswer(c.shard, address, response.LeaderAddress)
	return &response, nil
}

// handleForward executes a call that another node forwarded, or forwards it further.
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
		// One that can't be read is refused by the leader.
		var coordinate rpc.CoordinationRequest
		if json.Unmarshal(c.body, &coordinate) == nil {
			c.longPoll = longPollOf(&coordinate)
		}
	}
	return n.forward(r, c, r.Hops)
}

// whileLedAt returns a context that ends with errLeaderMoved once another node leads the
// shard: a leader that lost its power answers nothing, and a long poll is silent for so
// long that silence says nothing.
func (n *Node) whileLedAt(ctx context.Context, shard ids.Shard, address string) (context.Context, context.CancelFunc) {
	limited, cancel := context.WithCancelCause(ctx)
	if n.Consensus != nil {
		n.Env.Go(func() {
			check := time.NewTicker(leaderCheckInterval)
			defer check.Stop()
			for {
				select {
				case <-limited.Done():
					return
				case <-check.C:
				}
				if n.isLedElsewhere(shard, address) {
					cancel(errLeaderMoved)
					return
				}
			}
		})
	}
	return limited, func() { cancel(nil) }
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

// isRetryable reports whether the call certainly did not run.
func isRetryable(err error) bool {
	for _, code := range []errcode.Code{errcode.NotLeader, errcode.NoLeader, errcode.Unreachable, errcode.TooManyHops, errcode.Stopping} {
		if errors.Is(err, code) {
			return true
		}
	}
	return false
}

// leaderAddress is where to send a call: the known leader, or a core node in turn; empty
// if there is none.
func (n *Node) leaderAddress(shard ids.Shard, attempt int) string {
	if n.Consensus != nil {
		if name, ok := n.Consensus.Leader(shard); ok && name != n.Env.Name {
			if m, ok := n.Members.Lookup(name); ok {
				return m.RPCAddress
			}
		}
	}
	if known := n.leaders.Address(shard); known != "" {
		return known
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

// leaderAPIAddress is the API address of the node that leads a shard, if it is known.
func (n *Node) leaderAPIAddress(shard ids.Shard) string {
	if n.Consensus != nil {
		if name, ok := n.Consensus.Leader(shard); ok {
			if m, ok := n.Members.Lookup(name); ok {
				return m.APIAddress
			}
		}
	}
	known := n.leaders.Address(shard)
	if known == "" {
		return ""
	}
	for _, m := range n.Members.CoreMembers() {
		if m.RPCAddress == known {
			return m.APIAddress
		}
	}
	return ""
}
