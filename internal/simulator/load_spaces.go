// Coordination calls of the users' platform that go beyond the product's own API: writes to a key
// prefix and followers of it, and locks with a time to live in each call. They call a node in
// process, as the platform does.

package simulator

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/checker"
	"github.com/sumactrestle/sumactrestle/internal/coordination"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/node"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
	"github.com/sumactrestle/sumactrestle/internal/standin"
)

// followedSpace is the prefix of the keys that are written and followed.
const followedSpace = "sets/"

// anyNode returns the node of a random machine, or nil if that machine is down.
func (f *Fleet) anyNode(r *rand.Rand) *node.Node {
	return f.Machines[r.IntN(len(f.Machines))].Node()
}

// callNode makes one coordination call through a node and records it. It returns the response and
// the outcome: "unknown" if the call failed, "refused" if the response has an error code, and
// otherwise "done". A missing key in a get is "done".
func (f *Fleet) callNode(node *node.Node, rec checker.Record, op *rpc.CoordinationRequest) (*rpc.CoordinationResponse, string) {
	rec.Kind, rec.Start, rec.Op = checker.CoordinationCall, f.History.Now(), firstNonEmpty(rec.Op, op.Operation)
	rec.Name, rec.Holder = op.Name, op.Holder
	ctx, cancel := context.WithTimeout(f.ctx, 4*time.Second)
	defer cancel()
	response, err := node.Coordinate(ctx, op)
	rec.Outcome = "done"
	switch {
	case err != nil:
		rec.Outcome, rec.Note, rec.Code, response = "unknown", err.Error(), errcode.From(err).Code.Number, &rpc.CoordinationResponse{}
	case response.Code != 0:
		rec.Outcome, rec.Code = "refused", response.Code
	}
	if op.Operation == coordination.OpSet || op.Operation == coordination.OpGet {
		rec.Revision = uint64(response.Revision)
	}
	if op.Operation == coordination.OpGet {
		json.Unmarshal(response.Value, &rec.Digest)
		if response.Code == errcode.KeyNotFound.Number {
			rec.Outcome = "done"
		}
	}
	if rec.FencingToken == 0 {
		rec.FencingToken = uint64(response.FencingToken)
	}
	f.History.Add(rec)
	return response, rec.Outcome
}

