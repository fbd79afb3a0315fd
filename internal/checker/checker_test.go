package checker

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const s = time.Second

// validHistory returns a history that breaks no rule and has records for each rule to check.
func validHistory() []Record {
	return []Record{
		{Kind: ScenarioStarted, At: 1},
		{Kind: RequestCompleted, Start: 1 * s, At: 1*s + 9, CallID: "a", RequestID: "ra", Proxy: "p:1", Service: "bookings", Status: 200, Outcome: "ran", Digest: "d"},
		{Kind: RequestExecuted, At: 1*s + 5, CallID: "a", RequestID: "ra", Proxy: "p", Service: "bookings", ServerService: "bookings", Instance: "i1", Address: "x", Epoch: 3, Digest: "d"},
		{Kind: RequestCompleted, Start: 2 * s, At: 2*s + 9, CallID: "b", RequestID: "rb", Proxy: "p:1", Service: "bookings", Status: 503, Code: 1002, Outcome: "not run", RetryAfter: "1"},
		{Kind: DrainAcknowledged, At: 4 * s, Service: "bookings", Instance: "i1"},
		{Kind: ChangeSubmitted, Start: 5 * s, At: 5*s + 9, Name: "c1", BaseEpoch: 3, Epoch: 4, Outcome: "accepted", Names: []string{"c1"}, Destinations: map[string]string{"/c1": "bookings"}},
		{Kind: ChangeSubmitted, Start: 5 * s, At: 5*s + 9, Name: "c2", BaseEpoch: 3, Outcome: "refused", Code: 2002, Names: []string{"c2"}},
		{Kind: CoordinationCall, Start: 6 * s, At: 6*s + 9, Op: "acquire", Name: "l", Holder: "h1", FencingToken: 7, TTL: 2 * s, Outcome: "done"},
		{Kind: CoordinationCall, Start: 9 * s, At: 9*s + 9, Op: "acquire", Name: "l", Holder: "h2", FencingToken: 9, TTL: 2 * s, Outcome: "done"},
		{Kind: CoordinationCall, Start: 10 * s, At: 10*s + 9, Op: "add", Name: "n", Count: 1, Outcome: "done"},
		{Kind: CoordinationCall, Start: 11 * s, At: 11*s + 9, Op: "add", Name: "n", Count: 2, Outcome: "done"},
		{Kind: CoordinationCall, Start: 12 * s, At: 12*s + 9, Op: "put", Name: "k", Revision: 20, Outcome: "done"},
		{Kind: CoordinationCall, Start: 13 * s, At: 13*s + 9, Op: "get", Name: "k", Revision: 20, Outcome: "done"},
		{Kind: WatchResponse, Start: 13 * s, At: 13*s + 9, Name: "k", From: 19, Revision: 25, Revisions: []uint64{20}, Outcome: "done"},
		{Kind: CoordinationCall, Start: 14 * s, At: 14*s + 9, Op: "set", Name: "sp/a", RequestID: "v1", Digest: "v1", Revision: 1, Outcome: "done"},
		{Kind: CoordinationCall, Start: 15 * s, At: 15*s + 9, Op: "set", Name: "sp/a", RequestID: "v2", Digest: "v2", IsConditional: true, From: 1, Revision: 2, Outcome: "done"},
		{Kind: CoordinationCall, Start: 15 * s, At: 15*s + 9, Op: "set", Name: "sp/a", RequestID: "v0", Digest: "v0", IsConditional: true, From: 1, Outcome: "refused", Code: 3003},
		{Kind: CoordinationCall, Start: 16 * s, At: 16*s + 9, Op: "look", Name: "sp/a", Digest: "v2", Revision: 2, Outcome: "done"},
		{Kind: FollowResponse, Start: 16 * s, At: 16*s + 9, Name: "sp/", From: 0, Revision: 2, Revisions: []uint64{1, 2}, Names: []string{"sp/a v1", "sp/a v2"}, Outcome: "done"},
		{Kind: VersionedChange, Start: 14 * s, At: 14*s + 9, Name: "w1", Revision: 1, Digest: "w1", Epoch: 6, Outcome: "accepted"},
		{Kind: VersionedChange, Start: 15 * s, At: 15*s + 9, Name: "w2", Revision: 2, From: 1, Digest: "w2", Epoch: 7, Outcome: "accepted"},
		{Kind: VersionedChange, Start: 15 * s, At: 15*s + 9, Name: "w0", Revision: 2, From: 1, Digest: "w0", Outcome: "refused", Code: 2002},
		{Kind: ConfigurationRead, Start: 16 * s, At: 16*s + 9, Revision: 2, Epoch: 7, Destinations: map[string]string{"w1": "w1", "w2": "w2"}},
		{Kind: Recovery, Start: 20 * s, At: 24 * s, Outcome: "usable"},
		{Kind: ChangeQueried, Start: 25 * s, At: 25*s + 9, Name: "c1", Epoch: 4, Outcome: "accepted"},
		{Kind: FinalConfiguration, At: 26 * s, Names: []string{"first", "c1"}},
		{Kind: ScenarioEnded, At: 27 * s},
	}
}

