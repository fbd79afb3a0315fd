// Package standin holds the stand-ins at the fleet's edges: servers that beat, run
// requests and seal their answers, callers, applications and operators. They
// record what they see for the judge, and they can be told to misbehave.
package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/api"
	"github.com/sumactrestle/sumactrestle/internal/checker"
	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/proxy"
)

// Ways in which a server misbehaves, by request.
const (
	WellBehaved         = ""
	CloseUnanswered     = "lose"     // runs it, closes the connection without an answer
	Garbage             = "garbage"  // runs it, answers with bytes that are no answer
	TruncatedBody       = "cut"      // runs it, answers with half the body
	Unsealed            = "unsealed" // runs it, leaves out the seal
	SwappedResponse     = "swapped"  // runs it, answers with the answer of another request
	Slow                = "slow"     // runs it after a while
	OversizedResponse   = "huge"     // runs it, answers with more than may be held
	SurplusResponse     = "surplus"  // runs it, answers with another's answer and then with its own
	ContradictoryNotRun = "denied"   // runs it, and says beside its success that it did not
	Overloaded          = "full"     // turns it away and says so
	Failing             = "failing"  // runs it, and answers that it failed
	UnframedResponse    = "unframed" // runs it, answers without a length and closes
	DuplicateResponse   = "twice"    // runs it, and answers two times
	TruncatedHeader     = "halfhead" // runs it, and breaks off within the head of its answer
	RejectedEarly       = "early"    // turns it away before it has read the body, and reads no more
)

// Server is one stand-in back end.
type Server struct {
	Network         environment.Host
	History         *checker.History
	Service         string
	Instance        string
	Address         string
	Zone            string
	SealKey         string
	Nodes           []string // API addresses
	ServiceTime     time.Duration
	Misbehavior     func(n int64) string
	HeartbeatPeriod time.Duration // pause between beats; 300 ms if zero
	FailureTimeout  time.Duration // after which it counts as gone; the judge's own if zero
	Opaque          bool          // answers bear an opaque seal and name their request
	// CancelsOnDisconnect has it leave off work whose connection closes; Dropped is how often it did.
	CancelsOnDisconnect bool
	Cancelled           atomic.Int64

	sequence     atomic.Uint64
	requestCount atomic.Int64
	state        atomic.Value
	server       *http.Server
	cancel       context.CancelFunc
	tasks        sync.WaitGroup
	previous     atomic.Value
}

// NewAPIClient makes an API client over a network.
func NewAPIClient(n environment.Host, address string) *api.Client {
	transport := &http.Transport{DialContext: func(ctx context.Context, _, at string) (net.Conn, error) { return n.Dial(ctx, at) }, MaxIdleConnsPerHost: 4, IdleConnTimeout: 5 * time.Second}
	client, _ := api.NewClient("http://"+address, api.WithClient(&http.Client{Transport: transport}))
	return client
}

// Start listens and beats until Vanish or Leave.
func (s *Server) Start(parent context.Context) error {
	if s.Instance == "" {
		s.Instance = ids.NewID()
	}
	s.state.Store("serving")
	listener, err := s.Network.Listen(s.Address)
	if err != nil {
		return err
	}
	ctx, end := context.WithCancel(parent)
	s.cancel = end
	s.server = &http.Server{Handler: s}
	s.tasks.Add(2)
	go func() { defer s.tasks.Done(); s.server.Serve(listener) }()
	go func() {
		defer s.tasks.Done()
		clients := map[string]*api.Client{}
		for i := 0; ctx.Err() == nil; i++ {
			began := time.Now()
			address := s.Nodes[(int(ids.Hash(s.Instance)%64)+i/8)%len(s.Nodes)]
			if clients[address] == nil {
				clients[address] = NewAPIClient(s.Network, address)
			}
			if s.heartbeat(ctx, clients[address], s.state.Load().(string)) != nil {
				i += 7
			}
			select {
			case <-ctx.Done():
			case <-time.After(s.pause(time.Since(began))):
			}
		}
	}()
	return nil
}

func (s *Server) pause(spent time.Duration) time.Duration {
	if s.HeartbeatPeriod == 0 {
		return 300 * time.Millisecond
	}
	return max(s.HeartbeatPeriod-spent, 0)
}

func (s *Server) heartbeat(ctx context.Context, client *api.Client, state string) error {
	limited, stop := context.WithTimeout(ctx, time.Second)
	defer stop()
	_, err := client.Beat(limited, &api.Beat{Service: s.Service, Instance: s.Instance, Seq: s.sequence.Add(1), Address: s.Address, Zone: api.NewOptString(s.Zone), Weight: api.NewOptInt(100), State: api.BeatState(state)})
	return err
}

