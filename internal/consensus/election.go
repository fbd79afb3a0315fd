// Standing for a part and giving it up. The first live member in the agreed
// order stands after the owner's silence, each later one a while after; it asks
// all members for promises, takes over the most advanced log among a majority
// of them, and serves once an entry of its own term is synced by a majority.
package consensus

import (
	"context"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
	"github.com/sumactrestle/sumactrestle/internal/storage"
)

const promiseTime = 800 * time.Millisecond

// isElectionDue tells whether the silence has lasted long enough for this member.
func (t *Part) isElectionDue() bool {
	if t.p.IsGoing() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isOwner || t.isOutside || !t.voters.Holds(t.p.me) {
		return false
	}
	silence := t.p.r.Props.PactSilence
	if t.heard.IsZero() {
		// After a start, one round of a working owner is awaited; a member that
		// hears one refuses whoever stands.
		silence = min(silence, t.p.r.Props.PactRound*3/2)
	}
	since := t.heard
	if since.Before(t.since) {
		since = t.since
	}
	if t.p.r.Since(since) <= silence {
		return false
	}
	rank := 0
	for _, peer := range Order(t.no, t.voters.All()) {
		if peer == t.p.me {
			break
		}
		if t.p.k.IsLive(peer) {
			rank++
		}
	}
	return t.p.r.Since(since) > silence+time.Duration(rank)*silence/2
}

// promise answers a member that stands.
func (t *Part) promise(ask *rpc.PromiseAsk) (*rpc.PromiseReceipt, error) {
	t.mu.Lock()
	if err := t.checkTerm(ask.Term, ask.From); err != nil {
		t.mu.Unlock()
		return nil, err
	}
	receipt := &rpc.PromiseReceipt{From: t.p.me, Promised: t.promised}
	isHeard := !ask.Invited && t.p.r.Since(t.heard) < t.p.r.Props.PactSilence*3/4 && !t.heard.IsZero()
	if receipt.Outside = t.isRemoved(ask); receipt.Outside {
		t.mu.Unlock()
		return receipt, nil
	}
	if t.isAheadOf(ask) {
		// The candidate has promised its own term already; only a higher one passes there.
		t.seen = max(t.seen, ask.Term.Round)
		t.mu.Unlock()
		t.p.once(t.no, func() { t.campaign(false) })
		return receipt, nil
	}
	isConfirmed := t.isOwner && !ask.Invited && t.p.r.Since(t.confirmed()) < t.p.r.Props.PactSilence*3/4
	if !t.promised.Less(ask.Term) || isHeard || isConfirmed {
		t.mu.Unlock()
		return receipt, nil
	}
	t.stepDown("a higher term stands")
	t.promised = ask.Term
	t.trace(Trace{Kind: TraceRaised, Term: ask.Term})
	t.matchIn, t.matched = ask.Term, 0
	t.since = t.p.r.Now()
	w := t.p.store.Begin()
	t.putPromise(w)
	t.p.store.Hand(w)
	receipt.Granted, receipt.Promised = true, ask.Term
	receipt.Last, receipt.LastTerm = t.last()
	receipt.Group, receipt.Former = t.voters.Current, t.voters.Former
	if ask.Commit < t.base.Index {
		snapshot := t.base
		receipt.Snapshot = &snapshot
	}
	if from := t.sharedWith(ask); from < receipt.Last {
		receipt.Entries = t.after(from)
	}
	t.mu.Unlock()
	if err := w.Wait(); err != nil {
		return nil, err
	}
	t.trace(Trace{Kind: TracePromised, Term: ask.Term})
	return receipt, nil
}

// isRemoved tells whether a candidate has no vote in a group that is known to be
// committed, and lacks what says so. Its promises would count for nothing, and its
// term would only end the work of an owner.
func (t *Part) isRemoved(ask *rpc.PromiseAsk) bool {
	last, lastTerm := t.last()
	isBehind := ask.LastTerm.Less(lastTerm) || ask.LastTerm == lastTerm && ask.Last <= last
	return isBehind && t.commit >= t.votersAt && !t.voters.Holds(ask.From)
}

// promiseBytes is how much of a log comes with a promise at most.
const promiseBytes = 64 << 10

// isAheadOf tells whether a candidate lacks so much of this member's log that it can't
// come with a promise: a snapshot, or many entries. So this member stands itself, if it
// can lead.
func (t *Part) isAheadOf(ask *rpc.PromiseAsk) bool {
	if !t.voters.Holds(t.p.me) || t.isOutside || t.p.IsGoing() {
		return false
	}
	last, lastTerm := t.last()
	if !ask.LastTerm.Less(lastTerm) && (ask.LastTerm != lastTerm || last <= ask.Last) {
		return false
	}
	if ask.Last < t.base.Index {
		return true
	}
	size := 0
	for _, e := range t.after(t.sharedWith(ask)) {
		size += len(e.Body)
	}
	return size > promiseBytes
}