// expectViolations checks that a history breaks exactly the given rules, in order of their names.
func expectViolations(t *testing.T, records []Record, want ...string) {
	t.Helper()
	result := Check(records)
	if diff := cmp.Diff(want, brokenRules(result)); diff != "" {
		t.Errorf("rules broken (-want +got):\n%s%s", diff, result)
	}
}

// brokenRules returns the name of each broken rule once.
func brokenRules(result *Result) []string {
	isListed := map[string]bool{}
	var list []string
	for _, violation := range result.Violations {
		if !isListed[violation.Rule] {
			isListed[violation.Rule] = true
			list = append(list, violation.Rule)
		}
	}
	return list
}

func TestCheck_ValidHistoryHasNoViolation(t *testing.T) {
	if v := Check(validHistory()); !v.IsValid() {
		t.Fatal(v)
	}
}

func TestCheck_EachRuleDetectsItsViolation(t *testing.T) {
	executed := func(call, request, service, serverService, instance string, at time.Duration, epoch uint64) Record {
		return Record{Kind: RequestExecuted, At: at, CallID: call, RequestID: request, Proxy: "p", Service: service, ServerService: serverService, Instance: instance, Epoch: epoch, Digest: "d"}
	}
	manyExtraAttempts := func() (list []Record) {
		for i := range 100 {
			list = append(list, Record{Kind: RequestExecuted, At: 15*s + time.Duration(i), CallID: "a", Idempotent: true, Service: "rates", ServerService: "rates", Instance: "j", Epoch: 9, Proxy: "q"})
		}
		return list
	}
	faultsByRule := map[string][]Record{
		"runs-twice":     {executed("a", "ra2", "bookings", "bookings", "i2", 2*s, 3)},
		"not-run":        {executed("b", "rb", "bookings", "bookings", "i2", 3*s, 3)},
		"wrong-answer":   {{Kind: RequestCompleted, At: 3 * s, CallID: "z", Status: 200, Outcome: "ran", Digest: "d"}},
		"late-hand-over": {executed("c", "rc", "bookings", "bookings", "i1", 6*s+100*time.Millisecond, 9)},
		"wrong-service":  {executed("c", "rc", "rates", "bookings", "i2", 3*s, 3)},
		"old-plan":       {executed("c", "rc", "bookings", "bookings", "i2", 7*s+100*time.Millisecond, 3)},
		"slid-back":      {executed("c", "rc", "bookings", "bookings", "i2", 1*s+100, 9), {Kind: RequestCompleted, Start: 1 * s, At: 1*s + 200, CallID: "c", RequestID: "rc", Proxy: "p:2", Outcome: "unknown"}, executed("d", "rd", "bookings", "bookings", "i2", 1*s+250, 8), {Kind: RequestCompleted, Start: 1*s + 201, At: 1*s + 300, CallID: "d", RequestID: "rd", Proxy: "p:2", Outcome: "unknown"}},
		"racing-changes": {{Kind: ChangeSubmitted, At: 6 * s, Name: "c3", BaseEpoch: 3, Epoch: 5, Outcome: "accepted"}},
		"whole-sets":     {{Kind: RequestExecuted, At: 9 * s, CallID: "w", RequestID: "rw", Proxy: "p", Path: "/c1/x", Service: "rates", ServerService: "rates", Instance: "i2", Epoch: 4}},
		"lost-change":    {{Kind: ChangeQueried, Start: 26 * s, At: 26*s + 9, Name: "c1", Outcome: "absent"}},
		"extra-tries":    manyExtraAttempts(),
		"dropped":        {{Kind: PlannedStopsOnly, At: 2}, {Kind: RequestCompleted, At: 3 * s, CallID: "y", Outcome: "unknown", Code: 1007}},
		"locks":          {{Kind: CoordinationCall, Start: 7 * s, At: 7*s + 9, Op: "acquire", Name: "l", Holder: "h3", FencingToken: 8, TTL: s, Outcome: "done"}},
		"counters":       {{Kind: CoordinationCall, Start: 14 * s, At: 14*s + 9, Op: "add", Name: "n", Count: 2, Outcome: "done"}},
		"counted":        {{Kind: CoordinationCall, Start: 14 * s, At: 14*s + 9, Op: "put", Name: "k7", Revision: 30, RequestID: "i", Outcome: "done"}, {Kind: CoordinationCall, Start: 14 * s, At: 14*s + 9, Op: "put", Name: "k7", Revision: 31, RequestID: "i", Outcome: "done"}},
		"stale-read":     {{Kind: CoordinationCall, Start: 14 * s, At: 14*s + 9, Op: "get", Name: "k", Revision: 19, Outcome: "done"}},
		"watch-gap":      {{Kind: WatchResponse, Start: 14 * s, At: 14*s + 9, Name: "k", From: 19, Revision: 25, Outcome: "done"}},
		"too-long":       {{Kind: Recovery, Start: 20 * s, At: 36 * s, Outcome: "usable"}},
		"replicas":       {{Kind: ReplicaDivergence, At: 3 * s, Note: "part 3"}},
		"sets":           {{Kind: CoordinationCall, Start: 14 * s, At: 14*s + 9, Op: "set", Name: "sp/b", RequestID: "v3", Digest: "v3", Revision: 2, Outcome: "done"}},
		"versions":       {{Kind: VersionedChange, Start: 14 * s, At: 14*s + 9, Name: "w3", Revision: 2, From: 1, Digest: "w3", Epoch: 9, Outcome: "accepted"}},
		"answered":       {{Kind: RequestCompleted, At: 3 * s, CallID: "y", RequestID: "ry", Status: 503, Code: 1002, Outcome: "not run"}},
	}
	for rule := range Rules {
		if faultsByRule[rule] == nil {
			t.Errorf("no violation is defined for rule %s", rule)
		}
	}
	for rule, faults := range faultsByRule {
		t.Run(rule, func(t *testing.T) {
			expectViolations(t, append(validHistory(), faults...), rule)
		})
	}
}

