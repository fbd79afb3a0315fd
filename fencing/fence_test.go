package fencing

import (
	"errors"
	"testing"
	"time"
)

// at is a time some milliseconds after the beginning of a test.
func at(millis int) time.Time { return time.Unix(0, 0).Add(time.Duration(millis) * time.Millisecond) }

func TestFence_RefusesWhatWasSupersededTooLongAgo(t *testing.T) {
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
		{"nothing was confirmed", nil, 0, 10_000, nil},
		{"the epoch in force", regular, 8, 2450, nil},
		{"a newer epoch than any confirmed", regular, 9, 2450, nil},
		{"an epoch that was in force within the bound", regular, 7, 2200, nil},
		{"an epoch that was superseded before the bound", regular, 7, 2450, ErrSuperseded},
		{"right at the bound", []heartbeat{{8, 0}}, 8, 1900, nil},
		{"no confirmation within the bound", regular, 8, 4301, ErrUnconfirmed},
		{"a newer epoch than any confirmed, but no confirmation", regular, 9, 4301, ErrUnconfirmed},
		{"a first confirmation after a long silence", []heartbeat{{7, 0}, {8, 5000}}, 7, 5010, ErrSuperseded},
		{"the epoch in force after a long silence", []heartbeat{{7, 0}, {8, 5000}}, 8, 5010, nil},
		{"responses that overtook each other", []heartbeat{{7, 0}, {8, 600}, {7, 300}}, 8, 2450, nil},
		{"a superseded epoch after responses that overtook each other", []heartbeat{{8, 600}, {7, 300}}, 7, 2150, ErrSuperseded},
	} {
		t.Run(c.name, func(t *testing.T) {
			var fence Fence
			for _, h := range c.heartbeats {
				if h.asOf <= c.now {
					fence.Confirm(h.epoch, at(h.asOf))
				}
			}
			if got := fence.Check(c.epoch, at(c.now)); !errors.Is(got, c.want) {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

// A new target that stands still between its first heartbeat and the answer to it.
func TestFence_RefusesWhatWaitedWhileTheFirstHeartbeatWasUnanswered(t *testing.T) {
	var fence Fence
	fence.Announce(at(1000))
	fence.Announce(at(2000)) // the next heartbeat
	if err := fence.Check(7, at(2900)); err != nil {
		t.Error(err)
	}
	if err := fence.Check(7, at(2901)); !errors.Is(err, ErrUnconfirmed) {
		t.Error(err)
	}
	for _, answer := range []func(){fence.Lift, func() { fence.Confirm(7, at(2950)) }} {
		answer()
		if err := fence.Check(7, at(3000)); err != nil {
			t.Error("after an answer:", err)
		}
	}
}

// In a fleet of two builds only some of the answers to heartbeats name an epoch.
func TestFence_JudgesNothingWhereTheGatewayNamesNoEpoch(t *testing.T) {
	var fence Fence
	fence.Confirm(8, at(0))
	fence.Lift()
	if err := fence.Check(7, at(5000)); err != nil {
		t.Error(err)
	}
	fence.Confirm(8, at(5000))
	if err := fence.Check(7, at(5010)); !errors.Is(err, ErrSuperseded) {
		t.Error(err)
	}
}

// A drain is in an epoch only a moment after it was acknowledged, so no epoch bounds it.
func TestFence_RefusesAllThatComesLongAfterADrain(t *testing.T) {
	var fence Fence
	check := func(now int, want error) {
		t.Helper()
		if got := fence.Check(7, at(now)); !errors.Is(got, want) {
			t.Errorf("at %d ms: got %v, want %v", now, got, want)
		}
	}
	fence.Drain(at(1000))
	fence.Drain(at(2000)) // said once more
	check(2900, nil)
	check(2901, ErrDraining)
	fence.Serve()
	check(3000, nil)
	fence.Drain(at(4000))
	check(5900, nil)
	check(5901, ErrDraining)
}

// A target without requests confirms on and on.
func TestFence_KeepsNoMoreConfirmationsThanItNeeds(t *testing.T) {
	var fence Fence
	for i := range 1000 {
		fence.Confirm(uint64(i), at(i*300))
	}
	if held := len(fence.confirmations); held > 8 {
		t.Errorf("it holds %d confirmations", held)
	}
}
