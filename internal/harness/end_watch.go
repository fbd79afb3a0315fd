package harness

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
)

// ExitWatchCommand is the hidden harness command that runs WatchExits.
const ExitWatchCommand = "ends"

// exitReportTimeout bounds the wait for the report on a process that is known to have exited.
const exitReportTimeout = 10 * time.Second

// exitPollTimeout is how long one poll of the watched processes waits for an exit.
const exitPollTimeout = 10 * time.Millisecond

// processExit reports when a process exited: after RunningAt, when it was last observed running, and
// no later than At. If they are far apart, the watching process itself was delayed. RunningAt is zero
// if the process was never observed running.
type processExit struct {
	PID       int
	RunningAt time.Time
	At        time.Time
}

// WatchExits reports when processes exit. It reads process IDs from input, as JSON numbers, until
// input ends, and writes a processExit to output for each, also as JSON. It runs in a separate process,
// so that a busy harness does not delay its observations.
func WatchExits(input io.Reader, output io.Writer) error {
	decoder := json.NewDecoder(input)
	added := make(chan *watchedProcess)
	defer close(added)
	go pollForExits(added, json.NewEncoder(output))
	for {
		var pid int
		if err := decoder.Decode(&pid); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return errcode.New(errcode.InvalidCall, "can't decode a process ID: %v", err)
		}
		process, err := openWatchedProcess(pid)
		if err != nil {
			return err
		}
		added <- process
	}
}

// watchedProcess is a process whose exit is to be reported.
type watchedProcess struct {
	exit  processExit
	pidfd int // becomes readable when the process exits; negative if it had already exited
}

// openWatchedProcess opens a pidfd for a process.
func openWatchedProcess(pid int) (*watchedProcess, error) {
	pidfd, err := unix.PidfdOpen(pid, 0)
	if errors.Is(err, unix.ESRCH) {
		pidfd = -1
	} else if err != nil {
		return nil, errcode.New(errcode.Internal, "process %d: %v", pid, os.NewSyscallError("pidfd_open", err))
	}
	return &watchedProcess{exit: processExit{PID: pid}, pidfd: pidfd}, nil
}

// pollForExits polls the added processes repeatedly until added is closed.
func pollForExits(added <-chan *watchedProcess, reports *json.Encoder) {
	var running []*watchedProcess
	for {
		select {
		case process, isOpen := <-added:
			if !isOpen {
				return
			}
			running = append(running, process)
		default:
			running = pollOnce(running, reports)
		}
	}
}

// pollOnce polls processes for exitPollTimeout or until one exits. It reports those that have exited
// and returns the others.
func pollOnce(processes []*watchedProcess, reports *json.Encoder) []*watchedProcess {
	descriptors := make([]unix.PollFd, len(processes))
	timeout := exitPollTimeout
	for i, process := range processes {
		descriptors[i] = unix.PollFd{Fd: int32(process.pidfd), Events: unix.POLLIN}
		if process.pidfd < 0 {
			timeout = 0
		}
	}
	polledAt := time.Now()
	if _, err := unix.Poll(descriptors, int(timeout.Milliseconds())); err != nil {
		return processes // interrupted
	}
	now := time.Now()
	var running []*watchedProcess
	for i, process := range processes {
		if process.pidfd >= 0 && descriptors[i].Revents == 0 {
			process.exit.RunningAt = polledAt
			running = append(running, process)
			continue
		}
		process.exit.At = now
		reports.Encode(process.exit) // an error means that the harness is gone
		if process.pidfd >= 0 {
			unix.Close(process.pidfd)
		}
	}
	return running
}

// exitWatcher starts a process that runs WatchExits, and collects its reports.
type exitWatcher struct {
	command      *exec.Cmd
	input        io.WriteCloser
	outputClosed chan struct{} // closed when the watching process's output ends

	mu    sync.Mutex // guards exits and writes to input
	exits map[int]chan processExit
}

// newExitWatcher starts the watching process from the executable of this one.
func newExitWatcher() (*exitWatcher, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	w := &exitWatcher{command: exec.Command(program, ExitWatchCommand), outputClosed: make(chan struct{}), exits: map[int]chan processExit{}}
	w.command.Stderr = os.Stderr
	w.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if w.input, err = w.command.StdinPipe(); err != nil {
		return nil, err
	}
	output, err := w.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := w.command.Start(); err != nil {
		return nil, err
	}
	go w.collect(output)
	return w, nil
}

// watch requests the report on a process's exit. It must be called after the process has started.
func (w *exitWatcher) watch(pid int) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.exits[pid] = make(chan processExit, 1)
	return json.NewEncoder(w.input).Encode(pid)
}

// collect reads reports until the watching process closes its output.
func (w *exitWatcher) collect(output io.Reader) {
	defer close(w.outputClosed)
	decoder := json.NewDecoder(output)
	for {
		var exit processExit
		if decoder.Decode(&exit) != nil {
			return
		}
		w.mu.Lock()
		reports := w.exits[exit.PID]
		w.mu.Unlock()
		if reports != nil {
			reports <- exit
		}
	}
}

// exitOf returns the report on a process that is known to have exited. It returns false if none
// arrives within exitReportTimeout or before the watching process exits.
func (w *exitWatcher) exitOf(pid int) (processExit, bool) {
	w.mu.Lock()
	reports := w.exits[pid]
	w.mu.Unlock()
	if reports == nil {
		return processExit{}, false
	}
	select {
	case exit := <-reports:
		return exit, true
	case <-w.outputClosed:
	case <-time.After(exitReportTimeout):
	}
	return processExit{}, false
}

// describeStopFailure describes why the stop of an exited process failed, given when it was sent SIGTERM.
// It returns "" if the process exited within stopTimeout.
func (w *exitWatcher) describeStopFailure(pid int, signaledAt time.Time) string {
	exit, isKnown := w.exitOf(pid)
	if !isKnown {
		return "no report of its exit"
	}
	if took := exit.At.Sub(signaledAt); took > stopTimeout {
		return fmt.Sprintf("it exited after %s%s", took, exit.describeLastRunning(signaledAt))
	}
	return ""
}

// describeLastRunning describes how long after a time the process was last observed running.
func (e processExit) describeLastRunning(since time.Time) string {
	if e.RunningAt.IsZero() {
		return ", and was never observed running"
	}
	return fmt.Sprintf(" and was last observed running after %s", e.RunningAt.Sub(since))
}

// close stops the watching process and waits for its exit.
func (w *exitWatcher) close() {
	w.input.Close()
	<-w.outputClosed
	w.command.Wait() // its exit status does not matter: all reports are collected
}
