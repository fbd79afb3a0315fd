// Rival operators: several submit different changes under the same version number at once, lose
// responses, and submit the same changes again to other nodes, at once or much later.

package simulator

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// rivalCount is the number of concurrent submissions under one version number.
const rivalCount = 8

// StartRivals starts a task that submits rival changes and then repeats one of those accepted so
// far. The checker verifies the responses together with those of the other versioned changes.
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

// submitUntilAnswered submits a change up to four times until it is accepted or rejected, and
// reports whether it was accepted. A short time limit makes the first two attempts lose some
// responses.
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
