package harness

import (
	"bufio"
	"context"
	"encoding/json"
	"os"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
)

const (
	// changeSetsPerMix is how many change sets, one a second, are submitted to each mix of
	// the two builds.
	changeSetsPerMix = 3
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

// Upgrade runs a fleet of the build Options.Binary under load and replaces its nodes, core
// nodes first, one at a time by the build Options.OtherBinary. Change sets are submitted
// throughout. The checkers judge the history; besides, every node must have been replaced, and
// none may have refused a message of the other build or the data that the other build wrote.
func Upgrade(ctx context.Context, options Options) error {
	options.Fault = faultUpgrade
	r, err := newRun(ctx, options)
	if err != nil {
		return err
	}
	if err := r.execute(); err != nil {
		return err
	}
	if r.replaced < len(r.fleet.Machines) {
		return errcode.New(errcode.Internal, "only %d of %d nodes were replaced in %d s", r.replaced, len(r.fleet.Machines), r.Seconds)
	}
	refused := 0
	for _, m := range r.fleet.Machines {
		count, err := r.printRefusals(m)
		if err != nil {
			return err
		}
		refused += count
	}
	r.logf("%d nodes replaced one at a time, %d refusals logged", r.replaced, refused)
	if refused > 0 {
		return errcode.New(errcode.Internal, "one build refused what the other sent or wrote")
	}
	return nil
}

// printRefusals counts the lines of a node's log that tell of a refused message or refused
// data, and prints the first.
func (r *run) printRefusals(m *Machine) (count int, err error) {
	file, err := os.Open(m.LogFile())
	if err != nil {
		return 0, err
	}
	defer file.Close()
	starts := 0
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var line struct{ Event int }
		if err := json.Unmarshal(lines.Bytes(), &line); err != nil {
			return count, errcode.New(errcode.Internal, "%s: %v", m.LogFile(), err)
		}
		if line.Event == eventlog.NodeStarted.Number {
			starts++
		}
		if refusals[line.Event] {
			if count++; count <= refusalsShown {
				r.logf("%s: %s", m.Name, lines.Text())
			}
		}
	}
	// A log without them is none in which refusals would have been seen.
	if lines.Err() == nil && starts < 2 {
		return count, errcode.New(errcode.Internal, "%s tells of %d starts, not of one in each build", m.LogFile(), starts)
	}
	return count, lines.Err()
}
