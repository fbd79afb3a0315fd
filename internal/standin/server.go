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
	Fine     = ""
	LoseIt   = "lose"     // runs it, closes the connection without an answer
	Garbage  = "garbage"  // runs it, answers with bytes that are no answer
	Cut      = "cut"      // runs it, answers with half the body
	Unsealed = "unsealed" // runs it, leaves out the seal
	Swapped  = "swapped"  // runs it, answers with the answer of another request
	Slow     = "slow"     // runs it after a while
	Huge     = "huge"     // runs it, answers with more than may be held
	Surplus  = "surplus"  // runs it, answers with another's answer and then with its own
	Denied   = "denied"   // runs it, and says beside its success that it did not
	Full     = "full"     // turns it away and says so
	Failing  = "failing"  // runs it, and answers that it failed
	Unframed = "unframed" // runs it, answers without a length and closes
	Twice    = "twice"    // runs it, and answers two times
	HalfHead = "halfhead" // runs it, and breaks off within the head of its answer
	Early    = "early"    // turns it away before it has read the body, and reads no more
)

// Server is one stand-in back end.
type Server struct {
	Net      environment.Host
	H        *checker.History
	Service  string
	Instance string
	Address  string
	Zone     string
	Key      string
	Nodes    []string // API addresses
	Work     time.Duration
	Misdo    func(n int64) string
	Every    time.Duration // pause between beats; 300 ms if zero
	Silence  time.Duration // after which it counts as gone; the judge's own if zero
	IsPlain  bool          // answers bear an opaque seal and name their request
	// Drops has it leave off work whose connection closes; Dropped is how often it did.
	Drops   bool
	Dropped atomic.Int64

	seq    atomic.Uint64
	n      atomic.Int64
	state  atomic.Value
	server *http.Server
	end    context.CancelFunc
	tasks  sync.WaitGroup
	last   atomic.Value
}

// Client makes an API client over a network.
func Client(n environment.Host, address string) *api.Client {
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
	listener, err := s.Net.Listen(s.Address)
	if err != nil {
		return err
	}
	ctx, end := context.WithCancel(parent)
	s.end = end
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
				clients[address] = Client(s.Net, address)
			}
			if s.beat(ctx, clients[address], s.state.Load().(string)) != nil {
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
	if s.Every == 0 {
		return 300 * time.Millisecond
	}
	return max(s.Every-spent, 0)
}

func (s *Server) beat(ctx context.Context, client *api.Client, state string) error {
	limited, stop := context.WithTimeout(ctx, time.Second)
	defer stop()
	_, err := client.Beat(limited, &api.Beat{Service: s.Service, Instance: s.Instance, Seq: s.seq.Add(1), Address: s.Address, Zone: api.NewOptString(s.Zone), Weight: api.NewOptInt(100), State: api.BeatState(state)})
	return err
}

// Say beats a state until it is acknowledged, and records that it is known.
func (s *Server) Say(ctx context.Context, state string) bool {
	s.state.Store(state)
	for i := 0; ctx.Err() == nil; i++ {
		client := Client(s.Net, s.Nodes[i%len(s.Nodes)])
		if s.beat(ctx, client, state) == nil {
			s.H.Add(checker.Record{Kind: checker.Known, Service: s.Service, Instance: s.Instance, Address: s.Address, Note: state})
			return true
		}
		select {
		case <-ctx.Done():
		case <-time.After(100 * time.Millisecond):
		}
	}
	return false
}

// Mute stops the beats but goes on serving.
func (s *Server) Mute() {
	s.H.Add(checker.Record{Kind: checker.Silent, Service: s.Service, Instance: s.Instance, Address: s.Address, Ttl: s.Silence})
	s.end()
}

// Vanish is a crash.
func (s *Server) Vanish() {
	s.Mute()
	s.server.Close()
	s.tasks.Wait()
}

// Close ends the server without a word in the history.
func (s *Server) Close() {
	s.end()
	s.server.Close()
	s.tasks.Wait()
}

// Answer is what a server answers with; a caller can check it.
type Answer struct {
	Call    string `json:"call"`
	Service string `json:"service"`
	Bytes   int    `json:"bytes"`
	Digest  string `json:"digest"`
	Pad     string `json:"pad,omitempty"`
}

// CallHeader is the stand-in callers' own number of a call.
const CallHeader = "X-Call"

// isAwaited works on a request, and tells whether its connection lasts that long.
func (s *Server) isAwaited(r *http.Request) bool {
	select {
	case <-time.After(s.Work):
		return true
	case <-r.Context().Done():
		s.Dropped.Add(1)
		return false
	}
}

func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	came := s.H.Now()
	way := Fine
	if n := s.n.Add(1); s.Misdo != nil {
		way = s.Misdo(n)
	}
	if way == Early && s.IsPlain {
		s.turnAwayEarly(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if s.IsPlain && s.turnsAway(w, r, way) {
		return
	}
	if s.Drops && !s.isAwaited(r) {
		return
	}
	if s.Work > 0 && !s.Drops {
		time.Sleep(s.Work)
	}
	if way == Slow {
		time.Sleep(2 * time.Second)
	}
	ran := s.record(r, checker.Ran)
	ran.Start, ran.Digest = came, Digest(body)
	s.H.Add(ran)
	call, request := ran.Call, ran.Request
	reply := Answer{Call: call, Service: s.Service, Bytes: len(body), Digest: Digest(body)}
	if way == Huge {
		reply.Pad = strings.Repeat("x", 64<<10)
	}
	answer, _ := json.Marshal(reply)
	status := http.StatusOK
	if way == Failing {
		status = http.StatusInternalServerError
	}
	seal := proxy.Seal(s.Key, request, s.Service, s.Instance, status, answer)
	if s.IsPlain {
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
	case LoseIt:
		hijack("")
		return
	case Garbage:
		hijack("\x00\x01 what is this\r\n\r\n")
		return
	case Cut:
		hijack(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%s: %s\r\n%s: %s\r\n\r\n%s", len(answer), proxy.HeaderRequestID, request, proxy.HeaderSeal, seal, answer[:len(answer)/2]))
		return
	case Unframed:
		hijack(fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n\r\n%s", proxy.HeaderRequestID, request, proxy.HeaderSeal, seal, answer))
		return
	case Twice:
		hijack(whole(request, seal, string(answer)) + whole(request, seal, string(answer)))
		return
	case HalfHead:
		hijack(whole(request, seal, string(answer))[:25])
		return
	case Swapped:
		if old, ok := s.last.Load().([]string); ok {
			w.Header().Set(proxy.HeaderSeal, old[0])
			if s.IsPlain {
				w.Header().Set(proxy.HeaderRequestID, old[2])
			}
			w.Write([]byte(old[1]))
			return
		}
	case Surplus:
		if old, ok := s.last.Load().([]string); ok {
			hijack(whole(old[2], old[0], old[1]) + whole(request, seal, string(answer)))
			return
		}
	case Denied:
		w.Header().Set(HeaderUnrun, "1")
	}
	s.last.Store([]string{seal, string(answer), request})
	if way != Unsealed {
		w.Header().Set(proxy.HeaderSeal, seal)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(answer)
}
