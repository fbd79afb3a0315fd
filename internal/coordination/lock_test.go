package coordination

import (
	"testing"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/ids"
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

// A release that its caller gave up may be applied after the caller has acquired the lock again.
func TestLock_ReleaseEndsOnlyTheAcquisitionItNames(t *testing.T) {
	index := func(i ids.Index) *ids.Index { return &i }
	for name, test := range map[string]struct {
		acquisitions []rpc.CoordinationRequest // by holder a, at the indexes 5, 6, ...
		condition    *ids.Index
		want         errcode.Code
	}{
		"only acquisition":                        {[]rpc.CoordinationRequest{{RecordsAcquisition: true}}, index(5), errcode.Code{}},
		"first of two acquisitions":               {[]rpc.CoordinationRequest{{RecordsAcquisition: true}, {RecordsAcquisition: true}}, index(5), errcode.LockReacquired},
		"latest of two acquisitions":              {[]rpc.CoordinationRequest{{RecordsAcquisition: true}, {RecordsAcquisition: true}}, index(6), errcode.Code{}},
		"entries of earlier builds":               {[]rpc.CoordinationRequest{{}, {}}, nil, errcode.Code{}},
		"acquired again under an earlier build":   {[]rpc.CoordinationRequest{{}, {}}, index(5), errcode.Code{}},
		"acquired again since an earlier build":   {[]rpc.CoordinationRequest{{}, {RecordsAcquisition: true}}, index(5), errcode.LockReacquired},
		"release of an earlier build after these": {[]rpc.CoordinationRequest{{RecordsAcquisition: true}, {RecordsAcquisition: true}}, nil, errcode.Code{}},
	} {
		t.Run(name, func(t *testing.T) {
			store := NewStore()
			for i, acquire := range test.acquisitions {
				acquire.Operation, acquire.Name, acquire.Holder, acquire.TTL = "acquire", "l", "a", 1000
				if got := apply(store, ids.Index(5+i), acquire); got.Code != 0 || got.FencingToken != 5 {
					t.Fatal(got)
				}
			}
			got := apply(store, 9, rpc.CoordinationRequest{Operation: "release", Name: "l", Holder: "a", FencingToken: 5, IfIndex: test.condition})
			if _, isHeld := store.Get(KindLock, "l"); got.Code != test.want.Number || isHeld != (test.want.Number != 0) {
				t.Errorf("got %+v, the lock is held: %v", got, isHeld)
			}
		})
	}
}
