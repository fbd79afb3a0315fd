package harness

import (
	"context"
	"math/rand/v2"
	"net"
	"syscall"
	"time"
)

const (
	// soakReloadPause is the longest pause between two series of SIGHUP to one process.
	soakReloadPause = 3 * time.Second
	// soakBurst is the most signals of one burst, soakBurstPause the longest pause between two of
	// them, which is some milliseconds at the most.
	soakBurst      = 6
	soakBurstPause = 3 * time.Millisecond
	// soakLateSignal is how long before the end of the grace a late signal comes at the earliest.
	soakLateSignal = 300 * time.Millisecond
)

// reloadInSeries sends a machine's process SIGHUP, series after series, until the context ends:
// while it serves or stops, and while change sets are being applied.
func (s *soak) reloadInSeries(ctx context.Context, m *Machine, random *rand.Rand) {
	for {
		pause(ctx, time.Duration(random.Int64N(int64(soakReloadPause))))
		if ctx.Err() != nil {
			return
		}
		// A process that does not listen for its signals yet is ended by them.
		target := m.process.Load()
		for i := 0; i < 1+random.IntN(soakBurst) && s.isServing(m) && m.process.Load() == target; i++ {
			target.cmd.Process.Signal(syscall.SIGHUP) // it may end meanwhile
			time.Sleep(time.Duration(random.Int64N(int64(soakBurstPause))))
		}
	}
}

// signalMeanwhile sends a process that stops more signals: some at moments that are drawn, a burst
// within milliseconds, or one about the end of its grace.
func (s *soak) signalMeanwhile(m *Machine, began time.Time, random *rand.Rand) {
	stopping := m.process.Load()
	switch random.IntN(3) {
	case 0:
		for range soakBurst {
			m.signal(stopOrReload(random))
			time.Sleep(time.Duration(random.Int64N(int64(soakBurstPause))))
		}
	case 1:
		late := soakGrace - soakLateSignal + time.Duration(random.Int64N(int64(soakLateSignal+soakLateSignal/2)))
		select {
		case <-stopping.done:
		case <-time.After(time.Until(began.Add(late))):
			m.signal(stopOrReload(random))
		}
	default:
		for range random.IntN(3) {
			time.Sleep(time.Duration(random.IntN(1200)) * time.Millisecond)
			m.signal(stopOrReload(random))
		}
	}
}

func stopOrReload(random *rand.Rand) syscall.Signal {
	return []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP}[random.IntN(2)]
}

// isServing tells whether a machine's process takes calls of the API. Until it does, a signal may
// find it before it listens for it, or while it opens its data folder, and end it at once.
func (s *soak) isServing(m *Machine) bool {
	conn, err := net.DialTimeout("tcp", m.APIAddress(), soakDialTimeout)
	if err != nil {
		return false
	}
	conn.Close()
	return true
}

// checkUp fails if a machine's process is gone although nobody told it to stop.
func (s *soak) checkUp(m *Machine) {
	if !m.IsUp() {
		s.fail("%s ended by itself: %s", m.Name, m.process.Load().cmd.ProcessState)
	}
}

// checkExit fails if a process that served and was told to stop did not end as one that stops as
// planned, as one does that panics or that a second signal ends. That it was killed as it was not
// seen to end in time is judged by checkStop.
func (s *soak) checkExit(m *Machine, ended *process, wasKilled bool) {
	<-ended.done
	state := ended.cmd.ProcessState
	if status, ok := state.Sys().(syscall.WaitStatus); ok && wasKilled && status.Signaled() && status.Signal() == syscall.SIGKILL {
		return
	}
	if !state.Success() {
		s.fail("%s was told to stop and ended otherwise: %s", m.Name, state)
	}
}
