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

// pause waits, or returns when the context ends.
func pause(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// disturb does planned work on one machine, series after series, until the context ends. The
// machine's process is up when it returns.
func (s *soak) disturb(ctx context.Context, m *Machine, random *rand.Rand) {
	for ctx.Err() == nil {
		pause(ctx, time.Duration(500+random.IntN(6000))*time.Millisecond)
		if ctx.Err() != nil {
			return
		}
		if m.role == roleCore {
			s.corePermit.Lock()
		}
		for range 1 + random.IntN(2) {
			s.stopInSeries(m, random)
		}
		if m.role == roleCore {
			pause(ctx, time.Second)
			s.corePermit.Unlock()
		}
	}
}

// stopInSeries sends a process some SIGHUP, then SIGTERM, and more of both while it stops, and
// starts it again. Sometimes the process has only just been started.
func (s *soak) stopInSeries(m *Machine, random *rand.Rand) {
	s.recordFault("stop %s", m.Name)
	s.history.Add(checker.Record{Kind: checker.PlannedStop, Proxy: m.ProxyAddress()})
	stopping := m.process.Load()
	s.checkUp(m)
	isServing := s.isServing(m)
	for range random.IntN(4) {
		m.signal(syscall.SIGHUP)
	}
	m.signal(syscall.SIGTERM)
	began := time.Now()
	s.signalMeanwhile(m, began, random)
	seenLate, blocked := s.awaitStop(m, stopping, began.Add(stopTimeout))
	s.checkStop(m, stopping.cmd.Process.Pid, began, seenLate, blocked)
	if isServing {
		s.checkExit(m, stopping, seenLate != "")
	}
	time.Sleep(time.Duration(random.IntN(800)) * time.Millisecond)
	s.startMachine(m)
	s.watchEnd(m)
	if random.IntN(3) > 0 {
		time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
	}
}

// awaitStop waits until a process that was told to stop has ended, and kills it at the end of its
// bound. What it did then is told if it was not seen to end, and which of its threads the kernel held
// within a disk write over the end of the bound.
func (s *soak) awaitStop(m *Machine, stopping *process, bound time.Time) (seenLate, blocked string) {
	if stopping.waitForExit(bound.Add(-lateLookTime)) {
		return "", ""
	}
	folder := fmt.Sprintf("/proc/%d", stopping.cmd.Process.Pid)
	var threads blockedThreads
	for time.Now().Before(bound) {
		threads.look(folder)
		if stopping.waitForExit(time.Now().Add(min(lateLookInterval, time.Until(bound)))) {
			return "", ""
		}
	}
	threads.look(folder)
	seenLate = s.describeLateStop(m)
	m.Kill()
	return seenLate, threads.atEnd()
}

// checkStop fails if a process that has ended took too long over its stop, whatever held it up. Which
// of its threads the kernel held within a disk write is told then. How it went on when this process
// had not seen its end in time is told in any case.
func (s *soak) checkStop(m *Machine, pid int, told time.Time, seenLate, blocked string) {
	late := s.ends.lateStop(pid, told)
	if late != "" {
		s.fail("%s did not stop within %s: %s; within a disk write (state D): %s; %s", m.Name, stopTimeout, late, cmp.Or(blocked, "no thread"), seenLate)
	} else if seenLate != "" {
		s.logf("%s stopped in time, which was seen late: %s", m.Name, seenLate)
	}
}

// describeLateStop tells what a process does whose end was not seen in time, and where it is
// written what this process does.
func (s *soak) describeLateStop(m *Machine) string {
	state := processState(m.PID())
	path := filepath.Join(s.Folder, m.Name+".late-stop")
	if err := writeGoroutines(path); err != nil {
		path = err.Error()
	}
	return fmt.Sprintf("its process: %s; this process: %s", state, path)
}

// watchEnd has the end of a machine's process noted.
func (s *soak) watchEnd(m *Machine) {
	if err := s.ends.watch(m.PID()); err != nil {
		s.fail("%s: its end is not watched: %v", m.Name, err)
	}
}
