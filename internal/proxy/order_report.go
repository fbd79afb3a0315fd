// Proxies tell one another of orders that were handed over and got no answer,
// so that a caller's repeat is recognised whichever proxy it comes to. Only
// failures are told, as hashes, the first at once and those that follow gathered
// for a moment; nobody waits for it. What could not be told to every proxy of the
// epoch may come back unrecognised, so it is charged to this proxy's own budget.
package proxy

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
	reportInterval = 2 * time.Millisecond
	reportTimeout  = 500 * time.Millisecond
	maxReportBatch = 512
)

type lostOrder struct {
	key     uint64
	service string
}

type orderReporter struct {
	environment *environment.Environment
	rpc         *rpc.Transport
	membership  *membership.Memberlist
	budget      *retry.Budget
	snapshot    func() *distribution.Snapshot
	queue       chan lostOrder
}

func newOrderReporter(env *environment.Environment, rpcClient *rpc.Transport, membership *membership.Memberlist, budget *retry.Budget, orders *Tracker, snapshot func() *distribution.Snapshot) *orderReporter {
	reporter := &orderReporter{environment: env, rpc: rpcClient, membership: membership, budget: budget, snapshot: snapshot, queue: make(chan lostOrder, maxReportBatch)}
	rpcClient.Handle("gate.seen", func(call *rpc.Request) (any, error) {
		var request rpc.UnansweredRequests
		if err := call.Decode(&request); err != nil {
			return nil, err
		}
		budget.RecordPeerLosses(request.Keys)
		orders.RecordPeerLosses(request.Keys)
		return struct{}{}, nil
	})
	env.Go(reporter.run)
	return reporter
}

// report never waits; in the worst of storms some are left out, and charged.
func (o *orderReporter) report(lost lostOrder) {
	o.budget.RecordLoss(lost.service)
	select {
	case o.queue <- lost:
	default:
		o.budget.RecordReported(nil, map[string]int{lost.service: 1}, false)
	}
}

func (o *orderReporter) run() {
	for {
		var batch []lostOrder
		select {
		case <-o.environment.Done():
			return
		case lost := <-o.queue:
			batch = append(batch, lost)
		}
		for more := true; more && len(batch) < maxReportBatch; {
			select {
			case lost := <-o.queue:
				batch = append(batch, lost)
			default:
				more = false
			}
		}
		o.environment.Go(func() { o.send(batch) })
		if !o.environment.Sleep(reportInterval) {
			return
		}
	}
}

// send tells every proxy there is, and notes whether all that the epoch names
// have heard.
func (o *orderReporter) send(batch []lostOrder) {
	var keys []uint64
	services := map[string]int{}
	for _, lost := range batch {
		keys = append(keys, lost.key)
		services[lost.service]++
	}
	var pending sync.WaitGroup
	var unreached atomic.Int64
	snapshot := o.snapshot()
	if snapshot == nil {
		return
	}
	for name, member := range o.membership.View() {
		_, named := snapshot.Shares[name]
		if name == o.environment.Name || member.ProxyAddress == "" || member.State == membership.StateLeft {
			continue
		}
		pending.Add(1)
		o.environment.Go(func() {
			defer pending.Done()
			ctx, cancel := context.WithTimeout(o.environment, reportTimeout)
			defer cancel()
			if o.rpc.Call(ctx, member.RPCAddress, "gate.seen", &rpc.UnansweredRequests{Keys: keys}, nil) != nil && named {
				unreached.Add(1)
			}
		})
	}
	for name := range snapshot.Shares {
		if _, ok := o.membership.View()[name]; !ok {
			unreached.Add(1)
		}
	}
	pending.Wait()
	o.budget.RecordReported(keys, services, unreached.Load() == 0)
}
