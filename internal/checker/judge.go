// One checker for each thing that must never happen. Each looks at the whole
// history and names what breaks its rule, with the records around it.
package checker

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// Violation is one place where a rule is broken.
type Violation struct {
	Rule string
	Text string
	At   time.Duration
}

// Result is what all checkers said.
type Result struct {
	Violations []Violation
	Counts     map[string]int
	records    []Record
}

func (v *Result) IsValid() bool { return len(v.Violations) == 0 }

func (v *Result) String() string {
	var b strings.Builder
	kinds := make([]string, 0, len(v.Counts))
	for kind := range v.Counts {
		kinds = append(kinds, kind)
	}
	sort.Strings(kinds)
	for _, kind := range kinds {
		fmt.Fprintf(&b, "%-24s %d\n", kind, v.Counts[kind])
	}
	for i, breach := range v.Violations {
		if i == 20 {
			fmt.Fprintf(&b, "and %d more\n", len(v.Violations)-i)
			break
		}
		fmt.Fprintf(&b, "BROKEN %s at %s: %s\n", breach.Rule, breach.At, breach.Text)
	}
	if len(v.Violations) > 0 {
		b.WriteString("around the first:\n")
		at := v.Violations[0].At
		shown := 0
		for _, r := range v.records {
			if r.At > at-time.Second && r.At < at+time.Second && (r.Kind != RequestCompleted && r.Kind != RequestExecuted || strings.Contains(v.Violations[0].Text, r.CallID)) && shown < 40 {
				fmt.Fprintf(&b, "  %+v\n", r)
				shown++
			}
		}
	}
	return b.String()
}

// The bounds of the brief; the slack is for what "about" means there.
const (
	propagationBound = 2 * time.Second
	recoveryBound    = 15 * time.Second
	slack            = 50 * time.Millisecond
	idempotencyBound = 25 * time.Second // how long a proxy surely remembers an order
)

type Rule func(all []Record, fail func(at time.Duration, format string, args ...any))

// Rules are the rules by name.
var Rules = map[string]Rule{
	"runs-twice":     duplicateExecution,
	"not-run":        falseNotRun,
	"wrong-answer":   wrongResponse,
	"late-hand-over": lateForward,
	"wrong-service":  misroutedRequest,
	"old-plan":       staleEpoch,
	"slid-back":      epochRegression,
	"racing-changes": conflictingChanges,
	"whole-sets":     changeAtomicity,
	"lost-change":    lostChange,
	"extra-tries":    retryBudget,
	"dropped":        droppedRequests,
	"locks":          lockExclusion,
	"counters":       counterMonotonicity,
	"counted":        exactlyOnceCalls,
	"stale-read":     staleRead,
	"watch-gap":      watchCompleteness,
	"too-long":       recoveryTime,
	"answered":       numberedRefusals,
	"replicas":       replicaAgreement,
	"sets":           spaceRevisions,
	"versions":       versionedChanges,
}

// Check runs every checker.
func Check(records []Record) *Result {
	v := &Result{Counts: map[string]int{}, records: records}
	isBound := contactTimeline(records)
	hasEnd := false
	for _, r := range records {
		v.Counts[r.Kind]++
		if r.Kind == RequestCompleted {
			v.Counts["called: "+r.Outcome]++
			if r.Code != 0 {
				v.Counts[fmt.Sprintf("called: code %d", r.Code)]++
			}
		}
		if r.Kind == RequestExecuted && isBound(r.Proxy, r.At) {
			v.Counts["ran in touch"]++
		}
		if r.Kind == VersionedChange {
			v.Counts["version: "+r.Outcome]++
		}
		if r.Kind == CoordinationCall {
			v.Counts[fmt.Sprintf("bonded: %s %s %d", r.Op, r.Outcome, r.Code)]++
		}
		hasEnd = hasEnd || r.Kind == ScenarioEnded
	}
	if !hasEnd {
		v.Violations = append(v.Violations, Violation{Rule: "incomplete", Text: "the history has no end; nothing can be said of it"})
	}
	names := make([]string, 0, len(Rules))
	for name := range Rules {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		Rules[name](records, func(at time.Duration, format string, args ...any) {
			v.Violations = append(v.Violations, Violation{Rule: name, At: at, Text: fmt.Sprintf(format, args...)})
		})
	}
	return v
}

