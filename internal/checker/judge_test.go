// Each checker is seen to pass a sound history and to fail on a planted fault.
package checker

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const s = time.Second

func sound() []Record {
	return []Record{
		{Kind: Began, At: 1},
		{Kind: Called, Start: 1 * s, At: 1*s + 9, Call: "a", Request: "ra", Proxy: "p:1", Service: "bookings", Status: 200, Outcome: "ran", Digest: "d"},
		{Kind: Ran, At: 1*s + 5, Call: "a", Request: "ra", Proxy: "p", Service: "bookings", Owner: "bookings", Instance: "i1", Address: "x", Epoch: 3, Digest: "d"},
		{Kind: Called, Start: 2 * s, At: 2*s + 9, Call: "b", Request: "rb", Proxy: "p:1", Service: "bookings", Status: 503, Code: 1002, Outcome: "not run", RetryAfter: "1"},
		{Kind: Known, At: 4 * s, Service: "bookings", Instance: "i1"},
		{Kind: Changed, Start: 5 * s, At: 5*s + 9, Name: "c1", Base: 3, Epoch: 4, Outcome: "accepted", Names: []string{"c1"}, Lead: map[string]string{"/c1": "bookings"}},
		{Kind: Changed, Start: 5 * s, At: 5*s + 9, Name: "c2", Base: 3, Outcome: "refused", Code: 2002, Names: []string{"c2"}},
		{Kind: Bonded, Start: 6 * s, At: 6*s + 9, Op: "acquire", Name: "l", Holder: "h1", Fence: 7, Ttl: 2 * s, Outcome: "done"},
		{Kind: Bonded, Start: 9 * s, At: 9*s + 9, Op: "acquire", Name: "l", Holder: "h2", Fence: 9, Ttl: 2 * s, Outcome: "done"},
		{Kind: Bonded, Start: 10 * s, At: 10*s + 9, Op: "add", Name: "n", Count: 1, Outcome: "done"},
		{Kind: Bonded, Start: 11 * s, At: 11*s + 9, Op: "add", Name: "n", Count: 2, Outcome: "done"},
		{Kind: Bonded, Start: 12 * s, At: 12*s + 9, Op: "put", Name: "k", Stamp: 20, Outcome: "done"},
		{Kind: Bonded, Start: 13 * s, At: 13*s + 9, Op: "get", Name: "k", Stamp: 20, Outcome: "done"},
		{Kind: Watched, Start: 13 * s, At: 13*s + 9, Name: "k", From: 19, Stamp: 25, Stamps: []uint64{20}, Outcome: "done"},
		{Kind: Bonded, Start: 14 * s, At: 14*s + 9, Op: "set", Name: "sp/a", Request: "v1", Digest: "v1", Stamp: 1, Outcome: "done"},
		{Kind: Bonded, Start: 15 * s, At: 15*s + 9, Op: "set", Name: "sp/a", Request: "v2", Digest: "v2", IsIf: true, From: 1, Stamp: 2, Outcome: "done"},
		{Kind: Bonded, Start: 15 * s, At: 15*s + 9, Op: "set", Name: "sp/a", Request: "v0", Digest: "v0", IsIf: true, From: 1, Outcome: "refused", Code: 3003},
		{Kind: Bonded, Start: 16 * s, At: 16*s + 9, Op: "look", Name: "sp/a", Digest: "v2", Stamp: 2, Outcome: "done"},
		{Kind: Followed, Start: 16 * s, At: 16*s + 9, Name: "sp/", From: 0, Stamp: 2, Stamps: []uint64{1, 2}, Names: []string{"sp/a v1", "sp/a v2"}, Outcome: "done"},
		{Kind: Version, Start: 14 * s, At: 14*s + 9, Name: "w1", Stamp: 1, Digest: "w1", Epoch: 6, Outcome: "accepted"},
		{Kind: Version, Start: 15 * s, At: 15*s + 9, Name: "w2", Stamp: 2, From: 1, Digest: "w2", Epoch: 7, Outcome: "accepted"},
		{Kind: Version, Start: 15 * s, At: 15*s + 9, Name: "w0", Stamp: 2, From: 1, Digest: "w0", Outcome: "refused", Code: 2002},
		{Kind: ReadBack, Start: 16 * s, At: 16*s + 9, Stamp: 2, Epoch: 7, Lead: map[string]string{"w1": "w1", "w2": "w2"}},
		{Kind: Rescue, Start: 20 * s, At: 24 * s, Outcome: "usable"},
		{Kind: Asked, Start: 25 * s, At: 25*s + 9, Name: "c1", Epoch: 4, Outcome: "accepted"},
		{Kind: InForce, At: 26 * s, Names: []string{"first", "c1"}},
		{Kind: Ended, At: 27 * s},
	}
}