// sharedWith is up to where a candidate surely has the entries of this log: all of its
// own if this log runs through its last one, else what it knows to be committed.
func (t *Part) sharedWith(ask *rpc.PromiseAsk) ids.Stamp {
	if term, isThere := t.at(ask.Last); isThere && term == ask.LastTerm {
		return ask.Last
	}
	return ask.Commit
}

// noteOutside has this member rest until an owner sends it entries again: it was
// told that it is no member any more. Its copy stays as it is.
func (t *Part) noteOutside(isOutside bool) {
	if isOutside && !t.isOutside {
		t.isOutside = true
		t.p.say(eventlog.MemberRemoved, "part", int(t.no), "last_members", t.voters.String())
	}
}

// mostRounds is how far a term may be above the one known here. Rounds rise by one
// with each election, so a term beyond that is damaged; taken over, it would leave
// no room for later ones.
const mostRounds = 1 << 32

// checkTerm refuses a term that no election can have come to.
func (t *Part) checkTerm(term ids.Term, from rpc.Peer) error {
	if term.Round > t.promised.Round && term.Round-t.promised.Round > mostRounds {
		err := errcode.New(errcode.BadMessage, "part %d: term %s is out of all order after %s", t.no, term, t.promised)
		t.p.say(eventlog.MessageRefused, "code", errcode.BadMessage.No, "part", int(t.no), "from", string(from.Name), "cause", err.Error())
		return err
	}
	return nil
}

// isInvitedBy tells whether an invitation comes from the owner that this member
// knows; one that is late must not end the work of the next owner.
func (t *Part) isInvitedBy(ask *rpc.InviteAsk) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.promised == ask.Term
}

