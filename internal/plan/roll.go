// The Roll holds what servers report, in memory, at the owner of the service's
// part. Drains and sign-offs are committed in the part before the beat is
// answered; all else is only what was heard, and a new owner counts a server
// only after it has heard from it.
package plan

import (
	"context"
	"encoding/json"
	"net/netip"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/bond"
	"github.com/sumactrestle/sumactrestle/internal/fault"
	"github.com/sumactrestle/sumactrestle/internal/mark"
	"github.com/sumactrestle/sumactrestle/internal/pact"
	"github.com/sumactrestle/sumactrestle/internal/realm"
	"github.com/sumactrestle/sumactrestle/internal/sign"
	"github.com/sumactrestle/sumactrestle/internal/wire"
)

const (
	Serving  = "serving"
	Draining = "draining"
	Leaving  = "leaving"

	settle   = 450 * time.Millisecond
	markKept = 60 * time.Second
)

type heard struct {
	beat  wire.Beat
	first time.Time
	at    time.Time
	isIn  bool
}

// Roll is one core node's, over all parts.
type Roll struct {
	r      *realm.Realm
	p      *pact.Pact
	books  []*bond.Book
	ledger *Ledger

	mu    sync.Mutex
	beats map[string]map[string]*heard
	terms map[mark.Part]mark.Term
}

func NewRoll(r *realm.Realm, p *pact.Pact, books []*bond.Book, ledger *Ledger) *Roll {
	return &Roll{r: r, p: p, books: books, ledger: ledger, beats: map[string]map[string]*heard{}, terms: map[mark.Part]mark.Term{}}
}

// CheckBeat names what is wrong with a beat.
func CheckBeat(b *wire.Beat) error {
	var paths []string
	if b.Service == "" || strings.ContainsAny(b.Service, "/ ") || len(b.Service) > 128 {
		paths = append(paths, "service: is empty, too long, or holds a slash or a space")
	}
	if b.Instance == "" || strings.ContainsAny(b.Instance, "/ ") || len(b.Instance) > 128 {
		paths = append(paths, "instance: is empty, too long, or holds a slash or a space")
	}
	if _, err := netip.ParseAddrPort(b.Address); err != nil {
		paths = append(paths, "address: is not an IP number with a port")
	}
	if b.Weight < 0 || b.Weight > 1_000_000 {
		paths = append(paths, "weight: is outside 0 to 1000000")
	}
	if b.State != Serving && b.State != Draining && b.State != Leaving {
		paths = append(paths, "state: is none of serving, draining, leaving")
	}
	if len(paths) > 0 {
		return fault.At(fault.BadBeat, paths)
	}
	return nil
}

// Take folds one beat into the part owned here.
func (l *Roll) Take(ctx context.Context, b *wire.Beat) error {
	if err := CheckBeat(b); err != nil {
		l.r.Sign.Say(sign.BeatRefused, "service", b.Service, "instance", b.Instance, "cause", err.Error())
		return err
	}
	no := mark.PartOf(b.Service)
	part := l.p.Part(no)
	term, _, isServing := part.Serving()
	if !isServing {
		return fault.New(fault.NotOwner, "part %d", no)
	}
	if sheet := l.ledger.Sheet(); sheet.Epoch > 0 && !sheet.Has(b.Service) {
		l.r.Sign.Say(sign.BeatRefused, "service", b.Service, "instance", b.Instance, "cause", "no such service")
		return fault.New(fault.UnknownService, "%q", b.Service)
	}
	name := b.Service + "/" + b.Instance
	marked, isMarked := l.books[no].Get(bond.Mark, name)
	l.mu.Lock()
	l.renew(no, term)
	instances := l.beats[b.Service]
	if instances == nil {
		instances = map[string]*heard{}
		l.beats[b.Service] = instances
	}
	h := instances[b.Instance]
	isOld := h != nil && b.Seq < h.beat.Seq || isMarked && b.Seq < marked.Seq
	if isOld && b.State == Serving {
		l.mu.Unlock()
		return nil
	}
	if h == nil {
		h = &heard{first: l.r.Now()}
		instances[b.Instance] = h
	}
	h.at = l.r.Now()
	if !isOld {
		h.beat = *b
	}
	l.mu.Unlock()
	switch {
	case b.State == Serving && isMarked && marked.Holder == Draining && b.Seq > marked.Seq:
		return l.propose(ctx, part, &wire.BondOp{Op: "unmark", Name: name, Seq: b.Seq})
	case b.State != Serving && (!isMarked || marked.Holder != b.State && marked.Holder != Leaving):
		return l.propose(ctx, part, &wire.BondOp{Op: "mark", Name: name, Holder: b.State, Seq: b.Seq})
	}
	return nil
}