func TestCheck_RulesDetectFurtherViolations(t *testing.T) {
	executed := func(call, request string, at time.Duration) Record {
		return Record{Kind: RequestExecuted, At: at, CallID: call, RequestID: request, Proxy: "p", Service: "bookings", ServerService: "bookings", Instance: "i2", Epoch: 3, Digest: "d"}
	}
	for name, c := range map[string]struct {
		rule   string
		faults []Record
	}{
		"a refused change in force":                         {"racing-changes", []Record{{Kind: FinalConfiguration, At: 26 * s, Names: []string{"c2"}}}},
		"a retry executed on an at-most-once route":         {"runs-twice", []Record{{Kind: RequestCompleted, At: 3 * s, CallID: "a", IsRetry: true, AtMostOnce: true, Status: 409, Code: 1016, Outcome: "ran"}, {Kind: RequestExecuted, At: 3 * s, CallID: "a", RequestID: "rx", Proxy: "p", Service: "bookings", ServerService: "bookings", Instance: "i1", Epoch: 3}}},
		"an invalid change accepted":                        {"racing-changes", []Record{{Kind: ChangeSubmitted, At: 8 * s, Name: "c8", BaseEpoch: 5, Epoch: 6, Outcome: "accepted", Invalid: true}}},
		"absent, then accepted":                             {"racing-changes", []Record{{Kind: ChangeQueried, Start: 25 * s, At: 25*s + 9, Name: "c9", Outcome: "absent"}, {Kind: ChangeQueried, Start: 26 * s, At: 26*s + 9, Name: "c9", Outcome: "accepted", Epoch: 9}}},
		"a path of a change set without a route":            {"whole-sets", []Record{{Kind: RequestCompleted, At: 9 * s, CallID: "w", RequestID: "rw", Path: "/c1", Epoch: 5, Status: 404, Code: 1001, Outcome: "not run"}}},
		"a change set in two epochs":                        {"whole-sets", []Record{{Kind: ChangeQueried, Start: 25 * s, At: 25*s + 9, Name: "c1", Epoch: 6, Outcome: "accepted"}}},
		"a refused change set in use":                       {"whole-sets", []Record{{Kind: RequestExecuted, At: 6 * s, CallID: "w", RequestID: "rw", Proxy: "p", Path: "/c2", Service: "rates", ServerService: "rates", Instance: "i2", Epoch: 4}}},
		"a lower fencing token":                             {"locks", []Record{{Kind: CoordinationCall, Start: 14 * s, At: 14*s + 9, Op: "acquire", Name: "l", Holder: "h4", FencingToken: 3, TTL: s, Outcome: "done"}}},
		"a counter that decreases":                          {"counters", []Record{{Kind: CoordinationCall, Start: 14 * s, At: 14*s + 9, Op: "add", Name: "n", Count: 0, Outcome: "done"}}},
		"a watch rejected as too old for a young event":     {"watch-gap", []Record{{Kind: WatchResponse, Start: 20 * s, At: 20*s + 9, Name: "k", From: 15, Outcome: "too old"}}},
		"a request ID counted twice":                        {"counted", []Record{{Kind: CoordinationCall, Start: 12 * s, At: 12*s + 9, Op: "add", Name: "t", RequestID: "i", Outcome: "unknown"}, {Kind: CoordinationCall, Start: 14 * s, At: 14*s + 9, Op: "total", Name: "t", Count: 2, Outcome: "done"}}},
		"a request ID not counted":                          {"counted", []Record{{Kind: CoordinationCall, Start: 12 * s, At: 12*s + 9, Op: "add", Name: "t", RequestID: "i", Count: 1, Outcome: "done"}, {Kind: CoordinationCall, Start: 14 * s, At: 14*s + 9, Op: "total", Name: "t", Outcome: "done"}}},
		"a missing key that was not dropped":                {"stale-read", []Record{{Kind: CoordinationCall, Start: 14 * s, At: 14*s + 9, Op: "get", Name: "k", Outcome: "done"}}},
		"a dropped key in a get":                            {"stale-read", []Record{{Kind: CoordinationCall, Start: 14 * s, At: 14*s + 9, Op: "drop", Name: "k9", Revision: 30, Outcome: "done"}, {Kind: CoordinationCall, Start: 15 * s, At: 15*s + 9, Op: "get", Name: "k9", Revision: 29, Outcome: "done"}}},
		"a get of a value that was not written":             {"stale-read", []Record{{Kind: CoordinationCall, Start: 14 * s, At: 14*s + 9, Op: "put", Name: "k8", Revision: 30, Digest: "1", Outcome: "done"}, {Kind: CoordinationCall, Start: 15 * s, At: 15*s + 9, Op: "get", Name: "k8", Revision: 30, Digest: "2", Outcome: "done"}}},
		"a stale list":                                      {"stale-read", []Record{{Kind: CoordinationCall, Start: 14 * s, At: 14*s + 9, Op: "list", Name: "k", Revision: 19, Outcome: "done"}}},
		"a list without an acknowledged key":                {"stale-read", []Record{{Kind: CoordinationCall, Start: 14 * s, At: 14*s + 9, Op: "list", Name: "k", Revision: 29, Outcome: "done"}}},
		"a stale leader":                                    {"stale-read", []Record{{Kind: CoordinationCall, Start: 14 * s, At: 14*s + 9, Op: "leader", Name: "l", Holder: "h1", FencingToken: 7, Outcome: "done"}}},
		"two conditional puts over the same index":          {"stale-read", []Record{{Kind: CoordinationCall, Start: 14 * s, At: 14*s + 9, Op: "put", Name: "k6", IsConditional: true, Revision: 30, Outcome: "done"}, {Kind: CoordinationCall, Start: 14 * s, At: 14*s + 9, Op: "put", Name: "k6", IsConditional: true, Revision: 31, Outcome: "done"}}},
		"a watch that misses a drop":                        {"watch-gap", []Record{{Kind: CoordinationCall, Start: 14 * s, At: 14*s + 9, Op: "drop", Name: "sp/a", Revision: 30, Outcome: "done"}, {Kind: WatchResponse, Start: 15 * s, At: 15*s + 9, Name: "sp/", From: 29, Revision: 31, Outcome: "done"}}},
		"never usable":                                      {"too-long", []Record{{Kind: Recovery, Start: 20 * s, At: 21 * s, Outcome: "not usable"}}},
		"a request to a server without heartbeats":          {"late-hand-over", []Record{{Kind: HeartbeatsStopped, At: 3 * s, Service: "bookings", Instance: "i7"}, {Kind: RequestExecuted, At: 6*s + s, CallID: "c", RequestID: "rc", Service: "bookings", ServerService: "bookings", Instance: "i7", Epoch: 9}}},
		"one request executed twice":                        {"runs-twice", []Record{{Kind: RequestExecuted, At: 2 * s, CallID: "q", RequestID: "ra", Service: "bookings", ServerService: "bookings", Instance: "i2", Epoch: 3}}},
		"a success with a wrong body":                       {"wrong-answer", []Record{{Kind: RequestCompleted, At: 3 * s, CallID: "a", Status: 200, Outcome: "ran", Digest: "d", Note: "wrong answer"}}},
		"a not-run response without a request ID":           {"not-run", []Record{{Kind: RequestCompleted, At: 3 * s, CallID: "y", Status: 503, Code: 1002, Outcome: "not run", RetryAfter: "1"}}},
		"a not-run response to an executed attempt":         {"not-run", []Record{{Kind: RequestCompleted, Start: 2 * s, At: 2*s + 9, CallID: "k", RequestID: "r1", Proxy: "p:1", Status: 503, Code: 1006, Outcome: "not run", RetryAfter: "1"}, {Kind: RequestCompleted, Start: 3 * s, At: 3*s + 9, CallID: "k", RequestID: "r2", Proxy: "p:2", Status: 502, Code: 1007, Outcome: "unknown", RetryAfter: "1"}, executed("k", "r1", 2*s)}},
		"a not-run response to a retry of an executed call": {"not-run", []Record{{Kind: RequestCompleted, Start: 2 * s, At: 2*s + 9, CallID: "k", RequestID: "r1", Proxy: "p:1", Status: 502, Code: 1007, Outcome: "unknown", RetryAfter: "1"}, {Kind: RequestCompleted, Start: 3 * s, At: 3*s + 9, CallID: "k", RequestID: "r2", Proxy: "p:1", Status: 429, Code: 1005, Outcome: "not run", RetryAfter: "1"}, executed("k", "r1", 2*s)}},
		"a truncated upload":                                {"wrong-answer", []Record{{Kind: RequestCompleted, Start: 2 * s, At: 3 * s, CallID: "u", Outcome: "broken", Digest: "whole"}, {Kind: RequestExecuted, At: 2*s + 5, CallID: "u", RequestID: "ru", Proxy: "p", Service: "bookings", ServerService: "bookings", Instance: "i2", Epoch: 3, Digest: "half"}}},
		"a broken connection in a planned stop":             {"dropped", []Record{{Kind: PlannedStopsOnly, At: 2}, {Kind: RequestCompleted, At: 3 * s, CallID: "a", Outcome: "broken"}}},
	} {
		t.Run(name, func(t *testing.T) {
			expectViolations(t, append(validHistory(), c.faults...), c.rule)
		})
	}
}

