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

// serviceTest sends requests to the shards' leaders in a small simulated fleet.
type serviceTest struct {
	*testing.T
	fleet *simulator.Fleet
}

// leader waits for a leader of the shard of a name and returns its machine.
func (s *serviceTest) leader(name string) (leader *simulator.Machine) {
	s.Helper()
	hasLeader := s.fleet.WaitUntil(30*time.Second, func() bool {
		for _, m := range s.fleet.Cores() {
			if n := m.Node(); n != nil && n.Consensus.Replica(ids.ShardOf(name)).IsServing() {
				leader = m
				return true
			}
		}
		return false
	})
	if !hasLeader {
		s.Fatal("no leader within 30 s")
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

// lastIndex returns the last log index of the shard of a name, on its leader.
func (s *serviceTest) lastIndex(name string) ids.Index {
	return s.leader(name).Node().Consensus.Replica(ids.ShardOf(name)).Status().LastIndex
}

func (s *serviceTest) expect(got *rpc.CoordinationResponse, code errcode.Code) *rpc.CoordinationResponse {
	s.Helper()
	if got.Code != code.Number {
		s.Fatalf("got %+v, want code %s", got, code.Name)
	}
	return got
}

// done is the code of a response to a successful request.
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

func TestService_LeaseRenewalAndExpiry(t *testing.T) {
	runServiceTest(t, func(s *serviceTest) {
		acquire := func(holder string, ttl int64) *rpc.CoordinationResponse {
			s.Helper()
			return s.do(rpc.CoordinationRequest{Operation: "acquire", Name: "l", Holder: holder, TTL: ttl})
		}
		renew := func(token ids.Index, ttl int64) *rpc.CoordinationResponse {
			s.Helper()
			return s.do(rpc.CoordinationRequest{Operation: "renew", Name: "l", Holder: "a", FencingToken: token, TTL: ttl})
		}
		first := s.expect(acquire("a", 1000), done)
		before := s.lastIndex("l")
		for range 10 {
			if held := s.expect(acquire("b", 1000), errcode.LockHeld); held.Holder != "a" || held.FencingToken != first.FencingToken {
				s.Fatal(held)
			}
		}
		s.expect(renew(first.FencingToken, 400), done)
		s.expect(renew(first.FencingToken, 0), done)
		if s.lastIndex("l") != before {
			s.Fatal("a rejected acquire or a renewal was written to the log")
		}
		if got := s.expect(acquire("a", 20), done); got.FencingToken != first.FencingToken || got.TTL != 20 {
			s.Fatal(got)
		}
		time.Sleep(800 * time.Millisecond)
		s.expect(acquire("b", 1000), errcode.LockHeld)
		if got := s.expect(renew(first.FencingToken, 5000), done); got.TTL != 5000 {
			s.Fatal(got)
		}
		time.Sleep(4800 * time.Millisecond)
		s.expect(acquire("b", 1000), errcode.LockHeld)
		time.Sleep(300 * time.Millisecond)
		second := s.expect(acquire("b", 10), done)
		if second.FencingToken <= first.FencingToken {
			s.Fatal(first, second)
		}
		s.expect(renew(first.FencingToken, 0), errcode.NotLockHolder)
		s.expect(s.do(rpc.CoordinationRequest{Operation: "release", Name: "l", Holder: "a", FencingToken: first.FencingToken}), errcode.NotLockHolder)
		time.Sleep(10 * time.Millisecond)
		if third := s.expect(acquire("a", 50), done); third.FencingToken <= second.FencingToken {
			s.Fatal(second, third)
		}
		time.Sleep(time.Second)
		s.expect(s.do(rpc.CoordinationRequest{Operation: "get", Name: "l", Holder: "lock"}), errcode.KeyNotFound)
	})
}

func TestService_OneHolderAtATime(t *testing.T) {
	runServiceTest(t, func(s *serviceTest) {
		const ttl = 30 * time.Millisecond
		type holdPeriod struct {
			from, to time.Time
			token    ids.Index
		}
		periods := make(chan holdPeriod, 10000)
		finished := make(chan struct{})
		for i := range 6 {
			go func() {
				defer func() { finished <- struct{}{} }()
				for n := range 60 {
					sent := time.Now()
					ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
					response, err := s.leader("l").Node().Coordination.Handle(ctx, &rpc.CoordinationRequest{Operation: "acquire", Name: "l", Holder: fmt.Sprint(i, "/", n), TTL: ttl.Milliseconds()})
					cancel()
					if got := time.Now(); err == nil && response.Code == 0 && got.Before(sent.Add(ttl)) {
						periods <- holdPeriod{got, sent.Add(ttl), response.FencingToken}
					}
					time.Sleep(7 * time.Millisecond)
				}
			}()
		}
		for range 6 {
			<-finished
		}
		close(periods)
		var allPeriods []holdPeriod
		for h := range periods {
			allPeriods = append(allPeriods, h)
		}
		if len(allPeriods) < 10 {
			s.Fatal("lock was granted only", len(allPeriods), "times")
		}
		for i, a := range allPeriods {
			for _, b := range allPeriods[:i] {
				if a.from.Before(b.to) && b.from.Before(a.to) {
					s.Fatal("two holders at the same time", a, b)
				}
				if a.token == b.token || (a.token < b.token) != a.from.Before(b.from) {
					s.Fatal("fencing tokens do not increase", a, b)
				}
			}
		}
	})
}

func TestService_NewLeaderKeepsAnExtendedLease(t *testing.T) {
	runServiceTest(t, func(s *serviceTest) {
		first := s.expect(s.do(rpc.CoordinationRequest{Operation: "acquire", Name: "l", Holder: "a", TTL: 100}), done)
		s.expect(s.do(rpc.CoordinationRequest{Operation: "renew", Name: "l", Holder: "a", FencingToken: first.FencingToken, TTL: 60_000}), done)
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
		if second := s.expect(s.do(rpc.CoordinationRequest{Operation: "acquire", Name: "l", Holder: "b", TTL: 100}), done); second.FencingToken <= first.FencingToken {
			s.Fatal(first, second)
		}
	})
}

func TestService_FollowReturnsAtTheNextSet(t *testing.T) {
	runServiceTest(t, func(s *serviceTest) {
		set := func(value int) *rpc.CoordinationResponse {
			return s.expect(s.do(rpc.CoordinationRequest{Operation: "set", Name: "s/a", Value: json.RawMessage(fmt.Sprint(value))}), done)
		}
		follow := func(from ids.Index, wait int64) *rpc.CoordinationResponse {
			return s.expect(s.do(rpc.CoordinationRequest{Operation: "follow", Name: "s/", FromIndex: from, Wait: wait}), done)
		}
		set(1)
		if got := s.do(rpc.CoordinationRequest{Operation: "get", Name: "s/a"}); got.Revision != 1 || string(got.Value) != "1" {
			s.Fatal(got)
		}
		if got := follow(0, 1000); got.Revision != 1 || len(got.Events) != 0 {
			s.Fatal(got)
		}
		start := time.Now()
		if got := follow(1, 1000); got.Revision != 1 || len(got.Events) != 0 || time.Since(start) < time.Second {
			s.Fatal(got)
		}
		if got := follow(9, 100); got.Revision != 9 || len(got.Events) != 0 {
			s.Fatal(got)
		}
		response := make(chan *rpc.CoordinationResponse)
		start = time.Now()
		go func() { response <- follow(1, 4000) }()
		time.Sleep(500 * time.Millisecond)
		set(2)
		if got := <-response; got.Revision != 2 || len(got.Events) != 1 || got.Events[0].Revision != 2 || time.Since(start) > time.Second {
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
			s.Fatal("a watch from index zero does not list the keys", first)
		}
		response := make(chan *rpc.CoordinationResponse)
		start := time.Now()
		go func() {
			response <- s.do(rpc.CoordinationRequest{Operation: "watch", Name: "w/", FromIndex: first.Index, Wait: 4000})
		}()
		time.Sleep(500 * time.Millisecond)
		s.expect(s.do(rpc.CoordinationRequest{Operation: "add", Name: "w/n", Delta: 3}), done)
		got := <-response
		if len(got.Events) != 1 || got.Events[0].Name != "w/n" || string(got.Events[0].Value) != "3" || time.Since(start) > time.Second {
			s.Fatal(got)
		}
		start = time.Now()
		if got := s.do(rpc.CoordinationRequest{Operation: "watch", Name: "w/", FromIndex: got.Index, Wait: 1000}); len(got.Events) != 0 || time.Since(start) < time.Second {
			s.Fatal("a watch without events did not wait", got)
		}
	})
}

func TestService_ConcurrentReservationsShareOneLogEntry(t *testing.T) {
	runServiceTest(t, func(s *serviceTest) {
		before := s.lastIndex("orders/")
		const requests = 20
		responses := make(chan *rpc.CoordinationResponse, requests)
		for i := range requests {
			go func() {
				responses <- s.do(rpc.CoordinationRequest{Operation: "claim", Name: fmt.Sprint("orders/", i%2), Holder: fmt.Sprint("request", i)})
			}()
		}
		granted := 0
		for range requests {
			if got := <-responses; got.Code == 0 {
				granted++
			} else {
				s.expect(got, errcode.LockHeld)
			}
		}
		if granted != 2 {
			s.Fatal(granted, "requests hold reservations of two keys")
		}
		if entries := s.lastIndex("orders/") - before; entries != 1 {
			s.Fatal(entries, "log entries were written, want 1")
		}
	})
}
