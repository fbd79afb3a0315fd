package controlplane

import "time"

// PlannerStats is what the planner's metrics show.
type PlannerStats struct {
	Shards       int           // of which there is a report
	Conflicts    int           // address conflicts seen so far
	OldestReport time.Duration // age of the oldest report
}

// Stats is computed when it is asked for.
func (p *Planner) Stats() PlannerStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := PlannerStats{Shards: len(p.view.reports), Conflicts: len(p.loggedConflicts)}
	for _, report := range p.view.reports {
		stats.OldestReport = max(stats.OldestReport, p.env.Since(report.asOf))
	}
	return stats
}

// TargetStatus is how targets stand: in rotation ("in") or not ("out"), and what they said
// of themselves in their last heartbeat.
type TargetStatus struct{ Service, State, Reported string }

// TargetCounts counts the targets known here by how they stand.
func (r *TargetRegistry) TargetCounts() map[TargetStatus]int {
	counts := map[TargetStatus]int{}
	r.eachTarget(func(service, _ string, target *targetRecord) {
		counts[TargetStatus{service, target.rotation(), target.heartbeat.State}]++
	})
	return counts
}

// TargetRow is one target as the shell shows it.
type TargetRow struct {
	Service, Instance, Address, Zone string
	Weight                           int
	State                            string        // "in" or "out", with what the target said of itself
	SinceHeartbeat                   time.Duration // in whole milliseconds
}

// Rows lists the targets known here, in no order.
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
