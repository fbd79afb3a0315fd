package distribution

import (
	"io"
	"testing"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/config"
	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// A proxy that is one epoch behind serves on unless that epoch binds.
func TestOnlyAnEpochThatBindsMakesAChartOld(t *testing.T) {
	const bound = time.Hour
	r := environment.New(t.Context(), &config.Props{FlowStay: 24 * time.Hour, FlowBehind: bound}, eventlog.New(io.Discard, "info", "n"), environment.Host{SuspendedTime: func() time.Duration { return 0 }})
	for _, one := range []struct {
		epoch, binding ids.Epoch
		age            time.Duration
		isFresh        bool
	}{
		{7, 3, 0, true}, {8, 3, 0, true}, {9, 7, 0, true}, {8, 8, 0, false},
		{8, 0, 0, false}, // an older build, which tells none
		{7, 9, 0, true},  // nonsense: what is told of no epoch binds as the epoch does
		{8, 3, bound, false}, {7, 3, bound, false},
	} {
		c := &Client{env: r, Cache: NewCache(r.Events)}
		c.confirmations.Store(&confirmations{})
		c.recordPulse(r.Now(), &rpc.FreshnessResponse{Epoch: one.epoch, BindingEpoch: one.binding, AgeMicros: one.age.Microseconds(), ShardAgeMicros: make([]int64, ids.ShardCount)})
		if got := c.IsFresh(&Snapshot{Epoch: 7}, "rates"); got != one.isFresh {
			t.Errorf("%+v: fresh is %v", one, got)
		}
	}
}
