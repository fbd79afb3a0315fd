// More planted faults: spaces, versions, timed locks, and proxies in touch.
package checker

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestFaultsOfSpacesVersionsAndTimedLocksAreSeen(t *testing.T) {
	set := func(at time.Duration, id string, rev uint64) Record {
		return Record{Kind: CoordinationCall, Start: at, At: at + 9, Op: "set", Name: "sp/b", RequestID: id, Digest: id, Revision: rev, Outcome: "done"}
	}
	follow := func(from, to uint64, revs []uint64, names ...string) Record {
		return Record{Kind: FollowResponse, Start: 17 * s, At: 17*s + 9, Name: "sp/", From: from, Revision: to, Revisions: revs, Names: names, Outcome: "done"}
	}
	version := func(at time.Duration, id string, number, over uint64, outcome string) Record {
		return Record{Kind: VersionedChange, Start: at, At: at + 9, Name: id, Revision: number, From: over, Digest: id, Epoch: 9, Outcome: outcome}
	}
	back := func(number uint64, lead map[string]string) Record {
		return Record{Kind: ConfigurationRead, Start: 18 * s, At: 18*s + 9, Revision: number, Destinations: lead}
	}
	both := map[string]string{"w1": "w1", "w2": "w2"}
	conditional := set(17*s, "v4", 4)
	conditional.IsConditional, conditional.From, conditional.Name = true, 1, "sp/a"
	again := set(17*s, "v2", 3)
	again.Name = "sp/a"
	renew := func(op, holder string, at, ttl time.Duration, fence uint64) Record {
		return Record{Kind: CoordinationCall, Start: at, At: at + 9, Op: op, Name: "hold/a", Holder: holder, FencingToken: fence, TTL: ttl, Outcome: "done"}
	}
	for name, c := range map[string]struct {
		rule   string
		faults []Record
	}{
		"a revision that leaves one out":                 {"sets", []Record{set(17*s, "v3", 4)}},
		"a later set with a lower revision":              {"sets", []Record{set(10*s, "v3", 4), set(17*s, "v4", 3)}},
		"a condition that a later revision broke":        {"sets", []Record{{Kind: CoordinationCall, Start: 17 * s, At: 17*s + 9, Op: "set", Name: "sp/c", RequestID: "v3", Digest: "v3", Revision: 3, Outcome: "done"}, conditional}},
		"a repeated set with a new revision":             {"counted", []Record{again}},
		"a follower that misses one":                     {"sets", []Record{follow(0, 2, []uint64{2}, "sp/a v2")}},
		"a follower sent on past one":                    {"sets", []Record{follow(1, 3, []uint64{2}, "sp/a v2")}},
		"a follower told of a refused set":               {"sets", []Record{follow(2, 3, []uint64{3}, "sp/a v0")}},
		"a follower told of another value":               {"sets", []Record{follow(1, 2, []uint64{2}, "sp/b v2")}},
		"a follower told too old too soon":               {"sets", []Record{{Kind: FollowResponse, Start: 17 * s, At: 17*s + 9, Name: "sp/", From: 1, Outcome: "too old"}}},
		"a look at an older revision":                    {"sets", []Record{{Kind: CoordinationCall, Start: 17 * s, At: 17*s + 9, Op: "look", Name: "sp/a", Digest: "v1", Revision: 1, Outcome: "done"}}},
		"a look at what was not set":                     {"sets", []Record{{Kind: CoordinationCall, Start: 17 * s, At: 17*s + 9, Op: "look", Name: "sp/a", Digest: "v1", Revision: 2, Outcome: "done"}}},
		"a change over one that was refused":             {"versions", []Record{version(17*s, "w8", 8, 2, "refused"), version(17*s, "w9", 9, 8, "accepted")}},
		"a change that passes over another":              {"versions", []Record{version(17*s, "w9", 9, 0, "accepted")}},
		"a refused change in force":                      {"versions", []Record{back(2, map[string]string{"w0": "w0", "w1": "w1", "w2": "w2"})}},
		"a change that is not read back as sent":         {"versions", []Record{back(2, map[string]string{"w1": "w1", "w2": "w1"})}},
		"a change that is lost":                          {"versions", []Record{back(1, both)}},
		"a version without its change":                   {"versions", []Record{back(2, map[string]string{"w1": "w1"})}},
		"a version in force that nobody sent":            {"versions", []Record{back(7, both)}},
		"a refused change that is accepted":              {"versions", []Record{version(17*s, "w0", 3, 2, "accepted")}},
		"a lock given out within a call's own time":      {"locks", []Record{renew("acquire", "one", 14*s, s/10, 40), renew("renew", "one", 14*s+50, 3*s, 40), renew("acquire", "two", 16*s, s, 41)}},
		"a lock whose shorter call cut the longer short": {"locks", []Record{renew("acquire", "one", 14*s, 3*s, 40), renew("renew", "one", 14*s+50, s/10, 40), renew("acquire", "two", 16*s, s, 41)}},
		"a target's refusals beyond the budget": {"extra-tries", func() (list []Record) {
			for i := range 100 {
				list = append(list, Record{Kind: RequestRejected, At: 15*s + time.Duration(i), CallID: "x", RequestID: "rx", PerAttempt: true, Service: "rates", ServerService: "rates", Instance: "j"})
			}
			return list
		}()},
		"a silent server after its own time": {"late-hand-over", []Record{{Kind: HeartbeatsStopped, At: 3 * s, Service: "bookings", Instance: "i7", TTL: 4500 * time.Millisecond}, {Kind: RequestExecuted, At: 10 * s, CallID: "c", RequestID: "rc", Service: "bookings", ServerService: "bookings", Instance: "i7", Epoch: 9}}},
	} {
		t.Run(name, func(t *testing.T) {
			v := Check(append(sound(), c.faults...))
			if diff := cmp.Diff([]string{c.rule}, rules(v)); diff != "" {
				t.Errorf("rules broken (-want +got):\n%s%s", diff, v)
			}
		})
	}
}