func rules(v *Verdict) []string {
	seen := map[string]bool{}
	var list []string
	for _, b := range v.Breaches {
		if !seen[b.Rule] {
			seen[b.Rule] = true
			list = append(list, b.Rule)
		}
	}
	return list
}

func TestSoundHistoryIsClean(t *testing.T) {
	if v := Judge(sound()); !v.IsClean() {
		t.Fatal(v)
	}
}

func TestEveryCheckerSeesItsFault(t *testing.T) {
	ran := func(call, request, service, owner, instance string, at time.Duration, epoch uint64) Record {
		return Record{Kind: Ran, At: at, Call: call, Request: request, Proxy: "p", Service: service, Owner: owner, Instance: instance, Epoch: epoch, Digest: "d"}
	}
	many := func() (list []Record) {
		for i := range 100 {
			list = append(list, Record{Kind: Ran, At: 15*s + time.Duration(i), Call: "a", Repeatable: true, Service: "rates", Owner: "rates", Instance: "j", Epoch: 9, Proxy: "q"})
		}
		return list
	}
	planted := map[string][]Record{
		"runs-twice":     {ran("a", "ra2", "bookings", "bookings", "i2", 2*s, 3)},
		"not-run":        {ran("b", "rb", "bookings", "bookings", "i2", 3*s, 3)},
		"wrong-answer":   {{Kind: Called, At: 3 * s, Call: "z", Status: 200, Outcome: "ran", Digest: "d"}},
		"late-hand-over": {ran("c", "rc", "bookings", "bookings", "i1", 6*s+100*time.Millisecond, 9)},
		"wrong-service":  {ran("c", "rc", "rates", "bookings", "i2", 3*s, 3)},
		"old-plan":       {ran("c", "rc", "bookings", "bookings", "i2", 7*s+100*time.Millisecond, 3)},
		"slid-back":      {ran("c", "rc", "bookings", "bookings", "i2", 1*s+100, 9), {Kind: Called, Start: 1 * s, At: 1*s + 200, Call: "c", Request: "rc", Proxy: "p:2", Outcome: "unknown"}, ran("d", "rd", "bookings", "bookings", "i2", 1*s+250, 8), {Kind: Called, Start: 1*s + 201, At: 1*s + 300, Call: "d", Request: "rd", Proxy: "p:2", Outcome: "unknown"}},
		"racing-changes": {{Kind: Changed, At: 6 * s, Name: "c3", Base: 3, Epoch: 5, Outcome: "accepted"}},
		"whole-sets":     {{Kind: Ran, At: 9 * s, Call: "w", Request: "rw", Proxy: "p", Mapping: "/c1/x", Service: "rates", Owner: "rates", Instance: "i2", Epoch: 4}},
		"lost-change":    {{Kind: Asked, Start: 26 * s, At: 26*s + 9, Name: "c1", Outcome: "absent"}},
		"extra-tries":    many(),
		"dropped":        {{Kind: Harmless, At: 2}, {Kind: Called, At: 3 * s, Call: "y", Outcome: "unknown", Code: 1007}},
		"locks":          {{Kind: Bonded, Start: 7 * s, At: 7*s + 9, Op: "acquire", Name: "l", Holder: "h3", Fence: 8, Ttl: s, Outcome: "done"}},
		"counters":       {{Kind: Bonded, Start: 14 * s, At: 14*s + 9, Op: "add", Name: "n", Count: 2, Outcome: "done"}},
		"counted":        {{Kind: Bonded, Start: 14 * s, At: 14*s + 9, Op: "put", Name: "k7", Stamp: 30, Request: "i", Outcome: "done"}, {Kind: Bonded, Start: 14 * s, At: 14*s + 9, Op: "put", Name: "k7", Stamp: 31, Request: "i", Outcome: "done"}},
		"stale-read":     {{Kind: Bonded, Start: 14 * s, At: 14*s + 9, Op: "get", Name: "k", Stamp: 19, Outcome: "done"}},
		"watch-gap":      {{Kind: Watched, Start: 14 * s, At: 14*s + 9, Name: "k", From: 19, Stamp: 25, Outcome: "done"}},
		"too-long":       {{Kind: Rescue, Start: 20 * s, At: 36 * s, Outcome: "usable"}},
		"replicas":       {{Kind: Differ, At: 3 * s, Note: "part 3"}},
		"sets":           {{Kind: Bonded, Start: 14 * s, At: 14*s + 9, Op: "set", Name: "sp/b", Request: "v3", Digest: "v3", Stamp: 2, Outcome: "done"}},
		"versions":       {{Kind: Version, Start: 14 * s, At: 14*s + 9, Name: "w3", Stamp: 2, From: 1, Digest: "w3", Epoch: 9, Outcome: "accepted"}},
		"answered":       {{Kind: Called, At: 3 * s, Call: "y", Request: "ry", Status: 503, Code: 1002, Outcome: "not run"}},
	}
	for rule := range Checks {
		if planted[rule] == nil {
			t.Errorf("no fault is planted for %s", rule)
		}
	}
	for rule, faults := range planted {
		t.Run(rule, func(t *testing.T) {
			v := Judge(append(sound(), faults...))
			if diff := cmp.Diff([]string{rule}, rules(v)); diff != "" {
				t.Errorf("rules broken (-want +got):\n%s%s", diff, v)
			}
		})
	}
}

