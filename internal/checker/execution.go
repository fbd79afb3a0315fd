package checker

import "time"

// idempotencyBound is how long a proxy is guaranteed to remember a request that it forwarded.
const idempotencyBound = 25 * time.Second

// duplicateExecution reports non-idempotent requests that were executed twice. A call that the
// client itself retried may be executed again, unless its route executes calls at most once.
func duplicateExecution(records []Record, report reporter) {
	isRetried := map[string]bool{}
	for _, r := range ofKind(records, RequestCompleted) {
		isRetried[r.CallID] = isRetried[r.CallID] || r.IsRetry && !r.AtMostOnce
	}
	byCall, byRequest := map[string]Record{}, map[string]Record{}
	for _, r := range ofKind(records, RequestExecuted) {
		if r.Idempotent {
			continue
		}
		if first, ok := byRequest[r.RequestID]; ok {
			report(r.At, "request %s of call %s was executed by %s and by %s", r.RequestID, r.CallID, first.Instance, r.Instance)
		}
		byRequest[r.RequestID] = r
		if first, ok := byCall[r.CallID]; ok && !isRetried[r.CallID] {
			report(r.At, "call %s was executed by %s and by %s", r.CallID, first.Instance, r.Instance)
		}
		byCall[r.CallID] = r
	}
}

// falseNotRun reports "not run" responses for requests that were executed before or after. Each
// response contains its request ID, so each attempt is checked separately. The response to a
// retry must be true of the whole call: a proxy that forwarded an earlier request of the call, and
// was not restarted since, must not answer "not run".
func falseNotRun(records []Record, report reporter) {
	executed, proxyStarts := map[string]Record{}, map[string][]time.Duration{}
	for _, r := range records {
		switch r.Kind {
		case RequestExecuted:
			executed[r.RequestID] = r
		case ProxyStarted:
			proxyStarts[r.Proxy] = append(proxyStarts[r.Proxy], r.At)
		}
	}
	forwarded := map[string][]Record{} // by call
	for _, r := range ofKind(records, RequestCompleted) {
		if _, ok := executed[r.RequestID]; ok && !r.Idempotent && !r.PerAttempt {
			forwarded[r.CallID] = append(forwarded[r.CallID], r)
		}
	}
	for _, r := range ofKind(records, RequestCompleted) {
		if r.Outcome != OutcomeNotRun {
			continue
		}
		if r.RequestID == "" {
			report(r.At, "call %s got a \"not run\" response (%d) without a request ID, so it can't be checked", r.CallID, r.Code)
		}
		if execution, ok := executed[r.RequestID]; ok {
			report(r.At, "call %s, request %s got a \"not run\" response (%d) but was executed by %s", r.CallID, r.RequestID, r.Code, execution.Instance)
		}
		for _, forwardedRequest := range forwarded[r.CallID] {
			if isRemembered(forwardedRequest, r, proxyStarts[r.Proxy]) {
				report(r.At, "a retry of call %s got a \"not run\" response (%d) from the proxy that had forwarded it as request %s", r.CallID, r.Code, forwardedRequest.RequestID)
			}
		}
	}
}

// isRemembered reports whether a retry reached the proxy that forwarded the first request, within
// idempotencyBound and without a restart in between, so that the proxy must remember the request.
func isRemembered(first, retry Record, proxyStarts []time.Duration) bool {
	if retry.Proxy != first.Proxy || first.At >= retry.Start || retry.At >= first.Start+idempotencyBound {
		return false
	}
	for _, at := range proxyStarts {
		if at >= first.Start && at <= retry.At {
			return false
		}
	}
	return true
}

// wrongResponse reports success responses that are unsealed, incomplete, for another request, or
// for a request that was never executed, and requests that were executed with a different body
// than the client sent.
func wrongResponse(records []Record, report reporter) {
	executed := map[string]bool{} // by call and digest
	for _, r := range ofKind(records, RequestExecuted) {
		executed[r.CallID+r.Digest] = true
	}
	sent := map[string]string{}
	for _, r := range ofKind(records, RequestCompleted) {
		sent[r.CallID] = r.Digest
	}
	for _, r := range ofKind(records, RequestExecuted) {
		if digest := sent[r.CallID]; digest != "" && r.Digest != "" && digest != r.Digest {
			report(r.At, "call %s was executed by %s with a different body than the client sent", r.CallID, r.Instance)
		}
	}
	for _, r := range ofKind(records, RequestCompleted) {
		if r.Status == 200 && (r.Note != "" || !executed[r.CallID+r.Digest]) {
			report(r.At, "call %s got a success response that is invalid or matches no execution: %s", r.CallID, r.Note)
		}
	}
}

// droppedRequests reports requests that were lost although the scenario has no faults other than
// planned stops.
func droppedRequests(records []Record, report reporter) {
	if len(ofKind(records, PlannedStopsOnly)) == 0 {
		return
	}
	executed := map[string]bool{}
	for _, r := range ofKind(records, RequestExecuted) {
		executed[r.CallID] = true
	}
	for _, r := range ofKind(records, RequestCompleted) {
		if r.Outcome == OutcomeUnknown || r.Outcome == OutcomeBroken && executed[r.CallID] {
			report(r.At, "call %s was forwarded and dropped: %s %s", r.CallID, r.Outcome, r.Note)
		}
	}
}

// numberedRejections reports "not run" responses without a numbered code, and those with a 5xx status,
// after which a retry may succeed, without Retry-After.
func numberedRejections(records []Record, report reporter) {
	for _, r := range ofKind(records, RequestCompleted) {
		if r.Outcome == OutcomeNotRun && (r.Code == 0 || r.Status >= 500 && r.RetryAfter == "") {
			report(r.At, "call %s was rejected with code %d and Retry-After %q", r.CallID, r.Code, r.RetryAfter)
		}
	}
}
