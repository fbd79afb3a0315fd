// A young owner's news is merged with the epoch in force, and addresses go to
// the newest claim.
package plan

import (
	"encoding/json"
	"io"
	"reflect"
	"testing"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/coordination"
	"github.com/sumactrestle/sumactrestle/internal/mark"
	"github.com/sumactrestle/sumactrestle/internal/props"
	"github.com/sumactrestle/sumactrestle/internal/realm"
	"github.com/sumactrestle/sumactrestle/internal/sign"
	"github.com/sumactrestle/sumactrestle/internal/wire"
)

func sheetWith(targets map[string][]wire.Target) *Sheet {
	sheet := &Sheet{Epoch: 1, Groups: map[string]wire.Group{}}
	for service, list := range targets {
		raw, _ := json.Marshal(list)
		sheet.Groups[Targets+service] = wire.Group{Data: raw}
	}
	return sheet
}

func TestListsAreSettled(t *testing.T) {
	held := func(instance, address string) wire.Target {
		return wire.Target{Instance: instance, Address: address, Weight: 1, Slots: 4, Cold: 7}
	}
	heard := func(instance, address string, since int64, out string) wire.Listed {
		return wire.Listed{Instance: instance, Address: address, Weight: 1, Slots: 4, Cold: 7, Since: since, Out: out}
	}
	inForce := []wire.Target{held("a", "A"), held("b", "B")}
	for name, c := range map[string]struct {
		young bool
		list  []wire.Listed
		want  []wire.Target
	}{
		"unheard is kept":              {true, []wire.Listed{heard("a", "A", 5, "")}, inForce},
		"nobody is heard":              {true, nil, inForce},
		"unheard goes when settled":    {false, []wire.Listed{heard("a", "A", 5, "")}, inForce[:1]},
		"new comes in":                 {true, []wire.Listed{heard("c", "C", 5, "")}, []wire.Target{inForce[0], inForce[1], held("c", "C")}},
		"drained goes":                 {true, []wire.Listed{heard("b", "B", 5, Draining)}, inForce[:1]},
		"marked and unheard goes":      {true, []wire.Listed{{Instance: "b", Out: Leaving}}, inForce[:1]},
		"silent goes":                  {true, []wire.Listed{heard("b", "B", 5, Silent)}, inForce[:1]},
		"address is passed on":         {true, []wire.Listed{heard("c", "B", 5, "")}, []wire.Target{inForce[0], held("c", "B")}},
		"heard at another address":     {true, []wire.Listed{heard("b", "D", 5, "")}, []wire.Target{inForce[0], held("b", "D")}},
		"newest of two":                {false, []wire.Listed{heard("a", "A", 5, ""), heard("c", "A", 6, "")}, []wire.Target{held("c", "A")}},
		"an elder against a new":       {true, []wire.Listed{heard("b", "B", elder, ""), heard("c", "B", -3, "")}, []wire.Target{inForce[0], held("c", "B")}},
		"two marked without address":   {true, []wire.Listed{{Instance: "x", Out: Draining}, {Instance: "y", Out: Draining}}, inForce},
		"no address is never a target": {true, []wire.Listed{{Instance: "x"}}, inForce},
	} {
		sheet := sheetWith(map[string][]wire.Target{"s": inForce})
		all := map[mark.Part]*news{mark.PartOf("s"): {PartNews: wire.PartNews{Young: c.young, Lists: map[string][]wire.Listed{"s": c.list}}}}
		got, _, _ := settle(sheet, []wire.Service{{Name: "s"}}, all)
		if !reflect.DeepEqual(got["s"], c.want) {
			t.Errorf("%s: %+v, want %+v", name, got["s"], c.want)
		}
	}
}

func TestAnAddressChangesServiceInTwoEpochs(t *testing.T) {
	services := []wire.Service{{Name: "s"}, {Name: "t"}}
	all := map[mark.Part]*news{}
	for _, s := range services {
		all[mark.PartOf(s.Name)] = &news{PartNews: wire.PartNews{Young: true, Lists: map[string][]wire.Listed{}}}
	}
	all[mark.PartOf("t")].Lists["t"] = []wire.Listed{{Instance: "n", Address: "A", Since: 5}}
	all[mark.PartOf("t")].Lists["stranger"] = []wire.Listed{{Instance: "o", Address: "A", Since: 9}}
	sheet := sheetWith(map[string][]wire.Target{"s": {{Instance: "a", Address: "A"}}, "t": {}})
	one, _, _ := settle(sheet, services, all)
	if len(one["s"])+len(one["t"]) != 0 {
		t.Fatalf("%+v", one)
	}
	two, _, _ := settle(sheetWith(one), services, all)
	if len(two["s"]) != 0 || len(two["t"]) != 1 {
		t.Fatalf("%+v", two)
	}
}

