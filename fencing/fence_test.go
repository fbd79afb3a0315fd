package fencing

import (
	"errors"
	"testing"
	"time"
)

// atMillis returns the time a number of milliseconds after the start of the test.
func atMillis(millis int) time.Time {
	return time.Unix(0, 0).Add(time.Duration(millis) * time.Millisecond)
}

func TestFence_RejectsEpochsSupersededTooLongAgo(t *testing.T) {
	type heartbeat struct {
		epoch uint64
		asOf  int // milliseconds
	}
	regular := []heartbeat{{7, 0}, {7, 300}, {8, 600}, {8, 900}, {8, 1200}, {8, 1500}, {8, 1800}, {8, 2100}, {8, 2400}}
	for _, c := range []struct {
		name       string
		heartbeats []heartbeat
		epoch      uint64
		now        int // milliseconds
		want       error
	}{
		{"no confirmation at all", nil, 0, 10_000, nil},
		{"the current epoch", regular, 8, 2450, nil},
		{"a newer epoch than any confirmed", regular, 9, 2450, nil},
		{"an older epoch confirmed within MaxConfirmationAge", regular, 7, 2200, nil},
		{"an older epoch not confirmed within MaxConfirmationAge", regular, 7, 2450, ErrSuperseded},
		{"a confirmation exactly MaxConfirmationAge old", []heartbeat{{8, 0}}, 8, 1900, nil},
		{"last confirmation too old", regular, 8, 4301, ErrUnconfirmed},
		{"a newer epoch than any confirmed, last confirmation too old", regular, 9, 4301, ErrUnconfirmed},
		{"a superseded epoch at the first confirmation after a gap", []heartbeat{{7, 0}, {8, 5000}}, 7, 5010, ErrSuperseded},
		{"the current epoch at the first confirmation after a gap", []heartbeat{{7, 0}, {8, 5000}}, 8, 5010, nil},
		{"responses out of order", []heartbeat{{7, 0}, {8, 600}, {7, 300}}, 8, 2450, nil},
		{"a superseded epoch after responses out of order", []heartbeat{{8, 600}, {7, 300}}, 7, 2150, ErrSuperseded},
	} {
		t.Run(c.name, func(t *testing.T) {
			var fence Fence
			for _, h := range c.heartbeats {
				if h.asOf <= c.now {
					fence.Confirm(h.epoch, atMillis(h.asOf))
				}
			}
			if got := fence.Check(c.epoch, atMillis(c.now)); !errors.Is(got, c.want) {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

// A new target is suspended between its first heartbeat and the response to it.
func TestFence_RejectsRequestsWhileFirstHeartbeatIsUnanswered(t *testing.T) {
	var fence Fence
	fence.Announce(atMillis(1000))
	fence.Announce(atMillis(2000)) // the next heartbeat
	if err := fence.Check(7, atMillis(2900)); err != nil {
		t.Error(err)
	}
	if err := fence.Check(7, atMillis(2901)); !errors.Is(err, ErrUnconfirmed) {
		t.Error(err)
	}
	for _, respond := range []func(){fence.Lift, func() { fence.Confirm(7, atMillis(2950)) }} {
		respond()
		if err := fence.Check(7, atMillis(3000)); err != nil {
			t.Error("after a response:", err)
		}
	}
}

// In a fleet with nodes of two builds, only some responses to heartbeats name an epoch.
func TestFence_AcceptsAnyEpochAfterLift(t *testing.T) {
	var fence Fence
	fence.Confirm(8, atMillis(0))
	fence.Lift()
	if err := fence.Check(7, atMillis(5000)); err != nil {
		t.Error(err)
	}
	fence.Confirm(8, atMillis(5000))
	if err := fence.Check(7, atMillis(5010)); !errors.Is(err, ErrSuperseded) {
		t.Error(err)
	}
}

// A drain is acknowledged shortly before an epoch includes it, so checking epochs does not limit
// how long after a drain requests are accepted.
func TestFence_RejectsAllRequestsLongAfterDrain(t *testing.T) {
	var fence Fence
	check := func(now int, want error) {
		t.Helper()
		if got := fence.Check(7, atMillis(now)); !errors.Is(got, want) {
			t.Errorf("at %d ms: got %v, want %v", now, got, want)
		}
	}
	fence.Drain(atMillis(1000))
	fence.Drain(atMillis(2000)) // reported again, without effect
	check(2900, nil)
	check(2901, ErrDraining)
	fence.Serve()
	check(3000, nil)
	fence.Drain(atMillis(4000))
	check(5900, nil)
	check(5901, ErrDraining)
}

// A target that receives no requests still receives confirmations, and must not keep them all.
func TestFence_DropsExpiredConfirmations(t *testing.T) {
	var fence Fence
	for i := range 1000 {
		fence.Confirm(uint64(i), atMillis(i*300))
	}
	if count := len(fence.confirmations); count > 8 {
		t.Errorf("the fence keeps %d confirmations, want at most 8", count)
	}
}
