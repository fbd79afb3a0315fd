package controlplane

import (
	"context"
	"sync"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// messageReport is the kind of message by which reports are asked for.
const messageReport = "plan.news"

// collectTimeout bounds one round of collecting reports.
const collectTimeout = 400 * time.Millisecond

// shardReport is the newest report on a shard. Its lists tell when each target was first
// seen, in microseconds since the planner was made.
type shardReport struct {
	rpc.ShardTargets
	asOf time.Time // all that was known at this time is in the report
}

// collectReports asks every live core node for the reports on the shards that it leads, and
// waits for them all. Nodes that do not answer in time are left out.
func (p *Planner) collectReports(term ids.Term) {
	p.mu.Lock()
	known := map[ids.Shard]string{}
	for shard, report := range p.viewOf(term).reports {
		known[shard] = report.Digest
	}
	p.mu.Unlock()
	ctx, end := context.WithTimeout(p.env, collectTimeout)
	defer end()
	var all sync.WaitGroup
	for _, member := range p.members.CoreMembers() {
		all.Add(1)
		p.env.Go(func() {
			defer all.Done()
			sent := p.env.Now()
			var response rpc.TargetReportResponse
			if p.transport.Call(ctx, member.RPCAddress, messageReport, &rpc.TargetReportRequest{Known: known}, &response) == nil {
				p.mergeReports(term, sent, &response)
			}
		})
	}
	all.Wait()
}

// mergeReports takes over what one node reported in answer to a request sent at a time.
func (p *Planner) mergeReports(term ids.Term, sent time.Time, response *rpc.TargetReportResponse) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.view.term != term {
		return
	}
	for _, update := range response.Shards {
		// The age counts from when the request was sent, not from when the answer came: it
		// may only be told too old.
		asOf := sent.Add(-time.Duration(update.Age) * time.Microsecond)
		if err := p.view.merge(&update, asOf, sent.Sub(p.startedAt).Microseconds(), p.state.Current()); err != nil {
			p.state.reportDamage(err)
		}
	}
}

// merge takes over one report, unless a newer one of its shard is there, or it has no lists
// and refers to others than are known. The error is a *DamagedGroupError of
// the epoch in force; the report is not taken over then.
func (v *plannerView) merge(update *rpc.ShardTargets, asOf time.Time, received int64, epoch *EpochState) error {
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
		normalizeAges(update, received, v.previousTargets[update.Shard])
	}
	v.reports[update.Shard] = &shardReport{ShardTargets: *update, asOf: asOf}
	return nil
}