// firstNonEmpty returns a, or b if a is empty.
func firstNonEmpty(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

// StartSpaceClients starts n clients that read and set keys of followedSpace, and two followers of
// it, of which one polls slowly.
func (f *Fleet) StartSpaceClients(n int, mean time.Duration) {
	for range n {
		f.goTask(func(r *rand.Rand) {
			pause(r, mean)
			node := f.anyNode(r)
			if node == nil {
				return
			}
			key, value := fmt.Sprint(followedSpace, "k", r.IntN(3)), ids.NewID()
			raw, _ := json.Marshal(value)
			op := &rpc.CoordinationRequest{Operation: coordination.OpSet, ID: value, Name: key, Value: raw}
			rec := checker.Record{RequestID: value, Digest: value}
			if r.IntN(2) == 0 {
				current, outcome := f.callNode(node, checker.Record{Op: "look"}, &rpc.CoordinationRequest{Operation: coordination.OpGet, Name: key})
				if outcome != "done" {
					return
				}
				rev := current.Revision
				op.IfRevision, rec.IsConditional, rec.From = &rev, true, uint64(rev)
				pause(r, 100*time.Millisecond)
			}
			for range 4 {
				_, outcome := f.callNode(node, rec, op)
				if outcome == "refused" || outcome == "done" && r.IntN(4) > 0 {
					return
				}
				pause(r, 300*time.Millisecond)
				if node = f.anyNode(r); node == nil {
					return
				}
			}
		})
	}
	for i := range 2 {
		from := ids.Index(0)
		f.goTask(func(r *rand.Rand) { f.useFollow(r, &from); pause(r, time.Duration(1+i*3000)*time.Millisecond) })
	}
}

// useFollow records the events of followedSpace since the revision at which the previous call
// ended.
func (f *Fleet) useFollow(r *rand.Rand, from *ids.Index) {
	node := f.anyNode(r)
	if node == nil {
		time.Sleep(100 * time.Millisecond)
		return
	}
	rec := checker.Record{Kind: checker.FollowResponse, Start: f.History.Now(), Name: followedSpace, From: uint64(*from), Outcome: "done"}
	ctx, cancel := context.WithTimeout(f.ctx, 6*time.Second)
	defer cancel()
	response, err := node.Coordinate(ctx, &rpc.CoordinationRequest{Operation: coordination.OpFollow, Name: followedSpace, FromIndex: *from, Wait: 2000})
	if err != nil {
		time.Sleep(100 * time.Millisecond)
		return
	}
	rec.Revision = uint64(response.Revision)
	if response.Code == errcode.RevisionCompacted.Number {
		rec.Outcome = "too old"
	}
	for _, e := range response.Events {
		var id string
		json.Unmarshal(e.Value, &id)
		rec.Revisions, rec.Names = append(rec.Revisions, uint64(e.Revision)), append(rec.Names, e.Name+" "+id)
	}
	if *from > 0 {
		f.History.Add(rec)
	}
	*from = response.Revision
}

// StartTimedLocks starts n clients that acquire a lock, extend it with a new time to live in each
// call, and release it or let it expire.
func (f *Fleet) StartTimedLocks(n int, mean time.Duration) {
	for i := range n {
		f.goTask(func(r *rand.Rand) {
			pause(r, mean)
			node := f.anyNode(r)
			if node == nil {
				return
			}
			name, holder := fmt.Sprint("hold/", r.IntN(2)), fmt.Sprint("holder", i, "-", ids.NewID())
			ttl := func() int64 { return 50 + r.Int64N(2500) }
			call := func(op rpc.CoordinationRequest) (*rpc.CoordinationResponse, string) {
				op.Name, op.Holder, op.ID = name, holder, ids.NewID()
				return f.callNode(node, checker.Record{FencingToken: uint64(op.FencingToken), TTL: time.Duration(op.TTL) * time.Millisecond}, &op)
			}
			response, outcome := call(rpc.CoordinationRequest{Operation: coordination.OpAcquire, TTL: ttl()})
			if outcome != "done" {
				return
			}
			fence := response.FencingToken
			for range r.IntN(5) {
				pause(r, 600*time.Millisecond)
				if other := f.anyNode(r); other != nil {
					node = other
				}
				op := rpc.CoordinationRequest{Operation: coordination.OpRenew, FencingToken: fence, TTL: ttl()}
				if r.IntN(3) == 0 {
					op = rpc.CoordinationRequest{Operation: coordination.OpAcquire, TTL: ttl()}
				}
				if response, outcome = call(op); outcome != "done" || response.FencingToken != fence {
					return
				}
			}
			if r.IntN(2) == 0 {
				call(rpc.CoordinationRequest{Operation: coordination.OpRelease, FencingToken: fence})
			}
		})
	}
}

// platformLocks are the locks of the platform's lock callers.
var platformLocks = []string{"lease/a", "lease/b", "lease/c", "lease/d", "lease/e", "lease/f"}

// StartLockCallers starts n applications that use locks as the users' platform does.
func (f *Fleet) StartLockCallers(n int, mean time.Duration) {
	var addresses []string
	for _, m := range f.Machines {
		addresses = append(addresses, m.APIAddress())
	}
	for range n {
		id := f.lockCallers
		f.lockCallers++
		caller := &standin.LockCaller{
			Host:      f.Network.HostAt(f.clientHost(100 + id)),
			History:   f.History,
			Holder:    fmt.Sprint("caller", id),
			Locks:     platformLocks,
			Addresses: addresses,
		}
		f.goTask(func(r *rand.Rand) {
			pause(r, mean)
			caller.Random = r
			caller.Use(f.ctx)
		})
	}
}
