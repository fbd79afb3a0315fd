package harness

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/jx"

	"github.com/sumactrestle/sumactrestle/internal/api"
	"github.com/sumactrestle/sumactrestle/internal/checker"
	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/standin"
)

const (
	// maxInFlight limits the concurrent requests to one service.
	maxInFlight = 2000
	// Approximate maximum rates per client, in requests or calls per second.
	requestsPerClient     = 20
	coordinationPerClient = 10

	maxRetries          = 5
	coordinationTimeout = 4 * time.Second
	sharedKeys          = 5 // number of keys that coordination calls read and write
)

// loadCounts counts the requests and calls started under load.
type loadCounts struct {
	requests          atomic.Int64
	coordinationCalls atomic.Int64
}

// startLoad starts the load, the profiling and the traffic sampling, which run until the context
// ends. The returned function waits until they have stopped and all requests have completed.
func (r *run) startLoad(ctx context.Context) (wait func()) {
	var tasks sync.WaitGroup
	for _, load := range r.Shape.Loads {
		r.startClients(ctx, &tasks, load)
	}
	r.startApplications(ctx, &tasks)
	r.startLockCallers(ctx, &tasks)
	if r.ProfileDir != "" {
		r.recordProfiles(ctx, &tasks)
	}
	if r.History != nil {
		tasks.Go(func() { r.sampleTraffic(ctx) })
	}
	return tasks.Wait
}

// startClients starts the clients of a service. Each request goes to a random proxy. The load is
// open-loop: clients don't wait for responses before the next request, so a slow fleet receives the
// same rate until maxInFlight is reached; further requests are then skipped.
func (r *run) startClients(ctx context.Context, tasks *sync.WaitGroup, load Load) {
	rate := load.RequestsPerSecond * r.RateFactor
	clients := 1 + int(rate/requestsPerClient)
	interval := time.Duration(float64(clients) / rate * float64(time.Second))
	body := []byte(strings.Repeat("x", load.BodyBytes))
	inFlight := make(chan struct{}, maxInFlight)
	for range clients {
		tasks.Go(func() {
			client := standin.NewClient(environment.NewHost(""), r.history)
			client.AtMostOnce = !r.AllowDuplicates
			defer client.Close()
			var requests sync.WaitGroup
			defer requests.Wait()
			tick := time.NewTicker(interval)
			defer tick.Stop()
			for {
				select {
				case <-ctx.Done():
					return
				case <-tick.C:
				}
				select {
				case inFlight <- struct{}{}:
				default:
					continue
				}
				r.load.requests.Add(1)
				requests.Go(func() {
					defer func() { <-inFlight }()
					r.sendRequest(client, load, body)
				})
			}
		})
	}
}

// sendRequest sends one request to a service. A failed order is retried with the probability
// RetryShare, at most maxRetries times. The request isn't canceled when the load ends, so that its
// outcome is recorded.
func (r *run) sendRequest(client *standin.Client, load Load, body []byte) {
	ctx := context.Background()
	proxies := r.fleet.ProxyMachines()
	address := func() string { return proxies[rand.IntN(len(proxies))].ProxyAddress() }
	if load.Idempotent {
		client.Call(ctx, address(), "GET", "/"+load.Service+"/x", load.Service, nil)
		return
	}
	id := ids.NewID()
	record := client.CallWithID(ctx, address(), "POST", "/"+load.Service, load.Service, body, id, false)
	for retry := 0; retry < maxRetries && record.Outcome != checker.OutcomeRan && rand.Float64() < r.Shape.RetryShare; retry++ {
		record = client.CallWithID(ctx, address(), "POST", "/"+load.Service, load.Service, body, id, true)
	}
}

// startApplications starts applications that send coordination calls to random nodes.
func (r *run) startApplications(ctx context.Context, tasks *sync.WaitGroup) {
	rate := r.Shape.CoordinationPerSecond * r.RateFactor
	applications := 1 + int(rate/coordinationPerClient)
	interval := time.Duration(float64(applications) / rate * float64(time.Second))
	for i := range applications {
		tasks.Go(func() {
			tick := time.NewTicker(interval)
			defer tick.Stop()
			var clients []*api.Client
			for _, m := range r.fleet.Machines {
				clients = append(clients, standin.NewAPIClient(environment.NewHost(""), m.APIAddress()))
			}
			for n := 0; ; n++ {
				select {
				case <-ctx.Done():
					return
				case <-tick.C:
				}
				r.load.coordinationCalls.Add(1)
				r.callCoordination(clients[rand.IntN(len(clients))], fmt.Sprint("app", i), n)
			}
		})
	}
}

// callCoordination makes an application's nth coordination call and records it. Calls alternate
// between adding to a counter, putting a key and reading a key.
func (r *run) callCoordination(client *api.Client, application string, n int) {
	ctx, cancel := context.WithTimeout(context.Background(), coordinationTimeout)
	defer cancel()
	record := checker.Record{Kind: checker.CoordinationCall, Start: r.history.Now(), Outcome: checker.OutcomeDone}
	var receipt *api.Receipt
	var err error
	switch n % 3 {
	case 0:
		record.Op, record.Name = "add", "count/"+application
		receipt, err = client.AddCounter(ctx, &api.Call{Name: record.Name, ID: api.NewOptString(ids.NewID())})
	case 1:
		record.Op, record.Name = "put", fmt.Sprint("key", n%sharedKeys)
		receipt, err = client.PutKey(ctx, &api.Call{Name: record.Name, Value: jx.Raw("1"), ID: api.NewOptString(ids.NewID())})
	default:
		record.Op, record.Name = "get", fmt.Sprint("key", n%sharedKeys)
		receipt, err = client.GetKey(ctx, api.GetKeyParams{Name: record.Name})
	}
	record.Code = standin.CodeOf(err)
	switch {
	case err == nil:
		record.Revision, record.Count = receipt.Stamp, receipt.Count.Or(0)
	case record.Op == "get" && record.Code == errcode.KeyNotFound.Number:
		// The key was never put, so this is a valid result.
	default:
		record.Outcome = checker.OutcomeUnknown
	}
	r.history.Add(record)
}
