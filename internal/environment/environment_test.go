package environment

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/config"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
)

func newEnvironment(t *testing.T, host Host) *Environment {
	t.Helper()
	return New(t.Context(), &config.Settings{}, eventlog.New(io.Discard, "info", "n"), host)
}

// Under the race detector a timer for a pause of zero crashes the process; see Sleep.
func TestSleep_ZeroPauseCreatesNoTimer(t *testing.T) {
	for range 20 {
		synctest.Test(t, func(t *testing.T) {
			env := newEnvironment(t, Host{})
			var sleepers sync.WaitGroup
			for range 50 {
				sleepers.Go(func() {
					for range 200 {
						env.Sleep(0)
					}
				})
			}
			sleepers.Wait()
			env.Shutdown()
		})
	}
}

func TestSleep_ReturnsEarlyOnShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newEnvironment(t, Host{})
		start := time.Now()
		if !env.Sleep(time.Second) || time.Since(start) != time.Second {
			t.Error("did not sleep for a second")
		}
		time.AfterFunc(time.Second, env.Shutdown)
		if env.Sleep(time.Hour) || time.Since(start) != 2*time.Second {
			t.Error("Sleep did not return on shutdown")
		}
		if env.Sleep(0) {
			t.Error("Sleep(0) does not report the shutdown")
		}
	})
}

func TestWaitUntil_ReturnsOnDueTimeSignalOrContext(t *testing.T) {
	const pause = time.Second
	for _, c := range []struct {
		name                     string
		untilDue                 time.Duration
		signalAfter, cancelAfter time.Duration // from the start; immediately if negative
		wantWait                 time.Duration
		wantSignaled, wantErr    bool
	}{
		{"due time first", pause, 2 * pause, 3 * pause, pause, false, false},
		{"signal first", 2 * pause, pause, 3 * pause, pause, true, false},
		{"context first", 3 * pause, 2 * pause, pause, pause, false, true},
		{"past due time", -pause, pause, pause, 0, false, false},
		{"past due time and a pending signal", -pause, -1, pause, 0, true, false},
		{"past due time and a canceled context", -pause, pause, -1, 0, false, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			signal := make(chan struct{}, 1)
			after := func(delay time.Duration, act func()) {
				if delay < 0 {
					act()
				} else {
					time.AfterFunc(delay, act)
				}
			}
			after(c.signalAfter, func() { signal <- struct{}{} })
			after(c.cancelAfter, cancel)
			start := time.Now()
			isSignaled, err := WaitUntil(ctx, start.Add(c.untilDue), signal)
			if waited := time.Since(start); isSignaled != c.wantSignaled || (err != nil) != c.wantErr || waited != c.wantWait {
				t.Errorf("%s: signaled %v, error %v, after %s", c.name, isSignaled, err, waited)
			}
			time.Sleep(3 * pause)
		})
	}
}

// Under the race detector a timer that expires before anyone waits for it crashes the process; see
// WaitUntil.
func TestWaitUntil_PastTimeCreatesNoTimer(t *testing.T) {
	for range 20 {
		synctest.Test(t, func(t *testing.T) {
			var waiters sync.WaitGroup
			for range 50 {
				waiters.Go(func() {
					for range 200 {
						WaitUntil(t.Context(), time.Now(), nil)
					}
				})
			}
			waiters.Wait()
		})
	}
}

func TestShutdown_WaitsForTasksStartedMeanwhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newEnvironment(t, Host{})
		var finished atomic.Int32
		env.Go(func() {
			<-env.Done()
			time.Sleep(time.Second)
			env.Go(func() {
				time.Sleep(time.Second)
				finished.Add(1)
			})
			finished.Add(1)
		})
		start := time.Now()
		env.Shutdown()
		if finished.Load() != 2 || time.Since(start) != 2*time.Second {
			t.Errorf("%d of 2 tasks finished after %s", finished.Load(), time.Since(start))
		}
	})
}

func TestNow_CountsSuspendedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		suspended := time.Duration(0)
		env := newEnvironment(t, Host{SuspendedTime: func() time.Duration { return suspended }})
		start := env.Now()
		time.Sleep(time.Second)
		suspended = time.Minute
		if age := env.Since(start); age != time.Minute+time.Second {
			t.Errorf("age is %s, want 1m1s", age)
		}
	})
}

func TestJitter_StaysWithinAQuarter(t *testing.T) {
	for range 1000 {
		if pause := Jitter(time.Second); pause < 750*time.Millisecond || pause > 1250*time.Millisecond {
			t.Fatalf("Jitter(1s) is %s", pause)
		}
	}
}

func TestChanMutex_TryLockFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mutex := NewChanMutex()
		mutex.Lock()
		start := time.Now()
		if mutex.TryLockFor(time.Second) || time.Since(start) != time.Second {
			t.Error("acquired a held lock, or did not wait for the timeout")
		}
		time.AfterFunc(time.Second, mutex.Unlock)
		if !mutex.TryLockFor(time.Minute) || time.Since(start) != 2*time.Second {
			t.Error("did not acquire a lock when it was released")
		}
	})
}
