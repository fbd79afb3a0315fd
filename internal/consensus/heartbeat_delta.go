// What a round says. Most claims are the same from round to round, so a message
// names the one before it that was heard, and says only what differs. A member
// that does not have that one, for it was started anew or the order of messages
// broke, says so, confirms nothing, and is told all.
package consensus

import (
	"math/rand/v2"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// claimState is all that one message claims, by its number.
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

// nextRequest makes the next message; numbers begin anywhere, so that those of an earlier
// life of this node are not met again.
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
	for no := range h.acked.claims {
		if _, ok := now[no]; !ok {
			request.Released = append(request.Released, no)
		}
	}
	return request
}

// acknowledge notes that a message was heard, or that its base was lost.
func (h *heartbeater) acknowledge(request *rpc.HeartbeatRequest, claims []rpc.LeaderClaim, isLost bool) {
	h.acked = claimState{}
	if !isLost {
		h.acked = claimState{sequence: request.Sequence, claims: claimsByShard(claims)}
	}
}

// fullClaims is all that a message claims; false if its base is not the last heard.
func (n *Node) fullClaims(request *rpc.HeartbeatRequest) (map[ids.Shard]rpc.LeaderClaim, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	last := n.receivedClaims[request.From]
	if request.BaseSequence != 0 && last.sequence != request.BaseSequence {
		return nil, false
	}
	claims := map[ids.Shard]rpc.LeaderClaim{}
	if request.BaseSequence != 0 {
		for shard, c := range last.claims {
			claims[shard] = c
		}
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