// campaign tries to become the owner.
func (t *Part) campaign(isInvited bool) {
	t.mu.Lock()
	if t.isOwner || t.isOutside || !t.voters.Holds(t.p.me) || t.p.IsGoing() {
		t.mu.Unlock()
		return
	}
	round := max(t.promised.Round, t.seen) + 1
	term := ids.Term{Round: round, Node: t.p.me.Name}
	t.promised, t.matchIn, t.matched = term, term, 0
	t.trace(Trace{Kind: TraceRaised, Term: term})
	t.since = t.p.r.Now()
	w := t.p.store.Begin()
	t.putPromise(w)
	t.p.store.Hand(w)
	commit := t.commit
	mine := &rpc.PromiseReceipt{From: t.p.me, Granted: true, Group: t.voters.Current, Former: t.voters.Former}
	mine.Last, mine.LastTerm = t.last()
	t.mu.Unlock()
	if w.Wait() != nil {
		return
	}
	t.trace(Trace{Kind: TracePromised, Term: term})
	sent := t.p.r.Now()
	best, granted := t.gatherPromises(&rpc.PromiseAsk{Part: t.no, Term: term, From: t.p.me, Commit: commit, Last: mine.Last, LastTerm: mine.LastTerm, Invited: isInvited}, mine)
	if best == nil || !votersOf(best).Holds(t.p.me) {
		t.p.say(eventlog.StandFailed, "part", int(t.no), "term", term.String())
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.promised != term || t.p.r.IsOver() {
		return
	}
	w = t.p.store.Begin()
	if best != mine {
		if best.Snapshot != nil && best.Snapshot.Index > t.commit {
			if err := t.install(w, best.Snapshot); err != nil {
				return
			}
		}
		if last, _ := t.last(); last > best.Last {
			t.cut(w, max(best.Last, t.commit))
		}
		if err := t.adopt(w, best.Entries); err != nil {
			t.p.say(eventlog.StandFailed, "part", int(t.no), "cause", err.Error())
			if errcode.Is(err, errcode.Internal) {
				t.broken(err.Error(), "from", string(best.From.Name))
			}
			t.p.store.Hand(w)
			return
		}
	}
	last, _ := t.last()
	t.trace(Trace{Kind: TraceElected, Term: term, Index: last, Voters: t.voters, Granted: granted, TermAt: t.at})
	t.becomeOwner(w, sent, granted)
}

// gatherPromises asks for promises until a majority of the group that the most
// advanced log among them names has given one, and returns that log. The group
// that this member knows may be old: only the adopted log tells who has a vote.
func (t *Part) gatherPromises(ask *rpc.PromiseAsk, mine *rpc.PromiseReceipt) (*rpc.PromiseReceipt, []rpc.Peer) {
	ctx, end := context.WithTimeout(t.p.r, promiseTime)
	defer end()
	receipts := make(chan *rpc.PromiseReceipt)
	asked := map[rpc.Peer]bool{t.p.me: true}
	pending := 0
	askAll := func(group []rpc.Peer) {
		for _, peer := range group {
			if !asked[peer] {
				asked[peer] = true
				pending++
				t.p.r.Go(func() {
					receipt := t.askPromise(ctx, ask, peer)
					select {
					case receipts <- receipt:
					case <-ctx.Done():
					}
				})
			}
		}
	}
	best, granted := mine, []rpc.Peer{t.p.me}
	askAll(votersOf(best).All())
	for {
		if votersOf(best).IsDecidedBy(granted) {
			return best, granted
		}
		if pending == 0 {
			return nil, nil
		}
		select {
		case receipt := <-receipts:
			pending--
			if receipt == nil {
				continue
			}
			granted = append(granted, receipt.From)
			if best.LastTerm.Less(receipt.LastTerm) || best.LastTerm == receipt.LastTerm && best.Last < receipt.Last {
				best = receipt
				askAll(votersOf(best).All())
			}
		case <-ctx.Done():
			return nil, nil
		}
	}
}

// votersOf is the voters that the log behind a promise names.
func votersOf(receipt *rpc.PromiseReceipt) Voters {
	return Voters{Current: receipt.Group, Former: receipt.Former}
}

// askPromise asks one member; nil if it can't be asked or refuses.
func (t *Part) askPromise(ctx context.Context, ask *rpc.PromiseAsk, peer rpc.Peer) *rpc.PromiseReceipt {
	m, ok := t.p.k.View()[peer.Name]
	if !ok || m.Birth != peer.Birth {
		return nil
	}
	receipt := &rpc.PromiseReceipt{}
	if err := t.p.w.Ask(ctx, m.Wire, "pact.promise", ask, receipt); err != nil || receipt.From != peer {
		return nil
	}
	if !receipt.Granted {
		t.mu.Lock()
		t.noteOutside(receipt.Outside)
		t.seen = max(t.seen, receipt.Promised.Round)
		t.mu.Unlock()
		return nil
	}
	return receipt
}

// becomeOwner makes this member the owner; it serves when its first entry commits.
func (t *Part) becomeOwner(w *storage.Batch, sent time.Time, granted []rpc.Peer) {
	t.isOwner, t.isServing = true, false
	t.ctx, t.end = context.WithCancel(t.p.r)
	t.match, t.acks, t.replicating = map[rpc.Peer]ids.Stamp{}, map[rpc.Peer]time.Time{}, map[rpc.Peer]bool{}
	t.progress = map[rpc.Peer]time.Time{}
	for _, peer := range granted {
		t.acks[peer] = sent
	}
	last, _ := t.last()
	t.began = last + 1
	t.append(w, rpc.Entry{Kind: ownEntry})
	t.replicateToAll()
	t.p.kickAll()
}

// stepDown ends the ownership; whoever waits for a write is left unsure.
func (t *Part) stepDown(cause string) {
	if !t.isOwner {
		return
	}
	t.isOwner, t.isServing = false, false
	t.end()
	t.failWaiters(0)
	t.since = t.p.r.Now()
	t.p.say(eventlog.PartLost, "part", int(t.no), "term", t.promised.String(), "cause", cause)
	t.notify()
}

// broken is for what the rules on terms and majorities rule out: it is said, and
// the part is given up rather than written to.
func (t *Part) broken(what string, pairs ...any) {
	t.p.say(eventlog.PartBroken, append([]any{"part", int(t.no), "term", t.promised.String(), "cause", what}, pairs...)...)
	t.stepDown("copies contradict one another")
}

func (t *Part) yield(cause string) {
	t.mu.Lock()
	t.stepDown(cause)
	t.mu.Unlock()
}

// checkMajority gives up a part whose term no majority confirms any more.
func (t *Part) checkMajority() {
	t.mu.Lock()
	if t.isOwner && t.p.r.Since(t.confirmed()) > 2*t.p.r.Props.PactSilence {
		t.stepDown("no majority in reach")
	}
	t.mu.Unlock()
}

// handOver invites the next live member that has everything.
func (t *Part) handOver(ctx context.Context) {
	t.mu.Lock()
	if !t.isServing {
		t.mu.Unlock()
		return
	}
	last, _ := t.last()
	term := t.promised
	var next *rpc.Member
	for _, peer := range Order(t.no, t.voters.All()) {
		m, ok := t.p.k.Of(peer.Name)
		if peer != t.p.me && ok && m.Birth == peer.Birth && t.match[peer] == last {
			next = &m
			break
		}
	}
	t.stepDown("handed over")
	t.mu.Unlock()
	if next != nil {
		limited, end := context.WithTimeout(ctx, time.Second)
		defer end()
		t.p.w.Ask(limited, next.Wire, "pact.invite", &rpc.InviteAsk{Part: t.no, Term: term}, nil)
	}
}
