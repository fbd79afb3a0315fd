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
	// changeSetsPerStep is the number of change sets, one per second, that are submitted after each
	// node's upgrade, so that every mix of the two builds processes some.
	changeSetsPerStep = 3
	// maxPrintedRejections limits the printed rejections of each node.
	maxPrintedRejections = 3
)

// rejectionEvents are the events with which a node logs that it rejected a message or can't read or
// write stored data, or that replicas of a shard differ.
var rejectionEvents = map[int]bool{
	eventlog.MessageRejected.Number:  true,
	eventlog.StoreDamaged.Number:     true,
	eventlog.StoreFailed.Number:      true,
	eventlog.ReplicaRepaired.Number:  true,
	eventlog.ReplicasDiverged.Number: true,
	eventlog.GroupDamaged.Number:     true,
}

// Upgrade runs a fleet of the build Options.Binary under load and upgrades its nodes one at a time,
// core nodes first, to the build Options.OtherBinary. Change sets are submitted throughout. It
// fails if the history breaks a rule, if a node was not upgraded in time, or if a node rejected
// messages or stored data of the other build.
func Upgrade(ctx context.Context, options Options) error {
	options.Fault = faultUpgrade
	r, err := newRun(ctx, options)
	if err != nil {
		return err
	}
	if err := r.execute(); err != nil {
		return err
	}
	if r.buildSwitches < len(r.fleet.Machines) {
		return errcode.New(errcode.Internal, "only %d of %d nodes were upgraded in %d s", r.buildSwitches, len(r.fleet.Machines), r.Seconds)
	}
	rejected := 0
	for _, m := range r.fleet.Machines {
		count, err := r.printRejections(m)
		if err != nil {
			return err
		}
		rejected += count
	}
	r.logf("%d nodes upgraded one at a time, %d rejections logged", r.buildSwitches, rejected)
	if rejected > 0 {
		return errcode.New(errcode.Internal, "one build rejected messages or stored data of the other")
	}
	return nil
}

// printRejections returns the number of rejectionEvents in a node's log, and prints the first
// maxPrintedRejections of them.
func (r *run) printRejections(m *Machine) (count int, err error) {
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
		if rejectionEvents[line.Event] {
			if count++; count <= maxPrintedRejections {
				r.logf("%s: %s", m.Name, lines.Text())
			}
		}
	}
	// A log without a start of each build is incomplete, so it may lack rejections too.
	if lines.Err() == nil && starts < 2 {
		return count, errcode.New(errcode.Internal, "%s has %d starts of the node, want at least 2, one per build", m.LogFile(), starts)
	}
	return count, lines.Err()
}
