package checker

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestContactTimeline_BoundsApplyToProxiesInContact(t *testing.T) {
	contact := func(at time.Duration, outcome string) Record {
		return Record{Kind: ProxyContact, At: at, Proxy: "p", Outcome: outcome}
	}
	late := Record{Kind: RequestExecuted, At: 8 * s, CallID: "c", RequestID: "rc", Proxy: "p", Service: "bookings", ServerService: "bookings", Instance: "i1", Epoch: 3}
	for name, c := range map[string]struct {
		contacts []Record
		want     []string
	}{
		"in contact":       {[]Record{contact(7*s, "in")}, []string{"late-hand-over", "old-plan"}},
		"contact lost":     {[]Record{contact(1*s, "in"), contact(7*s, "out")}, nil},
		"never in contact": {[]Record{{Kind: ProxyContact, At: 1 * s, Proxy: "other", Outcome: "in"}}, nil},
		"contact regained": {[]Record{contact(1*s, "in"), contact(5*s, "out"), contact(7*s, "in"), contact(9*s, "out")}, []string{"late-hand-over", "old-plan"}},
	} {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, brokenRules(Check(append(append(validHistory(), c.contacts...), late)))); diff != "" {
				t.Error(diff)
			}
		})
	}
}
