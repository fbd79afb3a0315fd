// What the planner and the roll show of themselves, folded when they are asked.
package controlplane

import "time"

// Outlook is what the planner goes by.
type Outlook struct {
	Parts, Clashes int
	Oldest         time.Duration // age of the oldest news
}

func (l *Planner) Outlook() (v Outlook) {
	l.mu.Lock()
	defer l.mu.Unlock()
	v.Parts, v.Clashes = len(l.news), len(l.clashes)
	for _, n := range l.news {
		v.Oldest = max(v.Oldest, l.r.Since(n.asOf))
	}
	return v
}

// Standing is how targets of one service stand: in or out, and their own word.
type Standing struct{ Service, State, Word string }

// Count is how many targets heard here stand in each way.
func (l *Roll) Count() map[Standing]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := map[Standing]int{}
	for _, services := range l.beats {
		for service, instances := range services {
			for _, h := range instances {
				at := Standing{service, "out", h.beat.State}
				if h.isIn {
					at.State = "in"
				}
				counts[at]++
			}
		}
	}
	return counts
}
