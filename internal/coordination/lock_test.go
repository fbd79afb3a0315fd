package coordination

import (
	"testing"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

func TestLock_TokensIncreaseAndOnlyHolderReleases(t *testing.T) {
	store := NewStore()
	first := apply(store, 5, rpc.CoordinationRequest{Operation: "acquire", Name: "l", Holder: "a", TTL: 1000})
	if held := apply(store, 6, rpc.CoordinationRequest{Operation: "acquire", Name: "l", Holder: "b", TTL: 1000}); held.Code != errcode.LockHeld.Number || held.Holder != "a" {
		t.Fatal(held)
	}
	if rejected := apply(store, 7, rpc.CoordinationRequest{Operation: "release", Name: "l", Holder: "b", FencingToken: first.FencingToken}); rejected.Code != errcode.NotLockHolder.Number {
		t.Fatal(rejected)
	}
	if rejected := apply(store, 8, rpc.CoordinationRequest{Operation: "expire", Name: "l", FencingToken: first.FencingToken - 1}); rejected.Code != errcode.NotLockHolder.Number {
		t.Fatal("expire with an older fencing token released the lock", rejected)
	}
	apply(store, 9, rpc.CoordinationRequest{Operation: "release", Name: "l", Holder: "a", FencingToken: first.FencingToken})
	if second := apply(store, 10, rpc.CoordinationRequest{Operation: "acquire", Name: "l", Holder: "b", TTL: 1000}); second.FencingToken <= first.FencingToken {
		t.Fatal(first, second)
	}
}

func TestLock_TTLNeverDecreases(t *testing.T) {
	store := NewStore()
	first := apply(store, 5, rpc.CoordinationRequest{Operation: "acquire", Name: "l", Holder: "a", TTL: 1000})
	expect := func(ttl int64) {
		t.Helper()
		if lock, ok := store.Get(KindLock, "l"); !ok || lock.TTL != ttl || lock.FencingToken != first.FencingToken || lock.Holder != "a" {
			t.Fatal(lock, ok)
		}
	}
	if again := apply(store, 6, rpc.CoordinationRequest{Operation: "acquire", Name: "l", Holder: "a", TTL: 50}); again.FencingToken != first.FencingToken || again.TTL != 50 {
		t.Fatal(again)
	}
	expect(1000)
	if again := apply(store, 7, rpc.CoordinationRequest{Operation: "acquire", Name: "l", Holder: "a", TTL: 2000}); again.FencingToken != first.FencingToken || again.TTL != 2000 {
		t.Fatal(again)
	}
	expect(2000)
	for _, op := range []rpc.CoordinationRequest{{Holder: "b", FencingToken: 5}, {Holder: "a", FencingToken: 4}} {
		op.Operation, op.Name, op.TTL = "stretch", "l", 9000
		if rejected := apply(store, 8, op); rejected.Code != errcode.NotLockHolder.Number {
			t.Fatal(rejected)
		}
	}
	expect(2000)
	if held := apply(store, 9, rpc.CoordinationRequest{Operation: "acquire", Name: "l", Holder: "b", TTL: 9000}); held.Code != errcode.LockHeld.Number || held.TTL != 2000 {
		t.Fatal(held)
	}
	for _, ttl := range []int64{3000, 100} {
		if got := apply(store, 10, rpc.CoordinationRequest{Operation: "stretch", Name: "l", Holder: "a", FencingToken: 5, TTL: ttl}); got.Code != 0 || got.TTL != ttl {
			t.Fatal(got)
		}
		expect(3000)
	}
}
