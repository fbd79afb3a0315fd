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

// TestChangeSet_RepeatedAfterHundredsOfOthers: it is answered as the first time, through
// snapshots, takeovers and a lost disk, wherever it comes in.
func TestChangeSet_RepeatedAfterHundredsOfOthers(t *testing.T) {
	shape := singleProxyShape()
	shape.Settings["consensus.snapshot_entries"] = "60"
	inFleet(t, shape, func(t *testing.T, f *Fleet) {
		order := func(n int) *rpc.ChangeSet {
			over := ids.Version(n)
			name := fmt.Sprint("numbered-order", n%7)
			return &rpc.ChangeSet{ID: fmt.Sprint("order", n), Version: over + 1, ExpectedVersion: &over, Put: rpc.Configuration{Routes: []rpc.Route{{Name: name, Path: "/" + name, Services: []rpc.WeightedService{{Service: "rates", Weight: 1 + n}}, Source: []byte(`{}`)}}}}
		}
		submit := func(m *Machine, change *rpc.ChangeSet) (*rpc.ChangeResult, error) {
			var receipt *rpc.ChangeResult
			var err error
			f.WaitUntil(10*time.Second, func() bool {
				ctx, end := context.WithTimeout(f.ctx, time.Second)
				defer end()
				receipt, err = m.Node().Submit(ctx, change)
				return err == nil || errcode.From(err).Code.Outcome == ""
			})
			return receipt, err
		}
		var first *rpc.ChangeResult
		const orders = 300
		for n := range orders {
			receipt, err := submit(f.Cores()[n%3], order(n))
			if err != nil {
				t.Fatal(n, err)
			}
			if n == 0 {
				first = receipt
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
			again, err := submit(m, order(0))
			if err != nil || again.Epoch != first.Epoch {
				t.Errorf("%s: %+v, %v; it was epoch %d", m.Name, again, err, first.Epoch)
			}
			other := order(0)
			other.Put.Routes[0].Services[0].Weight = 999
			other.ID = "another text"
			if _, err := submit(m, other); !errors.Is(err, errcode.ChangeConflict) {
				t.Errorf("another text under an old number: %v", err)
			}
		}
	})
}
