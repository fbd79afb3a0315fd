package harness

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

const (
	minCoreFaultPause, maxCoreFaultPause   = 500 * time.Millisecond, 2500 * time.Millisecond
	minCoreFaultLength, maxCoreFaultLength = 300 * time.Millisecond, 3 * time.Second
	// coreFaultStream is the stream of the random numbers for faults of core nodes.
	coreFaultStream = 5_000_000
)

// disturbCore stalls core nodes, partitions them from each other, or both, until the context ends.
// Planned stops of core nodes wait meanwhile. All nodes run and are connected when it returns.
func (s *soak) disturbCore(ctx context.Context, random *rand.Rand) {
	for {
		pause(ctx, randomDuration(random, minCoreFaultPause, maxCoreFaultPause))
		if ctx.Err() != nil {
			return
		}
		s.coreStopMu.Lock()
		switch random.IntN(3) {
		case 0:
			s.stallCores(random)
		case 1:
			heal := s.partitionCore(random)
			time.Sleep(randomDuration(random, minCoreFaultLength, maxCoreFaultLength))
			heal()
		default:
			heal := s.partitionCore(random)
			s.stallCores(random)
			heal()
		}
		s.coreStopMu.Unlock()
	}
}

// stallCores stops the processes of one or more core nodes with SIGSTOP, each for a random time, and
// returns when all of them continue.
func (s *soak) stallCores(random *rand.Rand) {
	cores := s.fleet.CoreMachines()
	random.Shuffle(len(cores), func(i, j int) { cores[i], cores[j] = cores[j], cores[i] })
	stalled := cores[:1+random.IntN(len(cores))]
	var names []string
	var stalls sync.WaitGroup
	for _, m := range stalled {
		length := randomDuration(random, minCoreFaultLength, maxCoreFaultLength)
		names = append(names, fmt.Sprintf("%s for %s", m.Name, length.Round(time.Millisecond)))
		m.Freeze()
		stalls.Go(func() {
			time.Sleep(length)
			m.Thaw()
		})
	}
	s.recordFault("stall %s", strings.Join(names, ", "))
	stalls.Wait()
}

// partitionCore cuts the link between two core nodes in one direction, or one core node from all
// others in both. The returned function heals the network.
func (s *soak) partitionCore(random *rand.Rand) (heal func()) {
	cores := s.fleet.CoreMachines()
	random.Shuffle(len(cores), func(i, j int) { cores[i], cores[j] = cores[j], cores[i] })
	from, to := cores[0], cores[1]
	if random.IntN(2) == 0 {
		s.recordFault("cut link %s to %s", from.Name, to.Name)
		s.fleet.Relay.Cut(from, to)
	} else {
		s.recordFault("cut %s from the other core nodes", from.Name)
		for _, other := range cores[1:] {
			s.fleet.Relay.Cut(from, other)
			s.fleet.Relay.Cut(other, from)
		}
	}
	return func() {
		s.recordFault("heal the network")
		s.fleet.Relay.Heal()
	}
}

// randomDuration returns a random duration from shortest (inclusive) to longest (exclusive).
func randomDuration(random *rand.Rand, shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(random.Int64N(int64(longest-shortest)))
}
