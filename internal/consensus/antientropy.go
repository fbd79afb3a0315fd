// Repair: copies of a part are compared by digests over ranges of its state, at
// an equal stamp, and a range that differs is mended from the owner, whose copy
// a majority agrees with. Only committed state is compared, and nothing here
// counts as a vote. An owner whose own copy stands alone gives the part up.
package consensus

import (
	"context"
	"encoding/json"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

const (
	compareInterval = 10 * time.Second
	compareTimeout  = 2 * time.Second
)

// RangeRepairer is the state of a machine cut into named ranges.
type RangeRepairer interface {
	RangeDigests() map[string]string
	ExportRange(name string) (json.RawMessage, error)
	Repair(name string, data json.RawMessage) error
}

func (n *Node) registerRepair() {
	registerHandler(n.transport, "pact.compare", func(c *rpc.Request, request *rpc.RangeDigestRequest) (any, error) {
		r, err := n.lookupReplica(request.Shard)
		if err != nil {
			return nil, err
		}
		return r.handleCompare(request), nil
	})
	registerHandler(n.transport, "pact.mend", func(c *rpc.Request, request *rpc.RepairRequest) (any, error) {
		r, err := n.lookupReplica(request.Shard)
		if err != nil {
			return nil, err
		}
		return struct{}{}, r.handleRepair(request)
	})
}

// repairLoop walks over the owned parts, one after another.
func (n *Node) repairLoop() {
	for shard := 0; n.env.Sleep(compareInterval / time.Duration(len(n.replicas))); shard++ {
		if r := n.replicas[shard%len(n.replicas)]; r.IsServing() {
			r.compareReplicas()
		}
	}
}

// atIndex runs a verb while the part stands still at a stamp; the zero stamp is
// whatever it stands at.
func (r *Replica) atIndex(index ids.Index, term ids.Term, apply func(index ids.Index)) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if index != 0 && r.appliedIndex != index || term.Less(r.currentTerm) {
		return false
	}
	apply(r.appliedIndex)
	return true
}

func (r *Replica) compareReplicas() {
	ranged, ok := r.stateMachine.(RangeRepairer)
	if !ok {
		return
	}
	term, _, _ := r.LeadershipSince()
	request := &rpc.RangeDigestRequest{Shard: r.shard, Term: term}
	r.atIndex(0, term, func(index ids.Index) { request.Index, request.Digests = index, ranged.RangeDigests() })
	r.mu.Lock()
	voters := r.voters.Current
	r.mu.Unlock()
	r.node.kickHeartbeats(voters)
	agreeing, disagreeing := 1, []rpc.Member{}
	differing := map[ids.NodeName][]string{}
	for _, peer := range voters {
		m, ok := r.node.members.Lookup(peer.Name)
		if peer == r.node.self || !ok || m.ID != peer.ID {
			continue
		}
		var response rpc.RangeDigestResponse
		for range 3 {
			ctx, end := context.WithTimeout(r.node.env, compareTimeout)
			err := r.node.transport.Call(ctx, m.RPCAddress, "pact.compare", request, &response)
			end()
			if err != nil || response.AtIndex || !r.node.env.Sleep(r.node.env.Config.PactRound) {
				break
			}
		}
		switch {
		case response.From != peer || !response.AtIndex:
		case len(response.DifferingRanges) == 0:
			agreeing++
		default:
			disagreeing = append(disagreeing, m)
			differing[m.Name] = response.DifferingRanges
		}
	}
	if len(disagreeing) == 0 {
		return
	}
	if agreeing <= len(voters)/2 {
		if agreeing == 1 && len(disagreeing) > len(voters)/2 {
			r.resign("its copy differs from the others")
		}
		return
	}
	for _, m := range disagreeing {
		r.repairMember(ranged, term, m, differing[m.Name])
	}
}

func (r *Replica) repairMember(ranged RangeRepairer, term ids.Term, m rpc.Member, ranges []string) {
	request := &rpc.RepairRequest{Shard: r.shard, Term: term, Ranges: map[string]json.RawMessage{}}
	r.atIndex(0, term, func(index ids.Index) {
		request.Index = index
		for _, name := range ranges {
			if data, err := ranged.ExportRange(name); err == nil {
				request.Ranges[name] = data
			}
		}
	})
	ctx, end := context.WithTimeout(r.node.env, compareTimeout)
	defer end()
	r.node.transport.Call(ctx, m.RPCAddress, "pact.mend", request, nil)
}

func (r *Replica) handleCompare(request *rpc.RangeDigestRequest) *rpc.RangeDigestResponse {
	response := &rpc.RangeDigestResponse{From: r.node.self}
	ranged, ok := r.stateMachine.(RangeRepairer)
	if !ok {
		return response
	}
	response.AtIndex = r.atIndex(request.Index, request.Term, func(ids.Index) {
		mine := ranged.RangeDigests()
		for name, digest := range request.Digests {
			if mine[name] != digest {
				response.DifferingRanges = append(response.DifferingRanges, name)
			}
			delete(mine, name)
		}
		for name := range mine {
			response.DifferingRanges = append(response.DifferingRanges, name)
		}
	})
	return response
}

// handleRepair takes ranges over, if the part still stands at their stamp, and keeps
// the mended whole as a snapshot, so that a restart does not bring the fault
// back.
func (r *Replica) handleRepair(request *rpc.RepairRequest) error {
	ranged, ok := r.stateMachine.(RangeRepairer)
	if !ok {
		return nil
	}
	var err error
	r.atIndex(request.Index, request.Term, func(ids.Index) {
		for name, data := range request.Ranges {
			if err = ranged.Repair(name, data); err != nil {
				return
			}
		}
		r.takeSnapshot()
		r.node.log(eventlog.PartMended, "part", int(r.shard), "stamp", uint64(request.Index), "ranges", len(request.Ranges))
	})
	return err
}
