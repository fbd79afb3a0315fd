package httpserver

import (
	"sync/atomic"
	"time"
)

// Finish limits its wait by the number of polls, not by elapsed time: in a process that is not
// scheduled, neither the polls nor the handlers that Finish waits for make progress.
const (
	finishPollInterval = 5 * time.Millisecond
	// maxStalledPolls is the number of consecutive polls for which a connection may wait for its
	// client to read the response or send the rest of the request: 0.5 s in a running process.
	maxStalledPolls = 100
	// maxFinishPolls is the number of polls after which Finish returns in any case: 2 s in a
	// running process.
	maxFinishPolls = 400
)

// Finish completes what Shutdown has not. It must be called after the requests in flight have
// been canceled. It waits until all responses are written and their connections closed, but at
// most maxStalledPolls for a client that makes no progress and maxFinishPolls in total. It
// returns the number of connections that remain, whose requests get no response.
func (s *Server) Finish() (remaining int) {
	s.stopAccepting()
	for range maxFinishPolls {
		if !s.hasPendingResponses() {
			break
		}
		time.Sleep(finishPollInterval)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.connections)
}

// hasPendingResponses reports whether a connection remains whose client is not considered stalled.
// It closes all connections that wait for a request, including those that have had none.
func (s *Server) hasPendingResponses() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	hasPending := false
	for c := range s.connections {
		c.closeWhenIdle()
		if c.client.poll() < maxStalledPolls {
			hasPending = true
		}
	}
	return hasPending
}

// clientWait measures, in polls, how long a connection has been waiting for its client.
type clientWait struct {
	pending   atomic.Int64 // reads and writes in progress
	completed atomic.Uint64

	// lastCompleted is the value of completed at the last poll, and stalledPolls its result. Only
	// poll uses them.
	lastCompleted uint64
	stalledPolls  int
}

func (w *clientWait) begin() { w.pending.Add(1) }

func (w *clientWait) end() {
	w.completed.Add(1)
	w.pending.Add(-1)
}

// poll returns the number of consecutive polls, up to this one, at which a read or write was in
// progress and none had completed since the previous poll.
func (w *clientWait) poll() int {
	completed := w.completed.Load()
	if w.pending.Load() == 0 || completed != w.lastCompleted {
		w.stalledPolls = 0
	} else {
		w.stalledPolls++
	}
	w.lastCompleted = completed
	return w.stalledPolls
}
