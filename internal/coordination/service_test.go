package coordination_test

import (
	"context"
	"encoding/json"
	"errors"
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

// serviceTest runs requests against the leaders of a small simulated fleet.
type serviceTest struct {
	*testing.T
	fleet *simulator.Fleet
}

// leader returns the machine that leads the shard of a name.
func (s *serviceTest) leader(name string) (leader *simulator.Machine) {
	s.Helper()
	found := s.fleet.WaitUntil(30*time.Second, func() bool {
		for _, m := range s.fleet.Cores() {
			if n := m.Node(); n != nil && n.Consensus.Replica(ids.ShardOf(name)).IsServing() {
				leader = m
				return true
			}
		}
		return false
	})
	if !found {
		s.Fatal("no leader")
	}
	return leader
}

func (s *serviceTest) do(request rpc.CoordinationRequest) *rpc.CoordinationResponse {
	s.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	response, err := s.leader(request.Name).Node().Coordination.Handle(ctx, &request)
	if err != nil {
		s.Fatal(request.Operation, err)
	}
	return response
}

// lastIndex returns the last index of the log of a name's shard, at its leader.
func (s *serviceTest) lastIndex(name string) ids.Index {
	return s.leader(name).Node().Consensus.Replica(ids.ShardOf(name)).Status().LastIndex
}

func (s *serviceTest) expect(got *rpc.CoordinationResponse, code errcode.Code) *rpc.CoordinationResponse {
	s.Helper()
	if got.Code != code.Number {
		s.Fatalf("%+v; wanted %s", got, code.Name)
	}
	return got
}

// done is the code of a response to a request that was carried out.
var done errcode.Code

func runServiceTest(t *testing.T, test func(s *serviceTest)) {
	synctest.Test(t, func(t *testing.T) {
		f := simulator.NewFleet(1, simulator.Small(), io.Discard)
		defer f.Close()
		if err := f.Boot(); err != nil {
			t.Fatal(err)
		}
		test(&serviceTest{t, f})
	})
}

func TestService_ShortLeases(t *testing.T) {
	runServiceTest(t, func(s *serviceTest) {
		acquire := func(holder string, ttl int64) *rpc.CoordinationResponse {
			s.Helper()
			return s.do(rpc.CoordinationRequest{Operation: "acquire", Name: "l", Holder: holder, TTL: ttl})
		}
		renew := func(fence ids.Index, ttl int64) *rpc.CoordinationResponse {
			s.Helper()
			return s.do(rpc.CoordinationRequest{Operation: "renew", Name: "l", Holder: "a", FencingToken: fence, TTL: ttl})
		}
		one := s.expect(acquire("a", 1000), done)
		before := s.lastIndex("l")
		for range 10 {
			if held := s.expect(acquire("b", 1000), errcode.LockHeld); held.Holder != "a" || held.FencingToken != one.FencingToken {
				s.Fatal(held)
			}
		}
		s.expect(renew(one.FencingToken, 400), done)
		s.expect(renew(one.FencingToken, 0), done)
		if s.lastIndex("l") != before {
			s.Fatal("a refusal or a renewal was written")
		}
		if got := s.expect(acquire("a", 20), done); got.FencingToken != one.FencingToken || got.TTL != 20 {
			s.Fatal(got)
		}
		time.Sleep(800 * time.Millisecond)
		s.expect(acquire("b", 1000), errcode.LockHeld)
		if got := s.expect(renew(one.FencingToken, 5000), done); got.TTL != 5000 {
			s.Fatal(got)
		}
		time.Sleep(4800 * time.Millisecond)
		s.expect(acquire("b", 1000), errcode.LockHeld)
		time.Sleep(300 * time.Millisecond)
		two := s.expect(acquire("b", 10), done)
		if two.FencingToken <= one.FencingToken {
			s.Fatal(one, two)
		}
		s.expect(renew(one.FencingToken, 0), errcode.NotLockHolder)
		s.expect(s.do(rpc.CoordinationRequest{Operation: "release", Name: "l", Holder: "a", FencingToken: one.FencingToken}), errcode.NotLockHolder)
		time.Sleep(10 * time.Millisecond)
		if three := s.expect(acquire("a", 50), done); three.FencingToken <= two.FencingToken {
			s.Fatal(two, three)
		}
		time.Sleep(time.Second)
		s.expect(s.do(rpc.CoordinationRequest{Operation: "get", Name: "l", Holder: "lock"}), errcode.KeyNotFound)
	})
}

func TestService_OneHolderAtATime(t *testing.T) {
	runServiceTest(t, func(s *serviceTest) {
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
					ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
					response, err := s.leader("l").Node().Coordination.Handle(ctx, &rpc.CoordinationRequest{Operation: "acquire", Name: "l", Holder: fmt.Sprint(i, "/", n), TTL: ttl.Milliseconds()})
					cancel()
					if got := time.Now(); err == nil && response.Code == 0 && got.Before(sent.Add(ttl)) {
						holdings <- holding{got, sent.Add(ttl), response.FencingToken}
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
			s.Fatal("held only", len(all), "times")
		}
		for i, a := range all {
			for _, z := range all[:i] {
				if a.from.Before(z.to) && z.from.Before(a.to) {
					s.Fatal("two held it at once", a, z)
				}
				if a.fence == z.fence || (a.fence < z.fence) != a.from.Before(z.from) {
					s.Fatal("fences do not rise", a, z)
				}
			}
		}
	})
}

func TestService_NewLeaderKeepsAnExtendedLease(t *testing.T) {
	runServiceTest(t, func(s *serviceTest) {
		one := s.expect(s.do(rpc.CoordinationRequest{Operation: "acquire", Name: "l", Holder: "a", TTL: 100}), done)
		s.expect(s.do(rpc.CoordinationRequest{Operation: "renew", Name: "l", Holder: "a", FencingToken: one.FencingToken, TTL: 60_000}), done)
		sent := time.Now()
		old := s.leader("l")
		old.Kill(false)
		for time.Since(sent) < 59*time.Second {
			s.expect(s.do(rpc.CoordinationRequest{Operation: "acquire", Name: "l", Holder: "b", TTL: 100}), errcode.LockHeld)
			time.Sleep(3 * time.Second)
		}
		if s.leader("l") == old {
			s.Fatal("the leader did not change")
		}
		time.Sleep(30 * time.Second)
		if two := s.expect(s.do(rpc.CoordinationRequest{Operation: "acquire", Name: "l", Holder: "b", TTL: 100}), done); two.FencingToken <= one.FencingToken {
			s.Fatal(one, two)
		}
	})
}

func TestService_FollowReturnsAtTheNextSet(t *testing.T) {
	runServiceTest(t, func(s *serviceTest) {
		set := func(value int) *rpc.CoordinationResponse {
			return s.expect(s.do(rpc.CoordinationRequest{Operation: "set", Name: "s/a", Value: json.RawMessage(fmt.Sprint(value))}), done)
		}
		follow := func(from ids.Index, hold int64) *rpc.CoordinationResponse {
			return s.expect(s.do(rpc.CoordinationRequest{Operation: "follow", Name: "s/", FromIndex: from, Wait: hold}), done)
		}
		set(1)
		if got := s.do(rpc.CoordinationRequest{Operation: "get", Name: "s/a"}); got.Revision != 1 || string(got.Value) != "1" {
			s.Fatal(got)
		}
		if got := follow(0, 1000); got.Revision != 1 || len(got.Events) != 0 {
			s.Fatal(got)
		}
		began := time.Now()
		if got := follow(1, 1000); got.Revision != 1 || len(got.Events) != 0 || time.Since(began) < time.Second {
			s.Fatal(got)
		}
		if got := follow(9, 100); got.Revision != 9 || len(got.Events) != 0 {
			s.Fatal(got)
		}
		answer := make(chan *rpc.CoordinationResponse)
		began = time.Now()
		go func() { answer <- follow(1, 4000) }()
		time.Sleep(500 * time.Millisecond)
		set(2)
		if got := <-answer; got.Revision != 2 || len(got.Events) != 1 || got.Events[0].Revision != 2 || time.Since(began) > time.Second {
			s.Fatal(got)
		}
		s.leader("s/").Kill(false)
		set(3)
		if got := follow(1, 100); got.Revision != 3 || len(got.Events) != 2 {
			s.Fatal("a change of leader lost a set", got)
		}
	})
}

func TestService_RejectsInvalidRequests(t *testing.T) {
	runServiceTest(t, func(s *serviceTest) {
		for _, request := range []rpc.CoordinationRequest{
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
			if _, err := s.leader(request.Name).Node().Coordination.Handle(context.Background(), &request); !errors.Is(err, errcode.InvalidCall) {
				s.Error(request, err)
			}
		}
	})
}

func TestService_WatchReturnsAtTheNextEvent(t *testing.T) {
	runServiceTest(t, func(s *serviceTest) {
		put := s.expect(s.do(rpc.CoordinationRequest{Operation: "put", Name: "w/a", Value: json.RawMessage("1")}), done)
		first := s.expect(s.do(rpc.CoordinationRequest{Operation: "watch", Name: "w/"}), done)
		if len(first.Records) != 1 || first.Records[0].Index != put.Index {
			s.Fatal("a watch without an index does not list the keys", first)
		}
		answer := make(chan *rpc.CoordinationResponse)
		began := time.Now()
		go func() {
			answer <- s.do(rpc.CoordinationRequest{Operation: "watch", Name: "w/", FromIndex: first.Index, Wait: 4000})
		}()
		time.Sleep(500 * time.Millisecond)
		s.expect(s.do(rpc.CoordinationRequest{Operation: "add", Name: "w/n", Delta: 3}), done)
		got := <-answer
		if len(got.Events) != 1 || got.Events[0].Name != "w/n" || string(got.Events[0].Value) != "3" || time.Since(began) > time.Second {
			s.Fatal(got)
		}
		began = time.Now()
		if got := s.do(rpc.CoordinationRequest{Operation: "watch", Name: "w/", FromIndex: got.Index, Wait: 1000}); len(got.Events) != 0 || time.Since(began) < time.Second {
			s.Fatal("a watch without events did not wait", got)
		}
	})
}

func TestService_ReservationsShareOneEntry(t *testing.T) {
	runServiceTest(t, func(s *serviceTest) {
		before := s.lastIndex("orders/")
		const requests = 20
		answers := make(chan *rpc.CoordinationResponse, requests)
		for i := range requests {
			go func() {
				answers <- s.do(rpc.CoordinationRequest{Operation: "claim", Name: fmt.Sprint("orders/", i%2), Holder: fmt.Sprint("request", i)})
			}()
		}
		taken := 0
		for range requests {
			if got := <-answers; got.Code == 0 {
				taken++
			} else {
				s.expect(got, errcode.LockHeld)
			}
		}
		if taken != 2 {
			s.Fatal(taken, "requests hold two keys")
		}
		if entries := s.lastIndex("orders/") - before; entries != 1 {
			s.Fatal(entries, "entries were written")
		}
	})
}