// A restarted proxy can't know which requests it forwarded before the restart.
func TestFalseNotRun_RestartedProxyMayAnswerNotRun(t *testing.T) {
	v := Check(append(validHistory(),
		Record{Kind: RequestCompleted, Start: 2 * s, At: 2*s + 9, CallID: "k", RequestID: "r1", Proxy: "p:1", Status: 502, Code: 1007, Outcome: "unknown", RetryAfter: "1"},
		Record{Kind: RequestExecuted, At: 2 * s, CallID: "k", RequestID: "r1", Proxy: "p", Service: "bookings", ServerService: "bookings", Instance: "i2", Epoch: 3},
		Record{Kind: ProxyStarted, At: 2*s + 500, Proxy: "p:1"},
		Record{Kind: RequestCompleted, Start: 3 * s, At: 3*s + 9, CallID: "k", RequestID: "r2", Proxy: "p:1", Status: 503, Code: 1002, Outcome: "not run", RetryAfter: "1"}))
	if !v.IsValid() {
		t.Fatal(v)
	}
}

func TestCheck_HistoryWithoutEndIsIncomplete(t *testing.T) {
	records := validHistory()
	v := Check(records[:len(records)-1])
	if v.IsValid() || !strings.Contains(v.String(), "incomplete") {
		t.Fatal(v)
	}
}

