package node

import (
	"testing"
	"time"
)

func TestLeaderDirectory_ReturnsLeaderUnlessUnreachable(t *testing.T) {
	type step func(*leaderDirectory)
	answered := func(address, leader string) step {
		return func(d *leaderDirectory) { d.RecordResponse(3, address, leader) }
	}
	failed := func(address string, wasReached bool) step {
		return func(d *leaderDirectory) { d.RecordError(3, address, wasReached) }
	}
	var now time.Time
	wait := func(pause time.Duration) step {
		return func(*leaderDirectory) { now = now.Add(pause) }
	}
	for _, c := range []struct {
		name  string
		steps []step
		want  string
	}{
		{"no response yet", nil, ""},
		{"forwarding node names the leader", []step{answered("a", "l")}, "l"},
		{"leader names itself", []step{answered("l", "l")}, "l"},
		{"earlier build names no leader", []step{answered("a", "")}, "a"},
		{"leader returns an error", []step{answered("l", "l"), failed("l", true)}, ""},
		{"leader is named again after returning an error", []step{failed("l", true), answered("a", "l")}, "l"},
		{"leader is unreachable", []step{failed("l", false)}, ""},
		{"unreachable leader is named again within the retry interval", []step{failed("l", false), wait(leaderRetryInterval - 1), answered("a", "l")}, "a"},
		{"unreachable leader is named again after the retry interval", []step{failed("l", false), wait(leaderRetryInterval), answered("a", "l")}, "l"},
		{"unreachable leader answers again", []step{failed("l", false), answered("l", "l")}, "l"},
		{"another node leads while one is unreachable", []step{failed("l", false), answered("a", "m")}, "m"},
		{"forwarding node becomes unreachable after the leader", []step{failed("l", false), answered("a", "l"), failed("a", false), answered("b", "l")}, "l"},
	} {
		now = time.Unix(1000, 0)
		d := &leaderDirectory{now: func() time.Time { return now }}
		for _, step := range c.steps {
			step(d)
		}
		if got := d.Address(3); got != c.want {
			t.Errorf("%s: got address %q, want %q", c.name, got, c.want)
		}
		if got := d.Address(4); got != "" {
			t.Errorf("%s: got address %q for another shard", c.name, got)
		}
	}
}
