// The Planner works at the owner of the configuration part. It collects the
// parts' news, makes whole epochs of them and of accepted change sets, and
// knows of each part as of when the epoch in force reflects it: only once all
// that the part held at that time is in a committed epoch.
package plan

import (
	"bytes"
	"context"
	"encoding/json"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/fault"
	"github.com/sumactrestle/sumactrestle/internal/kin"
	"github.com/sumactrestle/sumactrestle/internal/mark"
	"github.com/sumactrestle/sumactrestle/internal/pact"
	"github.com/sumactrestle/sumactrestle/internal/realm"
	"github.com/sumactrestle/sumactrestle/internal/sign"
	"github.com/sumactrestle/sumactrestle/internal/wire"
)

type news struct {
	wire.PartNews
	asOf time.Time
	got  time.Time
}

// Planner is one core node's.
type Planner struct {
	r      *realm.Realm
	w      *wire.Wire
	k      *kin.Kin
	part   *pact.Part
	ledger *Ledger
	kick   chan struct{}

	planning realm.Turn
	mu       sync.Mutex
	term     mark.Term
	news     map[mark.Part]*news
	reflects map[mark.Part]time.Time
	clashes  map[string]bool
	zero     time.Time
}

func NewPlanner(r *realm.Realm, w *wire.Wire, k *kin.Kin, p *pact.Pact, ledger *Ledger) *Planner {
	l := &Planner{r: r, w: w, k: k, part: p.Part(mark.Config), ledger: ledger, kick: make(chan struct{}, 1), clashes: map[string]bool{}, zero: r.Now(), planning: realm.NewTurn()}
	l.reset(mark.Term{})
	return l
}

func (l *Planner) reset(term mark.Term) {
	l.term = term
	l.news, l.reflects = map[mark.Part]*news{}, map[mark.Part]time.Time{}
}

