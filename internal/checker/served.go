// What was served: of all calls of a run, how many were answered with a success,
// refused with a numbered code, or left unknown. It is a figure beside the verdict,
// for a run that refuses everything breaks no rule.
package checker

import (
	"fmt"
	"sort"
	"strings"
)

// Served is the calls of a run, or of several.
type Served struct {
	Calls, Ran, Unknown, Broken int
	Known                       int         // repeats told that their order ran before
	Refused                     map[int]int // "not run", by code
}

// ServedOf counts the callers' tries; those who went away are not counted.
func ServedOf(records []Record) Served {
	s := Served{Refused: map[int]int{}}
	for _, r := range of(records, Called) {
		switch {
		case r.Outcome == "gone":
			continue
		case r.Status == 200:
			s.Ran++
		case r.Outcome == "not run":
			s.Refused[r.Code]++
		case r.Outcome == "broken":
			s.Broken++
		case r.Outcome == "ran":
			s.Known++
		default:
			s.Unknown++
		}
		s.Calls++
	}
	return s
}

// Plus is the two together.
func (s Served) Plus(o Served) Served {
	sum := Served{Calls: s.Calls + o.Calls, Ran: s.Ran + o.Ran, Unknown: s.Unknown + o.Unknown, Broken: s.Broken + o.Broken, Known: s.Known + o.Known, Refused: map[int]int{}}
	for _, refused := range []map[int]int{s.Refused, o.Refused} {
		for code, n := range refused {
			sum.Refused[code] += n
		}
	}
	return sum
}

// Share is a number of calls in hundredths of all.
func (s Served) Share(n int) float64 {
	if s.Calls == 0 {
		return 0
	}
	return 100 * float64(n) / float64(s.Calls)
}

func (s Served) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d calls: ran %.1f%%", s.Calls, s.Share(s.Ran))
	if s.Known > 0 {
		fmt.Fprintf(&b, ", known %.1f%%", s.Share(s.Known))
	}
	codes := make([]int, 0, len(s.Refused))
	for code := range s.Refused {
		codes = append(codes, code)
	}
	sort.Ints(codes)
	for _, code := range codes {
		fmt.Fprintf(&b, ", %d %.1f%%", code, s.Share(s.Refused[code]))
	}
	fmt.Fprintf(&b, ", unknown %.1f%%, broken %.1f%%", s.Share(s.Unknown), s.Share(s.Broken))
	return b.String()
}
