package checker

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestContactTimeline_BoundsBindProxiesInContact(t *testing.T) {
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
