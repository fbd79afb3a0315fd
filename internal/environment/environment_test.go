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

// Under the race detector a timer for a pause of nothing ends the process; see Sleep.
func TestSleep_OfNothingNeedsNoTimer(t *testing.T) {
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

func TestSleep_EndsWithTheEnvironment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newEnvironment(t, Host{})
		began := time.Now()
		if !env.Sleep(time.Second) || time.Since(began) != time.Second {
			t.Error("did not sleep for a second")
		}
		time.AfterFunc(time.Second, env.Shutdown)
		if env.Sleep(time.Hour) || time.Since(began) != 2*time.Second {
			t.Error("slept on after the end")
		}
		if env.Sleep(0) {
			t.Error("a pause of nothing does not tell of the end")
		}
	})
}

func TestWaitUntil_EndsAtTheMomentTheSignalOrTheContext(t *testing.T) {
	const pause = time.Second
	for _, c := range []struct {
		name               string
		left               time.Duration // to the moment
		signalled, ended   time.Duration // when these come; at once if negative
		waited             time.Duration
		isSignalled, fails bool
	}{
		{"the moment", pause, 2 * pause, 3 * pause, pause, false, false},
		{"the signal", 2 * pause, pause, 3 * pause, pause, true, false},
		{"the context", 3 * pause, 2 * pause, pause, pause, false, true},
		{"a moment that has passed", -pause, pause, pause, 0, false, false},
		{"a signal beside it", -pause, -1, pause, 0, true, false},
		{"an end beside it", -pause, pause, -1, 0, false, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			signal := make(chan struct{}, 1)
			after := func(pause time.Duration, act func()) {
				if pause < 0 {
					act()
				} else {
					time.AfterFunc(pause, act)
				}
			}
			after(c.signalled, func() { signal <- struct{}{} })
			after(c.ended, cancel)
			began := time.Now()
			isSignalled, err := WaitUntil(ctx, began.Add(c.left), signal)
			if waited := time.Since(began); isSignalled != c.isSignalled || (err != nil) != c.fails || waited != c.waited {
				t.Errorf("%s: signalled %v, error %v, after %s", c.name, isSignalled, err, waited)
			}
			time.Sleep(3 * pause)
		})
	}
}

// Under the race detector a timer that expires while its task works ends the process; see
// WaitUntil.
func TestWaitUntil_MakesNoTimerForAMomentThatHasPassed(t *testing.T) {
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
		began := time.Now()
		env.Shutdown()
		if finished.Load() != 2 || time.Since(began) != 2*time.Second {
			t.Errorf("%d of 2 tasks have finished after %s", finished.Load(), time.Since(began))
		}
	})
}

func TestNow_CountsSuspendedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		suspended := time.Duration(0)
		env := newEnvironment(t, Host{SuspendedTime: func() time.Duration { return suspended }})
		began := env.Now()
		time.Sleep(time.Second)
		suspended = time.Minute
		if age := env.Since(began); age != time.Minute+time.Second {
			t.Errorf("the age is %s", age)
		}
	})
}

func TestJitter_StaysWithinAQuarter(t *testing.T) {
	for range 1000 {
		if pause := Jitter(time.Second); pause < 750*time.Millisecond || pause > 1250*time.Millisecond {
			t.Fatalf("a second became %s", pause)
		}
	}
}

func TestChanMutex_TryLockFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mutex := NewChanMutex()
		mutex.Lock()
		began := time.Now()
		if mutex.TryLockFor(time.Second) || time.Since(began) != time.Second {
			t.Error("took a lock that is held, or did not wait for it")
		}
		time.AfterFunc(time.Second, mutex.Unlock)
		if !mutex.TryLockFor(time.Minute) || time.Since(began) != 2*time.Second {
			t.Error("did not take a lock that was released")
		}
	})
}
