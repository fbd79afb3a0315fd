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
	no     uint64
	claims map[ids.Part]rpc.Claim
}

func byPart(claims []rpc.Claim) map[ids.Part]rpc.Claim {
	set := make(map[ids.Part]rpc.Claim, len(claims))
	for _, c := range claims {
		set[c.Part] = c
	}
	return set
}

// ask makes the next message; numbers begin anywhere, so that those of an earlier
// life of this node are not met again.
func (r *heartbeater) ask(from rpc.Peer, claims []rpc.Claim) *rpc.RoundAsk {
	if r.no == 0 {
		r.no = rand.Uint64() >> 2
	}
	r.no++
	ask := &rpc.RoundAsk{From: from, No: r.no, Base: r.heard.no}
	now := byPart(claims)
	for _, c := range claims {
		if old, ok := r.heard.claims[c.Part]; !ok || old != c {
			ask.Claims = append(ask.Claims, c)
		}
	}
	for no := range r.heard.claims {
		if _, ok := now[no]; !ok {
			ask.Gone = append(ask.Gone, no)
		}
	}
	return ask
}

// took notes that a message was heard, or that its base was lost.
func (r *heartbeater) took(ask *rpc.RoundAsk, claims []rpc.Claim, isLost bool) {
	r.heard = claimSet{}
	if !isLost {
		r.heard = claimSet{no: ask.No, claims: byPart(claims)}
	}
}

// whole is all that a message claims; false if its base is not the last heard.
func (p *Node) whole(ask *rpc.RoundAsk) (map[ids.Part]rpc.Claim, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := p.claimSets[ask.From]
	if ask.Base != 0 && last.no != ask.Base {
		return nil, false
	}
	set := map[ids.Part]rpc.Claim{}
	if ask.Base != 0 {
		for no, c := range last.claims {
			set[no] = c
		}
	}
	for _, no := range ask.Gone {
		delete(set, no)
	}
	for _, c := range ask.Claims {
		set[c.Part] = c
	}
	p.claimSets[ask.From] = claimSet{no: ask.No, claims: set}
	return set, true
}
