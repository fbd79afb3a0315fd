// Passing a call on: to the owner of its part if that is known, else to the core
// nodes in turn, with a bound on hops and on time; and carrying it out at the owner.
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

// operation is one call that belongs to a part.
type operation struct {
	part ids.Shard
	name string
	body any
}

// forward carries an op out here, if the part is owned here, or passes it on.
// Until the deadline it looks for the owner again, as long as the op is known
// not to have run.
func (n *Node) forward(ctx context.Context, o operation, hops int, into any) error {
	raw, err := json.Marshal(o.body)
	if err != nil {
		return errcode.New(errcode.Internal, "%v", err)
	}
	held, began := longPollOf(o), n.Env.Now()
	var problem error
	for try := 0; ctx.Err() == nil; try++ {
		if n.Consensus != nil && n.Consensus.HasLostQuorum(o.part) {
			return errcode.New(errcode.NoLeader, "part %d: no word of a majority here; ask another node", o.part)
		}
		if held != nil && try > 0 {
			rest := *held
			rest.Wait = max(0, held.Wait-n.Env.Since(began).Milliseconds())
			raw, _ = json.Marshal(&rest)
		}
		if n.Consensus != nil && n.Consensus.Replica(o.part).IsServing() {
			got, err := n.execute(ctx, o.part, o.name, raw)
			if err == nil {
				return convert(got, into)
			}
			problem = err
		} else if address := n.leaderAddress(o.part, try); address != "" {
			var receipt rpc.ForwardResponse
			limited, end := ctx, context.CancelFunc(func() {})
			if held != nil {
				limited, end = n.whileLedAt(ctx, o.part, address)
			}
			err := n.RPC.Forward(limited, address, "seat.pass", hops+1, &rpc.ForwardRequest{Shard: o.part, Operation: o.name, Body: raw}, &receipt)
			if err != nil && held != nil && (context.Cause(limited) == errLeaderMoved || errcode.Is(err, errcode.ReplyLost)) {
				err = errcode.New(errcode.NoLeader, "part %d: %v", o.part, err)
			}
			end()
			if err == nil {
				n.leaders[o.part].Store(&address)
				return json.Unmarshal(receipt.Body, into)
			}
			n.leaders[o.part].Store(nil)
			problem = err
		}
		if problem == nil {
			problem = errcode.New(errcode.NoLeader, "part %d", o.part)
		}
		if hops > 0 || !isRetryable(problem) {
			return problem
		}
		select {
		case <-ctx.Done():
		case <-time.After(min(time.Duration(try+1)*20*time.Millisecond, 150*time.Millisecond)):
		}
	}
	if problem == nil {
		problem = errcode.New(errcode.NoLeader, "part %d", o.part)
	}
	return problem
}

// errLeaderMoved ends the wait of a held call for a node that no longer owns the part.
var errLeaderMoved = errors.New("part has another owner")

// leaderCheckInterval is how often whoever passed a held call on looks who owns the part.
const leaderCheckInterval = 200 * time.Millisecond

// longPollOf is the call if it is held until something happens: it only reads, so that
// it may be asked for again at another owner.
func longPollOf(o operation) *rpc.CoordinationRequest {
	if o.name != "bond" {
		return nil
	}
	call, ok := o.body.(*rpc.CoordinationRequest)
	if raw, isRaw := o.body.(json.RawMessage); isRaw {
		call = &rpc.CoordinationRequest{}
		ok = json.Unmarshal(raw, call) == nil
	}
	if !ok || call.Wait <= 0 || call.Operation != coordination.OpFollow && call.Operation != coordination.OpWatch {
		return nil
	}
	return call
}

