package harness

import (
	"context"
	"math/rand/v2"
	"net"
	"syscall"
	"time"
)

const (
	// maxReloadPause is the longest pause between two bursts of SIGHUP to one process.
	maxReloadPause = 3 * time.Second
	// maxSignalBurst is the most signals in one burst, and maxBurstPause the longest pause between
	// two of them.
	maxSignalBurst = 6
	maxBurstPause  = 3 * time.Millisecond
	// lateSignalLead is how long before the end of the grace period a late signal is sent at the
	// earliest.
	lateSignalLead = 300 * time.Millisecond
)

// sendReloadSignals sends bursts of SIGHUP to a machine's process until the context ends, also while
// the process stops or applies change sets.
func (s *soak) sendReloadSignals(ctx context.Context, m *Machine, random *rand.Rand) {
	for {
		pause(ctx, time.Duration(random.Int64N(int64(maxReloadPause))))
		if ctx.Err() != nil {
			return
		}
		// SIGHUP would kill a process that has not installed its signal handlers yet.
		target := m.process.Load()
		for i := 0; i < 1+random.IntN(maxSignalBurst) && s.isServing(m) && m.process.Load() == target; i++ {
			target.cmd.Process.Signal(syscall.SIGHUP) // an error means that it has exited
			time.Sleep(time.Duration(random.Int64N(int64(maxBurstPause))))
		}
	}
}

// signalDuringStop sends more signals to a process that got SIGTERM at signaledAt: some at
// random times, a burst within milliseconds, or one near the end of its grace period.
func (s *soak) signalDuringStop(m *Machine, signaledAt time.Time, random *rand.Rand) {
	stopping := m.process.Load()
	switch random.IntN(3) {
	case 0:
		for range maxSignalBurst {
			m.signal(randomStopOrReload(random))
			time.Sleep(time.Duration(random.Int64N(int64(maxBurstPause))))
		}
	case 1:
		delay := soakGracePeriod - lateSignalLead + time.Duration(random.Int64N(int64(lateSignalLead+lateSignalLead/2)))
		select {
		case <-stopping.done:
		case <-time.After(time.Until(signaledAt.Add(delay))):
			m.signal(randomStopOrReload(random))
		}
	default:
		for range random.IntN(3) {
			time.Sleep(time.Duration(random.IntN(1200)) * time.Millisecond)
			m.signal(randomStopOrReload(random))
		}
	}
}

func randomStopOrReload(random *rand.Rand) syscall.Signal {
	return []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP}[random.IntN(2)]
}

// isServing reports whether a machine's process accepts API connections. Before that, a signal may
// kill it at once: its signal handlers may not be installed yet, or it may still be opening its
// data folder.
func (s *soak) isServing(m *Machine) bool {
	conn, err := net.DialTimeout("tcp", m.APIAddress(), soakDialTimeout)
	if err != nil {
		return false
	}
	conn.Close()
	return true
}

// checkUp records a failure if a machine's process exited without a stop signal.
func (s *soak) checkUp(m *Machine) {
	if !m.IsUp() {
		s.fail("%s exited without a stop signal: %s", m.Name, m.process.Load().cmd.ProcessState)
	}
}

// checkExit records a failure if a process that served before its stop signal did not exit with status
// 0, for example because it panicked or a second signal killed it. A process that the soak killed
// after stopTimeout is not a failure here: checkStop judges it.
func (s *soak) checkExit(m *Machine, exited *process, wasKilled bool) {
	<-exited.done
	state := exited.cmd.ProcessState
	if status, ok := state.Sys().(syscall.WaitStatus); ok && wasKilled && status.Signaled() && status.Signal() == syscall.SIGKILL {
		return
	}
	if !state.Success() {
		s.fail("%s did not exit cleanly after its stop signal: %s", m.Name, state)
	}
}
