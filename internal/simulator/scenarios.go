package simulator

import (
	"time"
)

func fiveCoreShape() Shape {
	s := Small()
	s.Cores, s.Proxies = 5, 3
	return s
}

// Scenarios lists all scenarios. Run executes one of them.
var Scenarios = []Scenario{
	{Name: "kills", Shape: Small, Length: 25 * time.Second, Faults: killMachines},
	{Name: "power", Shape: Small, Length: 25 * time.Second, Faults: losePower},
	{Name: "wipes", Shape: fiveCoreShape, Length: 30 * time.Second, Faults: wipeDisks},
	{Name: "cuts", Shape: Small, Length: 30 * time.Second, Faults: partitionNetwork},
	{Name: "freezes", Shape: Small, Length: 25 * time.Second, Faults: pauseMachines},
	{Name: "fulls", Shape: Small, Length: 25 * time.Second, Faults: fillDisks},
	{Name: "stalls", Shape: Small, Length: 25 * time.Second, Faults: stallDisks},
	{Name: "servers", Shape: Small, Length: 25 * time.Second, Faults: disturbTargets},
	{Name: "answers", Shape: Small, Length: 25 * time.Second, Faults: corruptResponses},
	{Name: "stops", Shape: Small, Length: 25 * time.Second, Faults: stopMachines, PlannedOnly: true},
	{Name: "servers-cut", Shape: Small, Length: 30 * time.Second, Faults: disturbTargetsDuring(pauseRepeatedly)},
	{Name: "servers-kill", Shape: Small, Length: 30 * time.Second, Faults: disturbTargetsDuring(killCores)},
	{Name: "amnesia", Shape: Small, Length: 30 * time.Second, Faults: wipeDuringPartition},
	{Name: "folds", Shape: frequentSnapshots, Length: 25 * time.Second, Faults: killMachines},
	{Name: "flash", Shape: Small, Length: 25 * time.Second, Faults: losePowerDuringStall},
	{Name: "laggard", Shape: Small, Length: 25 * time.Second, Faults: killAsPartitionHeals},
	{Name: "storm", Shape: duplicatesAllowed, Length: 25 * time.Second, Start: func(f *Fleet) { f.StartRetryStorm(12) }, Faults: loseResponses},
	{Name: "once", Shape: Small, Length: 25 * time.Second, Start: func(f *Fleet) { f.StartRetryStorm(8) }, Faults: func(f *Fleet) { loseResponses(f); killMachines(f) }},
	{Name: "rivals", Shape: Small, Length: 25 * time.Second, Start: func(f *Fleet) { f.StartRivals(500 * time.Millisecond) }, Faults: forceLeaderChanges},
	{Name: "replacements", Shape: withSpares, Length: 30 * time.Second, Faults: replaceMembers},
	{Name: "march", Shape: fiveCoreShape, Length: 30 * time.Second, Faults: killOneByOne},
	{Name: "acked", Shape: Small, Length: 30 * time.Second, Faults: faultAfterAcknowledgement},
	{Name: "slows", Shape: Small, Length: 25 * time.Second, Faults: slowDisks},
	{Name: "herds", Shape: Small, Length: 25 * time.Second, Faults: restartManyTargets},
	{Name: "cold", Shape: Small, Length: 30 * time.Second, Faults: startProxiesBeforeCore},
	{Name: "stops-long", Shape: longRequests, Length: 30 * time.Second, Start: func(f *Fleet) { f.StartUploads(4) }, Faults: stopDuringLongRequests, PlannedOnly: true},
	{Name: "stops-alone", Shape: longRequests, Length: 30 * time.Second, Start: func(f *Fleet) { f.StartUploads(4) }, Faults: stopWithoutMajority},
	{Name: "uploads", Shape: Small, Length: 25 * time.Second, Start: func(f *Fleet) { f.StartUploads(8) }, Faults: func(f *Fleet) { partitionNetwork(f); killMachines(f); disturbTargets(f) }},
	{Name: "pairs", Shape: withSpares, Length: 30 * time.Second, Faults: pairCoreFaults},
	{Name: "overlap", Shape: fiveCoreShape, Length: 30 * time.Second, Faults: overlapFaults},
	{Name: "growth", Shape: growingConfiguration, Length: 25 * time.Second, Faults: killMachines},
	{Name: "standstills", Shape: fiveCoreShape, Length: 30 * time.Second, Start: func(f *Fleet) { f.StartLockCallers(12, 50*time.Millisecond) }, Faults: standStill},
	{Name: "mixed", Shape: fiveCoreShape, Length: 40 * time.Second, Faults: runRandomFault},
}

// frequentSnapshots takes a snapshot every 20 entries, so that nodes restart from snapshots.
func frequentSnapshots() Shape {
	s := Small()
	s.Settings["consensus.snapshot_entries"] = "20"
	return s
}

// longRequests has targets with service times of up to 2.5 s.
func longRequests() Shape {
	s := Small()
	s.ServiceTime = 2500 * time.Millisecond
	return s
}

func growingConfiguration() Shape {
	s := Small()
	s.Growth = 400
	return s
}

func duplicatesAllowed() Shape {
	s := Small()
	s.AllowsDuplicates = true
	return s
}

// withSpares is a core of five in which lost members are replaced after 1 s.
func withSpares() Shape {
	shape := fiveCoreShape()
	shape.Settings["consensus.replacement_delay"] = "1s"
	return shape
}

// Scenario is a named run with its shape and its faults.
type Scenario struct {
	Name   string
	Shape  func() Shape
	Length time.Duration  // no further call of Faults begins after it
	Faults func(f *Fleet) // injects faults and returns when done; called repeatedly
	Start  func(f *Fleet) // starts additional load; may be nil
	// PlannedOnly marks scenarios whose only faults are planned stops.
	PlannedOnly bool
	// PlatformMode runs the scenario on a fleet in platform mode.
	PlatformMode bool
}
