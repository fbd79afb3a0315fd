// What was served: of all calls of a run, how many were answered with a success,
// refused with a numbered code, or left unknown. It is a figure beside the verdict,
// for a run that refuses everything breaks no rule.
package checker

import (
	"fmt"
	"sort"
	"strings"
)

// Availability is the calls of a run, or of several.
type Availability struct {
	Total, Succeeded, Unknown, Broken int
	AlreadyRan                        int         // repeats told that their order ran before
	Rejected                          map[int]int // "not run", by code
}

// MeasureAvailability counts the callers' tries; those who went away are not counted.
func MeasureAvailability(records []Record) Availability {
	s := Availability{Rejected: map[int]int{}}
	for _, r := range ofKind(records, RequestCompleted) {
		switch {
		case r.Outcome == "gone":
			continue
		case r.Status == 200:
			s.Succeeded++
		case r.Outcome == "not run":
			s.Rejected[r.Code]++
		case r.Outcome == "broken":
			s.Broken++
		case r.Outcome == "ran":
			s.AlreadyRan++
		default:
			s.Unknown++
		}
		s.Total++
	}
	return s
}

// Add is the two together.
func (s Availability) Add(o Availability) Availability {
	sum := Availability{Total: s.Total + o.Total, Succeeded: s.Succeeded + o.Succeeded, Unknown: s.Unknown + o.Unknown, Broken: s.Broken + o.Broken, AlreadyRan: s.AlreadyRan + o.AlreadyRan, Rejected: map[int]int{}}
	for _, refused := range []map[int]int{s.Rejected, o.Rejected} {
		for code, n := range refused {
			sum.Rejected[code] += n
		}
	}
	return sum
}

// Percent is a number of calls in hundredths of all.
func (s Availability) Percent(n int) float64 {
	if s.Total == 0 {
		return 0
	}
	return 100 * float64(n) / float64(s.Total)
}

func (s Availability) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d calls: ran %.1f%%", s.Total, s.Percent(s.Succeeded))
	if s.AlreadyRan > 0 {
		fmt.Fprintf(&b, ", known %.1f%%", s.Percent(s.AlreadyRan))
	}
	codes := make([]int, 0, len(s.Rejected))
	for code := range s.Rejected {
		codes = append(codes, code)
	}
	sort.Ints(codes)
	for _, code := range codes {
		fmt.Fprintf(&b, ", %d %.1f%%", code, s.Percent(s.Rejected[code]))
	}
	fmt.Fprintf(&b, ", unknown %.1f%%, broken %.1f%%", s.Percent(s.Unknown), s.Percent(s.Broken))
	return b.String()
}
