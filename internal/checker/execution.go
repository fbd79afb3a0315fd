package checker

import "time"

// idempotencyBound is how long a proxy surely remembers a request that it forwarded.
const idempotencyBound = 25 * time.Second

// duplicateExecution: a request that is not idempotent is executed twice. A client that
// retries under the same call ID takes that risk itself, unless the route promises to
// execute a call at most once.
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
			report(r.At, "request %s of call %s ran at %s and at %s", r.RequestID, r.CallID, first.Instance, r.Instance)
		}
		byRequest[r.RequestID] = r
		if first, ok := byCall[r.CallID]; ok && !isRetried[r.CallID] {
			report(r.At, "call %s ran at %s and at %s", r.CallID, first.Instance, r.Instance)
		}
		byCall[r.CallID] = r
	}
}

// falseNotRun: a client is told "not run" of a request that was executed, or is executed
// later. Each response bears the ID of its request, so each attempt of a client is checked
// by itself. What is said of a retry must be true of the call: the proxy that forwarded the
// first request, and has lived on since, tells no retry "not run".
func falseNotRun(records []Record, report reporter) {
	executed, starts := map[string]Record{}, map[string][]time.Duration{}
	for _, r := range records {
		switch r.Kind {
		case RequestExecuted:
			executed[r.RequestID] = r
		case ProxyStarted:
			starts[r.Proxy] = append(starts[r.Proxy], r.At)
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
			report(r.At, "call %s was answered not run (%d) without its request's ID; nothing can be said of it", r.CallID, r.Code)
		}
		if run, ok := executed[r.RequestID]; ok {
			report(r.At, "call %s, request %s was answered not run (%d) and ran at %s", r.CallID, r.RequestID, r.Code, run.Instance)
		}
		for _, first := range forwarded[r.CallID] {
			if isRemembered(first, r, starts[r.Proxy]) {
				report(r.At, "a retry of call %s was answered not run (%d) by the proxy that had forwarded it as request %s", r.CallID, r.Code, first.RequestID)
			}
		}
	}
}

// isRemembered tells whether a retry came to the proxy that forwarded the first request,
// within the time and the life of the process in which it remembers that.
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

// wrongResponse: a success that is not sealed, not complete, another request's, or of a
// request that never ran; or a request that ran with another body than was sent.
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
			report(r.At, "call %s ran at %s with another body than was sent", r.CallID, r.Instance)
		}
	}
	for _, r := range ofKind(records, RequestCompleted) {
		if r.Status == 200 && (r.Note != "" || !executed[r.CallID+r.Digest]) {
			report(r.At, "call %s got a success that is not its own: %s", r.CallID, r.Note)
		}
	}
}

// droppedRequests: a request is lost where nothing fails but planned stops.
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

// numberedRefusals: a request that is given up on has no numbered code, or no Retry-After
// where coming back helps.
func numberedRefusals(records []Record, report reporter) {
	for _, r := range ofKind(records, RequestCompleted) {
		if r.Outcome == OutcomeNotRun && (r.Code == 0 || r.Status >= 500 && r.RetryAfter == "") {
			report(r.At, "call %s was refused with code %d and Retry-After %q", r.CallID, r.Code, r.RetryAfter)
		}
	}
}
