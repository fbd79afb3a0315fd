// Operators on their worst days: several send different texts under one number at
// once, their answers are lost, and they send the same again, to other nodes, at once
// or long after.

package simulator

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// rivalOperators is how many orders are under way at once.
const rivalCount = 8

// StartRivals starts such operators; what they are told is judged with the versions.
func (f *Fleet) StartRivals(mean time.Duration) {
	var accepted []*rpc.ChangeSet
	f.goTask(func(r *rand.Rand) {
		pause(r, mean)
		node := f.anyNode(r)
		if node == nil {
			return
		}
		view := f.readConfiguration(node)
		if view == nil {
			return
		}
		var mu sync.Mutex
		var submitters sync.WaitGroup
		version := view.Version + 1
		for range rivalCount {
			change, submitterRand := numberedChange(r, view.Version), rand.New(rand.NewPCG(r.Uint64(), 1))
			change.Version = version
			submitters.Go(func() {
				if f.submitUntilAnswered(submitterRand, change) {
					mu.Lock()
					accepted = append(accepted, change)
					mu.Unlock()
				}
			})
		}
		submitters.Wait()
		if len(accepted) > 0 {
			f.submitUntilAnswered(r, accepted[r.IntN(len(accepted))])
		}
	})
}

// submitUntilAnswered sends an order up to four times, of which the first answers may be lost, and
// tells whether it was taken.
func (f *Fleet) submitUntilAnswered(r *rand.Rand, change *rpc.ChangeSet) bool {
	for try := range 4 {
		node := f.anyNode(r)
		if node == nil {
			return false
		}
		limit := 8 * time.Second
		if try < 2 && r.IntN(2) == 0 {
			limit = time.Duration(r.Int64N(int64(300 * time.Millisecond)))
		}
		switch f.submitWithin(limit, node, change) {
		case "accepted":
			return true
		case "refused":
			return false
		}
		pause(r, 300*time.Millisecond)
	}
	return false
}