func ofKind(all []Record, kind string) (some []Record) {
	for _, r := range all {
		if r.Kind == kind {
			some = append(some, r)
		}
	}
	return some
}

// duplicateExecution: a booking, signing order or upload runs twice.
func duplicateExecution(all []Record, fail func(time.Duration, string, ...any)) {
	repeats := map[string]bool{}
	for _, r := range ofKind(all, RequestCompleted) {
		repeats[r.CallID] = repeats[r.CallID] || r.IsRetry && !r.AtMostOnce
	}
	runs, requests := map[string]Record{}, map[string]Record{}
	for _, r := range ofKind(all, RequestExecuted) {
		if r.Idempotent {
			continue
		}
		if first, ok := requests[r.RequestID]; ok {
			fail(r.At, "request %s of call %s ran at %s and at %s", r.RequestID, r.CallID, first.Instance, r.Instance)
		}
		requests[r.RequestID] = r
		if first, ok := runs[r.CallID]; ok && !repeats[r.CallID] {
			fail(r.At, "call %s ran at %s and at %s", r.CallID, first.Instance, r.Instance)
		}
		runs[r.CallID] = r
	}
}

// falseNotRun: "not run" for a request that did run, or will run later. Each answer
// bears its request's id, so each try of a caller is judged by itself. What is
// said of a repeat must be true of the order: through the proxy that handed the
// order over, and has lived on since, no repeat is told "not run".
func falseNotRun(all []Record, fail func(time.Duration, string, ...any)) {
	runs, lives := map[string]Record{}, map[string][]time.Duration{}
	for _, r := range all {
		switch r.Kind {
		case RequestExecuted:
			runs[r.RequestID] = r
		case ProxyStarted:
			lives[r.Proxy] = append(lives[r.Proxy], r.At)
		}
	}
	handed := map[string][]Record{}
	for _, r := range ofKind(all, RequestCompleted) {
		if _, ok := runs[r.RequestID]; ok && !r.Idempotent && !r.PerAttempt {
			handed[r.CallID] = append(handed[r.CallID], r)
		}
	}
	for _, r := range ofKind(all, RequestCompleted) {
		if r.Outcome != "not run" {
			continue
		}
		if r.RequestID == "" {
			fail(r.At, "call %s was answered not run (%d) without its request's id; nothing can be said of it", r.CallID, r.Code)
		}
		if ran, ok := runs[r.RequestID]; ok {
			fail(r.At, "call %s, request %s was answered not run (%d) and ran at %s", r.CallID, r.RequestID, r.Code, ran.Instance)
		}
		for _, first := range handed[r.CallID] {
			isSameLife := r.Proxy == first.Proxy && first.At < r.Start && r.At < first.Start+idempotencyBound
			for _, at := range lives[r.Proxy] {
				isSameLife = isSameLife && (at < first.Start || at > r.At)
			}
			if isSameLife {
				fail(r.At, "a repeat of call %s was answered not run (%d) by the proxy that had handed it over as request %s", r.CallID, r.Code, first.RequestID)
			}
		}
	}
}

// wrongResponse: a success without seal or part of its body, or of another
// request, or one that never ran; or a body that did not arrive whole and ran.
func wrongResponse(all []Record, fail func(time.Duration, string, ...any)) {
	runs := map[string]bool{}
	for _, r := range ofKind(all, RequestExecuted) {
		runs[r.CallID+r.Digest] = true
	}
	sent := map[string]string{}
	for _, r := range ofKind(all, RequestCompleted) {
		sent[r.CallID] = r.Digest
	}
	for _, r := range ofKind(all, RequestExecuted) {
		if digest, ok := sent[r.CallID]; ok && digest != "" && r.Digest != "" && digest != r.Digest {
			fail(r.At, "call %s ran at %s with another body than was sent", r.CallID, r.Instance)
		}
	}
	for _, r := range ofKind(all, RequestCompleted) {
		if r.Status == 200 && (r.Note != "" || !runs[r.CallID+r.Digest]) {
			fail(r.At, "call %s got a success that is not its own: %s", r.CallID, r.Note)
		}
	}
}

