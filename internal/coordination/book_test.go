// What a book costs and keeps: looking through marks and locks, which happens
// many times a second, does not cost what the keys weigh; a repeat gets the
// first receipt; events that are a minute old go, younger ones stay.
package coordination

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

func apply(b *Store, index ids.Index, op rpc.CoordinationRequest) *rpc.CoordinationResponse {
	raw, _ := json.Marshal(op)
	return b.Apply(index, raw).(*rpc.CoordinationResponse)
}

func BenchmarkMarksAmongManyKeys(b *testing.B) {
	book := NewStore()
	for i := range 20000 {
		apply(book, ids.Index(i+1), rpc.CoordinationRequest{Operation: "put", Name: fmt.Sprint("k/", i), Value: json.RawMessage("1")})
	}
	apply(book, 20001, rpc.CoordinationRequest{Operation: "mark", Name: "rates/i1", Holder: "draining", Sequence: 1})
	b.ResetTimer()
	for b.Loop() {
		if list, _ := book.List(KindInstanceState, ""); len(list) != 1 {
			b.Fatal(list)
		}
	}
}

func TestARepeatGetsTheFirstReceipt(t *testing.T) {
	book := NewStore()
	first := apply(book, 1, rpc.CoordinationRequest{Operation: "add", ID: "r", Name: "n", Delta: 2})
	again := apply(book, 2, rpc.CoordinationRequest{Operation: "add", ID: "r", Name: "n", Delta: 2})
	if first.Count != 2 || again.Count != 2 || again.Index != 1 {
		t.Fatal(first, again)
	}
	raw, err := book.Snapshot()()
	if err != nil {
		t.Fatal(err)
	}
	other := NewStore()
	if err := other.Restore(raw); err != nil {
		t.Fatal(err)
	}
	if again := apply(other, 3, rpc.CoordinationRequest{Operation: "add", ID: "r", Name: "n", Delta: 2}); again.Count != 2 {
		t.Fatal("a loaded state forgot the receipt", again)
	}
	if next := apply(other, 4, rpc.CoordinationRequest{Operation: "add", Name: "n", Delta: 2}); next.Count != 4 {
		t.Fatal(next)
	}
}

func TestEventsAreKeptForAMinute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		book := NewStore()
		put := func(index ids.Index) {
			apply(book, index, rpc.CoordinationRequest{Operation: "put", Name: "a/x", Value: json.RawMessage("1")})
		}
		put(1)
		time.Sleep(40 * time.Second)
		put(2)
		if list, next, ok := book.EventsSince("a/", 0, 10); !ok || len(list) != 2 || next != 2 {
			t.Fatal(list, next, ok)
		}
		time.Sleep(30 * time.Second)
		put(3)
		if _, _, ok := book.EventsSince("a/", 0, 10); ok {
			t.Fatal("a watch from before the kept events was not told")
		}
		if list, _, ok := book.EventsSince("a/", 1, 10); !ok || len(list) != 2 {
			t.Fatal(list, ok)
		}
	})
}

func TestFencesGrowAndOnlyTheHolderReleases(t *testing.T) {
	book := NewStore()
	one := apply(book, 5, rpc.CoordinationRequest{Operation: "acquire", Name: "l", Holder: "a", TTL: 1000})
	if held := apply(book, 6, rpc.CoordinationRequest{Operation: "acquire", Name: "l", Holder: "b", TTL: 1000}); held.Code != errcode.Held.No || held.Holder != "a" {
		t.Fatal(held)
	}
	if no := apply(book, 7, rpc.CoordinationRequest{Operation: "release", Name: "l", Holder: "b", FencingToken: one.FencingToken}); no.Code != errcode.NotHeld.No {
		t.Fatal(no)
	}
	if no := apply(book, 8, rpc.CoordinationRequest{Operation: "expire", Name: "l", FencingToken: one.FencingToken - 1}); no.Code != errcode.NotHeld.No {
		t.Fatal("an old grant's end took the new one", no)
	}
	apply(book, 9, rpc.CoordinationRequest{Operation: "release", Name: "l", Holder: "a", FencingToken: one.FencingToken})
	if two := apply(book, 10, rpc.CoordinationRequest{Operation: "acquire", Name: "l", Holder: "b", TTL: 1000}); two.FencingToken <= one.FencingToken {
		t.Fatal(one, two)
	}
}

// A claim whose asker lost patience and gave it back may come late; it must not
// stand in the way of the order for as long as claims are kept.
func TestAClaimThatWasGivenBackIsNotTakenLate(t *testing.T) {
	b := NewStore()
	claim := func(index ids.Index, holder string) bool {
		return apply(b, index, rpc.CoordinationRequest{Operation: "claims", Name: "orders", Records: []rpc.CoordinationRecord{{Name: "orders/a", Holder: holder}}}).Records[0].Kind != reservedByOther
	}
	apply(b, 1, rpc.CoordinationRequest{Operation: "unclaim", Name: "orders/a", Holder: "one"})
	if claim(2, "one") {
		t.Error("the late claim was taken")
	}
	if !claim(3, "two") {
		t.Error("the next one was not")
	}
	if claim(4, "three") {
		t.Error("two hold one order")
	}
}
