// The Planner works at the owner of the configuration part. It collects the
// parts' news, makes whole epochs of them and of accepted change sets, and
// knows of each part as of when the epoch in force reflects it: only once all
// that the part held at that time is in a committed epoch.
package controlplane

import (
	"bytes"
	"context"
	"encoding/json"
	"sort"
	"sync"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/consensus"
	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/membership"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

type news struct {
	rpc.PartNews
	asOf time.Time
	got  time.Time
}

// Planner is one core node's.
type Planner struct {
	r      *environment.Realm
	w      *rpc.Wire
	k      *membership.Kin
	part   *consensus.Part
	ledger *Ledger
	kick   chan struct{}

	planning environment.Turn
	mu       sync.Mutex
	term     ids.Term
	news     map[ids.Part]*news
	elders   map[ids.Part]map[string]bool
	reflects map[ids.Part]time.Time
	settled  *Sheet
	clashes  map[clash]bool
	zero     time.Time

	isAwaited bool // a target waits for the epoch after the one planned last
}

func NewPlanner(r *environment.Realm, w *rpc.Wire, k *membership.Kin, p *consensus.Node, ledger *Ledger) *Planner {
	l := &Planner{r: r, w: w, k: k, part: p.Part(ids.Config), ledger: ledger, kick: make(chan struct{}, 1), clashes: map[clash]bool{}, zero: r.Now(), planning: environment.NewTurn()}
	l.reset(ids.Term{})
	return l
}

func (l *Planner) reset(term ids.Term) {
	l.term = term
	l.news, l.reflects = map[ids.Part]*news{}, map[ids.Part]time.Time{}
	l.elders, l.settled = map[ids.Part]map[string]bool{}, nil
}

// Open starts the planner's task.
func (l *Planner) Open() {
	l.r.Go(func() {
		wakeup := time.NewTimer(1)
		defer wakeup.Stop()
		for {
			select {
			case <-l.r.Done():
				return
			case <-l.kick:
			case <-wakeup.C:
			}
			// What is stirred up together is planned together.
			if !l.r.Pause(l.r.Props.PlanGather) {
				return
			}
			select {
			case <-l.kick:
			default:
			}
			wakeup.Reset(l.r.Props.PlanPoll)
			if term, _, isServing := l.part.Serving(); isServing {
				l.collect(term)
				l.plan(l.r, nil, nil)
			}
		}
	})
}

// Kick has the news collected at once.
func (l *Planner) Kick() {
	select {
	case l.kick <- struct{}{}:
	default:
	}
}

// collect asks every live core node for the news of the parts it owns.
func (l *Planner) collect(term ids.Term) {
	l.mu.Lock()
	if l.term != term {
		l.reset(term)
	}
	known := map[ids.Part]string{}
	for no, n := range l.news {
		known[no] = n.Digest
	}
	l.mu.Unlock()
	ctx, end := context.WithTimeout(l.r, 400*time.Millisecond)
	defer end()
	var all sync.WaitGroup
	for _, m := range l.k.Cores() {
		all.Add(1)
		l.r.Go(func() {
			defer all.Done()
			sent := l.r.Now()
			var receipt rpc.NewsReceipt
			if l.w.Ask(ctx, m.Wire, "plan.news", &rpc.NewsAsk{Known: known}, &receipt) == nil {
				l.fold(term, sent, &receipt)
			}
		})
	}
	all.Wait()
}

func (l *Planner) fold(term ids.Term, sent time.Time, receipt *rpc.NewsReceipt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term != term {
		return
	}
	for _, p := range receipt.Parts {
		old := l.news[p.Part]
		if old != nil && p.Term.Less(old.Term) {
			continue
		}
		if p.Lists == nil && (old == nil || old.Digest != p.Digest) {
			continue
		}
		asOf := sent.Add(-time.Duration(p.Age) * time.Microsecond)
		if old != nil && old.Term == p.Term && asOf.Before(old.asOf) {
			continue
		}
		if old == nil || old.Term != p.Term {
			l.elders[p.Part] = nil
			if p.Young {
				l.elders[p.Part] = elders(l.ledger.Sheet(), p.Part)
			}
		}
		if p.Lists != nil || old.Young != p.Young {
			l.settled = nil
		}
		if p.Lists == nil {
			p.Lists = old.Lists
		} else {
			date(&p, sent.Sub(l.zero).Microseconds(), l.elders[p.Part])
		}
		l.news[p.Part] = &news{PartNews: p, asOf: asOf, got: sent}
	}
}

// plan commits an epoch if what it should say differs from the one in force.
func (l *Planner) plan(ctx context.Context, change *rpc.ChangeReceipt, config *rpc.Config) error {
	if change == nil {
		l.planning.Lock()
		defer l.planning.Unlock()
	}
	term, _, isServing := l.part.Serving()
	if !isServing {
		return errcode.New(errcode.NotOwner, "configuration part")
	}
	sheet := l.ledger.Sheet()
	l.mu.Lock()
	if l.term != term {
		l.reset(term)
	}
	asOf := map[ids.Part]time.Time{}
	for no, n := range l.news {
		asOf[no] = n.asOf
	}
	shares := l.shares()
	planned := &rpc.Planned{Epoch: sheet.Epoch + 1, Change: change, Put: map[string]json.RawMessage{}}
	if change != nil || l.settled != sheet || !bytes.Equal(sheet.Groups[Shares].Data, shares) {
		differ(planned, sheet, l.want(sheet, config, shares))
		if len(planned.Put)+len(planned.Drop) == 0 {
			l.settled = sheet
		}
	}
	l.mu.Unlock()
	if change != nil {
		change.Epoch, planned.Memory = planned.Epoch, l.r.Props.PlanMemory
	}
	if len(planned.Put)+len(planned.Drop) > 0 || change != nil {
		_, taken, err := l.part.Propose(ctx, planned)
		if err != nil {
			return err
		}
		if taken != true {
			return errcode.New(errcode.NotOwner, "epoch %d was planned by another", planned.Epoch)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isAwaited && len(planned.Put) > 0 {
		l.Kick()
	}
	if l.term == term {
		for no, at := range asOf {
			if l.reflects[no].Before(at) {
				l.reflects[no] = at
			}
		}
	}
	return nil
}

// differ puts into an epoch what is wanted and isn't in the one in force.
func differ(planned *rpc.Planned, sheet *Sheet, want map[string]json.RawMessage) {
	for name, data := range want {
		if old, ok := sheet.Groups[name]; !ok || !bytes.Equal(old.Data, data) {
			planned.Put[name] = data
		}
	}
	for name := range sheet.Groups {
		if _, ok := want[name]; !ok {
			planned.Drop = append(planned.Drop, name)
		}
	}
	sort.Strings(planned.Drop)
}

// shares is the strength of every proxy that is there.
func (l *Planner) shares() json.RawMessage {
	shares := map[ids.Name]int{}
	for name, m := range l.k.View() {
		// One that went is kept for a while: most come back at once, and a share that
		// is too small does no harm, where an epoch for each coming and going does.
		if m.Gate != "" && (m.State == membership.Alive || m.State == membership.Suspect || time.Since(m.Since) < l.r.Props.PlanLinger) {
			shares[name] = m.Strength
		}
	}
	if l.r.Since(l.zero) < l.r.Props.PlanLinger {
		// Whoever has just started does not know yet who is there.
		var before map[ids.Name]int
		json.Unmarshal(l.ledger.Sheet().Groups[Shares].Data, &before)
		for name, strength := range before {
			if _, isKnown := l.k.View()[name]; !isKnown {
				shares[name] = strength
			}
		}
	}
	raw, _ := json.Marshal(shares)
	return raw
}

// want is what every group of the next epoch should hold. Without a change set
// the operators' groups are taken over as they are.
func (l *Planner) want(sheet *Sheet, config *rpc.Config, shares json.RawMessage) map[string]json.RawMessage {
	want := map[string]json.RawMessage{}
	var services []rpc.Service
	if config == nil {
		for name, group := range sheet.Groups {
			if isOperators(name) {
				want[name] = group.Data
			}
		}
		json.Unmarshal(want[Services], &services)
	} else {
		services = config.Services
		want = groupsOf(*config)
	}
	want[Shares] = shares
	targets, clashes, isAwaited := settle(sheet, services, l.news)
	l.isAwaited = isAwaited
	for _, c := range clashes {
		if !l.clashes[c] {
			l.clashes[c] = true
			l.r.Sign.Say(eventlog.AddressClash, "address", c.address, "one", c.one, "two", c.two)
		}
	}
	for _, s := range services {
		old, isOld := sheet.Groups[Targets+s.Name]
		if isOld && l.news[ids.PartOf(s.Name)] == nil {
			want[Targets+s.Name] = old.Data
			continue
		}
		want[Targets+s.Name], _ = json.Marshal(orEmpty(targets[s.Name]))
	}
	return want
}