// lateForward: a request reaches a server that we knew to be draining or gone.
func lateForward(all []Record, fail func(time.Duration, string, ...any)) {
	isBound := contactTimeline(all)
	known := map[string]time.Duration{}
	for _, r := range all {
		id := r.Service + "/" + r.Instance
		switch r.Kind {
		case DrainAcknowledged:
			if _, ok := known[id]; !ok {
				known[id] = r.At
			}
		case HeartbeatsStopped:
			if _, ok := known[id]; !ok {
				known[id] = r.At + max(r.TTL, 900*time.Millisecond)
			}
		}
	}
	for _, r := range ofKind(all, RequestExecuted) {
		came := r.At
		if r.Start > 0 {
			came = r.Start
		}
		if at, ok := known[r.ServerService+"/"+r.Instance]; ok && came > at+propagationBound+slack && isBound(r.Proxy, came) {
			fail(r.At, "call %s reached %s %s, %s after it was known to go", r.CallID, r.ServerService, r.Instance, came-at)
		}
	}
}

// misroutedRequest: a request reaches an address that belongs to another service.
func misroutedRequest(all []Record, fail func(time.Duration, string, ...any)) {
	for _, r := range ofKind(all, RequestExecuted) {
		if r.Service != r.ServerService {
			fail(r.At, "call %s for %s reached %s of %s", r.CallID, r.Service, r.Address, r.ServerService)
		}
	}
}

// staleEpoch: a request is handled under a plan older than one acknowledged
// about two seconds ago.
func staleEpoch(all []Record, fail func(time.Duration, string, ...any)) {
	changes, isBound := ofKind(all, ChangeSubmitted), contactTimeline(all)
	for _, r := range ofKind(all, RequestExecuted) {
		came := r.At
		if r.Start > 0 {
			came = r.Start
		}
		for _, c := range changes {
			if c.Outcome == "accepted" && r.Epoch < c.Epoch && came > c.At+propagationBound+slack && isBound(r.Proxy, came) {
				fail(r.At, "call %s was handled under epoch %d, %s after epoch %d was acknowledged", r.CallID, r.Epoch, came-c.At, c.Epoch)
				break
			}
		}
	}
}

// epochRegression: a request that was called after another was answered through the
// same proxy runs under a lower epoch than that one did. Nothing is forgiven,
// and a proxy that was started anew is the same proxy.
func epochRegression(all []Record, fail func(time.Duration, string, ...any)) {
	epochs := map[string]Record{}
	for _, r := range ofKind(all, RequestExecuted) {
		epochs[r.RequestID] = r
	}
	type seen struct {
		at  time.Duration
		ran Record
	}
	answered, called := map[string][]seen{}, map[string][]seen{}
	for _, r := range ofKind(all, RequestCompleted) {
		ran, ok := epochs[r.RequestID]
		if !ok {
			continue
		}
		called[r.Proxy] = append(called[r.Proxy], seen{r.Start, ran})
		if r.Outcome != "broken" {
			answered[r.Proxy] = append(answered[r.Proxy], seen{r.At, ran})
		}
	}
	for proxy, list := range called {
		byTime := func(list []seen) func(i, j int) bool { return func(i, j int) bool { return list[i].at < list[j].at } }
		sort.Slice(list, byTime(list))
		before := answered[proxy]
		sort.Slice(before, byTime(before))
		top, next := Record{}, 0
		for _, s := range list {
			for ; next < len(before) && before[next].at < s.at; next++ {
				if before[next].ran.Epoch > top.Epoch {
					top = before[next].ran
				}
			}
			if s.ran.Epoch < top.Epoch {
				fail(s.at, "call %s was handed over by proxy %s under epoch %d after call %s was answered under epoch %d", s.ran.CallID, proxy, s.ran.Epoch, top.CallID, top.Epoch)
			}
		}
	}
}
