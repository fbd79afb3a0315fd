package membership

import (
	"testing"

	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

func TestNextBroadcasts_TransmitCount(t *testing.T) {
	for _, test := range []struct {
		name       string
		update     rpc.Member
		duplicates int
		min, max   int
	}{
		{"without duplicates, sent up to the limit", testMember(500), 0, 10, 16},
		{"with many duplicates, sent minTransmits times", testMember(500), 50, minTransmits, minTransmits},
		{"suspicion with many duplicates, sent up to the limit", inState(testMember(9), StateSuspect), 49, 10, 16},
	} {
		t.Run(test.name, func(t *testing.T) {
			inCluster(t, func(c *cluster) {
				m := c.node(testMember(0))
				m.mergeList(testMembers(460))
				for len(m.nextBroadcasts()) > 0 {
				}
				for range 1 + test.duplicates {
					m.applyUpdates([]rpc.Member{test.update})
				}
				transmits := 0
				for len(m.nextBroadcasts()) > 0 {
					transmits++
				}
				if transmits < test.min || transmits > test.max {
					c.Errorf("sent %d times in a fleet of 460, want %d to %d", transmits, test.min, test.max)
				}
			})
		})
	}
}
