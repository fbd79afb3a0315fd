// Standing early after a start. A member that has heard no owner since it started
// asks all members of its parts whether they know of one (a pre-vote: nothing is
// promised by it, and no term rises). Only where a majority answers, and everyone who
// answers knows of none, does the first of them in the agreed order stand at once;
// else the silence is awaited as ever. So nobody takes a part from a working owner,
// and a fleet that lost all its processes does not wait for owners that are gone.
package consensus

import (
	"context"
	"slices"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// How long all members are waited for, and how long the others are once one has
// answered; and the pause between two rounds.
const (
	prevoteTime  = 100 * time.Millisecond
	prevoteMore  = 30 * time.Millisecond
	prevotePause = 30 * time.Millisecond
)

// hasHeardNobody tells whether this member knows of no owner and of nobody who stands,
// and has not waited long enough to stand without having asked.
func (t *Part) hasHeardNobody() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.isOwner && !t.isOutside && t.voters.Holds(t.p.me) && t.heard.IsZero() && t.matchIn == ids.Term{}
}

// hasOwner tells whether this member owns the part, heard its owner of late, or
// promised it to somebody a moment ago.
func (t *Part) hasOwner() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	silence := t.p.r.Props.PactSilence
	isHeard := !t.heard.IsZero() && t.p.r.Since(t.heard) < silence*3/4
	isPromised := t.matchIn != ids.Term{} && t.p.r.Since(t.since) < silence/2
	return t.isOwner || isHeard || isPromised
}

// answerPrevote answers a pre-vote.
func (p *Node) answerPrevote(ask *rpc.PrevoteAsk) *rpc.PrevoteReceipt {
	receipt := &rpc.PrevoteReceipt{From: p.me}
	for _, no := range ask.Parts {
		if t, err := p.part(no); err != nil || t.hasOwner() {
			receipt.Spoken = append(receipt.Spoken, no)
		}
	}
	return receipt
}

// prevotes asks in rounds for the parts that nobody was heard of, until there is
// none: whoever has waited for the whole silence stands without having asked.
func (p *Node) prevotes() {
	select {
	case <-p.Ready:
	case <-p.r.Done():
		return
	}
	for p.r.Pause(environment.Jitter(prevotePause)) && !p.IsGoing() {
		var parts []ids.Part
		for _, t := range p.parts {
			if t.hasHeardNobody() {
				parts = append(parts, t.no)
			}
		}
		if len(parts) == 0 {
			return
		}
		receipts := p.askPrevote(parts)
		for _, no := range parts {
			if t := p.parts[no]; t.hasHeardNobody() && t.mayCampaignEarly(receipts) {
				p.once(no, func() { t.campaign(false) })
			}
		}
	}
}

// campaignFor stands for parts whose owner is silent, where a majority has not heard
// one either: who is cut off, or on a slow link, must not end the work of an owner
// that the others hear.
func (p *Node) campaignFor(due []*Part) {
	if len(due) == 0 || !p.isAsking.CompareAndSwap(false, true) {
		return
	}
	p.r.Go(func() {
		defer p.isAsking.Store(false)
		var parts []ids.Part
		for _, t := range due {
			parts = append(parts, t.no)
		}
		receipts := p.askPrevote(parts)
		for _, t := range due {
			if t.isElectionDue() && t.mayCampaign(receipts) {
				p.once(t.no, func() { t.campaign(false) })
			}
		}
	})
}

// mayCampaign tells whether enough members to decide know of no owner.
func (t *Part) mayCampaign(receipts map[rpc.Peer]*rpc.PrevoteReceipt) bool {
	t.mu.Lock()
	voters := t.voters
	t.mu.Unlock()
	free := []rpc.Peer{t.p.me}
	for peer, receipt := range receipts {
		if !slices.Contains(receipt.Spoken, t.no) {
			free = append(free, peer)
		}
	}
	return voters.IsDecidedBy(free)
}

func (p *Node) askPrevote(parts []ids.Part) map[rpc.Peer]*rpc.PrevoteReceipt {
	ctx, end := context.WithTimeout(p.r, prevoteTime)
	defer end()
	var cores []rpc.Member
	for _, m := range p.k.Cores() {
		if m.Name != p.r.Name {
			cores = append(cores, m)
		}
	}
	answers := make(chan *rpc.PrevoteReceipt, len(cores))
	for _, m := range cores {
		p.r.Go(func() {
			receipt := &rpc.PrevoteReceipt{}
			if p.w.Ask(ctx, m.Wire, "pact.prevote", &rpc.PrevoteAsk{Parts: parts}, receipt) != nil {
				receipt = nil
			}
			answers <- receipt
		})
	}
	receipts := map[rpc.Peer]*rpc.PrevoteReceipt{}
	var late <-chan time.Time
	for range cores {
		select {
		case receipt := <-answers:
			if receipt == nil {
				continue
			}
			receipts[receipt.From] = receipt
			if late == nil {
				wakeup := time.NewTimer(prevoteMore)
				defer wakeup.Stop()
				late = wakeup.C
			}
		case <-late:
			return receipts
		}
	}
	return receipts
}

// mayCampaignEarly tells whether a majority answered, all who did know of no owner, and this
// member is the first of them.
func (t *Part) mayCampaignEarly(receipts map[rpc.Peer]*rpc.PrevoteReceipt) bool {
	t.mu.Lock()
	voters := t.voters
	t.mu.Unlock()
	var there []rpc.Peer
	for _, peer := range voters.All() {
		receipt := receipts[peer]
		if peer != t.p.me && receipt == nil {
			continue
		}
		if receipt != nil {
			for _, no := range receipt.Spoken {
				if no == t.no {
					return false
				}
			}
		}
		there = append(there, peer)
	}
	return voters.IsDecidedBy(there) && Order(t.no, there)[0] == t.p.me
}
