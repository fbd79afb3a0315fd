package harness

import (
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
	seenLate := ""
	select {
	case <-stopping.done:
	case <-time.After(time.Until(began.Add(stopTimeout))):
		seenLate = s.describeLateStop(m)
		m.Kill()
	}
	s.checkStop(m, stopping.cmd.Process.Pid, began, seenLate)
	if isServing {
		s.checkExit(m, stopping)
	}
	time.Sleep(time.Duration(random.IntN(800)) * time.Millisecond)
	s.startMachine(m)
	s.watchEnd(m)
	if random.IntN(3) > 0 {
		time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
	}
}

// checkStop fails if a process that has ended took too long over its stop. How it went on when this
// process had not seen its end in time is told in any case.
func (s *soak) checkStop(m *Machine, pid int, told time.Time, seenLate string) {
	if late := s.ends.lateStop(pid, told); late != "" {
		s.fail("%s did not stop within %s: %s; %s", m.Name, stopTimeout, late, seenLate)
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
