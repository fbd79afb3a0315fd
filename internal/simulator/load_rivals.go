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
const rivalOperators = 8

// StartRivals starts such operators; what they are told is judged with the versions.
func (f *Fleet) StartRivals(mean time.Duration) {
	var taken []*rpc.ChangeSet
	f.goTask(func(r *rand.Rand) {
		pause(r, mean)
		node := f.anyNode(r)
		if node == nil {
			return
		}
		view := f.readBackAll(node)
		if view == nil {
			return
		}
		var mu sync.Mutex
		var all sync.WaitGroup
		number := view.Version + 1
		for range rivalOperators {
			change, own := numberedChange(r, view.Version), rand.New(rand.NewPCG(r.Uint64(), 1))
			change.Version = number
			all.Go(func() {
				if f.submitUntilAnswered(own, change) {
					mu.Lock()
					taken = append(taken, change)
					mu.Unlock()
				}
			})
		}
		all.Wait()
		if len(taken) > 0 {
			f.submitUntilAnswered(r, taken[r.IntN(len(taken))])
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
