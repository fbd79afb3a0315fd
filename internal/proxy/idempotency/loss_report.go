package idempotency

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/distribution"
	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/membership"
	"github.com/sumactrestle/sumactrestle/internal/proxy/retry"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

const (
	reportInterval = 2 * time.Millisecond // least time between two batches
	reportTimeout  = 500 * time.Millisecond
	maxReportBatch = 512

	// lossReportKind is the message kind of reports.
	lossReportKind = "gate.seen"
)

// LossReporterConfig holds the dependencies of a LossReporter.
type LossReporterConfig struct {
	Environment *environment.Environment
	RPC         *rpc.Transport
	Membership  *membership.Memberlist
	Budget      *retry.Budget
	Tracker     *Tracker
	Snapshot    func() *distribution.Snapshot // returns the active configuration; nil before the first
}

// LossReporter reports losses to the other proxies: requests with a key that were forwarded
// and got no response. Any proxy can then recognize a repeat. Reports contain only hashes; the
// first loss is sent at once, later ones in batches, and no request waits for a report. If a
// loss can't be reported to every proxy of the epoch, its repeat may go unrecognized, so the
// loss is charged to this proxy's retry budget.
type LossReporter struct {
	config LossReporterConfig
	queue  chan loss
}

type loss struct {
	hash    uint64
	service string
}

// NewLossReporter returns a reporter, registers it as the handler of other proxies' reports,
// and starts its background task in the environment.
func NewLossReporter(config LossReporterConfig) *LossReporter {
	l := &LossReporter{config: config, queue: make(chan loss, maxReportBatch)}
	rpc.Handle(config.RPC, lossReportKind, l.receive)
	config.Environment.Go(l.run)
	return l
}

// receive handles the report of another proxy.
func (l *LossReporter) receive(_ context.Context, report *rpc.UnansweredRequests) (struct{}, error) {
	l.config.Budget.RecordPeerLosses(report.Keys)
	l.config.Tracker.RecordPeerLosses(report.Keys)
	return struct{}{}, nil
}

// Report queues the hash of a lost request of a service. It never blocks: if the queue is
// full, the loss is not reported but charged to the budget.
func (l *LossReporter) Report(hash uint64, service string) {
	l.config.Budget.RecordLoss(service)
	select {
	case l.queue <- loss{hash, service}:
	default:
		l.config.Budget.RecordReported(nil, map[string]int{service: 1}, false)
	}
}

func (l *LossReporter) run() {
	for {
		var batch []loss
		select {
		case <-l.config.Environment.Done():
			return
		case lost := <-l.queue:
			batch = append(batch, lost)
		}
		batch = drain(l.queue, batch, maxReportBatch)
		l.config.Environment.Go(func() { l.send(batch) })
		if !l.config.Environment.Sleep(reportInterval) {
			return
		}
	}
}

// send reports a batch to every proxy, and records in the budget whether it reached all
// proxies of the epoch.
func (l *LossReporter) send(batch []loss) {
	var hashes []uint64
	services := map[string]int{}
	for _, lost := range batch {
		hashes = append(hashes, lost.hash)
		services[lost.service]++
	}
	var pending sync.WaitGroup
	var unreached atomic.Int64
	snapshot := l.config.Snapshot()
	if snapshot == nil {
		return
	}
	env := l.config.Environment
	for name, member := range l.config.Membership.View() {
		_, inSnapshot := snapshot.Shares[name]
		if name == env.Name || member.ProxyAddress == "" || member.State == membership.StateLeft {
			continue
		}
		pending.Add(1)
		env.Go(func() {
			defer pending.Done()
			ctx, cancel := context.WithTimeout(env, reportTimeout)
			defer cancel()
			if l.config.RPC.Call(ctx, member.RPCAddress, lossReportKind, &rpc.UnansweredRequests{Keys: hashes}, nil) != nil && inSnapshot {
				unreached.Add(1)
			}
		})
	}
	for name := range snapshot.Shares {
		if _, ok := l.config.Membership.View()[name]; !ok {
			unreached.Add(1)
		}
	}
	pending.Wait()
	l.config.Budget.RecordReported(hashes, services, unreached.Load() == 0)
}
