package simulator

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// A change set that is repeated after hundreds of others returns its original result at every core
// node, despite snapshots, leader changes and a lost disk.
func TestChangeSet_LateRepeatReturnsOriginalResult(t *testing.T) {
	shape := singleProxyShape()
	shape.Settings["consensus.snapshot_entries"] = "60"
	inFleet(t, shape, func(t *testing.T, f *Fleet) {
		numberedChange := func(n int) *rpc.ChangeSet {
			expected := ids.Version(n)
			name := fmt.Sprint("numbered-route", n%7)
			return &rpc.ChangeSet{ID: fmt.Sprint("change", n), Version: expected + 1, ExpectedVersion: &expected, Put: rpc.Configuration{Routes: []rpc.Route{{Name: name, Path: "/" + name, Services: []rpc.WeightedService{{Service: "rates", Weight: 1 + n}}, Source: []byte(`{}`)}}}}
		}
		submit := func(m *Machine, change *rpc.ChangeSet) (*rpc.ChangeResult, error) {
			var result *rpc.ChangeResult
			var err error
			f.WaitUntil(10*time.Second, func() bool {
				ctx, cancel := context.WithTimeout(f.ctx, time.Second)
				defer cancel()
				result, err = m.Node().Submit(ctx, change)
				return err == nil || errcode.From(err).Code.Outcome == ""
			})
			return result, err
		}
		var first *rpc.ChangeResult
		const changeCount = 300
		for n := range changeCount {
			result, err := submit(f.Cores()[n%3], numberedChange(n))
			if err != nil {
				t.Fatal(n, err)
			}
			if n == 0 {
				first = result
			}
			if n%70 == 50 {
				m := f.leader(ids.ConfigShard)
				m.Kill(true)
				if n%140 == 50 {
					f.Network.Disk(m.IP).Wipe()
				}
				f.startMachine(m)
				f.WaitUntil(10*time.Second, f.isRepaired)
			}
		}
		for _, m := range f.Cores() {
			repeated, err := submit(m, numberedChange(0))
			if err != nil || repeated.Epoch != first.Epoch {
				t.Errorf("%s: repeat returned %+v, %v; want epoch %d", m.Name, repeated, err, first.Epoch)
			}
			conflicting := numberedChange(0)
			conflicting.Put.Routes[0].Services[0].Weight = 999
			conflicting.ID = "conflicting change"
			if _, err := submit(m, conflicting); !errors.Is(err, errcode.ChangeConflict) {
				t.Errorf("a different change set with an old version: %v", err)
			}
		}
	})
}