func TestCheck_DetectsViolationsOfSpacesVersionsAndLeases(t *testing.T) {
	set := func(at time.Duration, id string, revision uint64) Record {
		return Record{Kind: CoordinationCall, Start: at, At: at + 9, Op: "set", Name: "sp/b", RequestID: id, Digest: id, Revision: revision, Outcome: "done"}
	}
	follow := func(from, to uint64, revisions []uint64, names ...string) Record {
		return Record{Kind: FollowResponse, Start: 17 * s, At: 17*s + 9, Name: "sp/", From: from, Revision: to, Revisions: revisions, Names: names, Outcome: "done"}
	}
	version := func(at time.Duration, id string, number, over uint64, outcome string) Record {
		return Record{Kind: VersionedChange, Start: at, At: at + 9, Name: id, Revision: number, From: over, Digest: id, Epoch: 9, Outcome: outcome}
	}
	readBack := func(number uint64, destinations map[string]string) Record {
		return Record{Kind: ConfigurationRead, Start: 18 * s, At: 18*s + 9, Revision: number, Destinations: destinations}
	}
	allChanges := map[string]string{"w1": "w1", "w2": "w2"}
	conditional := set(17*s, "v4", 4)
	conditional.IsConditional, conditional.From, conditional.Name = true, 1, "sp/a"
	repeated := set(17*s, "v2", 3)
	repeated.Name = "sp/a"
	lockCall := func(op, holder string, at, ttl time.Duration, token uint64) Record {
		return Record{Kind: CoordinationCall, Start: at, At: at + 9, Op: op, Name: "hold/a", Holder: holder, FencingToken: token, TTL: ttl, Outcome: "done"}
	}
	unanswered := func(r Record) Record {
		r.Outcome, r.At = OutcomeUnknown, r.Start+s
		return r
	}
	for name, c := range map[string]struct {
		rule   string
		faults []Record
	}{
		"a skipped revision":                                                                {"sets", []Record{set(17*s, "v3", 4)}},
		"a later set with a lower revision":                                                 {"sets", []Record{set(10*s, "v3", 4), set(17*s, "v4", 3)}},
		"a conditional set over a later revision":                                           {"sets", []Record{{Kind: CoordinationCall, Start: 17 * s, At: 17*s + 9, Op: "set", Name: "sp/c", RequestID: "v3", Digest: "v3", Revision: 3, Outcome: "done"}, conditional}},
		"a repeated set with a new revision":                                                {"counted", []Record{repeated}},
		"a follower that misses a revision":                                                 {"sets", []Record{follow(0, 2, []uint64{2}, "sp/a v2")}},
		"a follower that continues past a missing revision":                                 {"sets", []Record{follow(1, 3, []uint64{2}, "sp/a v2")}},
		"a follower that gets a refused set":                                                {"sets", []Record{follow(2, 3, []uint64{3}, "sp/a v0")}},
		"a follower that gets a set of another key":                                         {"sets", []Record{follow(1, 2, []uint64{2}, "sp/b v2")}},
		"a follower rejected as too old for a young event":                                  {"sets", []Record{{Kind: FollowResponse, Start: 17 * s, At: 17*s + 9, Name: "sp/", From: 1, Outcome: "too old"}}},
		"a read of an older revision":                                                       {"sets", []Record{{Kind: CoordinationCall, Start: 17 * s, At: 17*s + 9, Op: "look", Name: "sp/a", Digest: "v1", Revision: 1, Outcome: "done"}}},
		"a read of a value that was not set":                                                {"sets", []Record{{Kind: CoordinationCall, Start: 17 * s, At: 17*s + 9, Op: "look", Name: "sp/a", Digest: "v1", Revision: 2, Outcome: "done"}}},
		"a change over a refused version":                                                   {"versions", []Record{version(17*s, "w8", 8, 2, "refused"), version(17*s, "w9", 9, 8, "accepted")}},
		"a change that skips another":                                                       {"versions", []Record{version(17*s, "w9", 9, 0, "accepted")}},
		"a refused change in force":                                                         {"versions", []Record{readBack(2, map[string]string{"w0": "w0", "w1": "w1", "w2": "w2"})}},
		"a change read back with a different digest":                                        {"versions", []Record{readBack(2, map[string]string{"w1": "w1", "w2": "w1"})}},
		"a lost change":                                                                     {"versions", []Record{readBack(1, allChanges)}},
		"a version without its change":                                                      {"versions", []Record{readBack(2, map[string]string{"w1": "w1"})}},
		"a version in force that was never sent":                                            {"versions", []Record{readBack(7, allChanges)}},
		"a refused change accepted later":                                                   {"versions", []Record{version(17*s, "w0", 3, 2, "accepted")}},
		"a lock granted before a longer renewal expires":                                    {"locks", []Record{lockCall("acquire", "one", 14*s, s/10, 40), lockCall("renew", "one", 14*s+50, 3*s, 40), lockCall("acquire", "two", 16*s, s, 41)}},
		"a lock granted after a shorter renewal of a longer grant":                          {"locks", []Record{lockCall("acquire", "one", 14*s, 3*s, 40), lockCall("renew", "one", 14*s+50, s/10, 40), lockCall("acquire", "two", 16*s, s, 41)}},
		"a lock granted while its holder has acquired it again after an unanswered release": {"locks", []Record{lockCall("acquire", "one", 14*s, 3*s, 40), unanswered(lockCall("release", "one", 14*s+50, 0, 40)), lockCall("acquire", "one", 15*s+100, 3*s, 40), lockCall("acquire", "two", 16*s, s, 41)}},
		"a lock granted to another within a holding before the latest":                      {"locks", []Record{lockCall("acquire", "one", 14*s, 9*s, 40), lockCall("acquire", "one", 15*s, s/10, 40), lockCall("acquire", "two", 16*s, s/10, 41), lockCall("acquire", "three", 17*s, s, 42)}},
		"a lower token for a request sent after the other's grant":                          {"locks", []Record{lockCall("acquire", "one", 14*s, s/10, 40), lockCall("acquire", "two", 16*s, s/10, 41), lockCall("acquire", "one", 17*s, s, 40)}},
		"the token of another holder":                                                       {"locks", []Record{lockCall("acquire", "one", 14*s, s/10, 40), lockCall("acquire", "two", 16*s, s, 40)}},
		"rejected attempts beyond the budget": {"extra-tries", func() (list []Record) {
			for i := range 100 {
				list = append(list, Record{Kind: RequestRejected, At: 15*s + time.Duration(i), CallID: "x", RequestID: "rx", PerAttempt: true, Service: "rates", ServerService: "rates", Instance: "j"})
			}
			return list
		}()},
		"a server without heartbeats past its own timeout": {"late-hand-over", []Record{{Kind: HeartbeatsStopped, At: 3 * s, Service: "bookings", Instance: "i7", TTL: 4500 * time.Millisecond}, {Kind: RequestExecuted, At: 10 * s, CallID: "c", RequestID: "rc", Service: "bookings", ServerService: "bookings", Instance: "i7", Epoch: 9}}},
	} {
		t.Run(name, func(t *testing.T) {
			expectViolations(t, append(validHistory(), c.faults...), c.rule)
		})
	}
}

