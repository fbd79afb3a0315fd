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
		"nothing":             {func(*Tracker) {}, Unheard},
		"begun":               {func(t *Tracker) { t.Begin(1, false) }, Running},
		"not written":         {func(t *Tracker) { t.Begin(1, false); t.End(1, Unheard) }, Unheard},
		"lost":                {func(t *Tracker) { t.Begin(1, false); t.End(1, Unknown) }, Unknown},
		"ran":                 {func(t *Tracker) { t.Begin(1, false); t.End(1, Ran) }, Ran},
		"ran, then lost":      {func(t *Tracker) { t.Begin(1, false); t.End(1, Ran); t.Begin(1, false); t.End(1, Unknown) }, Ran},
		"lost, then running":  {func(t *Tracker) { t.Begin(1, false); t.End(1, Unknown); t.Begin(1, false) }, Running},
		"lost, then unsent":   {func(t *Tracker) { t.Begin(1, false); t.End(1, Unknown); t.Begin(1, false); t.End(1, Unheard) }, Unknown},
		"two, one of them in": {func(t *Tracker) { t.Begin(1, false); t.Begin(1, false); t.End(1, Unheard) }, Running},
		"lost elsewhere":      {func(t *Tracker) { t.RecordPeerLosses([]uint64{1}) }, Unknown},
		"ran, lost elsewhere": {func(t *Tracker) { t.Begin(1, false); t.End(1, Ran); t.RecordPeerLosses([]uint64{1}) }, Ran},
		"another request":     {func(t *Tracker) { t.Begin(2, false); t.End(2, Ran) }, Unheard},
		"an end without one":  {func(t *Tracker) { t.End(1, Ran) }, Unheard},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := NewTracker()
			test.act(tracker)
			if got := tracker.State(1); got != test.want {
				t.Errorf("%q, not %q", got, test.want)
			}
		})
	}
}

func TestTracker_DeduplicatedRequestHasNoSecondAttempt(t *testing.T) {
	tracker := NewTracker()
	if before := tracker.Begin(1, true); before != Unheard {
		t.Fatalf("before the first attempt it is %q", before)
	}
	if before := tracker.Begin(1, true); before != Running {
		t.Errorf("before the second attempt it is %q", before)
	}
	tracker.End(1, Unheard)
	if got := tracker.State(1); got != Unheard {
		t.Errorf("the second attempt was recorded: %q", got)
	}
}

func TestTracker_RequestWithoutKeyIsNotTracked(t *testing.T) {
	tracker := NewTracker()
	for range 2 {
		if before := tracker.Begin(0, true); before != Unheard {
			t.Errorf("it is %q", before)
		}
	}
	tracker.End(0, Ran)
	if len(tracker.requests) > 0 {
		t.Error("it is held")
	}
}

func TestTracker_ForgetsWhatHasEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := NewTracker()
		tracker.Begin(1, false)
		tracker.End(1, Ran)
		tracker.Begin(2, false) // never ends
		time.Sleep(memory)
		if got := tracker.State(1); got != Ran {
			t.Errorf("at the end of the memory it is %q", got)
		}
		time.Sleep(time.Second)
		if got := tracker.State(1); got != Unheard {
			t.Errorf("after the end of the memory it is %q", got)
		}
		tracker.Begin(3, false)
		if tracker.requests[1] != nil || tracker.requests[2] == nil {
			t.Error("held are", tracker.requests)
		}
	})
}

func TestRefusal_IsTrueOfTheRequest(t *testing.T) {
	overload, spent := errcode.From(errcode.New(errcode.Overload, "")), errcode.From(errcode.New(errcode.BudgetExhausted, ""))
	lost := errcode.From(errcode.New(errcode.ResponseLost, ""))
	for name, test := range map[string]struct {
		state   State
		problem *errcode.Error
		want    int
	}{
		"a first request":                 {Unheard, overload, errcode.Overload.Number},
		"a repeat of one that runs":       {Running, overload, errcode.OrderInFlight.Number},
		"a repeat of a lost one":          {Unknown, overload, errcode.OrderUnknown.Number},
		"a repeat of one that ran":        {Ran, overload, errcode.OrderRan.Number},
		"over budget, and it was lost":    {Unknown, spent, errcode.BudgetExhausted.Number},
		"over budget, and it ran":         {Ran, spent, errcode.OrderRan.Number},
		"unknown already, and it was too": {Unknown, lost, errcode.ResponseLost.Number},
	} {
		t.Run(name, func(t *testing.T) {
			if got := Refusal(test.state, test.problem).Code.Number; got != test.want {
				t.Errorf("code %d, not %d", got, test.want)
			}
		})
	}
}

func TestStateAfter(t *testing.T) {
	for name, test := range map[string]struct {
		err  error
		want State
	}{
		"a response":              {nil, Ran},
		"nothing written":         {errcode.New(errcode.NotWritten, ""), Unheard},
		"a lost response":         {errcode.New(errcode.ResponseLost, ""), Unknown},
		"a repeat of what ran":    {errcode.New(errcode.OrderRan, ""), Ran},
		"a repeat of what runs":   {errcode.New(errcode.OrderInFlight, ""), Unheard},
		"a repeat of a lost one":  {errcode.New(errcode.OrderUnknown, ""), Unknown},
		"the proxy is overloaded": {errcode.New(errcode.Overload, ""), Unheard},
	} {
		t.Run(name, func(t *testing.T) {
			if got := StateAfter(test.err); got != test.want {
				t.Errorf("%q, not %q", got, test.want)
			}
		})
	}
}

func TestKey_IsOfMethodPathAndHeader(t *testing.T) {
	of := func(method, path, key string) (uint64, string) {
		r := httptest.NewRequest(method, path, nil)
		if key != "" {
			r.Header.Set(HeaderKey, key)
		}
		return HashOf(r), RecordName(r)
	}
	hash, name := of("POST", "/bookings?a=1", "k")
	if otherHash, otherName := of("POST", "/bookings?a=2", "k"); otherHash != hash || otherName != name {
		t.Error("the query makes another request of it")
	}
	for _, other := range [][3]string{{"PUT", "/bookings", "k"}, {"POST", "/booking", "k"}, {"POST", "/bookings", "l"}} {
		if otherHash, otherName := of(other[0], other[1], other[2]); otherHash == hash || otherName == name {
			t.Error("the same request as", other)
		}
	}
	if hash, _ := of("POST", "/bookings", ""); hash != 0 {
		t.Error("a request without a key has the hash", hash)
	}
}
