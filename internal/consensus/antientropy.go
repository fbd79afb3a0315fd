package consensus

import (
	"encoding/json"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

const (
	compareInterval = 10 * time.Second // for all shards together
	compareTimeout  = 2 * time.Second
	compareAttempts = 3
)

// RangeRepairer is a StateMachine whose state is cut into named ranges, so that replicas
// can be compared and repaired without a snapshot. Its methods are called under the
// replica's lock.
type RangeRepairer interface {
	// RangeDigests returns a digest of each range, equal for equal content.
	RangeDigests() map[string]string
	// ExportRange returns the content of a range.
	ExportRange(name string) (json.RawMessage, error)
	// Repair replaces the content of a range by one that was exported.
	Repair(name string, data json.RawMessage) error
}

// repairLoop compares the replicas of the shards that this node leads, one shard after
// another.
func (n *Node) repairLoop() {
	for turn := 0; n.env.Sleep(compareInterval / time.Duration(len(n.replicas))); turn++ {
		if r := n.replicas[turn%len(n.replicas)]; r.IsServing() {
			r.compareReplicas()
		}
	}
}

// atIndex calls apply while nothing else is applied, if the applied index is the one given,
// zero for any, and the term is not below the current one; false otherwise.
func (r *Replica) atIndex(index ids.Index, term ids.Term, apply func(index ids.Index)) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if index != 0 && r.log.applied != index || term.Less(r.currentTerm) {
		return false
	}
	apply(r.log.applied)
	return true
}

// compareReplicas compares digests of the state's ranges with those of the other voters at
// an equal applied index, and repairs the members whose ranges differ, if a quorum agrees
// with the leader. A leader whose own state stands alone steps down. Only committed state
// is compared, and nothing here counts as a vote.
func (r *Replica) compareReplicas() {
	ranged, ok := r.stateMachine.(RangeRepairer)
	if !ok {
		return
	}
	term, _, _ := r.LeadershipSince()
	request := &rpc.RangeDigestRequest{Shard: r.shard, Term: term}
	r.atIndex(0, term, func(index ids.Index) { request.Index, request.Digests = index, ranged.RangeDigests() })
	voters := r.currentVoters().Current
	r.node.triggerHeartbeats(voters)
	agreeing, disagreeing := 1, []rpc.Member{}
	differing := map[ids.NodeName][]string{}
	for _, peer := range voters {
		m, ok := r.node.members.Lookup(peer.Name)
		if peer == r.node.self || !ok || m.ID != peer.ID {
			continue
		}
		response := r.requestDigests(m, request)
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
			r.resign("its state differs from all others")
		}
		return
	}
	for _, m := range disagreeing {
		r.repairMember(ranged, term, m, differing[m.Name])
	}
}

// requestDigests has a member compare. It is asked again while it has applied another
// index, as the leader's commit index may be on its way there.
func (r *Replica) requestDigests(m rpc.Member, request *rpc.RangeDigestRequest) (response rpc.RangeDigestResponse) {
	for range compareAttempts {
		err := r.node.call(r.node.env, compareTimeout, m.RPCAddress, kindCompare, request, &response)
		if err != nil || response.AtIndex || !r.node.env.Sleep(r.node.env.Config.ConsensusHeartbeatPeriod) {
			break
		}
	}
	return response
}

// repairMember sends a member the leader's content of some ranges.
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
	// What does not arrive is found to differ again at the next comparison.
	_ = r.node.call(r.node.env, compareTimeout, m.RPCAddress, kindRepair, request, nil)
}

// handleCompare answers which ranges differ from the leader's, if this member has applied
// the same index.
func (r *Replica) handleCompare(request *rpc.RangeDigestRequest) (*rpc.RangeDigestResponse, error) {
	response := &rpc.RangeDigestResponse{From: r.node.self}
	ranged, ok := r.stateMachine.(RangeRepairer)
	if !ok {
		return response, nil
	}
	response.AtIndex = r.atIndex(request.Index, request.Term, func(ids.Index) {
		own := ranged.RangeDigests()
		for name, digest := range request.Digests {
			if own[name] != digest {
				response.DifferingRanges = append(response.DifferingRanges, name)
			}
			delete(own, name)
		}
		for name := range own {
			response.DifferingRanges = append(response.DifferingRanges, name)
		}
	})
	return response, nil
}

// handleRepair takes a leader's ranges over, if this member has applied the same index, and
// takes a snapshot of the repaired state, so that a restart does not bring the fault back.
func (r *Replica) handleRepair(request *rpc.RepairRequest) (_ struct{}, err error) {
	ranged, ok := r.stateMachine.(RangeRepairer)
	if !ok {
		return struct{}{}, nil
	}
	r.atIndex(request.Index, request.Term, func(ids.Index) {
		for name, data := range request.Ranges {
			if err = ranged.Repair(name, data); err != nil {
				return
			}
		}
		r.compactNow()
		r.logEvent(eventlog.ReplicaRepaired, "index", uint64(request.Index), "ranges", len(request.Ranges))
	})
	return struct{}{}, err
}
