package consensus

import (
	"testing"
	"time"
)

func TestPeerContact_UnresponsiveSinceFirstUnansweredRequest(t *testing.T) {
	const longestPause = 2 * time.Second
	send := func(c *peerContact, at time.Time) { c.recordSent(at, longestPause) }
	receive := func(c *peerContact, _ time.Time) { c.recordReceived() }
	type step struct {
		at time.Duration
		do func(*peerContact, time.Time)
	}
	for _, test := range []struct {
		name  string
		steps []step
		now   time.Duration
		want  time.Duration
	}{
		{"no heartbeat sent", nil, time.Hour, 0},
		{"heartbeat sent just now", []step{{time.Second, send}}, time.Second, 0},
		{"counts from the first unanswered heartbeat", []step{{0, send}, {time.Second, send}, {2 * time.Second, send}}, 2500 * time.Millisecond, 2500 * time.Millisecond},
		{"ends with a response", []step{{0, send}, {time.Second, send}, {1500 * time.Millisecond, receive}}, time.Minute, 0},
		{"restarts after a response", []step{{0, send}, {time.Second, receive}, {2 * time.Second, send}}, 3 * time.Second, time.Second},
		{"restarts after a pause of this process", []step{{0, send}, {time.Second, send}, {9 * time.Second, send}}, 10 * time.Second, time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			contact := peerContact{}
			for _, step := range test.steps {
				step.do(&contact, start.Add(step.at))
			}
			if got := contact.unresponsiveFor(start.Add(test.now)); got != test.want {
				t.Errorf("unresponsive for %s, want %s", got, test.want)
			}
		})
	}
}
