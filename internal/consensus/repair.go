// Repair: copies of a part are compared by digests over ranges of its state, at
// an equal stamp, and a range that differs is mended from the owner, whose copy
// a majority agrees with. Only committed state is compared, and nothing here
// counts as a vote. An owner whose own copy stands alone gives the part up.
package consensus

import (
	"context"
	"encoding/json"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

const (
	comparePause = 10 * time.Second
	compareTime  = 2 * time.Second
)

// Ranged is the state of a machine cut into named ranges.
type Ranged interface {
	Digests() map[string]string
	Range(name string) (json.RawMessage, error)
	Mend(name string, data json.RawMessage) error
}

func (p *Node) openRepair() {
	handle(p.w, "pact.compare", func(c *rpc.Call, ask *rpc.CompareAsk) (any, error) {
		t, err := p.part(ask.Part)
		if err != nil {
			return nil, err
		}
		return t.compare(ask), nil
	})
	handle(p.w, "pact.mend", func(c *rpc.Call, ask *rpc.MendAsk) (any, error) {
		t, err := p.part(ask.Part)
		if err != nil {
			return nil, err
		}
		return struct{}{}, t.mend(ask)
	})
}

// repair walks over the owned parts, one after another.
func (p *Node) repair() {
	for no := 0; p.r.Pause(comparePause / time.Duration(len(p.parts))); no++ {
		if t := p.parts[no%len(p.parts)]; t.IsServing() {
			t.compareAll()
		}
	}
}

// still runs a verb while the part stands still at a stamp; the zero stamp is
// whatever it stands at.
func (t *Part) still(stamp ids.Stamp, term ids.Term, verb func(stamp ids.Stamp)) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if stamp != 0 && t.applied != stamp || term.Less(t.promised) {
		return false
	}
	verb(t.applied)
	return true
}

func (t *Part) compareAll() {
	ranged, ok := t.machine.(Ranged)
	if !ok {
		return
	}
	term, _, _ := t.Serving()
	ask := &rpc.CompareAsk{Part: t.no, Term: term}
	t.still(0, term, func(stamp ids.Stamp) { ask.Stamp, ask.Digests = stamp, ranged.Digests() })
	t.mu.Lock()
	group := t.voters.Current
	t.mu.Unlock()
	t.p.kickHeartbeats(group)
	agree, against := 1, []rpc.Member{}
	differ := map[ids.Name][]string{}
	for _, peer := range group {
		m, ok := t.p.k.Of(peer.Name)
		if peer == t.p.me || !ok || m.Birth != peer.Birth {
			continue
		}
		var receipt rpc.CompareReceipt
		for range 3 {
			ctx, end := context.WithTimeout(t.p.r, compareTime)
			err := t.p.w.Ask(ctx, m.Wire, "pact.compare", ask, &receipt)
			end()
			if err != nil || receipt.IsThere || !t.p.r.Pause(t.p.r.Props.PactRound) {
				break
			}
		}
		switch {
		case receipt.From != peer || !receipt.IsThere:
		case len(receipt.Differ) == 0:
			agree++
		default:
			against = append(against, m)
			differ[m.Name] = receipt.Differ
		}
	}
	if len(against) == 0 {
		return
	}
	if agree <= len(group)/2 {
		if agree == 1 && len(against) > len(group)/2 {
			t.yield("its copy differs from the others")
		}
		return
	}
	for _, m := range against {
		t.mendOne(ranged, term, m, differ[m.Name])
	}
}

func (t *Part) mendOne(ranged Ranged, term ids.Term, m rpc.Member, names []string) {
	ask := &rpc.MendAsk{Part: t.no, Term: term, Ranges: map[string]json.RawMessage{}}
	t.still(0, term, func(stamp ids.Stamp) {
		ask.Stamp = stamp
		for _, name := range names {
			if data, err := ranged.Range(name); err == nil {
				ask.Ranges[name] = data
			}
		}
	})
	ctx, end := context.WithTimeout(t.p.r, compareTime)
	defer end()
	t.p.w.Ask(ctx, m.Wire, "pact.mend", ask, nil)
}

func (t *Part) compare(ask *rpc.CompareAsk) *rpc.CompareReceipt {
	receipt := &rpc.CompareReceipt{From: t.p.me}
	ranged, ok := t.machine.(Ranged)
	if !ok {
		return receipt
	}
	receipt.IsThere = t.still(ask.Stamp, ask.Term, func(ids.Stamp) {
		mine := ranged.Digests()
		for name, digest := range ask.Digests {
			if mine[name] != digest {
				receipt.Differ = append(receipt.Differ, name)
			}
			delete(mine, name)
		}
		for name := range mine {
			receipt.Differ = append(receipt.Differ, name)
		}
	})
	return receipt
}

// mend takes ranges over, if the part still stands at their stamp, and keeps
// the mended whole as a snapshot, so that a restart does not bring the fault
// back.
func (t *Part) mend(ask *rpc.MendAsk) error {
	ranged, ok := t.machine.(Ranged)
	if !ok {
		return nil
	}
	var err error
	t.still(ask.Stamp, ask.Term, func(ids.Stamp) {
		for name, data := range ask.Ranges {
			if err = ranged.Mend(name, data); err != nil {
				return
			}
		}
		t.takeSnapshot()
		t.p.say(eventlog.PartMended, "part", int(t.no), "stamp", uint64(ask.Stamp), "ranges", len(ask.Ranges))
	})
	return err
}