// Open starts the planner's task.
func (l *Planner) Open() {
	l.r.Go(func() {
		wakeup := time.NewTimer(0)
		defer wakeup.Stop()
		for {
			select {
			case <-l.r.Done():
				return
			case <-l.kick:
			case <-wakeup.C:
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
func (l *Planner) collect(term mark.Term) {
	l.mu.Lock()
	if l.term != term {
		l.reset(term)
	}
	known := map[mark.Part]string{}
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
			var receipt wire.NewsReceipt
			if l.w.Ask(ctx, m.Wire, "plan.news", &wire.NewsAsk{Known: known}, &receipt) == nil {
				l.fold(term, sent, &receipt)
			}
		})
	}
	all.Wait()
}

func (l *Planner) fold(term mark.Term, sent time.Time, receipt *wire.NewsReceipt) {
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
		if p.Lists == nil {
			if old == nil || old.Digest != p.Digest {
				continue
			}
			p.Lists = old.Lists
		} else {
			for _, list := range p.Lists {
				for i := range list {
					list[i].Since = sent.Sub(l.zero).Microseconds() - list[i].Since
				}
			}
		}
		asOf := sent.Add(-time.Duration(p.Age) * time.Microsecond)
		if old != nil && old.Term == p.Term && asOf.Before(old.asOf) {
			continue
		}
		l.news[p.Part] = &news{PartNews: p, asOf: asOf, got: sent}
	}
}

// plan commits an epoch if what it should say differs from the one in force.
func (l *Planner) plan(ctx context.Context, change *wire.ChangeReceipt, config *wire.Config) error {
	if change == nil {
		l.planning.Lock()
		defer l.planning.Unlock()
	}
	term, _, isServing := l.part.Serving()
	if !isServing {
		return fault.New(fault.NotOwner, "configuration part")
	}
	sheet := l.ledger.Sheet()
	l.mu.Lock()
	if l.term != term {
		l.reset(term)
	}
	asOf := map[mark.Part]time.Time{}
	for no, n := range l.news {
		asOf[no] = n.asOf
	}
	want := l.want(sheet, config)
	l.mu.Unlock()
	planned := &wire.Planned{Epoch: sheet.Epoch + 1, Change: change, Put: map[string]json.RawMessage{}}
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
	if change != nil {
		change.Epoch = planned.Epoch
	}
	if len(planned.Put)+len(planned.Drop) > 0 || change != nil {
		_, taken, err := l.part.Propose(ctx, planned)
		if err != nil {
			return err
		}
		if taken != true {
			return fault.New(fault.NotOwner, "epoch %d was planned by another", planned.Epoch)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term == term {
		for no, at := range asOf {
			if l.reflects[no].Before(at) {
				l.reflects[no] = at
			}
		}
	}
	return nil
}

// want is what every group of the next epoch should hold. Without a change set
// the operators' groups are taken over as they are.
func (l *Planner) want(sheet *Sheet, config *wire.Config) map[string]json.RawMessage {
	want := map[string]json.RawMessage{}
	put := func(name string, value any) { want[name], _ = json.Marshal(value) }
	var services []wire.Service
	if config == nil {
		for name, group := range sheet.Groups {
			if name == Services || name == Limits || strings.HasPrefix(name, Routes) {
				want[name] = group.Data
			}
		}
		json.Unmarshal(want[Services], &services)
	} else {
		services = config.Services
		put(Services, orEmpty(config.Services))
		put(Limits, orEmpty(config.Limits))
		buckets := map[string][]wire.Mapping{}
		for _, m := range config.Mappings {
			buckets[bucket(m.Name)] = append(buckets[bucket(m.Name)], m)
		}
		for name, some := range buckets {
			put(name, some)
		}
	}
	shares := map[mark.Name]int{}
	for name, m := range l.k.View() {
		if m.Gate != "" && (m.State == kin.Alive || m.State == kin.Suspect) {
			shares[name] = m.Strength
		}
	}
	put(Shares, shares)
	lists, owners := l.settleAddresses(sheet)
	for _, s := range services {
		no := mark.PartOf(s.Name)
		list := lists[s.Name]
		if l.news[no] == nil {
			if old, ok := sheet.Groups[Targets+s.Name]; ok {
				want[Targets+s.Name] = old.Data
				continue
			}
		}
		kept := []wire.Target{}
		for _, t := range list {
			if owners[t.Address] == s.Name+"/"+t.Instance {
				kept = append(kept, wire.Target{Instance: t.Instance, Address: t.Address, Zone: t.Zone, Weight: t.Weight})
			}
		}
		put(Targets+s.Name, kept)
	}
	return want
}

// settleAddresses gives each address to one instance. The newest claim stands
// and older ones go out in the same epoch; an address that another service
// holds in the epoch in force comes in only once that epoch is past.
func (l *Planner) settleAddresses(sheet *Sheet) (map[string][]wire.Listed, map[string]string) {
	lists := map[string][]wire.Listed{}
	owners, newest := map[string]string{}, map[string]int64{}
	services := map[string]string{}
	for _, n := range l.news {
		for service, list := range n.Lists {
			for _, t := range list {
				since := t.Since
				if t.Out == "" {
					lists[service] = append(lists[service], t)
				}
				if t.Out == "silent" || t.Out == Leaving {
					continue
				}
				id := service + "/" + t.Instance
				if other, ok := owners[t.Address]; ok {
					if clash := t.Address + " " + min(other, id) + " " + max(other, id); !l.clashes[clash] {
						l.clashes[clash] = true
						l.r.Sign.Say(sign.AddressClash, "address", t.Address, "one", other, "two", id)
					}
					if newest[t.Address] > since || newest[t.Address] == since && other > id {
						continue
					}
				}
				owners[t.Address], newest[t.Address], services[t.Address] = id, since, service
			}
		}
	}
	for name, group := range sheet.Groups {
		if len(name) <= len(Targets) || name[:len(Targets)] != Targets {
			continue
		}
		var held []wire.Target
		json.Unmarshal(group.Data, &held)
		for _, t := range held {
			if now, ok := services[t.Address]; ok && now != name[len(Targets):] {
				owners[t.Address] = ""
			}
		}
	}
	return lists, owners
}

func orEmpty[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}

// Submit takes a change set whole, or not at all.
func (l *Planner) Submit(ctx context.Context, change *wire.Change) (*wire.ChangeReceipt, error) {
	l.planning.Lock()
	defer l.planning.Unlock()
	if err := l.part.Confirm(ctx, l.r.Now()); err != nil {
		return nil, err
	}
	raw, _ := json.Marshal(change)
	digest := Digest(raw)
	sheet := l.ledger.Sheet()
	if first, ok := sheet.Find(change.Id); ok {
		if first.Digest != digest {
			return nil, fault.New(fault.ChangeReused, "%q", change.Id)
		}
		return &first, nil
	}
	if change.Base < sheet.Changed || change.Base > sheet.Epoch {
		l.r.Sign.Say(sign.ChangeRefused, "id", change.Id, "code", fault.ChangeConflict.No)
		return nil, fault.New(fault.ChangeConflict, "epoch %d was named, the last change set was accepted in epoch %d, epoch %d is in force", change.Base, sheet.Changed, sheet.Epoch)
	}
	config, paths := Lay(sheet.Config(), change)
	if len(paths) > 0 {
		l.r.Sign.Say(sign.ChangeRefused, "id", change.Id, "code", fault.BadChange.No)
		return nil, fault.At(fault.BadChange, paths)
	}
	receipt := &wire.ChangeReceipt{Id: change.Id, State: "accepted", Digest: digest}
	if err := l.plan(ctx, receipt, &config); err != nil {
		if fault.Is(err, fault.NotOwner) {
			return nil, err
		}
		return nil, fault.New(fault.ChangeUnknown, "%v", err)
	}
	l.r.Sign.Say(sign.ChangeAccepted, "id", change.Id, "epoch", uint64(receipt.Epoch))
	return receipt, nil
}

// AskChange tells what became of a change set. It waits for all that is in the
// log, so that "absent" can't be followed by a late acceptance.
func (l *Planner) AskChange(ctx context.Context, id string) (*wire.ChangeReceipt, error) {
	l.planning.Lock()
	defer l.planning.Unlock()
	if err := l.part.Barrier(ctx); err != nil {
		return nil, err
	}
	if receipt, ok := l.ledger.Sheet().Find(id); ok {
		return &receipt, nil
	}
	return nil, fault.New(fault.ChangeAbsent, "%q", id)
}

// View is the epoch in force, confirmed since the call came.
func (l *Planner) View(ctx context.Context) (*wire.EpochView, error) {
	if err := l.part.Confirm(ctx, l.r.Now()); err != nil {
		return nil, err
	}
	return l.ledger.Sheet().View(), nil
}

// Pulse tells the epoch in force and the ages of what it reflects. It asks for
// no round of its own: the age of the last one is told, and is what counts.
func (l *Planner) Pulse() (*wire.PulseReceipt, error) {
	age, isServing := l.part.Age()
	if !isServing {
		return nil, fault.New(fault.NotOwner, "configuration part")
	}
	began := l.r.Now()
	term, _, _ := l.part.Serving()
	l.mu.Lock()
	defer l.mu.Unlock()
	receipt := &wire.PulseReceipt{Parts: make([]int64, mark.Parts)}
	for no := range receipt.Parts {
		receipt.Parts[no] = -1
		if at, ok := l.reflects[mark.Part(no)]; ok && l.term == term {
			receipt.Parts[no] = l.r.Since(at).Microseconds() + 1
		}
	}
	receipt.Epoch = l.ledger.Sheet().Epoch
	receipt.Age = (age + l.r.Since(began)).Microseconds() + 1
	return receipt, nil
}
