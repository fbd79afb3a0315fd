package distribution

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

const (
	// maxRelaysPerInterval limits the requests to the leader per
	// distribution.renewal_interval.
	maxRelaysPerInterval = 10
	// relayReusePeriod is how long after a request was sent its response is reused.
	relayReusePeriod = 50 * time.Millisecond
)

// freshnessRelay relays the freshness requests of proxies to the configuration shard's leader.
// It sends one request at a time on behalf of all waiting proxies, with a minimum interval
// between requests, so that the leader's load does not depend on the number of proxies.
type freshnessRelay struct {
	env         *environment.Environment
	queryLeader func() (*rpc.FreshnessResponse, error)

	// mu guards the fields below.
	mu           sync.Mutex
	running      bool
	pending      *relayedRequest // next request to send; nil if no caller waits
	lastSent     time.Time
	lastAnswered *relayedRequest
}

// relayedRequest is one request to the leader. The other fields are not written after done is
// closed.
type relayedRequest struct {
	done     chan struct{}
	sent     time.Time
	response *rpc.FreshnessResponse
	err      error
}

func newFreshnessRelay(env *environment.Environment, queryLeader func() (*rpc.FreshnessResponse, error)) *freshnessRelay {
	return &freshnessRelay{env: env, queryLeader: queryLeader}
}

// get returns the leader's response to a request that is sent after this call or was sent less
// than relayReusePeriod before it. The time since the request was sent is added to the ages.
func (r *freshnessRelay) get(ctx context.Context) (*rpc.FreshnessResponse, error) {
	request := r.join()
	select {
	case <-request.done:
	case <-ctx.Done():
		return nil, errcode.New(errcode.NoLeader, "%v", ctx.Err())
	}
	if request.err != nil {
		return nil, request.err
	}
	return r.aged(request), nil
}

// last returns the leader's last response, however old, with the time since its request added
// to the ages. It returns nil if there was none.
func (r *freshnessRelay) last() *rpc.FreshnessResponse {
	r.mu.Lock()
	request := r.lastAnswered
	r.mu.Unlock()
	if request == nil {
		return nil
	}
	return r.aged(request)
}

// aged returns a copy of the response with the time since the request was sent added to the
// ages.
func (r *freshnessRelay) aged(request *relayedRequest) *rpc.FreshnessResponse {
	elapsed := r.env.Since(request.sent).Microseconds() + 1
	response := *request.response
	response.AgeMicros += elapsed
	response.ShardAgeMicros = slices.Clone(response.ShardAgeMicros)
	for i, age := range response.ShardAgeMicros {
		if age >= 0 {
			response.ShardAgeMicros[i] = age + elapsed
		}
	}
	return &response
}

// join returns the last answered request if it is recent enough, and otherwise the pending
// request, which it creates if necessary. It starts run if that is not running.
func (r *freshnessRelay) join() *relayedRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lastAnswered != nil && r.env.Since(r.lastAnswered.sent) < relayReusePeriod {
		return r.lastAnswered
	}
	if r.pending == nil {
		r.pending = &relayedRequest{done: make(chan struct{})}
		if !r.running {
			r.running = true
			r.env.Go(r.run)
		}
	}
	return r.pending
}

// run sends pending requests to the leader until there are none.
func (r *freshnessRelay) run() {
	for {
		r.mu.Lock()
		if r.pending == nil {
			r.running = false
			r.mu.Unlock()
			return
		}
		pause := r.env.Config.DistributionRenewalInterval/maxRelaysPerInterval - r.env.Since(r.lastSent)
		r.mu.Unlock()
		isStopping := pause > 0 && !r.env.Sleep(pause)
		r.mu.Lock()
		request := r.pending
		r.pending, r.lastSent = nil, r.env.Now()
		request.sent = r.lastSent
		r.mu.Unlock()
		if isStopping {
			request.err = errcode.New(errcode.Stopping, "")
		} else {
			request.response, request.err = r.queryLeader()
		}
		close(request.done)
		if request.err == nil {
			r.mu.Lock()
			r.lastAnswered = request
			r.mu.Unlock()
		}
	}
}
