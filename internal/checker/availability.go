package checker

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Availability counts the requests of one or more runs by response. It supplements the rules,
// because a run that rejects every request breaks none of them.
type Availability struct {
	Total, Succeeded, Unknown, Broken int
	AlreadyRan                        int         // retries whose response states that the call was already executed
	Rejected                          map[int]int // outcome "not run", by code
}

// MeasureAvailability counts the requests of a history, except those that the client abandoned.
func MeasureAvailability(records []Record) Availability {
	a := Availability{Rejected: map[int]int{}}
	for _, r := range ofKind(records, RequestCompleted) {
		switch {
		case r.Outcome == OutcomeAbandoned:
			continue
		case r.Status == 200:
			a.Succeeded++
		case r.Outcome == OutcomeNotRun:
			a.Rejected[r.Code]++
		case r.Outcome == OutcomeBroken:
			a.Broken++
		case r.Outcome == OutcomeRan:
			a.AlreadyRan++
		default:
			a.Unknown++
		}
		a.Total++
	}
	return a
}

// Add returns the sum of both counts.
func (a Availability) Add(other Availability) Availability {
	sum := a
	sum.Total += other.Total
	sum.Succeeded += other.Succeeded
	sum.Unknown += other.Unknown
	sum.Broken += other.Broken
	sum.AlreadyRan += other.AlreadyRan
	sum.Rejected = map[int]int{}
	for _, rejected := range []map[int]int{a.Rejected, other.Rejected} {
		for code, n := range rejected {
			sum.Rejected[code] += n
		}
	}
	return sum
}

// Percent returns n as a percentage of all requests, or 0 if there were none.
func (a Availability) Percent(n int) float64 {
	if a.Total == 0 {
		return 0
	}
	return 100 * float64(n) / float64(a.Total)
}

func (a Availability) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d calls: ran %.1f%%", a.Total, a.Percent(a.Succeeded))
	if a.AlreadyRan > 0 {
		fmt.Fprintf(&b, ", known %.1f%%", a.Percent(a.AlreadyRan))
	}
	for _, code := range slices.Sorted(maps.Keys(a.Rejected)) {
		fmt.Fprintf(&b, ", %d %.1f%%", code, a.Percent(a.Rejected[code]))
	}
	fmt.Fprintf(&b, ", unknown %.1f%%, broken %.1f%%", a.Percent(a.Unknown), a.Percent(a.Broken))
	return b.String()
}
