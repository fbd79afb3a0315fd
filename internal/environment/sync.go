package environment

import (
	"sync"
	"time"
)

// taskGroup counts running tasks. Unlike with a sync.WaitGroup, tasks may be started from
// anywhere while wait is in progress, even when none is running.
type taskGroup struct {
	mu      sync.Mutex // guards running
	running int
	idle    *sync.Cond // signaled when running becomes zero
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
		defer g.finish()
		task()
	}()
}

func (g *taskGroup) finish() {
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

// ChanMutex is a mutex that may be held while blocking on other operations. Unlike with a
// sync.Mutex, a synctest bubble treats a goroutine that waits for it as durably blocked, and
// the wait can have a timeout.
type ChanMutex chan struct{}

// NewChanMutex returns an unlocked mutex.
func NewChanMutex() ChanMutex { return make(ChanMutex, 1) }

// Lock acquires the mutex and blocks until it is available.
func (m ChanMutex) Lock() { m <- struct{}{} }

// Unlock releases the mutex, which must be held; it blocks otherwise.
func (m ChanMutex) Unlock() { <-m }

// TryLockFor waits up to timeout for the mutex and reports whether it was acquired.
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
