package consensus

import (
	"maps"
	"math/rand/v2"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// claimState is all that one heartbeat claims. Most claims are the same from message to
// message, so a message names the one before it that was answered, its base, and carries
// only what differs. A member that does not have the base, as it was restarted or the
// order of messages broke, says so, confirms nothing, and is sent everything.
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

// nextRequest makes the next message. Sequence numbers begin at random, so that those of an
// earlier process of this node are not met again.
func (h *heartbeater) nextRequest(from rpc.Peer, claims []rpc.LeaderClaim) *rpc.HeartbeatRequest {
	if h.sequence == 0 {
		h.sequence = rand.Uint64() >> 2
	}
	h.sequence++
	request := &rpc.HeartbeatRequest{From: from, Sequence: h.sequence, BaseSequence: h.acked.sequence}
	now := claimsByShard(claims)
	for _, c := range claims {
		if old, ok := h.acked.claims[c.Shard]; !ok || old != c {
			request.Claims = append(request.Claims, c)
		}
	}
	for shard := range h.acked.claims {
		if _, ok := now[shard]; !ok {
			request.Released = append(request.Released, shard)
		}
	}
	return request
}

// acknowledge notes that a message was answered, or that its base is lost.
func (h *heartbeater) acknowledge(request *rpc.HeartbeatRequest, claims []rpc.LeaderClaim, isBaseLost bool) {
	h.acked = claimState{}
	if !isBaseLost {
		h.acked = claimState{sequence: request.Sequence, claims: claimsByShard(claims)}
	}
}

// fullClaims returns all that a message claims; false if its base is not the last one received.
func (n *Node) fullClaims(request *rpc.HeartbeatRequest) (map[ids.Shard]rpc.LeaderClaim, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	last := n.receivedClaims[request.From]
	if request.BaseSequence != 0 && last.sequence != request.BaseSequence {
		return nil, false
	}
	claims := map[ids.Shard]rpc.LeaderClaim{}
	if request.BaseSequence != 0 {
		maps.Copy(claims, last.claims)
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
