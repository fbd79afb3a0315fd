// A long poll is forwarded to the leader of its shard. If that leader becomes unreachable, the
// forwarding node must not wait for its response once another leader is elected.

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

func TestWatch_ForwardedToLostLeaderReceivesNextWrite(t *testing.T) {
	inFleet(t, singleProxyShape(), func(t *testing.T, f *Fleet) {
		const key = "group/k"
		shard := ids.ShardOf(key)
		write := func(m *Machine, value string) (*rpc.CoordinationResponse, error) {
			raw, _ := json.Marshal(value)
			ctx, cancel := context.WithTimeout(f.ctx, 4*time.Second)
			defer cancel()
			return m.Node().Coordinate(ctx, &rpc.CoordinationRequest{Operation: "set", Name: key, Value: raw})
		}
		for i := range 5 {
			var leader *Machine
			if !f.WaitUntil(20*time.Second, func() bool {
				leader = leaderOf(f, shard, nil)
				return leader != nil && f.IsUsable()
			}) {
				t.Fatal("the fleet did not recover")
			}
			var followers []*Machine
			for _, m := range f.Cores() {
				if m != leader {
					followers = append(followers, m)
				}
			}
			first, err := write(followers[0], fmt.Sprint("before", i))
			if err != nil {
				t.Fatal(err)
			}
			answeredAt := make(chan time.Time, len(followers))
			for _, m := range followers {
				go func() {
					got, err := m.Node().Coordinate(f.ctx, &rpc.CoordinationRequest{Operation: "follow", Name: "group/", FromIndex: first.Revision, Wait: 30000})
					if err != nil || len(got.Events) == 0 {
						t.Errorf("round %d: %+v %v", i, got, err)
						return
					}
					answeredAt <- time.Now()
				}()
			}
			time.Sleep(100 * time.Millisecond)
			for _, m := range f.Machines {
				if m != leader {
					f.Network.Partition(m.IP, leader.IP)
					f.Network.Partition(leader.IP, m.IP)
				}
			}
			partitionedAt := time.Now()
			if !f.WaitUntil(5*time.Second, func() bool { return leaderOf(f, shard, leader) != nil }) {
				t.Fatal("no new leader of the shard was elected")
			}
			if _, err := write(followers[0], fmt.Sprint("after", i)); err != nil {
				t.Fatal(err)
			}
			writtenAt := time.Now()
			for range followers {
				select {
				case receivedAt := <-answeredAt:
					if delay := receivedAt.Sub(writtenAt); delay > 300*time.Millisecond {
						t.Errorf("written to the new leader %v after the partition, event received %v later", writtenAt.Sub(partitionedAt), delay)
					}
				case <-time.After(10 * time.Second):
					t.Errorf("written to the new leader %v after the partition, event not received within 10 s", writtenAt.Sub(partitionedAt))
				}
			}
			f.Network.Heal()
		}
	})
}
