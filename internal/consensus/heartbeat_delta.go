package consensus

import (
	"maps"
	"math/rand/v2"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// claimState is the full set of claims of one heartbeat. Most claims don't change between
// heartbeats, so a heartbeat carries only the differences from its base, the last one that
// was acknowledged. A member that lacks the base, after a restart or reordered messages,
// responds with BaseLost, confirms no claim, and is sent the full set.
type claimState struct {
	sequence uint64
	claims   map[ids.Shard]rpc.LeaderClaim
}

func claimsByShard(claims []rpc.LeaderClaim) map[ids.Shard]rpc.LeaderClaim {
	byShard := make(map[ids.Shard]rpc.LeaderClaim, len(claims))
	for _, c := range claims {
		byShard[c.Shard] = c
	}
	return byShard
}

// nextRequest returns the next heartbeat. Sequence numbers start at a random value, so that
// they don't repeat those of an earlier process of this node.
func (h *heartbeater) nextRequest(from rpc.Peer, claims []rpc.LeaderClaim) *rpc.HeartbeatRequest {
	if h.sequence == 0 {
		h.sequence = rand.Uint64() >> 2
	}
	h.sequence++
	request := &rpc.HeartbeatRequest{From: from, Sequence: h.sequence, BaseSequence: h.acked.sequence}
	current := claimsByShard(claims)
	for _, c := range claims {
		if ackedClaim, ok := h.acked.claims[c.Shard]; !ok || ackedClaim != c {
			request.Claims = append(request.Claims, c)
		}
	}
	for shard := range h.acked.claims {
		if _, ok := current[shard]; !ok {
			request.Released = append(request.Released, shard)
		}
	}
	return request
}

// acknowledge sets the base for the next heartbeat: the claims of the acknowledged one, or
// none if the member lost the base.
func (h *heartbeater) acknowledge(request *rpc.HeartbeatRequest, claims []rpc.LeaderClaim, isBaseLost bool) {
	h.acked = claimState{}
	if !isBaseLost {
		h.acked = claimState{sequence: request.Sequence, claims: claimsByShard(claims)}
	}
}

// fullClaims applies a heartbeat's differences to its base and returns the full set of
// claims; false if the base is not the last heartbeat received from the sender.
func (n *Node) fullClaims(request *rpc.HeartbeatRequest) (map[ids.Shard]rpc.LeaderClaim, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	lastReceived := n.receivedClaims[request.From]
	if request.BaseSequence != 0 && lastReceived.sequence != request.BaseSequence {
		return nil, false
	}
	claims := map[ids.Shard]rpc.LeaderClaim{}
	if request.BaseSequence != 0 {
		maps.Copy(claims, lastReceived.claims)
	}
	for _, shard := range request.Released {
		delete(claims, shard)
	}
	for _, c := range request.Claims {
		claims[c.Shard] = c
	}
	n.receivedClaims[request.From] = claimState{sequence: request.Sequence, claims: claims}
	return claims, true
}
