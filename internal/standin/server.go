package standin

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sumactrestle/sumactrestle/fencing"
	"github.com/sumactrestle/sumactrestle/internal/api"
	"github.com/sumactrestle/sumactrestle/internal/checker"
	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/ids"
)

const (
	defaultHeartbeatPeriod = 300 * time.Millisecond
	heartbeatTimeout       = time.Second
	// heartbeatsPerNode is how many heartbeats go to one node before the next one's turn.
	heartbeatsPerNode = 8
	announceRetry     = 100 * time.Millisecond
	weight            = 100 // of every target

	stateServing = "serving"
)

// Server is one instance of a service, a target of the fleet's requests. Its exported fields
// are set before Start.
type Server struct {
	Network environment.Host
	History *checker.History

	// Identity, as it is reported in heartbeats.
	Service  string
	Instance string // made up by Start if it is empty
	Address  string
	Zone     string
	SealKey  string

	// Heartbeats.
	Nodes           []string      // API addresses
	HeartbeatPeriod time.Duration // 300 ms if zero
	FailureTimeout  time.Duration // silence after which it counts as gone; the checker's if zero

	// Behaviour.
	ServiceTime time.Duration              // of each request
	HeadDelay   time.Duration              // between a request's head and the reading of its body
	Misbehavior func(request int64) string // chooses how the nth request is answered; nil for never
	// Opaque has it speak as services do that keep their seal to themselves: responses name
	// their request, and a request that is not executed is refused in words of the service.
	Opaque bool
	// CancelsOnDisconnect has it leave off a request whose connection closes; Cancelled
	// counts those.
	CancelsOnDisconnect bool
	Cancelled           atomic.Int64

	fence        fencing.Fence
	sequence     atomic.Uint64 // of heartbeats
	requestCount atomic.Int64
	state        atomic.Value // string, as reported in heartbeats
	previous     atomic.Pointer[sealedResponse]

	server *http.Server
	cancel context.CancelFunc // ends the heartbeats
	tasks  sync.WaitGroup
}

// Start listens and sends heartbeats until Crash or Close, or until the parent ends.
func (s *Server) Start(parent context.Context) error {
	if s.Instance == "" {
		s.Instance = ids.NewID()
	}
	s.state.Store(stateServing)
	listener, err := s.Network.Listen(s.Address)
	if err != nil {
		return err
	}
	var ctx context.Context
	ctx, s.cancel = context.WithCancel(parent)
	s.server = &http.Server{Handler: s, ConnContext: withConnection, ConnState: followIdle}
	s.tasks.Add(2)
	go func() {
		defer s.tasks.Done()
		s.server.Serve(withTimestamps(listener))
	}()
	go func() {
		defer s.tasks.Done()
		s.sendHeartbeats(ctx)
	}()
	return nil
}

// sendHeartbeats sends heartbeats to one node after another, and to the next one at once
// when a node does not take one.
func (s *Server) sendHeartbeats(ctx context.Context) {
	clients := map[string]*api.Client{}
	first := int(ids.Hash(s.Instance) % 64)
	for i := 0; ctx.Err() == nil; i++ {
		began := time.Now()
		address := s.Nodes[(first+i/heartbeatsPerNode)%len(s.Nodes)]
		if clients[address] == nil {
			clients[address] = NewAPIClient(s.Network, address)
		}
		if s.heartbeat(ctx, clients[address], s.state.Load().(string)) != nil {
			i += heartbeatsPerNode - 1
		}
		select {
		case <-ctx.Done():
		case <-time.After(s.pause(time.Since(began))):
		}
	}
}

func (s *Server) pause(spent time.Duration) time.Duration {
	if s.HeartbeatPeriod == 0 {
		return defaultHeartbeatPeriod
	}
	return max(s.HeartbeatPeriod-spent, 0)
}

func (s *Server) heartbeat(ctx context.Context, client *api.Client, state string) error {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	sentAt := s.Network.Now()
	s.fence.Announce(sentAt)
	taken, err := client.Beat(ctx, &api.Beat{Service: s.Service, Instance: s.Instance, Seq: s.sequence.Add(1), Address: s.Address, Zone: api.NewOptString(s.Zone), Weight: api.NewOptInt(weight), State: api.BeatState(state)})
	if err != nil {
		return err
	}
	switch epoch, ok := taken.Epoch.Get(); {
	case !ok:
		s.fence.Lift()
	case epoch > 0:
		s.fence.Confirm(epoch, sentAt.Add(-time.Duration(taken.Age.Or(0))*time.Millisecond))
	}
	return nil
}

// Announce sends heartbeats with a state until one is acknowledged, and records that the
// state is known from then on. It returns false if the context ended first.
func (s *Server) Announce(ctx context.Context, state string) bool {
	if state == stateServing {
		s.fence.Serve()
	} else {
		s.fence.Drain(s.Network.Now()) // before a heartbeat can tell it
	}
	s.state.Store(state)
	for i := 0; ctx.Err() == nil; i++ {
		client := NewAPIClient(s.Network, s.Nodes[i%len(s.Nodes)])
		if s.heartbeat(ctx, client, state) == nil {
			s.History.Add(checker.Record{Kind: checker.DrainAcknowledged, Service: s.Service, Instance: s.Instance, Address: s.Address, Note: state})
			return true
		}
		select {
		case <-ctx.Done():
		case <-time.After(announceRetry):
		}
	}
	return false
}

// StopHeartbeats falls silent but goes on serving.
func (s *Server) StopHeartbeats() {
	s.History.Add(checker.Record{Kind: checker.HeartbeatsStopped, Service: s.Service, Instance: s.Instance, Address: s.Address, TTL: s.FailureTimeout})
	s.cancel()
}

// Crash falls silent and drops every connection.
func (s *Server) Crash() {
	s.StopHeartbeats()
	s.Close()
}

// Finish waits until the requests that the server has are answered, or the context ends. It takes
// no further connections. Close ends what is left.
func (s *Server) Finish(ctx context.Context) { s.server.Shutdown(ctx) }

// Close ends the server without a record in the history.
func (s *Server) Close() {
	s.cancel()
	s.server.Close()
	s.tasks.Wait()
}