func TestBoundsOnTimeBindProxiesInTouch(t *testing.T) {
	touch := func(at time.Duration, how string) Record {
		return Record{Kind: ProxyContact, At: at, Proxy: "p", Outcome: how}
	}
	late := Record{Kind: RequestExecuted, At: 8 * s, CallID: "c", RequestID: "rc", Proxy: "p", Service: "bookings", ServerService: "bookings", Instance: "i1", Epoch: 3}
	for name, c := range map[string]struct {
		turns []Record
		want  []string
	}{
		"in touch":       {[]Record{touch(7*s, "in")}, []string{"late-hand-over", "old-plan"}},
		"out of touch":   {[]Record{touch(1*s, "in"), touch(7*s, "out")}, nil},
		"never in touch": {[]Record{{Kind: ProxyContact, At: 1 * s, Proxy: "other", Outcome: "in"}}, nil},
		"in touch again": {[]Record{touch(1*s, "in"), touch(5*s, "out"), touch(7*s, "in"), touch(9*s, "out")}, []string{"late-hand-over", "old-plan"}},
	} {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, rules(Check(append(append(sound(), c.turns...), late)))); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// A numbered change that an unnumbered set replaced is gone, also if it was known only
// later that it had been accepted before; one of a later epoch is not gone by that set.
func TestAVersionIsGoneByASetOfALaterEpochOnly(t *testing.T) {
	version := func(at time.Duration, outcome string, epoch uint64) Record {
		return Record{Kind: VersionedChange, Start: at, At: at + 9, Name: "w9", Revision: 9, From: 2, Digest: "w9", Epoch: epoch, Outcome: outcome}
	}
	whole := func(epoch uint64) Record {
		return Record{Kind: ChangeSubmitted, Start: 16 * s, At: 16*s + 9, Name: "all", BaseEpoch: epoch - 1, Epoch: epoch, Outcome: "accepted", ReplacesAll: true}
	}
	back := Record{Kind: ConfigurationRead, Start: 18 * s, At: 18*s + 9, Revision: 9, Epoch: 30, Destinations: map[string]string{}}
	for name, c := range map[string]struct {
		epoch uint64
		want  []string
	}{
		"replaced before it was known": {20, nil},
		"accepted after the set":       {22, []string{"versions"}},
	} {
		t.Run(name, func(t *testing.T) {
			v := Check(append(sound(), version(15*s, "unknown", 0), whole(21), version(17*s, "accepted", c.epoch), back))
			if diff := cmp.Diff(c.want, rules(v)); diff != "" {
				t.Errorf("%s%s", diff, v)
			}
		})
	}
}

// A server that is quiet for less than its own time, and a repeat of a try that is
// told of its try, are sound.
func TestWhatTheSecondMannerAllowsIsClean(t *testing.T) {
	v := Check(append(sound(),
		Record{Kind: HeartbeatsStopped, At: 3 * s, Service: "bookings", Instance: "i7", TTL: 4500 * time.Millisecond},
		Record{Kind: RequestExecuted, At: 9 * s, CallID: "c", RequestID: "rc", Service: "bookings", ServerService: "bookings", Instance: "i7", Epoch: 9},
		Record{Kind: RequestCompleted, Start: 2 * s, At: 2*s + 9, CallID: "k", RequestID: "r1", Proxy: "p:1", Status: 502, Code: 1007, Outcome: "unknown", RetryAfter: "1", PerAttempt: true},
		Record{Kind: RequestCompleted, Start: 3 * s, At: 3*s + 9, CallID: "k", RequestID: "r2", Proxy: "p:1", Status: 503, Code: 1006, Outcome: "not run", RetryAfter: "1", PerAttempt: true},
		Record{Kind: RequestExecuted, At: 2 * s, CallID: "k", RequestID: "r1", Proxy: "p:1", Service: "bookings", ServerService: "bookings", Instance: "i2", Epoch: 3, PerAttempt: true}))
	if !v.IsValid() {
		t.Fatal(v)
	}
}
