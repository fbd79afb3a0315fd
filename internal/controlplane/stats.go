package controlplane

import "time"

// PlannerStats holds the values of the planner's metrics.
type PlannerStats struct {
	Shards       int           // number of shards with a report
	Conflicts    int           // distinct address conflicts since the start
	OldestReport time.Duration // age of the oldest report
}

// Stats computes the current values of the metrics.
func (p *Planner) Stats() PlannerStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := PlannerStats{Shards: len(p.view.reports), Conflicts: len(p.loggedConflicts)}
	for _, report := range p.view.reports {
		stats.OldestReport = max(stats.OldestReport, p.env.Since(report.asOf))
	}
	return stats
}

// TargetStatus classifies targets by service, by State, which is "in" (in rotation) or "out",
// and by Reported, the state in the last heartbeat.
type TargetStatus struct{ Service, State, Reported string }

// TargetCounts returns the number of targets in this registry by status.
func (r *TargetRegistry) TargetCounts() map[TargetStatus]int {
	counts := map[TargetStatus]int{}
	r.eachTarget(func(service, _ string, target *targetRecord) {
		counts[TargetStatus{service, target.rotation(), target.heartbeat.State}]++
	})
	return counts
}

// TargetRow is one row of the operator shell's list of targets.
type TargetRow struct {
	Service, Instance, Address, Zone string
	Weight                           int
	State                            string        // "in" or "out", followed by the reported state in parentheses
	SinceHeartbeat                   time.Duration // in whole milliseconds
}

// Rows returns the targets in this registry, in no particular order.
func (r *TargetRegistry) Rows() (rows []TargetRow) {
	r.eachTarget(func(service, instance string, target *targetRecord) {
		last := &target.heartbeat
		rows = append(rows, TargetRow{service, instance, last.Address, last.Zone, last.Weight, target.rotation() + " (" + last.State + ")", r.env.Since(target.lastSeen).Round(time.Millisecond)})
	})
	return rows
}

func (t *targetRecord) rotation() string {
	if t.inRotation {
		return "in"
	}
	return "out"
}
