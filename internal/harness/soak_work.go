package harness

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"syscall"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/checker"
)

// pause waits for a time or until the context ends.
func pause(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// stopRepeatedly stops and restarts one machine, once or twice in a row with pauses between, until the
// context ends. The machine's process is running when it returns.
func (s *soak) stopRepeatedly(ctx context.Context, m *Machine, random *rand.Rand) {
	for ctx.Err() == nil {
		pause(ctx, time.Duration(500+random.IntN(6000))*time.Millisecond)
		if ctx.Err() != nil {
			return
		}
		if m.role == roleCore {
			s.coreStopMu.Lock()
		}
		for range 1 + random.IntN(2) {
			s.stopAndRestart(m, random)
		}
		if m.role == roleCore {
			pause(ctx, time.Second)
			s.coreStopMu.Unlock()
		}
	}
}

// stopAndRestart sends a process up to three SIGHUP, then SIGTERM, and more of both while it stops, and
// starts it again. The process may have started only just before.
func (s *soak) stopAndRestart(m *Machine, random *rand.Rand) {
	s.recordFault("stop %s", m.Name)
	s.history.Add(checker.Record{Kind: checker.PlannedStop, Proxy: m.ProxyAddress()})
	stopping := m.process.Load()
	s.checkUp(m)
	isServing := s.isServing(m)
	for range random.IntN(4) {
		m.signal(syscall.SIGHUP)
	}
	m.signal(syscall.SIGTERM)
	signaledAt := time.Now()
	s.signalDuringStop(m, signaledAt, random)
	lateState, blocked := s.awaitStop(m, stopping, signaledAt.Add(stopTimeout))
	s.checkStop(m, stopping.cmd.Process.Pid, signaledAt, lateState, blocked)
	if isServing {
		s.checkExit(m, stopping, lateState != "")
	}
	time.Sleep(time.Duration(random.IntN(800)) * time.Millisecond)
	s.startMachine(m)
	s.watchExit(m)
	if random.IntN(3) > 0 {
		time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
	}
}

// awaitStop waits until a stopping process has exited, and kills it at the deadline. In the latter case
// lateState describes the process before it was killed, and blocked its threads that were in a disk
// write at the deadline. Both are empty if the exit was observed before the deadline.
func (s *soak) awaitStop(m *Machine, stopping *process, deadline time.Time) (lateState, blocked string) {
	if stopping.waitForExit(deadline.Add(-blockedSampleWindow)) {
		return "", ""
	}
	processDir := fmt.Sprintf("/proc/%d", stopping.cmd.Process.Pid)
	var threads blockedThreads
	for time.Now().Before(deadline) {
		threads.sample(processDir)
		if stopping.waitForExit(time.Now().Add(min(blockedSampleInterval, time.Until(deadline)))) {
			return "", ""
		}
	}
	threads.sample(processDir)
	lateState = s.describeLateStop(m)
	m.Kill()
	return lateState, threads.describe()
}

// checkStop records a failure if an exited process did not stop within stopTimeout, whatever delayed
// it. If it stopped in time but this process did not observe that in time, lateState is only logged.
func (s *soak) checkStop(m *Machine, pid int, signaledAt time.Time, lateState, blocked string) {
	failure := s.exits.describeStopFailure(pid, signaledAt)
	if failure != "" {
		s.fail("%s did not stop within %s: %s; threads in a disk write (state D): %s; %s", m.Name, stopTimeout, failure, cmp.Or(blocked, "none"), lateState)
	} else if lateState != "" {
		s.logf("%s stopped in time, but its exit was observed late: %s", m.Name, lateState)
	}
}

// describeLateStop describes the state of a process whose exit was not observed in time. It writes the
// goroutine stacks of this process, which may itself be the one delayed, to a file and adds its path.
func (s *soak) describeLateStop(m *Machine) string {
	state := describeProcess(m.PID())
	path := filepath.Join(s.Folder, m.Name+".late-stop")
	if err := writeGoroutines(path); err != nil {
		path = err.Error()
	}
	return fmt.Sprintf("its process: %s; goroutines of the harness: %s", state, path)
}

// watchExit requests the report on the exit of a machine's process.
func (s *soak) watchExit(m *Machine) {
	if err := s.exits.watch(m.PID()); err != nil {
		s.fail("%s: can't watch for its exit: %v", m.Name, err)
	}
}
