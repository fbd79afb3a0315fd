package environment

import (
	"sync"
	"time"
)

// taskGroup counts running tasks. Unlike with a sync.WaitGroup, tasks may be started from
// anywhere while another waits for none to run.
type taskGroup struct {
	mu      sync.Mutex // guards running
	running int
	idle    *sync.Cond // running has become zero
}

func newTaskGroup() *taskGroup {
	g := &taskGroup{}
	g.idle = sync.NewCond(&g.mu)
	return g
}

func (g *taskGroup) start(task func()) {
	g.mu.Lock()
	g.running++
	g.mu.Unlock()
	go func() {
		defer g.finished()
		task()
	}()
}

func (g *taskGroup) finished() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	if g.running == 0 {
		g.idle.Broadcast()
	}
}

func (g *taskGroup) wait() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for g.running > 0 {
		g.idle.Wait()
	}
}

// ChanMutex is a lock that may be held while waiting for others. A bubble of virtual time
// counts who waits for it as blocked, which it does not for a sync.Mutex, and it can be
// waited for within bounds.
type ChanMutex chan struct{}

// NewChanMutex returns a lock that nobody holds.
func NewChanMutex() ChanMutex { return make(ChanMutex, 1) }

// Lock waits for the lock and takes it.
func (m ChanMutex) Lock() { m <- struct{}{} }

// Unlock releases the lock, which must be held.
func (m ChanMutex) Unlock() { <-m }

// TryLockFor waits for the lock for so long and reports whether it took it.
func (m ChanMutex) TryLockFor(timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case m <- struct{}{}:
		return true
	case <-timer.C:
		return false
	}
}
