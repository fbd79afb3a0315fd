// The Roll holds what servers report, in memory, at the owner of the service's
// part. Drains and sign-offs are committed in the part before the beat is
// answered; all else is only what was heard.
package controlplane

import (
	"context"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/consensus"
	"github.com/sumactrestle/sumactrestle/internal/coordination"
	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

const (
	Serving  = "serving"
	Draining = "draining"
	Leaving  = "leaving"
	Silent   = "silent"

	markKept = 60 * time.Second
)

type heard struct {
	beat  rpc.Beat
	cold  int64
	first time.Time
	at    time.Time
	isIn  bool
}

// Roll is one core node's, over all parts.
type Roll struct {
	r      *environment.Realm
	p      *consensus.Node
	books  []*coordination.Book
	ledger *Ledger

	// Stirred is told when a list says something else; set before the first beat.
	Stirred    func()
	isStirring atomic.Bool

	mu    sync.Mutex
	beats map[ids.Part]map[string]map[string]*heard
	terms map[ids.Part]ids.Term
	told  map[ids.Part]told
}

// told is what the last news of a part said, ages aside, and its digest.
type told struct {
	lists  map[string][]rpc.Listed
	digest string
}

func NewRoll(r *environment.Realm, p *consensus.Node, books []*coordination.Book, ledger *Ledger) *Roll {
	return &Roll{r: r, p: p, books: books, ledger: ledger, beats: map[ids.Part]map[string]map[string]*heard{}, terms: map[ids.Part]ids.Term{}, told: map[ids.Part]told{}}
}

// CheckBeat names what is wrong with a beat.
func CheckBeat(b *rpc.Beat) error {
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
	if b.Slots < 0 {
		paths = append(paths, "slots: is below zero")
	}
	if b.Cold < 0 {
		paths = append(paths, "cold: is below zero")
	}
	if b.State != Serving && b.State != Draining && b.State != Leaving {
		paths = append(paths, "state: is none of serving, draining, leaving")
	}
	if len(paths) > 0 {
		return errcode.At(errcode.BadBeat, paths)
	}
	return nil
}

// Take folds one beat into the part owned here.
func (l *Roll) Take(ctx context.Context, b *rpc.Beat) error {
	if err := CheckBeat(b); err != nil {
		l.r.Sign.Say(eventlog.BeatRefused, "service", b.Service, "instance", b.Instance, "cause", err.Error())
		return err
	}
	no := ids.PartOf(b.Service)
	part := l.p.Part(no)
	term, _, isServing := part.Serving()
	if !isServing {
		return errcode.New(errcode.NotOwner, "part %d", no)
	}
	if sheet := l.ledger.Sheet(); !l.r.Props.PlanStrangers && sheet.Epoch > 0 && !sheet.Has(b.Service) {
		l.r.Sign.Say(eventlog.BeatRefused, "service", b.Service, "instance", b.Instance, "cause", "no such service")
		return errcode.New(errcode.UnknownService, "%q", b.Service)
	}
	name := b.Service + "/" + b.Instance
	marked, isMarked := l.books[no].Get(coordination.Mark, name)
	l.mu.Lock()
	l.renew(no, term)
	if l.beats[no] == nil {
		l.beats[no] = map[string]map[string]*heard{}
	}
	instances := l.beats[no][b.Service]
	if instances == nil {
		instances = map[string]*heard{}
		l.beats[no][b.Service] = instances
	}
	h := instances[b.Instance]
	isOld := h != nil && b.Seq < h.beat.Seq || isMarked && b.Seq < marked.Seq
	if isOld && b.State == Serving {
		l.mu.Unlock()
		return nil
	}
	isNew := h == nil || l.r.Since(h.at) >= l.r.Props.PlanSilence || !isOld && isOther(&h.beat, b)
	if h == nil {
		h = &heard{first: l.r.Now(), cold: b.Cold}
		instances[b.Instance] = h
	}
	h.at = l.r.Now()
	if !isOld {
		h.beat = *b
	}
	l.mu.Unlock()
	var op *rpc.BondOp
	switch {
	case b.State == Serving && isMarked && marked.Holder == Draining && b.Seq > marked.Seq:
		op = &rpc.BondOp{Op: "unmark", Name: name, Seq: b.Seq}
	case b.State != Serving && (!isMarked || marked.Holder != b.State && marked.Holder != Leaving):
		op = &rpc.BondOp{Op: "mark", Name: name, Holder: b.State, Seq: b.Seq}
	}
	if op != nil {
		if err := l.propose(ctx, part, op); err != nil {
			return err
		}
	}
	if op != nil || isNew {
		l.stir()
	}
	if op != nil && op.Op == "mark" {
		// The proxies hear of it before whoever goes may count on it.
		linger(ctx, l.r)
	}
	return nil
}

// isOther tells whether a beat says of its server what the last did not.
func isOther(last, b *rpc.Beat) bool {
	return last.State != b.State || last.Address != b.Address || last.Zone != b.Zone || last.Weight != b.Weight || last.Slots != b.Slots
}

// stir has the change told by a task of its own; many at once are told as one.
func (l *Roll) stir() {
	if l.Stirred != nil && l.isStirring.CompareAndSwap(false, true) {
		l.r.Go(func() {
			l.isStirring.Store(false)
			l.Stirred()
		})
	}
}

func (l *Roll) propose(ctx context.Context, part *consensus.Part, op *rpc.BondOp) error {
	_, _, err := part.Propose(ctx, op)
	return err
}

// linger lets a moment pass between what is in force and the word that it is.
func linger(ctx context.Context, r *environment.Realm) {
	if r.Props.PlanHold == 0 {
		return
	}
	wakeup := time.NewTimer(r.Props.PlanHold)
	defer wakeup.Stop()
	select {
	case <-wakeup.C:
	case <-ctx.Done():
	case <-r.Done():
	}
}

// renew forgets what was heard under another term.
func (l *Roll) renew(no ids.Part, term ids.Term) {
	if l.terms[no] == term {
		return
	}
	l.terms[no] = term
	delete(l.beats, no)
}

// Whose is the service of an instance, by the beats heard here, the marks kept
// here, or the epoch in force; empty if none names it.
func (l *Roll) Whose(instance string) string {
	if service := l.heardAs(instance); service != "" {
		return service
	}
	for _, book := range l.books {
		marks, _ := book.All(coordination.Mark, "")
		for _, m := range marks {
			if service, name, _ := strings.Cut(m.Name, "/"); name == instance {
				return service
			}
		}
	}
	sheet := l.ledger.Sheet()
	for name := range sheet.Groups {
		service, isTargets := strings.CutPrefix(name, Targets)
		if !isTargets {
			continue
		}
		for _, t := range sheet.Targets(service) {
			if t.Instance == instance {
				return service
			}
		}
	}
	return ""
}

func (l *Roll) heardAs(instance string) (name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var last time.Time
	for _, services := range l.beats {
		for service, instances := range services {
			if h := instances[instance]; h != nil && (name == "" || h.at.After(last)) {
				name, last = service, h.at
			}
		}
	}
	return name
}

// Rows is what the shell shows of the targets heard here.
func (l *Roll) Rows() (rows [][]any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, services := range l.beats {
		for service, instances := range services {
			for instance, h := range instances {
				state := "out"
				if h.isIn {
					state = "in"
				}
				rows = append(rows, []any{service, instance, h.beat.Address, h.beat.Zone, h.beat.Weight, state + " (" + h.beat.State + ")", l.r.Since(h.at).Round(time.Millisecond)})
			}
		}
	}
	return rows
}
