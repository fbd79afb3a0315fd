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
	// maxInFlight bounds the requests of one service that are under way at once.
	maxInFlight = 2000
	// Each client has at most about so many requests or calls a second.
	requestsPerClient     = 20
	coordinationPerClient = 10

	maxRetries          = 5
	coordinationTimeout = 4 * time.Second
	keys                = 5 // that coordination calls share
)

// loadCounts counts what was begun under load.
type loadCounts struct {
	requests          atomic.Int64
	coordinationCalls atomic.Int64
}

// startLoad starts the load, profiles and traffic samples, until the context ends. The function
// that it returns waits for all of these, and for the requests under way.
func (r *run) startLoad(ctx context.Context) (wait func()) {
	var tasks sync.WaitGroup
	for _, load := range r.Shape.Loads {
		r.startClients(ctx, &tasks, load)
	}
	r.startApplications(ctx, &tasks)
	if r.ProfileDir != "" {
		r.recordProfiles(ctx, &tasks)
	}
	if r.History != nil {
		tasks.Go(func() { r.sampleTraffic(ctx) })
	}
	return tasks.Wait
}

// startClients starts the clients of a service, spread over the proxies. The load is open: a
// client does not wait for responses, so a slow fleet gets no fewer requests, up to maxInFlight.
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

// sendRequest sends one request of a service, and retries a failed order as often as the
// clients' patience has it. A request under way outlives the load, so its outcome is known.
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

// startApplications starts applications whose coordination calls go to all nodes.
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

// callCoordination does an application's nth coordination call and records it: a count, a put
// and a read of a key in turn.
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
		record.Op, record.Name = "put", fmt.Sprint("key", n%keys)
		receipt, err = client.PutKey(ctx, &api.Call{Name: record.Name, Value: jx.Raw("1"), ID: api.NewOptString(ids.NewID())})
	default:
		record.Op, record.Name = "get", fmt.Sprint("key", n%keys)
		receipt, err = client.GetKey(ctx, api.GetKeyParams{Name: record.Name})
	}
	record.Code = standin.CodeOf(err)
	switch {
	case err == nil:
		record.Revision, record.Count = receipt.Stamp, receipt.Count.Or(0)
	case record.Op == "get" && record.Code == errcode.KeyNotFound.Number:
		// The key was never put: this is an answer.
	default:
		record.Outcome = checker.OutcomeUnknown
	}
	r.history.Add(record)
}
