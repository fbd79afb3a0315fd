// Rounds: one task to each other core node carries all the claims this node
// holds in one message, some four times a second and whenever a read waits. A
// receipt confirms every claim it does not refuse, as of the moment the message
// was sent; a majority's moments make the age of the confirmation.
package consensus

import (
	"context"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

type heartbeater struct {
	kick  chan struct{}
	end   context.CancelFunc
	no    uint64
	heard claimSet
}

// Members of no part owned here have no word to give; they are told who owns what
// this much more seldom.
const tellSeldom = 4

// keepHeartbeats has one task for each core node there is.
func (p *Node) keepHeartbeats() {
	view := p.k.View()
	p.mu.Lock()
	defer p.mu.Unlock()
	for peer, r := range p.rounds {
		if m, ok := view[peer.Name]; !ok || m.Birth != peer.Birth {
			r.end()
			delete(p.rounds, peer)
			delete(p.claimSets, peer)
		}
	}
	for name, m := range view {
		peer := rpc.Peer{Name: name, Birth: m.Birth}
		if !m.Core || name == p.r.Name || p.rounds[peer] != nil {
			continue
		}
		ctx, end := context.WithCancel(p.r)
		r := &heartbeater{kick: make(chan struct{}, 1), end: end}
		p.rounds[peer] = r
		p.r.Go(func() { p.round(ctx, peer, r) })
	}
}

// kickHeartbeats has the members of a group asked at once.
func (p *Node) kickHeartbeats(group []rpc.Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, peer := range group {
		if r := p.rounds[peer]; r != nil {
			select {
			case r.kick <- struct{}{}:
			default:
			}
		}
	}
}

// kickAll has everybody told of a new owner at once.
func (p *Node) kickAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.rounds {
		select {
		case r.kick <- struct{}{}:
		default:
		}
	}
}

// isVoter tells whether a peer has a say in a part that this node owns.
func (p *Node) isVoter(peer rpc.Peer) bool {
	for _, t := range p.parts {
		t.mu.Lock()
		is := t.isOwner && t.voters.Holds(peer)
		t.mu.Unlock()
		if is {
			return true
		}
	}
	return false
}

func (p *Node) round(ctx context.Context, peer rpc.Peer, r *heartbeater) {
	wakeup := time.NewTimer(1)
	defer wakeup.Stop()
	for {
		pause := p.r.Props.PactRound
		select {
		case <-ctx.Done():
			return
		case <-r.kick:
			// Whoever kicks, does so about as often; the next kick is awaited a little
			// longer, or there would be two rounds for each.
			pause = pause * 3 / 2
		case <-wakeup.C:
		}
		if !p.isVoter(peer) {
			pause = p.r.Props.PactRound * tellSeldom
		}
		wakeup.Reset(pause)
		claims := p.claims()
		m, ok := p.k.View()[peer.Name]
		if len(claims) == 0 || !ok || m.Birth != peer.Birth {
			continue
		}
		sent := p.r.Now()
		limited, end := context.WithTimeout(ctx, 500*time.Millisecond)
		var receipt rpc.RoundReceipt
		ask := r.ask(p.me, claims)
		err := p.w.Ask(limited, m.Wire, "pact.round", ask, &receipt)
		end()
		if err != nil || receipt.From != peer || receipt.No != ask.No {
			continue
		}
		r.took(ask, claims, receipt.Lost)
		if !receipt.Lost {
			p.creditHeartbeat(peer, sent, claims, &receipt)
			continue
		}
		select {
		case r.kick <- struct{}{}:
		default:
		}
	}
}

func (p *Node) claims() (claims []rpc.Claim) {
	for _, t := range p.parts {
		t.mu.Lock()
		if t.isOwner {
			claims = append(claims, rpc.Claim{Part: t.no, Term: t.promised, Commit: t.commit, Serving: t.isServing})
		}
		t.mu.Unlock()
	}
	return claims
}