func (l *Roll) propose(ctx context.Context, part *pact.Part, op *wire.BondOp) error {
	_, _, err := part.Propose(ctx, op)
	return err
}

// renew forgets what was heard under another term.
func (l *Roll) renew(no mark.Part, term mark.Term) {
	if l.terms[no] == term {
		return
	}
	l.terms[no] = term
	for service := range l.beats {
		if mark.PartOf(service) == no {
			delete(l.beats, service)
		}
	}
}

// News is the lists of all parts owned here, each with an age that proves that
// everything known at that time is in the list.
func (l *Roll) News(ctx context.Context, ask *wire.NewsAsk) *wire.NewsReceipt {
	began := l.r.Now()
	receipt := &wire.NewsReceipt{}
	for no := range l.books {
		part := l.p.Part(mark.Part(no))
		term, since, isServing := part.Serving()
		if !isServing || l.r.Since(since) < settle || part.Confirm(ctx, began) != nil {
			continue
		}
		lists := l.lists(mark.Part(no), term)
		digest := digestOf(lists)
		news := wire.PartNews{Part: mark.Part(no), Term: term, Digest: digest, Age: l.r.Since(began).Microseconds() + 1}
		if ask.Known[mark.Part(no)] != digest {
			news.Lists = lists
		}
		receipt.Parts = append(receipt.Parts, news)
	}
	return receipt
}

func (l *Roll) lists(no mark.Part, term mark.Term) map[string][]wire.Listed {
	marks, _ := l.books[no].All(bond.Mark, "")
	marked := map[string]wire.BondRecord{}
	for _, m := range marks {
		marked[m.Name] = m
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.renew(no, term)
	lists := map[string][]wire.Listed{}
	for service, instances := range l.beats {
		if mark.PartOf(service) != no {
			continue
		}
		for instance, h := range instances {
			out := ""
			m, isMarked := marked[service+"/"+instance]
			silence := l.r.Since(h.at)
			switch {
			case isMarked:
				out = m.Holder
			case h.beat.State != Serving:
				out = h.beat.State
			case silence >= l.r.Props.PlanSilence:
				out = "silent"
			}
			if isIn := out == ""; isIn != h.isIn {
				h.isIn = isIn
				event := sign.TargetOut
				if isIn {
					event = sign.TargetIn
				}
				l.r.Sign.Say(event, "service", service, "instance", instance, "address", h.beat.Address, "why", out)
			}
			if silence > markKept {
				if isMarked {
					l.r.Go(func() {
						limited, end := context.WithTimeout(l.r, time.Second)
						defer end()
						l.propose(limited, l.p.Part(no), &wire.BondOp{Op: "unmark", Name: service + "/" + instance, Seq: m.Seq})
					})
				}
				delete(instances, instance)
				continue
			}
			lists[service] = append(lists[service], wire.Listed{Instance: instance, Address: h.beat.Address, Zone: h.beat.Zone, Weight: h.beat.Weight, Since: l.r.Since(h.first).Microseconds(), Out: out})
		}
		if len(instances) == 0 {
			delete(l.beats, service)
		}
		sort.Slice(lists[service], func(i, j int) bool { return lists[service][i].Instance < lists[service][j].Instance })
	}
	return lists
}

// digestOf leaves out the ages, which change all the time.
func digestOf(lists map[string][]wire.Listed) string {
	bare := make(map[string][]wire.Listed, len(lists))
	for service, list := range lists {
		list = append([]wire.Listed(nil), list...)
		for i := range list {
			list[i].Since = 0
		}
		bare[service] = list
	}
	raw, _ := json.Marshal(bare)
	return Digest(raw)
}

// Rows is what the shell shows of the targets heard here.
func (l *Roll) Rows() (rows [][]any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for service, instances := range l.beats {
		for instance, h := range instances {
			state := "out"
			if h.isIn {
				state = "in"
			}
			rows = append(rows, []any{service, instance, h.beat.Address, h.beat.Zone, h.beat.Weight, state + " (" + h.beat.State + ")", l.r.Since(h.at).Round(time.Millisecond)})
		}
	}
	return rows
}
