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

// processEnd tells when a process ended.
type processEnd struct {
	PID int
	At  time.Time
}

// WatchEnds notes when processes end, until input ends: input names each by its ID, and output gets
// a processEnd for each. It does nothing else, so that a busy harness does not make it late.
func WatchEnds(input io.Reader, output io.Writer) error {
	decoder := json.NewDecoder(input)
	var writing sync.Mutex
	encoder := json.NewEncoder(output)
	for {
		var pid int
		if err := decoder.Decode(&pid); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return errcode.New(errcode.InvalidCall, "a process's ID: %v", err)
		}
		descriptor, err := openProcess(pid)
		if err != nil {
			return err
		}
		go func() {
			awaitEnd(descriptor)
			end := processEnd{PID: pid, At: time.Now()}
			writing.Lock()
			defer writing.Unlock()
			encoder.Encode(end) // a harness that is gone needs none
		}()
	}
}

// openProcess returns a descriptor that becomes readable when the process ends; nil if it has.
func openProcess(pid int) (*os.File, error) {
	descriptor, err := unix.PidfdOpen(pid, unix.PIDFD_NONBLOCK)
	if errors.Is(err, unix.ESRCH) {
		return nil, nil
	}
	if err != nil {
		return nil, errcode.New(errcode.Internal, "process %d: %v", pid, os.NewSyscallError("pidfd_open", err))
	}
	return os.NewFile(uintptr(descriptor), "process"), nil
}

// awaitEnd waits for the end of a process, and closes its descriptor.
func awaitEnd(process *os.File) {
	if process == nil {
		return
	}
	defer process.Close()
	raw, err := process.SyscallConn()
	if err != nil {
		return
	}
	raw.Read(func(fd uintptr) bool {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(polled, 0)
		return err == nil && n > 0
	})
}

// endWatch knows when processes ended, by a process of its own that watches them.
type endWatch struct {
	command *exec.Cmd
	input   io.WriteCloser
	closed  chan struct{} // closed when no more word comes

	mu   sync.Mutex // guards ends, and that a process is named whole
	ends map[int]chan time.Time
}

// newEndWatch starts the process that watches, by the program of this one.
func newEndWatch() (*endWatch, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	w := &endWatch{command: exec.Command(program, EndWatchCommand), closed: make(chan struct{}), ends: map[int]chan time.Time{}}
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
	w.ends[pid] = make(chan time.Time, 1)
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
			noted <- end.At
		}
	}
}

// endOf returns when a process ended that is known to have ended; false if no word of it came.
func (w *endWatch) endOf(pid int) (time.Time, bool) {
	w.mu.Lock()
	noted := w.ends[pid]
	w.mu.Unlock()
	if noted == nil {
		return time.Time{}, false
	}
	select {
	case at := <-noted:
		return at, true
	case <-w.closed:
	case <-time.After(endNoteTimeout):
	}
	return time.Time{}, false
}

// lateStop tells what was wrong with the stop of a process that was told to stop at a time, and has
// ended; empty if it took no longer than stopTimeout.
func (w *endWatch) lateStop(pid int, told time.Time) string {
	end, isKnown := w.endOf(pid)
	if !isKnown {
		return "no word of its end"
	}
	if took := end.Sub(told); took > stopTimeout {
		return fmt.Sprintf("it ended after %s", took)
	}
	return ""
}

// close ends the process that watches.
func (w *endWatch) close() {
	w.input.Close()
	<-w.closed
	w.command.Wait() // what it has told is taken
}