// A client that releases a lock does not hold it from then on, whatever the release's outcome; one
// that acquires it again may get the same token.
func TestCheck_LockReleasedAndAcquiredAgainIsValid(t *testing.T) {
	call := func(op, holder string, at, ttl time.Duration, token uint64, outcome string) Record {
		return Record{Kind: CoordinationCall, Start: at, At: at + 9, Op: op, Name: "hold/a", Holder: holder, FencingToken: token, TTL: ttl, Outcome: outcome}
	}
	v := Check(append(validHistory(),
		call("acquire", "one", 14*s, 9*s, 40, OutcomeDone),
		call("release", "one", 15*s, 0, 40, OutcomeUnknown),
		call("acquire", "one", 16*s, s, 40, OutcomeDone),
		call("release", "one", 16*s+100, 0, 40, OutcomeRefused),
		call("acquire", "two", 16*s+200, s, 41, OutcomeDone)))
	if !v.IsValid() {
		t.Fatal(v)
	}
}

// The response to a request that was granted first may arrive after the next grant, when the first
// holding has ended.
func TestCheck_LockGrantWithLateResponseIsValid(t *testing.T) {
	late := Record{Kind: CoordinationCall, Start: 14 * s, At: 15 * s, Op: "acquire", Name: "hold/a", Holder: "one", FencingToken: 40, TTL: s / 10, Outcome: "done"}
	next := Record{Kind: CoordinationCall, Start: 14*s + s/2, At: 14*s + s/2 + 9, Op: "acquire", Name: "hold/a", Holder: "two", FencingToken: 41, TTL: 3 * s, Outcome: "done"}
	v := Check(append(validHistory(), next, late))
	if !v.IsValid() {
		t.Fatal(v)
	}
}