// creditHeartbeat notes a member's word on each claim it did not refuse.
func (p *Node) creditHeartbeat(peer rpc.Peer, sent time.Time, claims []rpc.Claim, receipt *rpc.RoundReceipt) {
	no := map[ids.Part]ids.Term{}
	for _, refused := range receipt.Refused {
		no[refused.Part] = refused.Term
	}
	for _, claim := range claims {
		t := p.parts[claim.Part]
		t.mu.Lock()
		if t.isOwner && t.promised == claim.Term {
			if higher, ok := no[claim.Part]; ok {
				t.seen = max(t.seen, higher.Round)
				t.stepDown("a member promised " + higher.String())
			} else if t.acks[peer].Before(sent) {
				t.acks[peer] = sent
				t.notify()
			}
		}
		t.mu.Unlock()
	}
}

// answerHeartbeat answers a round.
func (p *Node) answerHeartbeat(ask *rpc.RoundAsk) *rpc.RoundReceipt {
	receipt := &rpc.RoundReceipt{From: p.me, No: ask.No}
	claims, ok := p.whole(ask)
	if !ok {
		receipt.Lost = true
		return receipt
	}
	for _, claim := range claims {
		t, err := p.part(claim.Part)
		if err != nil {
			continue
		}
		t.mu.Lock()
		if claim.Term.Less(t.promised) {
			receipt.Refused = append(receipt.Refused, rpc.Claim{Part: claim.Part, Term: t.promised})
			t.mu.Unlock()
			continue
		}
		t.heard = t.p.r.Now()
		if t.matchIn == claim.Term {
			t.advance(min(claim.Commit, t.matched))
		}
		t.mu.Unlock()
		if claim.Serving {
			p.noteOwner(claim.Part, ask.From.Name, claim.Term)
		}
	}
	return receipt
}

func (p *Node) noteOwner(no ids.Part, name ids.Name, term ids.Term) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if old := p.owners[no]; !term.Less(old.term) {
		p.owners[no] = claimed{name: name, term: term, at: p.r.Now()}
	}
}

// confirmed is the moment as of which a majority confirms the owner's term.
func (t *Part) confirmed() time.Time {
	now := t.p.r.Now()
	age := t.voters.Reached(func(peer rpc.Peer) int64 {
		if peer == t.p.me {
			return 0
		}
		return -int64(now.Sub(t.acks[peer]))
	})
	return now.Add(time.Duration(age))
}

// askAllAfter is how long the word of the nearestMajority is awaited before all are asked.
const askAllAfter = 40 * time.Millisecond

// nearestMajority is the members that make a majority with this node: own zone first, and
// those that seem live.
func (p *Node) nearestMajority(voters Voters) []rpc.Peer {
	group := voters.Current
	if voters.IsJoint() {
		return voters.All()
	}
	var some []rpc.Peer
	for _, m := range p.k.Cores() {
		peer := rpc.Peer{Name: m.Name, Birth: m.Birth}
		if peer != p.me && holds(group, peer) && len(some) < len(group)/2 {
			some = append(some, peer)
		}
	}
	return some
}

// Confirm waits until a majority has confirmed the term as of a moment. The nearestMajority
// that make one are asked first, all if their word does not come at once.
func (t *Part) Confirm(ctx context.Context, since time.Time) error {
	var wakeup *time.Timer
	var late <-chan time.Time
	for {
		t.mu.Lock()
		if !t.isServing {
			t.mu.Unlock()
			return errcode.New(errcode.NotOwner, "part %d", t.no)
		}
		if !t.confirmed().Before(since) {
			t.trace(Trace{Kind: TraceRead, Term: t.promised, Index: t.applied, Since: time.Now().Add(-t.p.r.Since(since))})
			t.mu.Unlock()
			return nil
		}
		change, voters := t.change, t.voters
		t.mu.Unlock()
		if wakeup == nil {
			wakeup = time.NewTimer(askAllAfter)
			defer wakeup.Stop()
			late = wakeup.C
			t.p.kickHeartbeats(t.p.nearestMajority(voters))
		}
		select {
		case <-change:
		case <-late:
			late = nil
			t.p.kickHeartbeats(voters.All())
		case <-ctx.Done():
			return errcode.New(errcode.NoOwner, "part %d can't be confirmed: %v", t.no, ctx.Err())
		}
	}
}

// Age is how long ago the term was confirmed; false if the part isn't served.
func (t *Part) Age() (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.isServing {
		return 0, false
	}
	return t.p.r.Since(t.confirmed()), true
}
