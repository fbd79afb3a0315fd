package harness

import (
	"fmt"
	"slices"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/checker"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
)

// soakLeastTime is what every request has in a stop: one that is answered with an unknown
// outcome before it was broken off too soon.
const soakLeastTime = soakGrace - soakDrain - 500*time.Millisecond

// soakVerdict is what a soak's history and its processes' logs tell.
type soakVerdict struct {
	*soak
	records []checker.Record
	stalls  []stall
	stops   map[string][]time.Duration // planned stops, by proxy
}

// judge prints the verdict of the checkers and what the soak itself saw.
func (s *soak) judge() error {
	v := soakVerdict{soak: s, records: s.history.Records(), stalls: s.readStalls(), stops: map[string][]time.Duration{}}
	for _, r := range v.records {
		if r.Kind == checker.PlannedStop {
			v.stops[r.Proxy] = append(v.stops[r.Proxy], r.At)
		}
	}
	s.logf("%s", checker.MeasureAvailability(v.records))
	s.printStalls(v.stalls)
	v.printQueued()
	v.printFenced()
	v.findDropped()
	v.printUnknown()
	err := s.run.checkHistory()
	if len(s.failures) > 0 {
		return errcode.New(errcode.Internal, "seed %d: %d failures, the first: %s", s.Seed, len(s.failures), s.failures[0])
	}
	return err
}

// printQueued tells how long a request waited at the worst from its receipt by the server's machine
// until the server noted it.
func (v *soakVerdict) printQueued() {
	longest := time.Duration(0)
	for _, r := range v.records {
		if r.Kind == checker.RequestExecuted && r.Received > 0 {
			longest = max(longest, r.Start-r.Received)
		}
	}
	v.logf("requests waited for their server's process for %s at the most", longest.Round(time.Millisecond))
}

// printFenced tells how many requests their servers refused because of their epochs, which tells of
// processes that stood still for longer than the rules allow.
func (v *soakVerdict) printFenced() {
	count := 0
	for _, r := range v.records {
		if r.Kind == checker.RequestRejected {
			count++
		}
	}
	v.logf("servers refused %d requests under superseded epochs", count)
}

// findDropped finds requests that a server executed and that got no whole answer, and those
// that were answered with an unknown outcome although there was time to wait, whether their
// proxy was stopping or not.
func (v *soakVerdict) findDropped() {
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
			v.fail("%s call %s was handed to a server and got no answer: %s%s", r.Path, r.CallID, r.Note, v.noteOn(r))
		case r.Outcome == checker.OutcomeUnknown && r.At-r.Start < soakLeastTime:
			v.fail("%s call %s was given up %s after its beginning: %s%s", r.Path, r.CallID, r.At-r.Start, r.Note, v.noteOn(r))
		}
	}
}

// noteOn tells of a request's proxy by how much the machine held it up meanwhile, and whether
// it was stopping.
func (v *soakVerdict) noteOn(r checker.Record) string {
	note := ""
	for _, m := range v.fleet.ProxyMachines() {
		if m.ProxyAddress() == r.Proxy {
			note = fmt.Sprintf("; %s was held up by %s", m.Name, longestStall(v.stalls, m, r.Start, r.At).length().Round(time.Millisecond))
		}
	}
	if v.wasStopping(r) {
		note += " and was stopping"
	}
	return note
}

// wasStopping tells whether a request was in flight while its proxy was stopping.
func (v *soakVerdict) wasStopping(r checker.Record) bool {
	return slices.ContainsFunc(v.stops[r.Proxy], func(began time.Duration) bool {
		return began < r.At && r.Start < began+stopTimeout
	})
}

// printUnknown tells why requests ended with an unknown outcome.
func (v *soakVerdict) printUnknown() {
	counts := map[string]int{}
	for _, r := range v.records {
		if r.Kind != checker.RequestCompleted || r.Outcome != checker.OutcomeUnknown {
			continue
		}
		reason := "elsewhere"
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
