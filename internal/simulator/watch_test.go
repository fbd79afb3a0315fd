// A held call goes by the owner of its part. Where the owner goes without a word, the
// node that passed the call on must not wait for it once another owns the part.

package simulator

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

func TestWatch_ForwardedToLostLeaderHearsOfNextPut(t *testing.T) {
	inFleet(t, one(), func(t *testing.T, f *Fleet) {
		const key = "group/k"
		shard := ids.ShardOf(key)
		set := func(m *Machine, value string) (*rpc.CoordinationResponse, error) {
			raw, _ := json.Marshal(value)
			ctx, end := context.WithTimeout(f.ctx, 4*time.Second)
			defer end()
			return m.Node().Coordinate(ctx, &rpc.CoordinationRequest{Operation: "set", Name: key, Value: raw})
		}
		for i := range 5 {
			var owner *Machine
			if !f.WaitUntil(20*time.Second, func() bool {
				owner = leaderOf(f, shard, nil)
				return owner != nil && f.IsUsable()
			}) {
				t.Fatal("the fleet did not come back")
			}
			var rest []*Machine
			for _, m := range f.Cores() {
				if m != owner {
					rest = append(rest, m)
				}
			}
			first, err := set(rest[0], fmt.Sprint("before", i))
			if err != nil {
				t.Fatal(err)
			}
			answered := make(chan time.Time, len(rest))
			for _, m := range rest {
				go func() {
					got, err := m.Node().Coordinate(f.ctx, &rpc.CoordinationRequest{Operation: "follow", Name: "group/", FromIndex: first.Revision, Wait: 30000})
					if err != nil || len(got.Events) == 0 {
						t.Errorf("round %d: %+v %v", i, got, err)
						return
					}
					answered <- time.Now()
				}()
			}
			time.Sleep(100 * time.Millisecond)
			for _, m := range f.Machines {
				if m != owner {
					f.Network.Partition(m.IP, owner.IP)
					f.Network.Partition(owner.IP, m.IP)
				}
			}
			cut := time.Now()
			if !f.WaitUntil(5*time.Second, func() bool { return leaderOf(f, shard, owner) != nil }) {
				t.Fatal("nobody took the part over")
			}
			if _, err := set(rest[0], fmt.Sprint("after", i)); err != nil {
				t.Fatal(err)
			}
			done := time.Now()
			for range rest {
				select {
				case at := <-answered:
					if late := at.Sub(done); late > 300*time.Millisecond {
						t.Errorf("taken over and set %v after the cut, heard %v later", done.Sub(cut), late)
					}
				case <-time.After(10 * time.Second):
					t.Errorf("taken over and set %v after the cut, not heard within 10 s", done.Sub(cut))
				}
			}
			f.Network.Heal()
		}
	})
}
