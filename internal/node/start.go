package node

import (
	"os"
	"syscall"

	"github.com/sumactrestle/sumactrestle/internal/environment"
)

// StartUntilSignal brings a node up as Start does, unless a signal tells it to stop before it
// is up, for a start may wait for room on the disk: then the node is nil.
func StartUntilSignal(signals <-chan os.Signal, r *environment.Environment, faces ...Listener) (*Node, error) {
	type result struct {
		node *Node
		err  error
	}
	started := make(chan result, 1)
	go func() {
		node, err := Start(r, faces...)
		started <- result{node, err}
	}()
	for {
		select {
		case got := <-started:
			if got.err != nil {
				r.Shutdown()
			}
			return got.node, got.err
		case signal := <-signals:
			if signal != syscall.SIGHUP {
				r.Shutdown()
				return nil, nil
			}
		}
	}
}
