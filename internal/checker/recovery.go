package checker

import "time"

// recoveryBound is how long the fleet may stay unusable after all machines are restored.
const recoveryBound = 15 * time.Second

// recoveryTime reports recoveries that took longer than recoveryBound or did not succeed.
func recoveryTime(records []Record, report reporter) {
	for _, r := range ofKind(records, Recovery) {
		if r.Outcome != OutcomeUsable || r.At-r.Start > recoveryBound {
			report(r.At, "machines were restored at %s; the fleet was %q at %s", r.Start, r.Outcome, r.At)
		}
	}
}

// replicaAgreement reports each replica divergence that a node detected.
func replicaAgreement(records []Record, report reporter) {
	for _, r := range ofKind(records, ReplicaDivergence) {
		report(r.At, "%s", r.Note)
	}
}
