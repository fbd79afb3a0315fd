// The desk on a simulated fleet: locks by the owner's clock, with short times and
// without an entry for a refusal, and followers through a change of owner.
package coordination_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
	"github.com/sumactrestle/sumactrestle/internal/simulator"
)

type desks struct {
	*testing.T
	f *simulator.Fleet
}

// owner is the node that serves the part of a name.
func (d *desks) owner(name string) (owner *simulator.Machine) {
	d.Helper()
	isThere := d.f.Until(30*time.Second, func() bool {
		for _, m := range d.f.Cores() {
			if n := m.Node(); n != nil && n.Consensus.Replica(ids.ShardOf(name)).IsServing() {
				owner = m
				return true
			}
		}
		return false
	})
	if !isThere {
		d.Fatal("no owner")
	}
	return owner
}

func (d *desks) do(op rpc.CoordinationRequest) *rpc.CoordinationResponse {
	d.Helper()
	ctx, end := context.WithTimeout(context.Background(), 5*time.Second)
	defer end()
	receipt, err := d.owner(op.Name).Node().Coordination.Handle(ctx, &op)
	if err != nil {
		d.Fatal(op.Operation, err)
	}
	return receipt
}

func (d *desks) last(name string) ids.Index {
	return d.owner(name).Node().Consensus.Replica(ids.ShardOf(name)).Status().LastIndex
}

func (d *desks) expect(got *rpc.CoordinationResponse, code errcode.Code) *rpc.CoordinationResponse {
	d.Helper()
	if got.Code != code.No {
		d.Fatalf("%+v; wanted %s", got, code.Name)
	}
	return got
}

var done errcode.Code

func on(t *testing.T, test func(d *desks)) {
	synctest.Test(t, func(t *testing.T) {
		f := simulator.NewFleet(1, simulator.Small(), io.Discard)
		defer f.Close()
		if err := f.Boot(); err != nil {
			t.Fatal(err)
		}
		test(&desks{t, f})
	})
}

func TestShortLocks(t *testing.T) {
	on(t, func(d *desks) {
		acquire := func(holder string, ttl int64) *rpc.CoordinationResponse {
			d.Helper()
			return d.do(rpc.CoordinationRequest{Operation: "acquire", Name: "l", Holder: holder, TTL: ttl})
		}
		renew := func(fence ids.Index, ttl int64) *rpc.CoordinationResponse {
			d.Helper()
			return d.do(rpc.CoordinationRequest{Operation: "renew", Name: "l", Holder: "a", FencingToken: fence, TTL: ttl})
		}
		one := d.expect(acquire("a", 1000), done)
		before := d.last("l")
		for range 10 {
			if held := d.expect(acquire("b", 1000), errcode.Held); held.Holder != "a" || held.FencingToken != one.FencingToken {
				d.Fatal(held)
			}
		}
		d.expect(renew(one.FencingToken, 400), done)
		d.expect(renew(one.FencingToken, 0), done)
		if d.last("l") != before {
			d.Fatal("a refusal or a renewal was written")
		}
		if got := d.expect(acquire("a", 20), done); got.FencingToken != one.FencingToken || got.TTL != 20 {
			d.Fatal(got)
		}
		time.Sleep(800 * time.Millisecond)
		d.expect(acquire("b", 1000), errcode.Held)
		if got := d.expect(renew(one.FencingToken, 5000), done); got.TTL != 5000 {
			d.Fatal(got)
		}
		time.Sleep(4800 * time.Millisecond)
		d.expect(acquire("b", 1000), errcode.Held)
		time.Sleep(300 * time.Millisecond)
		two := d.expect(acquire("b", 10), done)
		if two.FencingToken <= one.FencingToken {
			d.Fatal(one, two)
		}
		d.expect(renew(one.FencingToken, 0), errcode.NotHeld)
		d.expect(d.do(rpc.CoordinationRequest{Operation: "release", Name: "l", Holder: "a", FencingToken: one.FencingToken}), errcode.NotHeld)
		time.Sleep(10 * time.Millisecond)
		if three := d.expect(acquire("a", 50), done); three.FencingToken <= two.FencingToken {
			d.Fatal(two, three)
		}
		time.Sleep(time.Second)
		d.expect(d.do(rpc.CoordinationRequest{Operation: "get", Name: "l", Holder: "lock"}), errcode.NoKey)
	})
}

