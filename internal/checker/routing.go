package checker

import (
	"fmt"
	"sort"
	"time"
)

const (
	// propagationBound is how long a proxy in contact may take to learn what was
	// acknowledged.
	propagationBound = 2 * time.Second
	// failureTimeout is the silence after which a target counts as gone; a longer time-out
	// of its own goes before it.
	failureTimeout = 900 * time.Millisecond

	// In any budgetWindow, a service may see extra attempts up to budgetRatio of the first
	// ones and budgetMinimum beside.
	budgetWindow  = 10 * time.Second
	budgetRatio   = 0.2
	budgetMinimum = 66
)

// lateForward: a request reaches a server that was known to be draining or gone.
func lateForward(records []Record, report reporter) {
	isBound := contactTimeline(records)
	known := map[string]time.Duration{} // since when it was known of each instance
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
		if _, ok := known[id]; !ok {
			known[id] = since
		}
	}
	for _, r := range ofKind(records, RequestExecuted) {
		arrival := r.arrival()
		since, ok := known[r.ServerService+"/"+r.Instance]
		if ok && arrival > since+propagationBound+slack && isBound(r.Proxy, arrival) {
			report(r.At, "call %s reached %s %s, %s after it was known to go", r.CallID, r.ServerService, r.Instance, arrival-since)
		}
	}
}

// misroutedRequest: a request reaches an address that belongs to another service.
func misroutedRequest(records []Record, report reporter) {
	for _, r := range ofKind(records, RequestExecuted) {
		if r.Service != r.ServerService {
			report(r.At, "call %s for %s reached %s of %s", r.CallID, r.Service, r.Address, r.ServerService)
		}
	}
}

// retryBudget: the attempts beyond clients' first ones exceed the budget in some window.
func retryBudget(records []Record, report reporter) {
	type attempt struct {
		at      time.Duration
		isExtra bool
	}
	byService := map[string][]attempt{}
	seen := map[string]bool{}
	for _, r := range records {
		if r.Kind != RequestExecuted && r.Kind != RequestRejected {
			continue
		}
		id := r.CallID
		if r.PerAttempt {
			id = r.RequestID
		}
		byService[r.Service] = append(byService[r.Service], attempt{r.At, seen[id]})
		seen[id] = true
	}
	for service, attempts := range byService {
		sort.SliceStable(attempts, func(i, j int) bool { return attempts[i].at < attempts[j].at })
		first, extra := 0, 0 // the window's first attempt, and its extra ones
		var worst Violation
		excess := 0.0
		for i, a := range attempts {
			if a.isExtra {
				extra++
			}
			for attempts[first].at <= a.at-budgetWindow {
				if attempts[first].isExtra {
					extra--
				}
				first++
			}
			requests := i + 1 - first - extra
			if over := float64(extra) - float64(requests)*budgetRatio - budgetMinimum; over > excess {
				excess = over
				worst = Violation{At: a.at, Text: fmt.Sprintf("%s saw %d extra attempts beside %d requests in ten seconds", service, extra, requests)}
			}
		}
		if excess > 0 {
			report(worst.At, "%s", worst.Text)
		}
	}
}