func TestOtherFaultsOfTheSameRules(t *testing.T) {
	ran := func(call, request string, at time.Duration) Record {
		return Record{Kind: Ran, At: at, Call: call, Request: request, Proxy: "p", Service: "bookings", Owner: "bookings", Instance: "i2", Epoch: 3, Digest: "d"}
	}
	for name, c := range map[string]struct {
		rule   string
		faults []Record
	}{
		"a refused change in force":             {"racing-changes", []Record{{Kind: InForce, At: 26 * s, Names: []string{"c2"}}}},
		"a repeated order that was to run once": {"runs-twice", []Record{{Kind: Called, At: 3 * s, Call: "a", Repeat: true, Once: true, Status: 409, Code: 1016, Outcome: "ran"}, {Kind: Ran, At: 3 * s, Call: "a", Request: "rx", Proxy: "p", Service: "bookings", Owner: "bookings", Instance: "i1", Epoch: 3}}},
		"an invalid change accepted":            {"racing-changes", []Record{{Kind: Changed, At: 8 * s, Name: "c8", Base: 5, Epoch: 6, Outcome: "accepted", Invalid: true}}},
		"absent, then accepted":                 {"racing-changes", []Record{{Kind: Asked, Start: 25 * s, At: 25*s + 9, Name: "c9", Outcome: "absent"}, {Kind: Asked, Start: 26 * s, At: 26*s + 9, Name: "c9", Outcome: "accepted", Epoch: 9}}},
		"a path of a set that is not there":     {"whole-sets", []Record{{Kind: Called, At: 9 * s, Call: "w", Request: "rw", Mapping: "/c1", Epoch: 5, Status: 404, Code: 1001, Outcome: "not run"}}},
		"a set that is in two epochs":           {"whole-sets", []Record{{Kind: Asked, Start: 25 * s, At: 25*s + 9, Name: "c1", Epoch: 6, Outcome: "accepted"}}},
		"a refused set at work":                 {"whole-sets", []Record{{Kind: Ran, At: 6 * s, Call: "w", Request: "rw", Proxy: "p", Mapping: "/c2", Service: "rates", Owner: "rates", Instance: "i2", Epoch: 4}}},
		"a fence that shrinks":                  {"locks", []Record{{Kind: Bonded, Start: 14 * s, At: 14*s + 9, Op: "acquire", Name: "l", Holder: "h4", Fence: 3, Ttl: s, Outcome: "done"}}},
		"a count that goes backward":            {"counters", []Record{{Kind: Bonded, Start: 14 * s, At: 14*s + 9, Op: "add", Name: "n", Count: 0, Outcome: "done"}}},
		"a young event told too old":            {"watch-gap", []Record{{Kind: Watched, Start: 20 * s, At: 20*s + 9, Name: "k", From: 15, Outcome: "too old"}}},
		"a counter that counts an id twice":     {"counted", []Record{{Kind: Bonded, Start: 12 * s, At: 12*s + 9, Op: "add", Name: "t", Request: "i", Outcome: "unknown"}, {Kind: Bonded, Start: 14 * s, At: 14*s + 9, Op: "total", Name: "t", Count: 2, Outcome: "done"}}},
		"a counter that lost an id":             {"counted", []Record{{Kind: Bonded, Start: 12 * s, At: 12*s + 9, Op: "add", Name: "t", Request: "i", Count: 1, Outcome: "done"}, {Kind: Bonded, Start: 14 * s, At: 14*s + 9, Op: "total", Name: "t", Outcome: "done"}}},
		"a key that is gone undropped":          {"stale-read", []Record{{Kind: Bonded, Start: 14 * s, At: 14*s + 9, Op: "get", Name: "k", Outcome: "done"}}},
		"a dropped key that is read":            {"stale-read", []Record{{Kind: Bonded, Start: 14 * s, At: 14*s + 9, Op: "drop", Name: "k9", Stamp: 30, Outcome: "done"}, {Kind: Bonded, Start: 15 * s, At: 15*s + 9, Op: "get", Name: "k9", Stamp: 29, Outcome: "done"}}},
		"a value that was not written":          {"stale-read", []Record{{Kind: Bonded, Start: 14 * s, At: 14*s + 9, Op: "put", Name: "k8", Stamp: 30, Digest: "1", Outcome: "done"}, {Kind: Bonded, Start: 15 * s, At: 15*s + 9, Op: "get", Name: "k8", Stamp: 30, Digest: "2", Outcome: "done"}}},
		"a list that is old":                    {"stale-read", []Record{{Kind: Bonded, Start: 14 * s, At: 14*s + 9, Op: "list", Name: "k", Stamp: 19, Outcome: "done"}}},
		"a list that lacks a key":               {"stale-read", []Record{{Kind: Bonded, Start: 14 * s, At: 14*s + 9, Op: "list", Name: "k", Stamp: 29, Outcome: "done"}}},
		"a leader of the past":                  {"stale-read", []Record{{Kind: Bonded, Start: 14 * s, At: 14*s + 9, Op: "leader", Name: "l", Holder: "h1", Fence: 7, Outcome: "done"}}},
		"two who set on one condition":          {"stale-read", []Record{{Kind: Bonded, Start: 14 * s, At: 14*s + 9, Op: "put", Name: "k6", IsIf: true, Stamp: 30, Outcome: "done"}, {Kind: Bonded, Start: 14 * s, At: 14*s + 9, Op: "put", Name: "k6", IsIf: true, Stamp: 31, Outcome: "done"}}},
		"a watch of a space that lacks a drop":  {"watch-gap", []Record{{Kind: Bonded, Start: 14 * s, At: 14*s + 9, Op: "drop", Name: "sp/a", Stamp: 30, Outcome: "done"}, {Kind: Watched, Start: 15 * s, At: 15*s + 9, Name: "sp/", From: 29, Stamp: 31, Outcome: "done"}}},
		"never usable":                          {"too-long", []Record{{Kind: Rescue, Start: 20 * s, At: 21 * s, Outcome: "not usable"}}},
		"a request by a silent server":          {"late-hand-over", []Record{{Kind: Silent, At: 3 * s, Service: "bookings", Instance: "i7"}, {Kind: Ran, At: 6*s + s, Call: "c", Request: "rc", Service: "bookings", Owner: "bookings", Instance: "i7", Epoch: 9}}},
		"one request handed over again":         {"runs-twice", []Record{{Kind: Ran, At: 2 * s, Call: "q", Request: "ra", Service: "bookings", Owner: "bookings", Instance: "i2", Epoch: 3}}},
		"a success of another's body":           {"wrong-answer", []Record{{Kind: Called, At: 3 * s, Call: "a", Status: 200, Outcome: "ran", Digest: "d", Note: "wrong answer"}}},
		"a refusal without its id":              {"not-run", []Record{{Kind: Called, At: 3 * s, Call: "y", Status: 503, Code: 1002, Outcome: "not run", RetryAfter: "1"}}},
		"one of two tries that is told wrong":   {"not-run", []Record{{Kind: Called, Start: 2 * s, At: 2*s + 9, Call: "k", Request: "r1", Proxy: "p:1", Status: 503, Code: 1006, Outcome: "not run", RetryAfter: "1"}, {Kind: Called, Start: 3 * s, At: 3*s + 9, Call: "k", Request: "r2", Proxy: "p:2", Status: 502, Code: 1007, Outcome: "unknown", RetryAfter: "1"}, ran("k", "r1", 2*s)}},
		"a repeat that is told of its try only": {"not-run", []Record{{Kind: Called, Start: 2 * s, At: 2*s + 9, Call: "k", Request: "r1", Proxy: "p:1", Status: 502, Code: 1007, Outcome: "unknown", RetryAfter: "1"}, {Kind: Called, Start: 3 * s, At: 3*s + 9, Call: "k", Request: "r2", Proxy: "p:1", Status: 429, Code: 1005, Outcome: "not run", RetryAfter: "1"}, ran("k", "r1", 2*s)}},
		"an upload that is short":               {"wrong-answer", []Record{{Kind: Called, Start: 2 * s, At: 3 * s, Call: "u", Outcome: "broken", Digest: "whole"}, {Kind: Ran, At: 2*s + 5, Call: "u", Request: "ru", Proxy: "p", Service: "bookings", Owner: "bookings", Instance: "i2", Epoch: 3, Digest: "half"}}},
		"a broken call in a planned stop":       {"dropped", []Record{{Kind: Harmless, At: 2}, {Kind: Called, At: 3 * s, Call: "a", Outcome: "broken"}}},
	} {
		t.Run(name, func(t *testing.T) {
			v := Judge(append(sound(), c.faults...))
			if diff := cmp.Diff([]string{c.rule}, rules(v)); diff != "" {
				t.Errorf("rules broken (-want +got):\n%s%s", diff, v)
			}
		})
	}
}

// A proxy that was started anew can't know what its earlier life handed over.
func TestARepeatAfterAProxysRestartIsToldOfItsTry(t *testing.T) {
	v := Judge(append(sound(),
		Record{Kind: Called, Start: 2 * s, At: 2*s + 9, Call: "k", Request: "r1", Proxy: "p:1", Status: 502, Code: 1007, Outcome: "unknown", RetryAfter: "1"},
		Record{Kind: Ran, At: 2 * s, Call: "k", Request: "r1", Proxy: "p", Service: "bookings", Owner: "bookings", Instance: "i2", Epoch: 3},
		Record{Kind: Alive, At: 2*s + 500, Proxy: "p:1"},
		Record{Kind: Called, Start: 3 * s, At: 3*s + 9, Call: "k", Request: "r2", Proxy: "p:1", Status: 503, Code: 1002, Outcome: "not run", RetryAfter: "1"}))
	if !v.IsClean() {
		t.Fatal(v)
	}
}

func TestHistoryWithoutEndProvesNothing(t *testing.T) {
	records := sound()
	v := Judge(records[:len(records)-1])
	if v.IsClean() || !strings.Contains(v.String(), "incomplete") {
		t.Fatal(v)
	}
}
