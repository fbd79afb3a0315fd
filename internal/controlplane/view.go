// What the planner and the roll show of themselves, folded when they are asked.
package controlplane

import "time"

// PlannerStats is what the planner goes by.
type PlannerStats struct {
	Shards, Conflicts int
	OldestReport      time.Duration // age of the oldest news
}

func (p *Planner) Stats() (v PlannerStats) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v.Shards, v.Conflicts = len(p.reports), len(p.reportedConflicts)
	for _, n := range p.reports {
		v.OldestReport = max(v.OldestReport, p.env.Since(n.asOf))
	}
	return v
}

// TargetStatus is how targets of one service stand: in or out, and their own word.
type TargetStatus struct{ Service, State, Reported string }

// TargetCounts is how many targets heard here stand in each way.
func (r *TargetRegistry) TargetCounts() map[TargetStatus]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := map[TargetStatus]int{}
	for _, services := range r.targets {
		for service, instances := range services {
			for _, h := range instances {
				at := TargetStatus{service, "out", h.heartbeat.State}
				if h.inRotation {
					at.State = "in"
				}
				counts[at]++
			}
		}
	}
	return counts
}
