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

// claimSet is all that one message claims, by its number.
type claimSet struct {
	sequence uint64
	claims   map[ids.Part]rpc.Claim
}

func claimsByShard(claims []rpc.Claim) map[ids.Part]rpc.Claim {
	byShard := make(map[ids.Part]rpc.Claim, len(claims))
	for _, c := range claims {
		byShard[c.Part] = c
	}
	return byShard
}

// nextRequest makes the next message; numbers begin anywhere, so that those of an earlier
// life of this node are not met again.
func (h *heartbeater) nextRequest(from rpc.Peer, claims []rpc.Claim) *rpc.RoundAsk {
	if h.sequence == 0 {
		h.sequence = rand.Uint64() >> 2
	}
	h.sequence++
	request := &rpc.RoundAsk{From: from, No: h.sequence, Base: h.acked.sequence}
	now := claimsByShard(claims)
	for _, c := range claims {
		if old, ok := h.acked.claims[c.Part]; !ok || old != c {
			request.Claims = append(request.Claims, c)
		}
	}
	for no := range h.acked.claims {
		if _, ok := now[no]; !ok {
			request.Gone = append(request.Gone, no)
		}
	}
	return request
}

// acknowledge notes that a message was heard, or that its base was lost.
func (h *heartbeater) acknowledge(request *rpc.RoundAsk, claims []rpc.Claim, isLost bool) {
	h.acked = claimSet{}
	if !isLost {
		h.acked = claimSet{sequence: request.No, claims: claimsByShard(claims)}
	}
}

// fullClaims is all that a message claims; false if its base is not the last heard.
func (n *Node) fullClaims(request *rpc.RoundAsk) (map[ids.Part]rpc.Claim, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	last := n.receivedClaims[request.From]
	if request.Base != 0 && last.sequence != request.Base {
		return nil, false
	}
	claims := map[ids.Part]rpc.Claim{}
	if request.Base != 0 {
		for shard, c := range last.claims {
			claims[shard] = c
		}
	}
	for _, shard := range request.Gone {
		delete(claims, shard)
	}
	for _, c := range request.Claims {
		claims[c.Part] = c
	}
	n.receivedClaims[request.From] = claimSet{sequence: request.No, claims: claims}
	return claims, true
}
