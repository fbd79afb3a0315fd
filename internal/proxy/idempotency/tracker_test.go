package idempotency

import (
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
)

func TestTracker_StateFollowsTheAttempts(t *testing.T) {
	for name, test := range map[string]struct {
		act  func(tracker *Tracker)
		want State
	}{
		"no attempt":              {func(*Tracker) {}, Unrecorded},
		"running":                 {func(t *Tracker) { t.Begin(1, false) }, Running},
		"not run":                 {func(t *Tracker) { t.Begin(1, false); t.End(1, Unrecorded) }, Unrecorded},
		"lost":                    {func(t *Tracker) { t.Begin(1, false); t.End(1, Unknown) }, Unknown},
		"ran":                     {func(t *Tracker) { t.Begin(1, false); t.End(1, Ran) }, Ran},
		"ran, then lost":          {func(t *Tracker) { t.Begin(1, false); t.End(1, Ran); t.Begin(1, false); t.End(1, Unknown) }, Ran},
		"lost, then running":      {func(t *Tracker) { t.Begin(1, false); t.End(1, Unknown); t.Begin(1, false) }, Running},
		"lost, then not run":      {func(t *Tracker) { t.Begin(1, false); t.End(1, Unknown); t.Begin(1, false); t.End(1, Unrecorded) }, Unknown},
		"two attempts, one ended": {func(t *Tracker) { t.Begin(1, false); t.Begin(1, false); t.End(1, Unrecorded) }, Running},
		"lost by a peer":          {func(t *Tracker) { t.RecordPeerLosses([]uint64{1}) }, Unknown},
		"ran, lost by a peer":     {func(t *Tracker) { t.Begin(1, false); t.End(1, Ran); t.RecordPeerLosses([]uint64{1}) }, Ran},
		"another request":         {func(t *Tracker) { t.Begin(2, false); t.End(2, Ran) }, Unrecorded},
		"End without Begin":       {func(t *Tracker) { t.End(1, Ran) }, Unrecorded},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := NewTracker()
			test.act(tracker)
			if got := tracker.State(1); got != test.want {
				t.Errorf("state %q, want %q", got, test.want)
			}
		})
	}
}

func TestTracker_DeduplicatedRequestHasNoSecondAttempt(t *testing.T) {
	tracker := NewTracker()
	if before := tracker.Begin(1, true); before != Unrecorded {
		t.Fatalf("state %q before the first attempt", before)
	}
	if before := tracker.Begin(1, true); before != Running {
		t.Errorf("state %q before the second attempt", before)
	}
	tracker.End(1, Unrecorded)
	if got := tracker.State(1); got != Unrecorded {
		t.Errorf("the second attempt was recorded: %q", got)
	}
}

func TestTracker_RequestWithoutKeyIsNotTracked(t *testing.T) {
	tracker := NewTracker()
	for range 2 {
		if before := tracker.Begin(0, true); before != Unrecorded {
			t.Errorf("state %q, want Unrecorded", before)
		}
	}
	tracker.End(0, Ran)
	if len(tracker.requests) > 0 {
		t.Error("a request without a key is tracked")
	}
}

func TestTracker_ExpiresEndedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := NewTracker()
		tracker.Begin(1, false)
		tracker.End(1, Ran)
		tracker.Begin(2, false) // never ends
		time.Sleep(retention)
		if got := tracker.State(1); got != Ran {
			t.Errorf("state %q at the end of the retention period", got)
		}
		time.Sleep(time.Second)
		if got := tracker.State(1); got != Unrecorded {
			t.Errorf("state %q after the retention period", got)
		}
		tracker.Begin(3, false)
		if tracker.requests[1] != nil || tracker.requests[2] == nil {
			t.Error("wrong requests after the sweep:", tracker.requests)
		}
	})
}

func TestRejection_ConsidersEarlierAttempts(t *testing.T) {
	overload, budgetExhausted := errcode.From(errcode.New(errcode.Overload, "")), errcode.From(errcode.New(errcode.BudgetExhausted, ""))
	responseLost := errcode.From(errcode.New(errcode.ResponseLost, ""))
	for name, test := range map[string]struct {
		state   State
		problem *errcode.Error
		want    int
	}{
		"first request":                {Unrecorded, overload, errcode.Overload.Number},
		"repeat of a running request":  {Running, overload, errcode.DuplicateInFlight.Number},
		"repeat of a lost request":     {Unknown, overload, errcode.DuplicateUnknown.Number},
		"repeat of a request that ran": {Ran, overload, errcode.DuplicateRan.Number},
		"over budget, request lost":    {Unknown, budgetExhausted, errcode.BudgetExhausted.Number},
		"over budget, request ran":     {Ran, budgetExhausted, errcode.DuplicateRan.Number},
		"attempt lost, request lost":   {Unknown, responseLost, errcode.ResponseLost.Number},
	} {
		t.Run(name, func(t *testing.T) {
			if got := Rejection(test.state, test.problem).Code.Number; got != test.want {
				t.Errorf("code %d, want %d", got, test.want)
			}
		})
	}
}

func TestStateAfter(t *testing.T) {
	for name, test := range map[string]struct {
		err  error
		want State
	}{
		"response":                     {nil, Ran},
		"nothing written":              {errcode.New(errcode.NotWritten, ""), Unrecorded},
		"lost response":                {errcode.New(errcode.ResponseLost, ""), Unknown},
		"repeat of a request that ran": {errcode.New(errcode.DuplicateRan, ""), Ran},
		"repeat of a running request":  {errcode.New(errcode.DuplicateInFlight, ""), Unrecorded},
		"repeat of a lost request":     {errcode.New(errcode.DuplicateUnknown, ""), Unknown},
		"overloaded proxy":             {errcode.New(errcode.Overload, ""), Unrecorded},
	} {
		t.Run(name, func(t *testing.T) {
			if got := StateAfter(test.err); got != test.want {
				t.Errorf("state %q, want %q", got, test.want)
			}
		})
	}
}

func TestKey_DependsOnMethodPathAndHeader(t *testing.T) {
	hashAndName := func(method, path, key string) (uint64, string) {
		r := httptest.NewRequest(method, path, nil)
		if key != "" {
			r.Header.Set(HeaderKey, key)
		}
		return HashOf(r), RecordName(r)
	}
	hash, name := hashAndName("POST", "/bookings?a=1", "k")
	if otherHash, otherName := hashAndName("POST", "/bookings?a=2", "k"); otherHash != hash || otherName != name {
		t.Error("the query changes the hash or the record name")
	}
	for _, other := range [][3]string{{"PUT", "/bookings", "k"}, {"POST", "/booking", "k"}, {"POST", "/bookings", "l"}} {
		if otherHash, otherName := hashAndName(other[0], other[1], other[2]); otherHash == hash || otherName == name {
			t.Error("same hash or record name for", other)
		}
	}
	if hash, _ := hashAndName("POST", "/bookings", ""); hash != 0 {
		t.Error("hash of a request without a key:", hash)
	}
}
