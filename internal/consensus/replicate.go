// Writing: the owner appends an entry, hands it to its own disk as one vote
// among the others, and feeds it to each member by a task of its own. A member
// takes entries only when they follow what it has, and answers once synced.
package consensus

import (
	"context"
	"encoding/json"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
	"github.com/sumactrestle/sumactrestle/internal/storage"
)

const (
	feedTime  = 3 * time.Second
	feedMost  = 256
	feedBytes = 64 << 10
	// A message that is large all the same, for one entry is, has longer to arrive.
	slowestLink = 64 << 10 // bytes a second
)

// append adds an entry of the owner's own term.
func (t *Part) append(w *storage.Batch, e rpc.Entry) ids.Stamp {
	last, _ := t.last()
	e.Index, e.Term = last+1, t.promised
	t.entries = append(t.entries, e)
	t.putEntries(w, []rpc.Entry{e})
	if e.Kind == groupEntry {
		t.refreshVoters()
	}
	t.p.store.Hand(w)
	term := t.promised
	t.p.r.Go(func() {
		if w.Wait() != nil {
			return
		}
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.isOwner && t.promised == term && t.match[t.p.me] < e.Index {
			t.match[t.p.me] = e.Index
			t.count()
		}
	})
	t.notify()
	return e.Index
}

// Propose writes an entry and waits until it is committed and folded. Without
// ownership nothing is written; once written, only the receipt is certain.
func (t *Part) Propose(ctx context.Context, body any) (ids.Stamp, any, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return 0, nil, errcode.New(errcode.Internal, "%v", err)
	}
	return t.propose(ctx, rpc.Entry{Body: raw})
}

// Barrier returns once everything that is in the log now is committed.
func (t *Part) Barrier(ctx context.Context) error {
	_, _, err := t.propose(ctx, rpc.Entry{Kind: ownEntry})
	return err
}

func (t *Part) propose(ctx context.Context, e rpc.Entry) (ids.Stamp, any, error) {
	t.mu.Lock()
	if !t.isServing {
		t.mu.Unlock()
		return 0, nil, errcode.New(errcode.NotOwner, "part %d", t.no)
	}
	if e.Kind == groupEntry && (t.commit < t.votersAt || !t.voters.mayBecome(Voters{Current: e.Group, Former: e.Former})) {
		t.mu.Unlock()
		return 0, nil, errcode.New(errcode.NotOwner, "part %d: the members have changed meanwhile", t.no)
	}
	w := t.p.store.Begin()
	wait := waiter{term: t.promised, done: make(chan any, 1)}
	last, _ := t.last()
	t.waiters[last+1] = wait
	index := t.append(w, e)
	t.mu.Unlock()
	select {
	case receipt, ok := <-wait.done:
		if !ok {
			return index, nil, errcode.New(errcode.Unsure, "part %d changed its owner", t.no)
		}
		return index, receipt, nil
	case <-ctx.Done():
		return index, nil, errcode.New(errcode.Unsure, "part %d: %v", t.no, ctx.Err())
	case <-t.p.r.Done():
		return index, nil, errcode.New(errcode.Unsure, "part %d: stopping", t.no)
	}
}

func (t *Part) replicateToAll() {
	for _, peer := range t.voters.All() {
		t.startReplicating(peer)
	}
}

func (t *Part) startReplicating(peer rpc.Peer) {
	if peer == t.p.me || t.replicating[peer] {
		return
	}
	t.replicating[peer] = true
	ctx, term := t.ctx, t.promised
	t.p.r.Go(func() { t.replicate(ctx, term, peer) })
}

