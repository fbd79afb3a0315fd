// A planned stop of a core node under load.
//
// Guards against a delay of requests while the leader of their idempotency records stops. A stopping
// leader handed over only to a member that had its whole log at that moment. All idempotency records
// are in one shard, which under load always has a write in flight, so no member qualified and the
// shard waited for an ordinary election: 0.83 s, where the other shards had a new leader after 8 ms.
// A request that waited 0.76 s for its record then missed its route's deadline of 3 s, as targets
// work for up to 2.5 s (scenario stops-long, seed 304, in one of about 170 runs).

package simulator

import (
	"sync"
	"testing"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/checker"
)

func TestProxy_LeaderStopDoesNotDelayRequests(t *testing.T) {
	inFleet(t, Small(), func(t *testing.T, f *Fleet) {
		for _, s := range f.Targets("bookings") {
			s.ServiceTime = 2500 * time.Millisecond
		}
		var clients sync.WaitGroup
		end := time.Now().Add(70 * time.Second)
		for i := range 40 {
			client := f.newClient(3 + i)
			proxy := f.Proxies()[i%len(f.Proxies())]
			clients.Go(func() {
				time.Sleep(time.Duration(i) * 64 * time.Millisecond) // spread the requests over time
				for time.Now().Before(end) {
					client.Call(f.ctx, proxy.ProxyAddress(), "POST", "/bookings", "bookings", []byte("x"))
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
		time.Sleep(4 * time.Second)
		for i := range 12 {
			m := f.Cores()[i%3]
			m.Stop()
			time.Sleep(time.Second)
			f.startMachine(m)
			time.Sleep(4 * time.Second)
		}
		clients.Wait()
		arrivals := map[string]time.Duration{}
		for _, r := range f.History.Records() {
			if r.Kind == checker.RequestExecuted {
				arrivals[r.CallID] = r.Start
			}
		}
		outcomes := map[string]int{}
		for _, r := range f.History.Records() {
			if r.Kind != checker.RequestCompleted || r.Path != "/bookings" {
				continue
			}
			outcomes[r.Outcome]++
			if r.Outcome == checker.OutcomeUnknown {
				t.Errorf("outcome unknown after %s: %s", r.At-r.Start, r.Note)
			}
			if wait := arrivals[r.CallID] - r.Start; wait > 500*time.Millisecond {
				t.Errorf("call %s reached a target after %s", r.CallID, wait)
			}
		}
		if outcomes[checker.OutcomeRan] < 600 {
			t.Error("too few requests were served:", outcomes)
		}
		t.Log(outcomes)
	})
}
