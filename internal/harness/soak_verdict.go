package harness

import (
	"fmt"
	"slices"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/checker"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
)

// minUnknownAge is the time that every request has to complete when its proxy stops. One that gets a
// response with an unknown outcome earlier was aborted too soon.
const minUnknownAge = soakGracePeriod - soakDrainDelay - 500*time.Millisecond

// soakVerdict is the evidence that a soak is judged by: its history and its processes' stalls.
type soakVerdict struct {
	*soak
	records []checker.Record
	stalls  []stall
	stops   map[string][]time.Duration // start times of planned stops, by proxy address
}

// judge prints the verdict of the checkers and the soak's own findings. It fails if either found a
// violation.
func (s *soak) judge() error {
	v := soakVerdict{soak: s, records: s.history.Records(), stalls: s.readStalls(), stops: map[string][]time.Duration{}}
	for _, r := range v.records {
		if r.Kind == checker.PlannedStop {
			v.stops[r.Proxy] = append(v.stops[r.Proxy], r.At)
		}
	}
	s.logf("%s", checker.MeasureAvailability(v.records))
	s.printStalls(v.stalls)
	v.printQueueTime()
	v.printRejected()
	v.checkDropped()
	v.printUnknownOutcomes()
	err := s.run.checkHistory()
	if len(s.failures) > 0 {
		return errcode.New(errcode.Internal, "seed %d: %d failures, the first: %s", s.Seed, len(s.failures), s.failures[0])
	}
	return err
}

// printQueueTime prints the longest time from a request's receipt by the server's machine until the
// server read it.
func (v *soakVerdict) printQueueTime() {
	longest := time.Duration(0)
	for _, r := range v.records {
		if r.Kind == checker.RequestExecuted && r.Received > 0 {
			longest = max(longest, r.Start-r.Received)
		}
	}
	v.logf("requests waited at most %s for their server's process", longest.Round(time.Millisecond))
}

// printRejected prints how many requests servers rejected for a superseded epoch. Such requests come
// from processes that stalled for longer than the rules allow.
func (v *soakVerdict) printRejected() {
	count := 0
	for _, r := range v.records {
		if r.Kind == checker.RequestRejected {
			count++
		}
	}
	v.logf("servers rejected %d requests under superseded epochs", count)
}

// checkDropped records a failure for each request that a server executed but that got no whole
// response, and for each that got a response with an unknown outcome before minUnknownAge, whether its
// proxy was stopping or not.
func (v *soakVerdict) checkDropped() {
	executed := map[string]bool{}
	for _, r := range v.records {
		if r.Kind == checker.RequestExecuted {
			executed[r.CallID] = true
		}
	}
	for _, r := range v.records {
		switch {
		case r.Kind != checker.RequestCompleted:
		case r.Outcome == checker.OutcomeBroken && executed[r.CallID]:
			v.fail("%s call %s was executed by a server but got no response: %s%s", r.Path, r.CallID, r.Note, v.describeProxy(r))
		case r.Outcome == checker.OutcomeUnknown && r.At-r.Start < minUnknownAge:
			v.fail("%s call %s was aborted %s after its start: %s%s", r.Path, r.CallID, r.At-r.Start, r.Note, v.describeProxy(r))
		}
	}
}

// describeProxy describes the longest stall of a request's proxy during the request, and whether the
// proxy was stopping.
func (v *soakVerdict) describeProxy(r checker.Record) string {
	note := ""
	for _, m := range v.fleet.ProxyMachines() {
		if m.ProxyAddress() == r.Proxy {
			note = fmt.Sprintf("; %s stalled for %s", m.Name, longestStall(v.stalls, m, r.Start, r.At).length().Round(time.Millisecond))
		}
	}
	if v.wasStopping(r) {
		note += " and was stopping"
	}
	return note
}

// wasStopping reports whether a request was in flight while its proxy was stopping.
func (v *soakVerdict) wasStopping(r checker.Record) bool {
	return slices.ContainsFunc(v.stops[r.Proxy], func(stopBegan time.Duration) bool {
		return stopBegan < r.At && r.Start < stopBegan+stopTimeout
	})
}

// printUnknownOutcomes prints how many requests ended with an unknown outcome, by reason.
func (v *soakVerdict) printUnknownOutcomes() {
	counts := map[string]int{}
	for _, r := range v.records {
		if r.Kind != checker.RequestCompleted || r.Outcome != checker.OutcomeUnknown {
			continue
		}
		reason := "other"
		switch {
		case r.At-r.Start >= routeDeadlineMillis*time.Millisecond:
			reason = "past the route's deadline"
		case v.wasStopping(r):
			reason = "at the end of a proxy's stop"
		}
		counts[reason]++
	}
	v.logf("requests that ended with an unknown outcome: %v", counts)
}
