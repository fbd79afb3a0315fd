package harness

import (
	"context"
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
	ended := m.process.Load().done
	for range random.IntN(4) {
		m.signal(syscall.SIGHUP)
	}
	m.signal(syscall.SIGTERM)
	began := time.Now()
	for range random.IntN(3) {
		time.Sleep(time.Duration(random.IntN(1200)) * time.Millisecond)
		m.signal([]syscall.Signal{syscall.SIGTERM, syscall.SIGHUP}[random.IntN(2)])
	}
	select {
	case <-ended:
	case <-time.After(time.Until(began.Add(stopTimeout))):
		s.failLateStop(m)
	}
	time.Sleep(time.Duration(random.IntN(800)) * time.Millisecond)
	s.startMachine(m)
	if random.IntN(3) > 0 {
		time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
	}
}

// failLateStop tells of a process whose end was not seen in time, and of what it and this
// process do, and ends it.
func (s *soak) failLateStop(m *Machine) {
	state := processState(m.PID())
	path := filepath.Join(s.Folder, m.Name+".late-stop")
	if err := writeGoroutines(path); err != nil {
		s.fail("%v", err)
	}
	began := time.Now()
	m.Kill()
	s.fail("%s did not stop within %s; its process: %s; its end was seen %s after it was killed; this process: %s", m.Name, stopTimeout, state, time.Since(began), path)
}
