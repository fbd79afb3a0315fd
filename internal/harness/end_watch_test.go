package harness

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os/exec"
	"testing"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/checker"
)

func TestWatchExits_ReportsWhenEachProcessExited(t *testing.T) {
	input, pids := io.Pipe()
	reports, output := io.Pipe()
	finished := make(chan error, 1)
	go func() { finished <- WatchExits(input, output) }()
	encoder, decoder := json.NewEncoder(pids), json.NewDecoder(reports)
	type startedProcess struct {
		at         time.Time
		minRunTime time.Duration
	}
	watched := map[int]startedProcess{}
	for _, minRunTime := range []time.Duration{400 * time.Millisecond, 100 * time.Millisecond} {
		began := time.Now()
		command := exec.Command("sleep", fmt.Sprint(minRunTime.Seconds()))
		if err := command.Start(); err != nil {
			t.Fatal(err)
		}
		watched[command.Process.Pid] = startedProcess{began, minRunTime}
		if err := encoder.Encode(command.Process.Pid); err != nil {
			t.Fatal(err)
		}
		// The exit must be reported before the process is waited for.
		time.AfterFunc(time.Second, func() { command.Wait() })
	}
	for range 2 {
		var exit processExit
		if err := decoder.Decode(&exit); err != nil {
			t.Fatal(err)
		}
		process, isWatched := watched[exit.PID]
		if ranFor := exit.At.Sub(process.at); !isWatched || ranFor < process.minRunTime || exit.At.After(time.Now()) {
			t.Errorf("process %d exited after %s, want at least %s", exit.PID, ranFor, process.minRunTime)
		}
		if !exit.RunningAt.After(process.at) || !exit.RunningAt.Before(exit.At) {
			t.Errorf("process %d, started at %s, was running at %s and exited at %s", exit.PID, process.at, exit.RunningAt, exit.At)
		}
		delete(watched, exit.PID)
	}
	pids.Close()
	if err := <-finished; err != nil {
		t.Error(err)
	}
}

func TestWatchExits_ReportsAProcessThatHadAlreadyExited(t *testing.T) {
	command := exec.Command("true")
	if err := command.Run(); err != nil {
		t.Fatal(err)
	}
	input, pids := io.Pipe()
	reports, output := io.Pipe()
	go WatchExits(input, output)
	defer pids.Close()
	if err := json.NewEncoder(pids).Encode(command.Process.Pid); err != nil {
		t.Fatal(err)
	}
	var exit processExit
	if err := json.NewDecoder(reports).Decode(&exit); err != nil || exit.PID != command.Process.Pid || exit.At.IsZero() || !exit.RunningAt.IsZero() {
		t.Error(exit, err)
	}
}

// The process exits between two polls. The report must span both, as the watching process may have
// been delayed between them.
func TestPollOnce_BracketsTheExitBetweenPolls(t *testing.T) {
	command := exec.Command("sleep", "100")
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	process, err := openWatchedProcess(command.Process.Pid)
	if err != nil {
		t.Fatal(err)
	}
	var reports bytes.Buffer
	running := pollOnce([]*watchedProcess{process}, json.NewEncoder(&reports))
	polledAt := time.Now()
	if len(running) != 1 || reports.Len() > 0 {
		t.Fatal(running, reports.String())
	}
	command.Process.Kill()
	command.Wait()
	exitedBy := time.Now()
	if running = pollOnce(running, json.NewEncoder(&reports)); len(running) > 0 {
		t.Error("the exit was not reported")
	}
	var exit processExit
	if err := json.Unmarshal(reports.Bytes(), &exit); err != nil {
		t.Fatal(err)
	}
	if exit.RunningAt.After(polledAt) || exit.At.Before(exitedBy) {
		t.Errorf("%+v, polled at %s, exited by %s", exit, polledAt, exitedBy)
	}
}

// A busy harness may observe an exit late: a soak of 160 clients was delayed by 2.9 s and observed the
// exit of a process 6.7 s after the signal, although the process had exited within 4 s. The stop is
// measured until the exit itself.
func TestDescribeStopFailure_MeasuresUntilTheProcessExited(t *testing.T) {
	began := time.Now()
	for _, c := range []struct {
		name   string
		exitAt time.Time
		fails  bool
	}{
		{"before the limit, observed late", began.Add(4 * time.Second), false},
		{"at the limit", began.Add(stopTimeout), false},
		{"after the limit", began.Add(stopTimeout + time.Millisecond), true},
		{"no report", time.Time{}, true},
	} {
		w := &exitWatcher{outputClosed: make(chan struct{}), exits: map[int]chan processExit{7: make(chan processExit, 1)}}
		if c.exitAt.IsZero() {
			close(w.outputClosed)
		} else {
			w.exits[7] <- processExit{At: c.exitAt, RunningAt: c.exitAt.Add(-time.Second)}
		}
		if text := w.describeStopFailure(7, began); (text != "") != c.fails {
			t.Errorf("%s: %q", c.name, text)
		}
	}
}

// A late stop fails the soak even if a disk write in the kernel delayed the exit.
func TestCheckStop_FailsOnALateStopWhateverDelayedIt(t *testing.T) {
	began := time.Now()
	for _, c := range []struct {
		name, blocked string
		took          time.Duration
		fails         bool
	}{
		{"in time", "", stopTimeout, false},
		{"late", "", stopTimeout + time.Millisecond, true},
		{"late, in a disk write", "thread 7 in 3 of 3 samples: D", stopTimeout + time.Millisecond, true},
	} {
		w := &exitWatcher{outputClosed: make(chan struct{}), exits: map[int]chan processExit{7: make(chan processExit, 1)}}
		w.exits[7] <- processExit{At: began.Add(c.took)}
		s := &soak{run: &run{Options: Options{Output: io.Discard}, history: checker.NewHistory(nil)}, exits: w}
		s.checkStop(&Machine{Name: "core1"}, 7, began, "", c.blocked)
		if hasFailed := len(s.failures) > 0; hasFailed != c.fails {
			t.Errorf("%s: %v", c.name, s.failures)
		}
	}
}