// replicate keeps one member up to date while the term lasts.
func (t *Part) replicate(ctx context.Context, term ids.Term, peer rpc.Peer) {
	t.mu.Lock()
	next, _ := t.last()
	t.mu.Unlock()
	isKnown := false
	told := ids.Stamp(0)
	pause := func(d time.Duration) {
		wakeup := time.NewTimer(d)
		defer wakeup.Stop()
		select {
		case <-ctx.Done():
		case <-wakeup.C:
		}
	}
	for ctx.Err() == nil {
		t.mu.Lock()
		if !t.isOwner || t.promised != term || !t.replicating[peer] {
			t.mu.Unlock()
			return
		}
		last, _ := t.last()
		isTold := t.no != ids.Config || told >= t.commit
		if isKnown && next > last && isTold {
			change := t.change
			t.mu.Unlock()
			select {
			case <-change:
			case <-ctx.Done():
			}
			continue
		}
		ask := &rpc.AppendAsk{Part: t.no, Term: term, From: t.p.me, Commit: t.commit}
		prevTerm, entries, isThere := t.entriesFrom(next)
		if !isThere {
			t.mu.Unlock()
			match, err := t.sendSnapshot(ctx, term, peer)
			if err != nil {
				pause(100 * time.Millisecond)
				continue
			}
			next = match + 1
			continue
		}
		ask.Prev, ask.PrevTerm = next-1, prevTerm
		size := 0
		for _, e := range entries {
			if len(ask.Entries) >= feedMost || size > feedBytes {
				break
			}
			ask.Entries = append(ask.Entries, e)
			size += len(e.Body)
		}
		t.mu.Unlock()
		m, ok := t.p.k.View()[peer.Name]
		if !ok || m.Birth != peer.Birth {
			pause(200 * time.Millisecond)
			continue
		}
		limited, end := context.WithTimeout(ctx, feedTime+time.Duration(size)*time.Second/slowestLink)
		var receipt rpc.AppendReceipt
		err := t.p.w.Ask(limited, m.Wire, "pact.append", ask, &receipt)
		end()
		if err != nil || receipt.From != peer {
			pause(100 * time.Millisecond)
			continue
		}
		t.mu.Lock()
		last, _ = t.last()
		switch {
		case t.isOwner && t.promised == term && receipt.Promised == term && receipt.Match > last:
			t.broken("a member has what its owner lacks", "member", string(peer.Name), "match", uint64(receipt.Match), "last", uint64(last))
		case receipt.Ok:
			isKnown, told, next = true, ask.Commit, receipt.Match+1
			if t.isOwner && t.promised == term && t.match[peer] < receipt.Match {
				t.match[peer], t.progress[peer] = receipt.Match, t.p.r.Now()
				t.count()
				t.notify()
			}
		case term.Less(receipt.Promised):
			t.seen = max(t.seen, receipt.Promised.Round)
			if t.promised == term {
				t.stepDown("a member promised a higher term")
			}
		default:
			next = receipt.Match + 1
		}
		t.mu.Unlock()
	}
}

// contains tells whether the log already runs through a snapshot's entry. A
// snapshot that comes late must not cut away what was synced since.
func (t *Part) contains(s *rpc.Snapshot) bool {
	term, ok := t.at(s.Index)
	return ok && term == s.Term
}

// follow takes an owner's term for the one in force.
func (t *Part) follow(w *storage.Batch, term ids.Term) {
	if t.promised.Less(term) {
		t.stepDown("a higher term owns")
		t.promised = term
		t.trace(Trace{Kind: TraceRaised, Term: term})
		t.putPromise(w)
	}
	if t.matchIn != term {
		t.matchIn, t.matched = term, 0
	}
	t.heard, t.isOutside = t.p.r.Now(), false
}

// accept is a member's answer to what it is fed.
func (t *Part) accept(ask *rpc.AppendAsk) (*rpc.AppendReceipt, error) {
	t.mu.Lock()
	receipt := &rpc.AppendReceipt{From: t.p.me, Promised: t.promised}
	if err := t.checkTerm(ask.Term, ask.From); err != nil {
		t.mu.Unlock()
		return nil, err
	}
	if ask.Term.Less(t.promised) {
		t.mu.Unlock()
		return receipt, nil
	}
	w := t.p.store.Begin()
	t.follow(w, ask.Term)
	receipt.Promised = ask.Term
	last, _ := t.last()
	prevTerm, ok := t.at(ask.Prev)
	isBelow := ask.Prev < t.base.Index
	if !isBelow && (!ok || prevTerm != ask.PrevTerm) {
		t.p.store.Hand(w)
		receipt.Match = min(t.commit, last)
		t.mu.Unlock()
		return receipt, w.Wait()
	}
	if err := t.adopt(w, ask.Entries); err != nil {
		t.p.store.Hand(w)
		if errcode.Is(err, errcode.Internal) {
			t.broken(err.Error(), "from", string(ask.From.Name))
		} else {
			t.p.say(eventlog.MessageRefused, "kind", "pact.append", "part", int(t.no), "from", string(ask.From.Name), "cause", err.Error())
		}
		t.mu.Unlock()
		return nil, err
	}
	t.p.store.Hand(w)
	receipt.Ok, receipt.Match = true, max(ask.Prev+ids.Stamp(len(ask.Entries)), t.base.Index)
	t.matched = max(t.matched, receipt.Match)
	t.advance(min(ask.Commit, t.matched))
	t.mu.Unlock()
	t.p.noteOwner(t.no, ask.From.Name, ask.Term)
	return receipt, w.Wait()
}
