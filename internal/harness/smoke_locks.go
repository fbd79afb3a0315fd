package harness

import (
	"fmt"
	"sync"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/api"
	"github.com/sumactrestle/sumactrestle/internal/checker"
	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/standin"
)

const (
	lateReleaseLocks = 10
	lateReleaseTTL   = 9 * time.Second
	// lateReleaseSettle is the time for a process that continues to execute what it received.
	lateReleaseSettle = 700 * time.Millisecond
)

// lockCaller returns a caller that calls the core nodes named in each call.
func (s *smoke) lockCaller(holder string) *standin.LockCaller {
	return &standin.LockCaller{Host: environment.NewHost(""), History: s.history, Holder: holder, DisconnectDelay: lateReleaseTTL}
}

// forEachLock runs a function for each of the late-release locks concurrently and counts how often
// it returned true.
func forEachLock(run func(i int, name string) bool) (count int) {
	var mu sync.Mutex
	var calls sync.WaitGroup
	for i := range lateReleaseLocks {
		calls.Go(func() {
			if run(i, fmt.Sprint("late", i, "/x")) {
				mu.Lock()
				defer mu.Unlock()
				count++
			}
		})
	}
	calls.Wait()
	return count
}

// releaseLate stops a core process, sends it releases of locks that are given up and acquired again
// through another core node, and continues the process. It fails if another caller is granted one of
// the locks; the history shows whether two held it.
func (s *smoke) releaseLate() error {
	stalled, working := s.fleet.Machine("core1"), s.fleet.Machine("core3")
	var tokens [lateReleaseLocks]uint64
	acquire := func(holder string, i int, name string) bool {
		token, outcome := s.lockCaller(holder).Call(s.ctx, standin.LockCall{Address: working.APIAddress(), Verb: api.LockVerbAcquire, Name: name, TTL: lateReleaseTTL})
		if outcome == checker.OutcomeDone {
			tokens[i] = token
		}
		return outcome == checker.OutcomeDone
	}
	acquired := forEachLock(func(i int, name string) bool { return acquire("first", i, name) })
	stalled.Freeze()
	defer stalled.Thaw()
	forEachLock(func(i int, name string) bool {
		_, outcome := s.lockCaller("first").Call(s.ctx, standin.LockCall{Address: stalled.APIAddress(), Verb: api.LockVerbRelease, Name: name, Token: tokens[i]})
		return outcome == checker.OutcomeDone
	})
	again := forEachLock(func(i int, name string) bool { return acquire("first", i, name) })
	stalled.Thaw()
	time.Sleep(lateReleaseSettle)
	granted := forEachLock(func(i int, name string) bool { return acquire("second", i, name) })
	s.logf("of %d locks, %d were acquired, %d acquired again after a release to a stalled node, and %d granted to another caller then", lateReleaseLocks, acquired, again, granted)
	if granted > lateReleaseLocks-again {
		return errcode.New(errcode.Internal, "%d locks were freed by releases that their holder had given up", granted)
	}
	return nil
}
