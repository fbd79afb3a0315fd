package consensus

import (
	"testing"
	"time"
)

func TestPeerContact_SilenceCountsUnansweredQuestions(t *testing.T) {
	const longestPause = 2 * time.Second
	sent := func(c *peerContact, at time.Time) { c.recordSent(at, longestPause) }
	heard := func(c *peerContact, _ time.Time) { c.recordHeard() }
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
		{"never asked", nil, time.Hour, 0},
		{"asked just now", []step{{time.Second, sent}}, time.Second, 0},
		{"counts from the first question", []step{{0, sent}, {time.Second, sent}, {2 * time.Second, sent}}, 2500 * time.Millisecond, 2500 * time.Millisecond},
		{"an answer ends it", []step{{0, sent}, {time.Second, sent}, {1500 * time.Millisecond, heard}}, time.Minute, 0},
		{"begins anew after an answer", []step{{0, sent}, {time.Second, heard}, {2 * time.Second, sent}}, 3 * time.Second, time.Second},
		{"begins anew when this node stood still", []step{{0, sent}, {time.Second, sent}, {9 * time.Second, sent}}, 10 * time.Second, time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			began := time.Unix(1000, 0)
			contact := peerContact{}
			for _, step := range test.steps {
				step.do(&contact, began.Add(step.at))
			}
			if got := contact.silence(began.Add(test.now)); got != test.want {
				t.Errorf("silent for %s, not %s", got, test.want)
			}
		})
	}
}