// Requests to a target whose heartbeats stopped for less than its TTL are valid, and so is a
// "not run" outcome of a retry if outcomes describe single attempts.
func TestCheck_PerAttemptOutcomesAndTargetTimeoutsAreValid(t *testing.T) {
	v := Check(append(validHistory(),
		Record{Kind: HeartbeatsStopped, At: 3 * s, Service: "bookings", Instance: "i7", TTL: 4500 * time.Millisecond},
		Record{Kind: RequestExecuted, At: 9 * s, CallID: "c", RequestID: "rc", Service: "bookings", ServerService: "bookings", Instance: "i7", Epoch: 9},
		Record{Kind: RequestCompleted, Start: 2 * s, At: 2*s + 9, CallID: "k", RequestID: "r1", Proxy: "p:1", Status: 502, Code: 1007, Outcome: "unknown", RetryAfter: "1", PerAttempt: true},
		Record{Kind: RequestCompleted, Start: 3 * s, At: 3*s + 9, CallID: "k", RequestID: "r2", Proxy: "p:1", Status: 503, Code: 1006, Outcome: "not run", RetryAfter: "1", PerAttempt: true},
		Record{Kind: RequestExecuted, At: 2 * s, CallID: "k", RequestID: "r1", Proxy: "p:1", Service: "bookings", ServerService: "bookings", Instance: "i2", Epoch: 3, PerAttempt: true}))
	if !v.IsValid() {
		t.Fatal(v)
	}
}
