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

// A snapshot older than the reported epoch stays fresh unless a newer epoch is binding.
func TestFreshness_OnlyBindingEpochMakesSnapshotStale(t *testing.T) {
	const unconfirmedGrace = time.Hour
	env := environment.New(t.Context(), &config.Settings{DistributionOfflineGrace: 24 * time.Hour, DistributionUnconfirmedGrace: unconfirmedGrace}, eventlog.New(io.Discard, "info", "n"), environment.Host{SuspendedTime: func() time.Duration { return 0 }})
	for _, test := range []struct {
		epoch, binding ids.Epoch
		age            time.Duration
		isFresh        bool
	}{
		{7, 3, 0, true}, {8, 3, 0, true}, {9, 7, 0, true}, {8, 8, 0, false},
		{8, 0, 0, false}, // older build, which does not report a binding epoch
		{7, 9, 0, true},  // invalid, treated as not reported
		{8, 3, unconfirmedGrace, false}, {7, 3, unconfirmedGrace, false},
	} {
		f := newFreshness(env, NewCache(env.Events))
		f.record(env.Now(), &rpc.FreshnessResponse{Epoch: test.epoch, BindingEpoch: test.binding, AgeMicros: test.age.Microseconds(), ShardAgeMicros: make([]int64, ids.ShardCount)})
		if got := f.isFresh(&Snapshot{Epoch: 7}, "rates"); got != test.isFresh {
			t.Errorf("%+v: isFresh is %v", test, got)
		}
	}
}
