package consensus

import (
	"encoding/json"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

const (
	compareInterval = 10 * time.Second // per pass over all shards
	compareTimeout  = 2 * time.Second
	compareAttempts = 3
)

// RangeRepairer is implemented by a StateMachine whose state is divided into named ranges, so
// that replicas can be compared and repaired without a snapshot. Its methods are called
// under the replica's lock.
type RangeRepairer interface {
	// RangeDigests returns a digest of each range, equal for equal content.
	RangeDigests() map[string]string
	// ExportRange returns the content of a range.
	ExportRange(name string) (json.RawMessage, error)
	// Repair replaces the content of a range by exported content.
	Repair(name string, data json.RawMessage) error
}

// repairLoop compares the replicas of the shards that this node leads, one shard at a time.
func (n *Node) repairLoop() {
	for i := 0; n.env.Sleep(compareInterval / time.Duration(len(n.replicas))); i++ {
		if r := n.replicas[i%len(n.replicas)]; r.IsServing() {
			r.compareReplicas()
		}
	}
}

// runAtIndex calls run under the replica's lock if the applied index equals index, or index is
// zero, and term is not below the current one. It reports whether it called run.
func (r *Replica) runAtIndex(index ids.Index, term ids.Term, run func(index ids.Index)) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if index != 0 && r.log.applied != index || term.Less(r.currentTerm) {
		return false
	}
	run(r.log.applied)
	return true
}

// compareReplicas compares the digests of the leader's ranges with those of the other voters
// at the same applied index. If a majority agrees with the leader, the members that differ
// are repaired. If no other voter agrees and a majority differs, the leader steps down. Only
// committed state is compared, and the responses do not count as votes or acknowledgements.
func (r *Replica) compareReplicas() {
	repairer, ok := r.stateMachine.(RangeRepairer)
	if !ok {
		return
	}
	term, _, _ := r.LeadershipSince()
	request := &rpc.RangeDigestRequest{Shard: r.shard, Term: term}
	r.runAtIndex(0, term, func(index ids.Index) { request.Index, request.Digests = index, repairer.RangeDigests() })
	voters := r.currentVoters().Current
	r.node.triggerHeartbeats(voters)
	agreeingVoters, disagreeing := 1, []rpc.Member{}
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
			agreeingVoters++
		default:
			disagreeing = append(disagreeing, m)
			differing[m.Name] = response.DifferingRanges
		}
	}
	if len(disagreeing) == 0 {
		return
	}
	if agreeingVoters <= len(voters)/2 {
		if agreeingVoters == 1 && len(disagreeing) > len(voters)/2 {
			r.resign("the leader's state differs from a majority of the voters")
		}
		return
	}
	for _, m := range disagreeing {
		r.repairMember(repairer, term, m, differing[m.Name])
	}
}

// requestDigests asks a member to compare its ranges. It retries while the member's applied
// index differs, as the leader's commit index may not have reached the member yet.
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
func (r *Replica) repairMember(repairer RangeRepairer, term ids.Term, m rpc.Member, ranges []string) {
	request := &rpc.RepairRequest{Shard: r.shard, Term: term, Ranges: map[string]json.RawMessage{}}
	r.runAtIndex(0, term, func(index ids.Index) {
		request.Index = index
		for _, name := range ranges {
			if data, err := repairer.ExportRange(name); err == nil {
				request.Ranges[name] = data
			}
		}
	})
	// If the request fails, the next comparison finds the difference again.
	_ = r.node.call(r.node.env, compareTimeout, m.RPCAddress, kindRepair, request, nil)
}

// handleCompare returns the ranges that differ from the leader's, if this member's applied
// index is the leader's.
func (r *Replica) handleCompare(request *rpc.RangeDigestRequest) (*rpc.RangeDigestResponse, error) {
	response := &rpc.RangeDigestResponse{From: r.node.self}
	repairer, ok := r.stateMachine.(RangeRepairer)
	if !ok {
		return response, nil
	}
	response.AtIndex = r.runAtIndex(request.Index, request.Term, func(ids.Index) {
		localDigests := repairer.RangeDigests()
		for name, digest := range request.Digests {
			if localDigests[name] != digest {
				response.DifferingRanges = append(response.DifferingRanges, name)
			}
			delete(localDigests, name)
		}
		for name := range localDigests {
			response.DifferingRanges = append(response.DifferingRanges, name)
		}
	})
	return response, nil
}

// handleRepair replaces ranges by the leader's, if this member's applied index is the leader's.
// It then takes a snapshot, so that a restart does not restore the diverged state.
func (r *Replica) handleRepair(request *rpc.RepairRequest) (_ struct{}, err error) {
	repairer, ok := r.stateMachine.(RangeRepairer)
	if !ok {
		return struct{}{}, nil
	}
	r.runAtIndex(request.Index, request.Term, func(ids.Index) {
		for name, data := range request.Ranges {
			if err = repairer.Repair(name, data); err != nil {
				return
			}
		}
		r.compactNow()
		r.logEvent(eventlog.ReplicaRepaired, "index", uint64(request.Index), "ranges", len(request.Ranges))
	})
	return struct{}{}, err
}
