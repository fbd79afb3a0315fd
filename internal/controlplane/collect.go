package controlplane

import (
	"context"
	"sync"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// messageReport is the kind of the message that requests a report.
const messageReport = "plan.news"

// collectTimeout bounds one round of collecting reports.
const collectTimeout = 400 * time.Millisecond

// shardReport is the newest report on a shard. Unlike on the wire, Since in its lists is the
// time when a target was first seen, in microseconds since the planner's startedAt.
type shardReport struct {
	rpc.ShardTargets
	asOf time.Time // the report includes everything known to the registry at this time
}

// collectReports requests from every live core node the reports on the shards that it leads,
// and merges them. It returns when all nodes have responded or collectTimeout has passed.
func (p *Planner) collectReports(term ids.Term) {
	p.mu.Lock()
	known := map[ids.Shard]string{}
	for shard, report := range p.viewOf(term).reports {
		known[shard] = report.Digest
	}
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(p.env, collectTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, member := range p.members.CoreMembers() {
		calls.Add(1)
		p.env.Go(func() {
			defer calls.Done()
			sent := p.env.Now()
			var response rpc.TargetReportResponse
			if p.transport.Call(ctx, member.RPCAddress, messageReport, &rpc.TargetReportRequest{Known: known}, &response) == nil {
				p.mergeReports(term, sent, &response)
			}
		})
	}
	calls.Wait()
}

// mergeReports merges a node's response to the request that was sent at the given time.
func (p *Planner) mergeReports(term ids.Term, sent time.Time, response *rpc.TargetReportResponse) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.view.term != term {
		return
	}
	for _, update := range response.Shards {
		// The age is subtracted from the time when the request was sent, not when the response
		// arrived: a report may be taken for older than it is, but never for newer.
		asOf := sent.Add(-time.Duration(update.Age) * time.Microsecond)
		if err := p.view.merge(&update, asOf, sent.Sub(p.startedAt).Microseconds(), p.state.Current()); err != nil {
			p.state.reportDamage(err)
		}
	}
}

// merge stores a report on a shard. It ignores the report if it already has a newer one, or if
// the report has no lists and its digest is not that of the lists stored. requestedAt is in
// microseconds since the planner's startedAt. The error is a *DamagedGroupError of the current
// epoch; the report is not stored then.
func (v *plannerView) merge(update *rpc.ShardTargets, asOf time.Time, requestedAt int64, epoch *EpochState) error {
	last := v.reports[update.Shard]
	sameTerm := last != nil && last.Term == update.Term
	switch {
	case last != nil && update.Term.Less(last.Term):
		return nil
	case update.Targets == nil && (last == nil || last.Digest != update.Digest):
		return nil
	case sameTerm && asOf.Before(last.asOf):
		return nil
	}
	if !sameTerm {
		v.previousTargets[update.Shard] = nil
		if update.Provisional {
			previous, err := previousTargets(epoch, update.Shard)
			if err != nil {
				return err
			}
			v.previousTargets[update.Shard] = previous
		}
	}
	if update.Targets != nil || last.Provisional != update.Provisional {
		v.converged = nil
	}
	if update.Targets == nil {
		update.Targets = last.Targets
	} else {
		normalizeAges(update, requestedAt, v.previousTargets[update.Shard])
	}
	v.reports[update.Shard] = &shardReport{ShardTargets: *update, asOf: asOf}
	return nil
}
