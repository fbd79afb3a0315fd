package checker

import (
	"sort"
	"time"
)

// staleEpoch: a request is served under an older epoch than one that was acknowledged
// longer ago than the propagation may take.
func staleEpoch(records []Record, report reporter) {
	changes, isBound := ofKind(records, ChangeSubmitted), contactTimeline(records)
	for _, r := range ofKind(records, RequestExecuted) {
		arrival := r.arrival()
		for _, change := range changes {
			if change.Outcome == OutcomeAccepted && r.Epoch < change.Epoch && arrival > change.At+propagationBound+slack && isBound(r.Proxy, arrival) {
				report(r.At, "call %s was served under epoch %d, %s after epoch %d was acknowledged", r.CallID, r.Epoch, arrival-change.At, change.Epoch)
				break
			}
		}
	}
}

// epochRegression: a request that was sent after another one was answered through the same
// proxy is served under a lower epoch. A proxy that was started anew is the same proxy.
func epochRegression(records []Record, report reporter) {
	executed := map[string]Record{}
	for _, r := range ofKind(records, RequestExecuted) {
		executed[r.RequestID] = r
	}
	type event struct {
		at  time.Duration
		run Record
	}
	sent, answered := map[string][]event{}, map[string][]event{} // by proxy
	for _, r := range ofKind(records, RequestCompleted) {
		run, ok := executed[r.RequestID]
		if !ok {
			continue
		}
		sent[r.Proxy] = append(sent[r.Proxy], event{r.Start, run})
		if r.Outcome != OutcomeBroken {
			answered[r.Proxy] = append(answered[r.Proxy], event{r.At, run})
		}
	}
	byTime := func(events []event) {
		sort.Slice(events, func(i, j int) bool { return events[i].at < events[j].at })
	}
	for proxy, requests := range sent {
		answers := answered[proxy]
		byTime(requests)
		byTime(answers)
		var newest Record
		for _, request := range requests {
			for len(answers) > 0 && answers[0].at < request.at {
				if answers[0].run.Epoch > newest.Epoch {
					newest = answers[0].run
				}
				answers = answers[1:]
			}
			if request.run.Epoch < newest.Epoch {
				report(request.at, "call %s was forwarded by proxy %s under epoch %d after call %s was answered under epoch %d", request.run.CallID, proxy, request.run.Epoch, newest.CallID, newest.Epoch)
			}
		}
	}
}
