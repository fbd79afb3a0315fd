package checker

import (
	"sort"
	"time"
)

// staleEpoch reports requests that were served under an older epoch than one acknowledged more
// than propagationBound before.
func staleEpoch(records []Record, report reporter) {
	changes, boundsApply := ofKind(records, ChangeSubmitted), contactTimeline(records)
	for _, r := range ofKind(records, RequestExecuted) {
		arrival := r.arrival()
		for _, change := range changes {
			if change.Outcome == OutcomeAccepted && r.Epoch < change.Epoch && arrival > change.At+propagationBound+slack && boundsApply(r.Proxy, arrival) {
				report(r.At, "call %s was served under epoch %d, %s after epoch %d was acknowledged", r.CallID, r.Epoch, arrival-change.At, change.Epoch)
				break
			}
		}
	}
}

// epochRegression reports requests that were served under a lower epoch than a request that the
// same proxy had answered before they were sent. A restarted proxy counts as the same proxy.
func epochRegression(records []Record, report reporter) {
	executed := map[string]Record{}
	for _, r := range ofKind(records, RequestExecuted) {
		executed[r.RequestID] = r
	}
	type event struct {
		at        time.Duration
		execution Record
	}
	sent, answered := map[string][]event{}, map[string][]event{} // by proxy
	for _, r := range ofKind(records, RequestCompleted) {
		execution, ok := executed[r.RequestID]
		if !ok {
			continue
		}
		sent[r.Proxy] = append(sent[r.Proxy], event{r.Start, execution})
		if r.Outcome != OutcomeBroken {
			answered[r.Proxy] = append(answered[r.Proxy], event{r.At, execution})
		}
	}
	byTime := func(events []event) {
		sort.Slice(events, func(i, j int) bool { return events[i].at < events[j].at })
	}
	for proxy, sentEvents := range sent {
		answeredEvents := answered[proxy]
		byTime(sentEvents)
		byTime(answeredEvents)
		var newest Record
		for _, request := range sentEvents {
			for len(answeredEvents) > 0 && answeredEvents[0].at < request.at {
				if answeredEvents[0].execution.Epoch > newest.Epoch {
					newest = answeredEvents[0].execution
				}
				answeredEvents = answeredEvents[1:]
			}
			if request.execution.Epoch < newest.Epoch {
				report(request.at, "call %s was forwarded by proxy %s under epoch %d after call %s was answered under epoch %d", request.execution.CallID, proxy, request.execution.Epoch, newest.CallID, newest.Epoch)
			}
		}
	}
}