func TestManyWantOneShortLock(t *testing.T) {
	on(t, func(d *desks) {
		const ttl = 30 * time.Millisecond
		type holding struct {
			from, to time.Time
			fence    ids.Index
		}
		holdings := make(chan holding, 10000)
		ended := make(chan struct{})
		for i := range 6 {
			go func() {
				defer func() { ended <- struct{}{} }()
				for n := range 60 {
					sent := time.Now()
					ctx, end := context.WithTimeout(context.Background(), 5*time.Second)
					receipt, err := d.owner("l").Node().Coordination.Handle(ctx, &rpc.CoordinationRequest{Operation: "acquire", Name: "l", Holder: fmt.Sprint(i, "/", n), TTL: ttl.Milliseconds()})
					end()
					if got := time.Now(); err == nil && receipt.Code == 0 && got.Before(sent.Add(ttl)) {
						holdings <- holding{got, sent.Add(ttl), receipt.FencingToken}
					}
					time.Sleep(7 * time.Millisecond)
				}
			}()
		}
		for range 6 {
			<-ended
		}
		close(holdings)
		var all []holding
		for h := range holdings {
			all = append(all, h)
		}
		if len(all) < 10 {
			d.Fatal("held only", len(all), "times")
		}
		for i, a := range all {
			for _, z := range all[:i] {
				if a.from.Before(z.to) && z.from.Before(a.to) {
					d.Fatal("two held it at once", a, z)
				}
				if a.fence == z.fence || (a.fence < z.fence) != a.from.Before(z.from) {
					d.Fatal("fences do not rise", a, z)
				}
			}
		}
	})
}

func TestANewOwnerDoesNotEndAStretchedGrantEarly(t *testing.T) {
	on(t, func(d *desks) {
		one := d.expect(d.do(rpc.CoordinationRequest{Operation: "acquire", Name: "l", Holder: "a", TTL: 100}), done)
		d.expect(d.do(rpc.CoordinationRequest{Operation: "renew", Name: "l", Holder: "a", FencingToken: one.FencingToken, TTL: 60_000}), done)
		sent := time.Now()
		old := d.owner("l")
		old.Kill(false)
		for time.Since(sent) < 59*time.Second {
			d.expect(d.do(rpc.CoordinationRequest{Operation: "acquire", Name: "l", Holder: "b", TTL: 100}), errcode.Held)
			time.Sleep(3 * time.Second)
		}
		if d.owner("l") == old {
			d.Fatal("the owner did not change")
		}
		time.Sleep(30 * time.Second)
		if two := d.expect(d.do(rpc.CoordinationRequest{Operation: "acquire", Name: "l", Holder: "b", TTL: 100}), done); two.FencingToken <= one.FencingToken {
			d.Fatal(one, two)
		}
	})
}

func TestAFollowerIsAnsweredAtTheNextSet(t *testing.T) {
	on(t, func(d *desks) {
		set := func(value int) *rpc.CoordinationResponse {
			return d.expect(d.do(rpc.CoordinationRequest{Operation: "set", Name: "s/a", Value: json.RawMessage(fmt.Sprint(value))}), done)
		}
		follow := func(from ids.Index, hold int64) *rpc.CoordinationResponse {
			return d.expect(d.do(rpc.CoordinationRequest{Operation: "follow", Name: "s/", FromIndex: from, Wait: hold}), done)
		}
		set(1)
		if got := d.do(rpc.CoordinationRequest{Operation: "get", Name: "s/a"}); got.Revision != 1 || string(got.Value) != "1" {
			d.Fatal(got)
		}
		if got := follow(0, 1000); got.Revision != 1 || len(got.Events) != 0 {
			d.Fatal(got)
		}
		began := time.Now()
		if got := follow(1, 1000); got.Revision != 1 || len(got.Events) != 0 || time.Since(began) < time.Second {
			d.Fatal(got)
		}
		if got := follow(9, 100); got.Revision != 9 || len(got.Events) != 0 {
			d.Fatal(got)
		}
		answer := make(chan *rpc.CoordinationResponse)
		began = time.Now()
		go func() { answer <- follow(1, 4000) }()
		time.Sleep(500 * time.Millisecond)
		set(2)
		if got := <-answer; got.Revision != 2 || len(got.Events) != 1 || got.Events[0].Revision != 2 || time.Since(began) > time.Second {
			d.Fatal(got)
		}
		d.owner("s/").Kill(false)
		set(3)
		if got := follow(1, 100); got.Revision != 3 || len(got.Events) != 2 {
			d.Fatal("a change of owner lost a set", got)
		}
	})
}

func TestCallsThatCantBeRead(t *testing.T) {
	on(t, func(d *desks) {
		for _, op := range []rpc.CoordinationRequest{
			{Operation: "set", Name: "s", Value: json.RawMessage("1")},
			{Operation: "set", Name: "s/", Value: json.RawMessage("1")},
			{Operation: "set", Name: "/a", Value: json.RawMessage("1")},
			{Operation: "set", Name: "s/a"},
			{Operation: "follow", Name: "s"},
			{Operation: "follow", Name: "s/a"},
			{Operation: "acquire", Name: "l", Holder: "a", TTL: 9},
			{Operation: "acquire", Name: "l", Holder: "a", TTL: 3600_001},
			{Operation: "renew", Name: "l", Holder: "a", FencingToken: 1, TTL: 9},
			{Operation: "stretch", Name: "l", Holder: "a", FencingToken: 1, TTL: 100},
		} {
			if _, err := d.owner(op.Name).Node().Coordination.Handle(context.Background(), &op); !errcode.Is(err, errcode.BadCall) {
				d.Error(op, err)
			}
		}
	})
}
