package checker

import "time"

// recoveryBound is how long the fleet may be unusable after its machines are back.
const recoveryBound = 15 * time.Second

// recoveryTime: the fleet is unusable for longer than that, or is not usable again at all.
func recoveryTime(records []Record, report reporter) {
	for _, r := range ofKind(records, Recovery) {
		if r.Outcome != OutcomeUsable || r.At-r.Start > recoveryBound {
			report(r.At, "machines were back at %s, usable: %q at %s", r.Start, r.Outcome, r.At)
		}
	}
}

// replicaAgreement: a node found that the replicas of a shard contradict one another.
func replicaAgreement(records []Record, report reporter) {
	for _, r := range ofKind(records, ReplicaDivergence) {
		report(r.At, "%s", r.Note)
	}
}