func TestEldersStayOldUntilTheyGo(t *testing.T) {
	no := mark.PartOf("s")
	sheet := sheetWith(map[string][]wire.Target{"s": {{Instance: "a", Address: "A"}, {Instance: "b", Address: "B"}}})
	known := elders(sheet, no)
	p := &wire.PartNews{Young: true, Lists: map[string][]wire.Listed{"s": {{Instance: "a", Address: "A", Since: 3}, {Instance: "b", Address: "N", Since: 3}, {Instance: "c", Address: "A", Since: 4}}}}
	date(p, 10, known)
	if l := p.Lists["s"]; l[0].Since != elder || l[1].Since != 7 || l[2].Since != 6 || len(known) != 2 {
		t.Fatalf("%+v %v", p, known)
	}
	date(&wire.PartNews{Lists: map[string][]wire.Listed{"s": {{Instance: "a", Address: "A"}}}}, 10, known)
	if len(known) != 1 || !known[claimName("s", "a", "A")] {
		t.Fatal(known)
	}
	if len(elders(sheet, (no+1)%mark.Parts)) != 0 {
		t.Fatal("another part's")
	}
}

// newRoll is a roll without a fleet.
func newRoll(t *testing.T) *Roll {
	p := &props.Props{Name: "n", PlanSilence: time.Hour}
	r := realm.New(t.Context(), p, sign.New(io.Discard, "info", "n"), realm.Net{})
	var books []*coordination.Book
	for range mark.Parts {
		books = append(books, coordination.NewBook())
	}
	return NewRoll(r, nil, books, NewLedger())
}

func (l *Roll) hear(no mark.Part, cold int64, b wire.Beat) {
	if l.beats[no] == nil {
		l.beats[no] = map[string]map[string]*heard{}
	}
	if l.beats[no][b.Service] == nil {
		l.beats[no][b.Service] = map[string]*heard{}
	}
	l.beats[no][b.Service][b.Instance] = &heard{beat: b, cold: cold, first: l.r.Now(), at: l.r.Now()}
}

func putMark(t *testing.T, book *coordination.Book, name, holder string) {
	t.Helper()
	raw, _ := json.Marshal(wire.BondOp{Op: "mark", Name: name, Holder: holder, Seq: 1})
	book.Apply(1, raw)
}

func TestListsNameSlotsFirstColdAndMarks(t *testing.T) {
	l, no, term := newRoll(t), mark.PartOf("s"), mark.Term{Round: 1}
	l.lists(no, term, true)
	l.hear(no, 900, wire.Beat{Service: "s", Instance: "a", Address: "A", State: Serving, Slots: 3, Cold: 900})
	putMark(t, l.books[no], "s/gone", Leaving)
	young := l.lists(no, term, true)["s"]
	if len(young) != 2 || young[0].Slots != 3 || young[0].Cold != 900 || young[1].Instance != "gone" || young[1].Out != Leaving || young[1].Address != "" {
		t.Fatalf("%+v", young)
	}
	one := l.digest(no, l.lists(no, term, false))
	h := l.beats[no]["s"]["a"]
	h.beat.Cold, h.first = 100, h.first.Add(-time.Minute)
	lists := l.lists(no, term, false)
	if two := l.digest(no, lists); one != two || one != digestOf(lists) {
		t.Fatal("the digest changed with time")
	}
	if len(lists["s"]) != 1 {
		t.Fatalf("%+v", lists)
	}
	h.beat.Slots = 4
	if lists = l.lists(no, term, false); l.digest(no, lists) == one || l.digest(no, lists) != digestOf(lists) {
		t.Fatal("the digest stayed when slots changed")
	}
}

func TestWhoseIsAnInstance(t *testing.T) {
	l := newRoll(t)
	l.ledger.sheet = sheetWith(map[string][]wire.Target{"s": {{Instance: "planned"}, {Instance: "both"}}})
	l.hear(mark.PartOf("u"), 0, wire.Beat{Service: "u", Instance: "both"})
	putMark(t, l.books[mark.PartOf("t")], "t/marked", Draining)
	for instance, want := range map[string]string{"planned": "s", "both": "u", "marked": "t", "none": "", "": ""} {
		if got := l.Whose(instance); got != want {
			t.Errorf("%q is of %q, want %q", instance, got, want)
		}
	}
}

func TestStirredIsToldAndMayBeMissing(t *testing.T) {
	l := newRoll(t)
	l.stir()
	heard := make(chan bool, 4)
	l.Stirred = func() { heard <- true }
	l.stir()
	<-heard
	l.stir()
	<-heard
}
