package pact

import (
	"encoding/json"
	"reflect"
	"testing"

	"github.com/sumactrestle/sumactrestle/internal/mark"
	"github.com/sumactrestle/sumactrestle/internal/wire"
)

func term(round uint64, node mark.Name) mark.Term { return mark.Term{Round: round, Node: node} }

// carried is a message as it arrives.
func carried[T any](t *testing.T, message *T) *T {
	t.Helper()
	raw, err := json.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	got := new(T)
	if err := json.Unmarshal(raw, got); err != nil {
		t.Fatal(err)
	}
	return got
}

func TestTermsThatAreLeftOutArePutBack(t *testing.T) {
	one, two := term(3, "one"), term(4, "two")
	for _, ask := range []*wire.AppendAsk{
		{Term: two},
		{Term: two, Prev: 7, PrevTerm: two, Entries: []wire.Entry{{Index: 8, Term: two}}},
		{Term: two, Prev: 7, PrevTerm: one, Entries: []wire.Entry{{Index: 8, Term: one}, {Index: 9, Term: two}}},
		{Term: two, Entries: []wire.Entry{{Index: 1, Term: one}, {Index: 2, Term: two}}},
	} {
		got := carried(t, shorten(ask))
		restore(got)
		if !reflect.DeepEqual(got, ask) {
			t.Errorf("%+v became %+v", ask, got)
		}
	}
}

func TestARoundIsOnlyAMembersWordFromTheLifeThatHeardItsBase(t *testing.T) {
	sender, other := wire.Peer{Name: "one", Birth: "b1"}, wire.Peer{Name: "two", Birth: "b2"}
	claims := []wire.Claim{{Part: 3, Term: term(2, "one"), Commit: 9, Serving: true}}
	member := func() *Pact { return &Pact{me: other, sayings: map[wire.Peer]saying{}} }
	p, r := member(), &rounder{}
	first := carried(t, r.ask(sender, claims))
	if first.From == nil || *first.From != sender {
		t.Fatal("the first message does not name its sender")
	}
	if from, got, ok := p.whole(first); !ok || from != sender || !reflect.DeepEqual(got, byPart(claims)) {
		t.Fatal(from, got, ok)
	}
	r.took(first, claims, false)
	claims[0].Commit = 10
	next := carried(t, r.ask(sender, claims))
	if next.From != nil || next.Base != first.No {
		t.Errorf("%+v", next)
	}
	if _, _, ok := member().whole(next); ok {
		t.Error("another life of the member takes a base that it never heard")
	}
	if from, got, ok := p.whole(next); !ok || from != sender || !reflect.DeepEqual(got, byPart(claims)) {
		t.Error(from, got, ok)
	}
	if _, _, ok := p.whole(next); ok {
		t.Error("a message is taken twice")
	}
	if _, _, ok := p.whole(&wire.RoundAsk{No: 5}); ok {
		t.Error("a message of nobody is taken")
	}
	nameless := &wire.RoundReceipt{No: 1}
	if isFrom(nameless, other, 0) || !isFrom(nameless, other, 7) {
		t.Error("a receipt without a name counts where no base was named, or not where one was")
	}
	if isFrom(&wire.RoundReceipt{From: &sender}, other, 7) {
		t.Error("another's receipt counts")
	}
}
