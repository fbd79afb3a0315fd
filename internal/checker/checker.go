package checker

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Rule checks one safety property over a complete history, in the order in which it was
// recorded, and reports each violation.
type Rule func(records []Record, report reporter)

// reporter records a violation of the rule that is being checked.
type reporter func(at time.Duration, format string, args ...any)

// Rules maps the name of each rule to its check.
var Rules = map[string]Rule{
	"runs-twice":     duplicateExecution,
	"not-run":        falseNotRun,
	"wrong-answer":   wrongResponse,
	"dropped":        droppedRequests,
	"answered":       numberedRejections,
	"late-hand-over": lateForward,
	"wrong-service":  misroutedRequest,
	"extra-tries":    retryBudget,
	"old-plan":       staleEpoch,
	"slid-back":      epochRegression,
	"racing-changes": conflictingChanges,
	"whole-sets":     changeAtomicity,
	"lost-change":    lostChange,
	"versions":       versionedChanges,
	"locks":          lockExclusion,
	"counters":       counterMonotonicity,
	"counted":        exactlyOnceCalls,
	"stale-read":     staleRead,
	"watch-gap":      watchCompleteness,
	"sets":           spaceRevisions,
	"too-long":       recoveryTime,
	"replicas":       replicaAgreement,
}

// incomplete is the rule name in the violation of a history without a ScenarioEnded record. It
// is not in Rules.
const incomplete = "incomplete"

// slack is added to bounds that the requirements state as approximate.
const slack = 50 * time.Millisecond

// Violation is one occurrence of a broken rule. Texts on requests contain the call ID, by which
// Result selects the records to show.
type Violation struct {
	Rule string
	Text string
	At   time.Duration
}

// Result holds the violations that all rules found in a history.
type Result struct {
	Violations []Violation    // incomplete first, then sorted by rule
	Counts     map[string]int // records by kind; requests, versioned changes and coordination calls also by outcome
	records    []Record
}

// Check checks a history against all rules.
func Check(records []Record) *Result {
	result := &Result{Counts: countRecords(records), records: records}
	if len(ofKind(records, ScenarioEnded)) == 0 {
		result.Violations = append(result.Violations, Violation{Rule: incomplete, Text: "the history has no record of the scenario's end, so it may lack violations"})
	}
	for _, name := range slices.Sorted(maps.Keys(Rules)) {
		Rules[name](records, func(at time.Duration, format string, args ...any) {
			result.Violations = append(result.Violations, Violation{Rule: name, At: at, Text: fmt.Sprintf(format, args...)})
		})
	}
	return result
}

func countRecords(records []Record) map[string]int {
	counts := map[string]int{}
	inContact := contactTimeline(records)
	for _, r := range records {
		counts[string(r.Kind)]++
		switch r.Kind {
		case RequestCompleted:
			counts["called: "+r.Outcome]++
			if r.Code != 0 {
				counts[fmt.Sprintf("called: code %d", r.Code)]++
			}
		case RequestExecuted:
			if inContact(r.Proxy, r.At) {
				counts["ran in touch"]++
			}
		case VersionedChange:
			counts["version: "+r.Outcome]++
		case CoordinationCall:
			counts[fmt.Sprintf("bonded: %s %s %d", r.Op, r.Outcome, r.Code)]++
		}
	}
	return counts
}

func ofKind(records []Record, kind Kind) (matching []Record) {
	for _, r := range records {
		if r.Kind == kind {
			matching = append(matching, r)
		}
	}
	return matching
}

// IsValid reports whether the history breaks no rule.
func (r *Result) IsValid() bool { return len(r.Violations) == 0 }

const (
	maxViolationsShown = 20
	maxContextShown    = 40 // records around the first violation
)

// String lists the counts, the violations, and the records close in time to the first violation.
func (r *Result) String() string {
	var b strings.Builder
	for _, kind := range slices.Sorted(maps.Keys(r.Counts)) {
		fmt.Fprintf(&b, "%-24s %d\n", kind, r.Counts[kind])
	}
	for i, violation := range r.Violations {
		if i == maxViolationsShown {
			fmt.Fprintf(&b, "and %d more\n", len(r.Violations)-i)
			break
		}
		fmt.Fprintf(&b, "BROKEN %s at %s: %s\n", violation.Rule, violation.At, violation.Text)
	}
	if len(r.Violations) > 0 {
		b.WriteString("around the first violation:\n")
		for _, record := range r.recordsAround(r.Violations[0]) {
			fmt.Fprintf(&b, "  %+v\n", record)
		}
	}
	return b.String()
}

// recordsAround returns the records within a second of a violation. Of requests, it returns only
// those whose call ID is in the violation's text.
func (r *Result) recordsAround(violation Violation) (near []Record) {
	for _, record := range r.records {
		isRequest := record.Kind == RequestCompleted || record.Kind == RequestExecuted
		isNear := record.At > violation.At-time.Second && record.At < violation.At+time.Second
		if isNear && (!isRequest || strings.Contains(violation.Text, record.CallID)) && len(near) < maxContextShown {
			near = append(near, record)
		}
	}
	return near
}
