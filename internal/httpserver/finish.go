package httpserver

import (
	"sync/atomic"
	"time"
)

// How long Finish waits is counted in its own looks at the connections, and not by the clock: a
// process that the machine holds up looks only when it runs again, and so do the tasks that it
// waits for.
const (
	finishPollInterval = 5 * time.Millisecond
	// maxClientPolls is for how many looks in a row a connection may wait for its client to take
	// the response or to send the rest of the request; 0.5 s in a process that runs.
	maxClientPolls = 100
	// maxFinishPolls is after how many looks Finish returns in any case; 2 s in a process that
	// runs.
	maxFinishPolls = 400
)

// Finish ends what Shutdown has left. It is called when everything in flight was given up, and
// waits until all responses were written and their connections closed. A client that takes nothing
// is not waited for longer than maxClientPolls, and no request longer than maxFinishPolls. It
// returns how many connections are left, with requests that get no response.
func (s *Server) Finish() (left int) {
	s.end()
	for range maxFinishPolls {
		if !s.isOwing() {
			break
		}
		time.Sleep(finishPollInterval)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.connections)
}

// isOwing looks whether a response is still to be written. It ends all connections that wait for a
// request, also for their first.
func (s *Server) isOwing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	isOwing := false
	for c := range s.connections {
		c.end()
		if c.client.look() < maxClientPolls {
			isOwing = true
		}
	}
	return isOwing
}

// clientWait tells for how long a connection has waited for its client.
type clientWait struct {
	waiting atomic.Int64 // reads and writes that are not back
	ended   atomic.Uint64

	// What the last look saw; only looks use these.
	seen  uint64
	polls int
}

func (w *clientWait) begin() { w.waiting.Add(1) }

func (w *clientWait) end() {
	w.ended.Add(1)
	w.waiting.Add(-1)
}

// look returns at how many looks in a row, this one included, the connection has waited for its
// client while nothing came of it.
func (w *clientWait) look() int {
	ended := w.ended.Load()
	if w.waiting.Load() == 0 || ended != w.seen {
		w.polls = 0
	} else {
		w.polls++
	}
	w.seen = ended
	return w.polls
}