// Announce beats a state until it is acknowledged, and records that it is known.
func (s *Server) Announce(ctx context.Context, state string) bool {
	s.state.Store(state)
	for i := 0; ctx.Err() == nil; i++ {
		client := NewAPIClient(s.Network, s.Nodes[i%len(s.Nodes)])
		if s.heartbeat(ctx, client, state) == nil {
			s.History.Add(checker.Record{Kind: checker.DrainAcknowledged, Service: s.Service, Instance: s.Instance, Address: s.Address, Note: state})
			return true
		}
		select {
		case <-ctx.Done():
		case <-time.After(100 * time.Millisecond):
		}
	}
	return false
}

// StopHeartbeats stops the beats but goes on serving.
func (s *Server) StopHeartbeats() {
	s.History.Add(checker.Record{Kind: checker.HeartbeatsStopped, Service: s.Service, Instance: s.Instance, Address: s.Address, TTL: s.FailureTimeout})
	s.cancel()
}

// Crash is a crash.
func (s *Server) Crash() {
	s.StopHeartbeats()
	s.server.Close()
	s.tasks.Wait()
}

// Close ends the server without a word in the history.
func (s *Server) Close() {
	s.cancel()
	s.server.Close()
	s.tasks.Wait()
}

// Response is what a server answers with; a caller can check it.
type Response struct {
	Call    string `json:"call"`
	Service string `json:"service"`
	Bytes   int    `json:"bytes"`
	Digest  string `json:"digest"`
	Pad     string `json:"pad,omitempty"`
}

// HeaderCall is the stand-in callers' own number of a call.
const HeaderCall = "X-Call"

// workUnlessCancelled works on a request, and tells whether its connection lasts that long.
func (s *Server) workUnlessCancelled(r *http.Request) bool {
	select {
	case <-time.After(s.ServiceTime):
		return true
	case <-r.Context().Done():
		s.Cancelled.Add(1)
		return false
	}
}

func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	came := s.History.Now()
	way := WellBehaved
	if n := s.requestCount.Add(1); s.Misbehavior != nil {
		way = s.Misbehavior(n)
	}
	if way == RejectedEarly && s.Opaque {
		s.rejectEarly(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if s.Opaque && s.reject(w, r, way) {
		return
	}
	if s.CancelsOnDisconnect && !s.workUnlessCancelled(r) {
		return
	}
	if s.ServiceTime > 0 && !s.CancelsOnDisconnect {
		time.Sleep(s.ServiceTime)
	}
	if way == Slow {
		time.Sleep(2 * time.Second)
	}
	ran := s.record(r, checker.RequestExecuted)
	ran.Start, ran.Digest = came, Digest(body)
	s.History.Add(ran)
	call, request := ran.CallID, ran.RequestID
	reply := Response{Call: call, Service: s.Service, Bytes: len(body), Digest: Digest(body)}
	if way == OversizedResponse {
		reply.Pad = strings.Repeat("x", 64<<10)
	}
	answer, _ := json.Marshal(reply)
	status := http.StatusOK
	if way == Failing {
		status = http.StatusInternalServerError
	}
	seal := proxy.Seal(s.SealKey, request, s.Service, s.Instance, status, answer)
	if s.Opaque {
		w.Header().Set(proxy.HeaderRequestID, request)
	}
	hijack := func(text string) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			io.WriteString(conn, text)
			conn.Close()
		}
	}
	switch way {
	case CloseUnanswered:
		hijack("")
		return
	case Garbage:
		hijack("\x00\x01 what is this\r\n\r\n")
		return
	case TruncatedBody:
		hijack(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%s: %s\r\n%s: %s\r\n\r\n%s", len(answer), proxy.HeaderRequestID, request, proxy.HeaderSeal, seal, answer[:len(answer)/2]))
		return
	case UnframedResponse:
		hijack(fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n\r\n%s", proxy.HeaderRequestID, request, proxy.HeaderSeal, seal, answer))
		return
	case DuplicateResponse:
		hijack(completeResponse(request, seal, string(answer)) + completeResponse(request, seal, string(answer)))
		return
	case TruncatedHeader:
		hijack(completeResponse(request, seal, string(answer))[:25])
		return
	case SwappedResponse:
		if old, ok := s.previous.Load().([]string); ok {
			w.Header().Set(proxy.HeaderSeal, old[0])
			if s.Opaque {
				w.Header().Set(proxy.HeaderRequestID, old[2])
			}
			w.Write([]byte(old[1]))
			return
		}
	case SurplusResponse:
		if old, ok := s.previous.Load().([]string); ok {
			hijack(completeResponse(old[2], old[0], old[1]) + completeResponse(request, seal, string(answer)))
			return
		}
	case ContradictoryNotRun:
		w.Header().Set(HeaderNotRun, "1")
	}
	s.previous.Store([]string{seal, string(answer), request})
	if way != Unsealed {
		w.Header().Set(proxy.HeaderSeal, seal)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(answer)
}
