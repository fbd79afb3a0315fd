package harness

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"os"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
)

const (
	// readyTimeout is how long a node that was replaced may take until it works.
	readyTimeout = 30 * time.Second
	// mixedChanges is how many change sets, one a second, are submitted to each mix of
	// the two builds.
	mixedChanges = 3
	// refusalsShown is how many refusals of each node are printed.
	refusalsShown = 3
)

// refusals are the events by which a node says that it can't read or doesn't believe
// what another sent or wrote, or that copies of a shard differ.
var refusals = map[int]bool{
	eventlog.MessageRejected.Number:  true,
	eventlog.StoreDamaged.Number:     true,
	eventlog.StoreFailed.Number:      true,
	eventlog.ReplicaRepaired.Number:  true,
	eventlog.ReplicasDiverged.Number: true,
	eventlog.GroupDamaged.Number:     true,
}

// Upgrade runs a fleet of the build at from under load and replaces its nodes, core
// nodes first, one at a time by the build at to. Change sets are submitted throughout.
// The checkers judge the history; besides, every node must have been replaced, and none
// may have refused a message of the other build or the data that the other build wrote.
func (r *Run) Upgrade(ctx context.Context, from, to, folder string, shape Shape, out io.Writer) error {
	r.Fault, r.OtherBinary = "upgrade", to
	if err := r.Go(ctx, from, folder, shape, out); err != nil {
		return err
	}
	if r.replaced < len(r.fleet.Machines) {
		return errcode.New(errcode.Internal, "only %d of %d nodes were replaced in %d s", r.replaced, len(r.fleet.Machines), r.Seconds)
	}
	refused := 0
	for _, m := range r.fleet.Machines {
		n, err := r.showRefusals(m)
		if err != nil {
			return err
		}
		refused += n
	}
	r.logf("%d nodes replaced one at a time, %d refusals logged", r.replaced, refused)
	if refused > 0 {
		return errcode.New(errcode.Internal, "one build refused what the other sent or wrote")
	}
	return nil
}

// upgradeMachine replaces the next node, waits until it works and submits a change set.
func upgradeMachine(r *Run, rnd *rand.Rand) {
	if r.replaced < len(r.fleet.Machines) {
		replaceBuild(r, rnd)
		limited, end := context.WithTimeout(r.ctx, readyTimeout)
		defer end()
		if err := r.fleet.AwaitReady(limited); err != nil {
			r.logf("%v", err)
		}
	}
	for range mixedChanges {
		addRoute(r, rnd)
	}
}

// showRefusals counts the lines of a node's log that say that a message or
// stored data were refused,
// and prints the first.
func (r *Run) showRefusals(m *Machine) (count int, err error) {
	file, err := os.Open(m.LogFile())
	if err != nil {
		return 0, err
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var line struct{ Event int }
		if err := json.Unmarshal(lines.Bytes(), &line); err != nil {
			return count, errcode.New(errcode.Internal, "%s: %v", m.LogFile(), err)
		}
		if refusals[line.Event] {
			if count++; count <= refusalsShown {
				r.logf("%s: %s", m.Name, lines.Text())
			}
		}
	}
	return count, lines.Err()
}