// whileLedAt ends once the part is owned elsewhere: an owner that lost its power
// answers nothing, and a held call is silent for so long that silence says nothing.
func (n *Node) whileLedAt(ctx context.Context, no ids.Shard, address string) (context.Context, context.CancelFunc) {
	limited, end := context.WithCancelCause(ctx)
	if n.Consensus != nil {
		n.Env.Go(func() {
			look := time.NewTicker(leaderCheckInterval)
			defer look.Stop()
			for {
				select {
				case <-limited.Done():
					return
				case <-look.C:
				}
				if n.isLedElsewhere(no, address) {
					end(errLeaderMoved)
					return
				}
			}
		})
	}
	return limited, func() { end(nil) }
}

func (n *Node) isLedElsewhere(no ids.Shard, address string) bool {
	name, ok := n.Consensus.Leader(no)
	if !ok {
		return false
	}
	if name == n.Env.Name {
		return n.Consensus.Replica(no).IsServing()
	}
	m, ok := n.Members.Lookup(name)
	return ok && m.RPCAddress != address
}

// isRetryable is true only for what certainly did not run.
func isRetryable(err error) bool {
	for _, code := range []errcode.Code{errcode.NotLeader, errcode.NoLeader, errcode.Unreachable, errcode.TooManyHops, errcode.Stopping} {
		if errcode.Is(err, code) {
			return true
		}
	}
	return false
}

// leaderAddress is where to send an op: the known owner, or a core node in turn.
func (n *Node) leaderAddress(no ids.Shard, try int) string {
	if n.Consensus != nil {
		if name, ok := n.Consensus.Leader(no); ok && name != n.Env.Name {
			if m, ok := n.Members.Lookup(name); ok {
				return m.RPCAddress
			}
		}
	}
	if known := n.leaders[no].Load(); known != nil {
		return *known
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
	return cores[try%len(cores)].RPCAddress
}

func (n *Node) handleForward(c *rpc.Request) (any, error) {
	var ask rpc.ForwardRequest
	if err := c.Decode(&ask); err != nil {
		return nil, err
	}
	if ask.Shard < 0 || ask.Shard > ids.ConfigShard {
		return nil, errcode.New(errcode.InvalidMessage, "no part %d", ask.Shard)
	}
	if c.Hops > rpc.MaxHops {
		return nil, errcode.New(errcode.TooManyHops, "%d", c.Hops)
	}
	var body json.RawMessage
	if err := n.forward(c, operation{ask.Shard, ask.Operation, ask.Body}, c.Hops, &body); err != nil {
		return nil, err
	}
	return &rpc.ForwardResponse{Body: body}, nil
}

// execute carries an op out at the owner.
func (n *Node) execute(ctx context.Context, no ids.Shard, name string, raw json.RawMessage) (any, error) {
	read := func(into any) error {
		if err := json.Unmarshal(raw, into); err != nil {
			return errcode.New(errcode.InvalidMessage, "%s: %v", name, err)
		}
		return nil
	}
	switch name {
	case "beat":
		var beat rpc.TargetHeartbeat
		if err := read(&beat); err != nil {
			return nil, err
		}
		return struct{}{}, n.Targets.HandleHeartbeat(ctx, &beat)
	case "bond":
		var call rpc.CoordinationRequest
		if err := read(&call); err != nil {
			return nil, err
		}
		return n.Coordination.Handle(ctx, &call)
	case "submit":
		var change rpc.ChangeSet
		if err := read(&change); err != nil {
			return nil, err
		}
		return n.Planner.Submit(ctx, &change)
	case "change":
		var id string
		if err := read(&id); err != nil {
			return nil, err
		}
		return n.Planner.ChangeStatus(ctx, id)
	case "config":
		return n.Planner.Config(ctx)
	case "epoch":
		return n.Planner.EpochView(ctx)
	}
	return nil, errcode.New(errcode.UnknownKind, "%q", name)
}

// convert turns one shape of data into another that is written the same.
func convert(from, into any) error {
	raw, err := json.Marshal(from)
	if err == nil {
		err = json.Unmarshal(raw, into)
	}
	if err != nil {
		return errcode.New(errcode.Internal, "%v", err)
	}
	return nil
}
