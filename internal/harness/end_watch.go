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

// EndWatchCommand is the harness's command that WatchEnds carries out.
const EndWatchCommand = "ends"

// endNoteTimeout bounds the wait for word of a process's end once it is known to have ended.
const endNoteTimeout = 10 * time.Second

// endLookInterval is how long a look at the processes that are watched waits for an end.
const endLookInterval = 10 * time.Millisecond

// processEnd tells when a process ended: after RunningAt, when it was last seen to run, and not after
// At. Where they lie far apart, the one who watched was itself held up. RunningAt is zero if the
// process was never seen to run.
type processEnd struct {
	PID       int
	RunningAt time.Time
	At        time.Time
}

// WatchEnds notes when processes end, until input ends: input names each by its ID, and output gets
// a processEnd for each. It does nothing else, so that a busy harness does not make it late.
func WatchEnds(input io.Reader, output io.Writer) error {
	decoder := json.NewDecoder(input)
	added := make(chan *watchedProcess)
	defer close(added)
	go lookForEnds(added, json.NewEncoder(output))
	for {
		var pid int
		if err := decoder.Decode(&pid); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return errcode.New(errcode.InvalidCall, "a process's ID: %v", err)
		}
		process, err := openProcess(pid)
		if err != nil {
			return err
		}
		added <- process
	}
}

// watchedProcess is a process of which the end is to be noted.
type watchedProcess struct {
	end        processEnd
	descriptor int // becomes readable when the process ends; negative if it had ended before
}

// openProcess opens the descriptor of a process.
func openProcess(pid int) (*watchedProcess, error) {
	descriptor, err := unix.PidfdOpen(pid, 0)
	if errors.Is(err, unix.ESRCH) {
		descriptor = -1
	} else if err != nil {
		return nil, errcode.New(errcode.Internal, "process %d: %v", pid, os.NewSyscallError("pidfd_open", err))
	}
	return &watchedProcess{end: processEnd{PID: pid}, descriptor: descriptor}, nil
}

// lookForEnds looks at the processes that are added, look after look, until no more are.
func lookForEnds(added <-chan *watchedProcess, notes *json.Encoder) {
	var running []*watchedProcess
	for {
		select {
		case process, isOpen := <-added:
			if !isOpen {
				return
			}
			running = append(running, process)
		default:
			running = noteEnds(running, notes)
		}
	}
}

// noteEnds looks at processes once, for endLookInterval or until one ends. It notes those that have
// ended and returns the others.
func noteEnds(processes []*watchedProcess, notes *json.Encoder) []*watchedProcess {
	polled := make([]unix.PollFd, len(processes))
	interval := endLookInterval
	for i, process := range processes {
		polled[i] = unix.PollFd{Fd: int32(process.descriptor), Events: unix.POLLIN}
		if process.descriptor < 0 {
			interval = 0
		}
	}
	lookedAt := time.Now()
	if _, err := unix.Poll(polled, int(interval.Milliseconds())); err != nil {
		return processes // it was interrupted
	}
	now := time.Now()
	var running []*watchedProcess
	for i, process := range processes {
		if process.descriptor >= 0 && polled[i].Revents == 0 {
			process.end.RunningAt = lookedAt
			running = append(running, process)
			continue
		}
		process.end.At = now
		notes.Encode(process.end) // a harness that is gone needs none
		if process.descriptor >= 0 {
			unix.Close(process.descriptor)
		}
	}
	return running
}

// endWatch knows when processes ended, by a process of its own that watches them.
type endWatch struct {
	command *exec.Cmd
	input   io.WriteCloser
	closed  chan struct{} // closed when no more word comes

	mu   sync.Mutex // guards ends, and that a process is named whole
	ends map[int]chan processEnd
}

// newEndWatch starts the process that watches, by the program of this one.
func newEndWatch() (*endWatch, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	w := &endWatch{command: exec.Command(program, EndWatchCommand), closed: make(chan struct{}), ends: map[int]chan processEnd{}}
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

// watch has the end of a process noted. It is called when the process has been started.
func (w *endWatch) watch(pid int) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ends[pid] = make(chan processEnd, 1)
	return json.NewEncoder(w.input).Encode(pid)
}

// collect takes what is noted until the process that watches ends.
func (w *endWatch) collect(output io.Reader) {
	defer close(w.closed)
	decoder := json.NewDecoder(output)
	for {
		var end processEnd
		if decoder.Decode(&end) != nil {
			return
		}
		w.mu.Lock()
		noted := w.ends[end.PID]
		w.mu.Unlock()
		if noted != nil {
			noted <- end
		}
	}
}

// endOf returns the end of a process that is known to have ended; false if no word of it came.
func (w *endWatch) endOf(pid int) (processEnd, bool) {
	w.mu.Lock()
	noted := w.ends[pid]
	w.mu.Unlock()
	if noted == nil {
		return processEnd{}, false
	}
	select {
	case end := <-noted:
		return end, true
	case <-w.closed:
	case <-time.After(endNoteTimeout):
	}
	return processEnd{}, false
}

// lateStop tells what was wrong with the stop of a process that was told to stop at a time, and has
// ended; empty if it took no longer than stopTimeout.
func (w *endWatch) lateStop(pid int, told time.Time) string {
	end, isKnown := w.endOf(pid)
	if !isKnown {
		return "no word of its end"
	}
	if took := end.At.Sub(told); took > stopTimeout {
		return fmt.Sprintf("it ended after %s%s", took, end.lastSeen(told))
	}
	return ""
}

// lastSeen tells how long after a moment the process was last seen to run.
func (e processEnd) lastSeen(after time.Time) string {
	if e.RunningAt.IsZero() {
		return ", and was never seen to run"
	}
	return fmt.Sprintf(" and was last seen to run after %s", e.RunningAt.Sub(after))
}

// close ends the process that watches.
func (w *endWatch) close() {
	w.input.Close()
	<-w.closed
	w.command.Wait() // what it has told is taken
}
