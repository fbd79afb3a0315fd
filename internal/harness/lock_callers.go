package harness

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/standin"
)

const (
	lockCallerCount = 12
	lockCount       = 8
	lockCallerPause = 100 * time.Millisecond // between two uses of a lock
	// lockCallerStream is the first stream of the lock callers' random numbers.
	lockCallerStream = 4_000_000
)

// startLockCallers starts applications that use locks through the core nodes as the users' platform
// does, until the context ends. It starts none in a fleet of two builds: earlier builds execute
// releases that were given up, although the lock was acquired again.
func (r *run) startLockCallers(ctx context.Context, tasks *sync.WaitGroup) {
	if r.OtherBinary != "" {
		return
	}
	var locks []string
	for i := range lockCount {
		locks = append(locks, fmt.Sprint("lease", i, "/x"))
	}
	for i := range lockCallerCount {
		caller := &standin.LockCaller{
			Host:      environment.NewHost(""),
			History:   r.history,
			Holder:    fmt.Sprint("caller", i),
			Locks:     locks,
			Addresses: r.fleet.APIAddresses(),
			Random:    rand.New(rand.NewPCG(r.Seed, lockCallerStream+uint64(i))),
		}
		tasks.Go(func() {
			for ctx.Err() == nil {
				caller.Use(ctx)
				pause(ctx, lockCallerPause)
			}
		})
	}
}
