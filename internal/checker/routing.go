package checker

import (
	"fmt"
	"sort"
	"time"
)

const (
	// propagationBound is the time within which a proxy in contact must apply an acknowledged
	// change set or target state.
	propagationBound = 2 * time.Second
	// failureTimeout is the time without heartbeats after which a target counts as failed. A
	// target's longer TTL takes precedence.
	failureTimeout = 900 * time.Millisecond

	// Within any budgetWindow, a service may receive extra attempts up to budgetRatio of the
	// first attempts, plus budgetMinimum.
	budgetWindow  = 10 * time.Second
	budgetRatio   = 0.2
	budgetMinimum = 66
)

// lateForward reports requests that reached a server more than propagationBound after it was known
// to be draining, leaving or failed.
func lateForward(records []Record, report reporter) {
	boundsApply := contactTimeline(records)
	unavailableSince := map[string]time.Duration{} // by service and instance
	for _, r := range records {
		since := r.At
		switch r.Kind {
		case DrainAcknowledged:
		case HeartbeatsStopped:
			since += max(r.TTL, failureTimeout)
		default:
			continue
		}
		id := r.Service + "/" + r.Instance
		if _, ok := unavailableSince[id]; !ok {
			unavailableSince[id] = since
		}
	}
	for _, r := range ofKind(records, RequestExecuted) {
		arrival := r.arrival()
		since, ok := unavailableSince[r.ServerService+"/"+r.Instance]
		if ok && arrival > since+propagationBound+slack && boundsApply(r.Proxy, arrival) {
			report(r.At, "call %s reached %s %s, %s after it was known to be unavailable", r.CallID, r.ServerService, r.Instance, arrival-since)
		}
	}
}

// misroutedRequest reports requests that reached a server of another service.
func misroutedRequest(records []Record, report reporter) {
	for _, r := range ofKind(records, RequestExecuted) {
		if r.Service != r.ServerService {
			report(r.At, "call %s for service %s reached %s of service %s", r.CallID, r.Service, r.Address, r.ServerService)
		}
	}
}

// retryBudget reports the largest excess of extra attempts over the budget within any budgetWindow,
// for each service.
func retryBudget(records []Record, report reporter) {
	type attempt struct {
		at      time.Duration
		isExtra bool
	}
	byService := map[string][]attempt{}
	seenIDs := map[string]bool{}
	for _, r := range records {
		if r.Kind != RequestExecuted && r.Kind != RequestRejected {
			continue
		}
		id := r.CallID
		if r.PerAttempt {
			id = r.RequestID
		}
		byService[r.Service] = append(byService[r.Service], attempt{r.At, seenIDs[id]})
		seenIDs[id] = true
	}
	for service, attempts := range byService {
		sort.SliceStable(attempts, func(i, j int) bool { return attempts[i].at < attempts[j].at })
		windowStart, extra := 0, 0 // index of the window's first attempt, and its number of extra attempts
		var worst Violation
		maxExcess := 0.0
		for i, a := range attempts {
			if a.isExtra {
				extra++
			}
			for attempts[windowStart].at <= a.at-budgetWindow {
				if attempts[windowStart].isExtra {
					extra--
				}
				windowStart++
			}
			requests := i + 1 - windowStart - extra
			if excess := float64(extra) - float64(requests)*budgetRatio - budgetMinimum; excess > maxExcess {
				maxExcess = excess
				worst = Violation{At: a.at, Text: fmt.Sprintf("service %s received %d extra attempts for %d requests in ten seconds", service, extra, requests)}
			}
		}
		if maxExcess > 0 {
			report(worst.At, "%s", worst.Text)
		}
	}
}
