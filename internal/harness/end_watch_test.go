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

func TestWatchEnds_TellsWhenEachProcessEnded(t *testing.T) {
	input, names := io.Pipe()
	notes, output := io.Pipe()
	finished := make(chan error, 1)
	go func() { finished <- WatchEnds(input, output) }()
	ids, ends := json.NewEncoder(names), json.NewDecoder(notes)
	type started struct {
		at     time.Time
		lasted time.Duration // at the least
	}
	watched := map[int]started{}
	for _, lasted := range []time.Duration{400 * time.Millisecond, 100 * time.Millisecond} {
		began := time.Now()
		command := exec.Command("sleep", fmt.Sprint(lasted.Seconds()))
		if err := command.Start(); err != nil {
			t.Fatal(err)
		}
		watched[command.Process.Pid] = started{began, lasted}
		if err := ids.Encode(command.Process.Pid); err != nil {
			t.Fatal(err)
		}
		// Its end is noted before it is taken as well.
		time.AfterFunc(time.Second, func() { command.Wait() })
	}
	for range 2 {
		var end processEnd
		if err := ends.Decode(&end); err != nil {
			t.Fatal(err)
		}
		process, isWatched := watched[end.PID]
		if lasted := end.At.Sub(process.at); !isWatched || lasted < process.lasted || end.At.After(time.Now()) {
			t.Errorf("process %d ended after %s, not %s", end.PID, lasted, process.lasted)
		}
		if !end.RunningAt.After(process.at) || !end.RunningAt.Before(end.At) {
			t.Errorf("process %d, begun at %s, ran at %s and ended at %s", end.PID, process.at, end.RunningAt, end.At)
		}
		delete(watched, end.PID)
	}
	names.Close()
	if err := <-finished; err != nil {
		t.Error(err)
	}
}

func TestWatchEnds_TellsOfAProcessThatHadEnded(t *testing.T) {
	command := exec.Command("true")
	if err := command.Run(); err != nil {
		t.Fatal(err)
	}
	input, names := io.Pipe()
	notes, output := io.Pipe()
	go WatchEnds(input, output)
	defer names.Close()
	if err := json.NewEncoder(names).Encode(command.Process.Pid); err != nil {
		t.Fatal(err)
	}
	var end processEnd
	if err := json.NewDecoder(notes).Decode(&end); err != nil || end.PID != command.Process.Pid || end.At.IsZero() || !end.RunningAt.IsZero() {
		t.Error(end, err)
	}
}

// One look before and one after a time in which the watch itself stood still: the process ended
// somewhere between.
func TestNoteEnds_TellsBetweenWhichLooksAProcessEnded(t *testing.T) {
	command := exec.Command("sleep", "100")
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	process, err := openProcess(command.Process.Pid)
	if err != nil {
		t.Fatal(err)
	}
	var notes bytes.Buffer
	running := noteEnds([]*watchedProcess{process}, json.NewEncoder(&notes))
	lookedAt := time.Now()
	if len(running) != 1 || notes.Len() > 0 {
		t.Fatal(running, notes.String())
	}
	command.Process.Kill()
	command.Wait()
	endedBy := time.Now()
	if running = noteEnds(running, json.NewEncoder(&notes)); len(running) > 0 {
		t.Error("its end was not seen")
	}
	var end processEnd
	if err := json.Unmarshal(notes.Bytes(), &end); err != nil {
		t.Fatal(err)
	}
	if end.RunningAt.After(lookedAt) || end.At.Before(endedBy) {
		t.Errorf("%+v, looked at %s, ended by %s", end, lookedAt, endedBy)
	}
}

// A soak of 160 clients beside others was held up by 2.9 s, and saw the end of a process 6.7 s
// after it was told to stop that had ended in 4 s: /proc had no such process any more.
func TestLateStop_CountsUntilTheProcessEnded(t *testing.T) {
	began := time.Now()
	for _, c := range []struct {
		name   string
		end    time.Time
		isLate bool
	}{
		{"seen late", began.Add(4 * time.Second), false},
		{"at the limit", began.Add(stopTimeout), false},
		{"after it", began.Add(stopTimeout + time.Millisecond), true},
		{"no word of its end", time.Time{}, true},
	} {
		w := &endWatch{closed: make(chan struct{}), ends: map[int]chan processEnd{7: make(chan processEnd, 1)}}
		if c.end.IsZero() {
			close(w.closed)
		} else {
			w.ends[7] <- processEnd{At: c.end, RunningAt: c.end.Add(-time.Second)}
		}
		if text := w.lateStop(7, began); (text != "") != c.isLate {
			t.Errorf("%s: %q", c.name, text)
		}
	}
}

// A late stop fails the soak also where the kernel held the process within a disk write.
func TestCheckStop_FailsWhateverHeldTheProcessUp(t *testing.T) {
	began := time.Now()
	for _, c := range []struct {
		name, blocked string
		took          time.Duration
		fails         bool
	}{
		{"in time", "", stopTimeout, false},
		{"late", "", stopTimeout + time.Millisecond, true},
		{"late, within a disk write", "thread 7 at 3 of 3 looks: D", stopTimeout + time.Millisecond, true},
	} {
		w := &endWatch{closed: make(chan struct{}), ends: map[int]chan processEnd{7: make(chan processEnd, 1)}}
		w.ends[7] <- processEnd{At: began.Add(c.took)}
		s := &soak{run: &run{Options: Options{Output: io.Discard}, history: checker.NewHistory(nil)}, ends: w}
		s.checkStop(&Machine{Name: "core1"}, 7, began, "", c.blocked)
		if hasFailed := len(s.failures) > 0; hasFailed != c.fails {
			t.Errorf("%s: %v", c.name, s.failures)
		}
	}
}
