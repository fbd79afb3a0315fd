// Founding: only when the founding number of distinct empty core nodes have
// seen one another does the first of them propose a charter. All of them must
// promise, accept and sync it before it opens, so no two charters can ever
// open; a later proposer carries on the newest charter it finds. Where an open
// charter exists, an empty node takes it over and never founds.
package consensus

import (
	"context"
	"encoding/json"
	"sort"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

const foundTime = 2 * time.Second

// seekCharter joins a fleet if there is one, or tries to found it.
func (p *Node) seekCharter() {
	cores := p.k.Cores()
	for _, m := range cores {
		if m.Fleet == "" || m.Name == p.r.Name {
			continue
		}
		ctx, end := context.WithTimeout(p.r, foundTime)
		var charter rpc.Charter
		err := p.w.Ask(ctx, m.Wire, "pact.charter", struct{}{}, &charter)
		end()
		if err == nil && charter.Open && p.putCharter(&charter, charter.Round) == nil {
			p.say(eventlog.FleetJoined, "fleet", charter.Fleet)
			return
		}
	}
	me := p.k.Me()
	sort.Slice(cores, func(i, j int) bool { return cores[i].Name < cores[j].Name })
	var founders []rpc.Member
	for _, m := range cores {
		if m.Fleet != "" {
			return
		}
		if m.Founders == me.Founders && len(founders) < me.Founders {
			founders = append(founders, m)
		}
	}
	if me.Founders == 0 || len(founders) < me.Founders || founders[0].Name != me.Name {
		return
	}
	p.propose(founders)
}

// propose runs one round of founding with all founders.
func (p *Node) propose(founders []rpc.Member) {
	p.mu.Lock()
	round := ids.Term{Round: p.pledge.Round + 1, Node: p.me.Name}
	p.mu.Unlock()
	charter := &rpc.Charter{Fleet: ids.NewID(), Members: founders, Parts: ids.Parts}
	receipts, ok := p.askAll(founders, &rpc.FoundAsk{Step: "promise", Round: round, From: p.me})
	var newest ids.Term
	for _, receipt := range receipts {
		if receipt.Charter != nil && newest.Less(receipt.Charter.Round) {
			newest, charter = receipt.Charter.Round, receipt.Charter
		}
		p.mu.Lock()
		if p.pledge.Round < receipt.Promised.Round {
			p.pledge = ids.Term{Round: receipt.Promised.Round, Node: p.pledge.Node}
		}
		p.mu.Unlock()
	}
	if !ok {
		return
	}
	if isReborn(charter.Members, founders) {
		// A founder lost its disk before the charter opened. All founders have promised
		// now, none of them has it open, and none takes part in anything while it is not:
		// nothing can have been written under it.
		charter = &rpc.Charter{Fleet: ids.NewID(), Members: founders, Parts: ids.Parts}
	}
	charter.Round = round
	if _, ok := p.askAll(charter.Members, &rpc.FoundAsk{Step: "accept", Round: round, Charter: charter, From: p.me}); !ok {
		return
	}
	opened := *charter
	opened.Open = true
	p.askAll(charter.Members, &rpc.FoundAsk{Step: "open", Round: round, Charter: &opened, From: p.me})
}

// isReborn tells whether two lists name the same nodes, of which one at least has
// another birth now.
func isReborn(members, founders []rpc.Member) bool {
	births := map[ids.Name]ids.Birth{}
	for _, m := range members {
		births[m.Name] = m.Birth
	}
	isOther := false
	for _, m := range founders {
		birth, isThere := births[m.Name]
		if !isThere {
			return false
		}
		isOther = isOther || birth != m.Birth
	}
	return isOther && len(members) == len(founders)
}

// askAll is true only if every one agreed.
func (p *Node) askAll(founders []rpc.Member, ask *rpc.FoundAsk) ([]*rpc.FoundReceipt, bool) {
	ctx, end := context.WithTimeout(p.r, foundTime)
	defer end()
	type result struct {
		receipt *rpc.FoundReceipt
		ok      bool
	}
	results := make(chan result, len(founders))
	for _, m := range founders {
		p.r.Go(func() {
			receipt := &rpc.FoundReceipt{}
			var err error
			if m.Name == p.me.Name {
				receipt, err = p.found(ask)
			} else {
				err = p.w.Ask(ctx, m.Wire, "pact.found", ask, receipt)
			}
			if err != nil {
				results <- result{}
				return
			}
			results <- result{receipt, receipt.Ok && receipt.From.Birth == m.Birth}
		})
	}
	isAll := true
	var receipts []*rpc.FoundReceipt
	for range founders {
		got := <-results
		isAll = isAll && got.ok
		if got.receipt != nil {
			receipts = append(receipts, got.receipt)
		}
	}
	return receipts, isAll
}

// found answers a step of founding.
func (p *Node) found(ask *rpc.FoundAsk) (*rpc.FoundReceipt, error) {
	p.mu.Lock()
	receipt := &rpc.FoundReceipt{From: p.me, Promised: p.pledge, Charter: p.charter}
	isOpen := p.charter != nil && p.charter.Open
	isLower := ask.Round.Less(p.pledge)
	p.mu.Unlock()
	if ask.Step != "promise" && ask.Charter == nil {
		return nil, errcode.New(errcode.BadMessage, "no charter in step %q", ask.Step)
	}
	switch {
	case isOpen || isLower && ask.Step != "open":
		return receipt, nil
	case ask.Step == "promise":
		p.mu.Lock()
		p.pledge = ask.Round
		p.mu.Unlock()
		raw, _ := json.Marshal(ask.Round)
		w := p.store.Begin()
		w.Put("pledge", raw)
		p.store.Hand(w)
		if err := w.Wait(); err != nil {
			return nil, err
		}
	case ask.Step == "accept" || ask.Step == "open":
		if err := p.putCharter(ask.Charter, ask.Round); err != nil {
			return nil, err
		}
		if ask.Step == "open" {
			p.say(eventlog.FleetFounded, "fleet", ask.Charter.Fleet, "members", len(ask.Charter.Members))
		}
	default:
		return nil, errcode.New(errcode.BadMessage, "no step %q", ask.Step)
	}
	receipt.Ok, receipt.Promised = true, ask.Round
	return receipt, nil
}

// putCharter syncs a charter and, if it is open, enters the fleet.
func (p *Node) putCharter(charter *rpc.Charter, round ids.Term) error {
	p.mu.Lock()
	if p.charter != nil && p.charter.Open {
		p.mu.Unlock()
		return nil
	}
	if round.Less(p.pledge) && !charter.Open {
		p.mu.Unlock()
		return errcode.New(errcode.NotOwner, "a higher round of founding was promised")
	}
	p.charter, p.pledge = charter, round
	raw, _ := json.Marshal(charter)
	w := p.store.Begin()
	w.Put("charter", raw)
	p.store.Hand(w)
	p.mu.Unlock()
	if err := w.Wait(); err != nil {
		return err
	}
	if p.r.Trace != nil {
		p.r.Trace(CharterTrace{IsOpen: charter.Open})
	}
	if charter.Open {
		p.enter(charter)
	}
	return nil
}

// enter shows the fleet to others and gives every part its first group.
func (p *Node) enter(charter *rpc.Charter) {
	for _, t := range p.parts {
		t.mu.Lock()
		if t.base.Index == 0 && len(t.base.Group) == 0 {
			t.base.Group = Placement(t.no, charter.Members, t.p.r.Props.PactLosses)
			t.refreshVoters()
		}
		t.since = t.p.r.Now()
		t.mu.Unlock()
	}
	p.k.Amend(func(m *rpc.Member) { m.Fleet = charter.Fleet })
	close(p.Ready)
}
