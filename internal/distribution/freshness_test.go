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

// A proxy that is one epoch behind serves on unless that epoch is a binding test.
func TestFreshness_OnlyABindingEpochMakesASnapshotOld(t *testing.T) {
	const bound = time.Hour
	env := environment.New(t.Context(), &config.Settings{DistributionOfflineGrace: 24 * time.Hour, DistributionUnconfirmedGrace: bound}, eventlog.New(io.Discard, "info", "n"), environment.Host{SuspendedTime: func() time.Duration { return 0 }})
	for _, test := range []struct {
		epoch, binding ids.Epoch
		age            time.Duration
		isFresh        bool
	}{
		{7, 3, 0, true}, {8, 3, 0, true}, {9, 7, 0, true}, {8, 8, 0, false},
		{8, 0, 0, false}, // an older build, which does not tell it
		{7, 9, 0, true},  // impossible, so taken as not told
		{8, 3, bound, false}, {7, 3, bound, false},
	} {
		f := newFreshness(env, NewCache(env.Events))
		f.record(env.Now(), &rpc.FreshnessResponse{Epoch: test.epoch, BindingEpoch: test.binding, AgeMicros: test.age.Microseconds(), ShardAgeMicros: make([]int64, ids.ShardCount)})
		if got := f.isFresh(&Snapshot{Epoch: 7}, "rates"); got != test.isFresh {
			t.Errorf("%+v: fresh is %v", test, got)
		}
	}
}
