package harness

import (
	"bufio"
	"encoding/json"
	"os"
	"slices"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
)

// stallMargin is how far outside a period a stall may lie and still be attributed to it.
const stallMargin = 500 * time.Millisecond

// stall is a period for which the machine delayed a process.
type stall struct {
	machine    *Machine
	start, end time.Duration // since the start of the run
	waits      environment.Waits
	window     time.Duration // period of the waits, up to the stall's end
}

func (s stall) length() time.Duration { return s.end - s.start }

// stallEntry is the part of a log line that describes a stall.
type stallEntry struct {
	Time         time.Time `json:"time"`
	Event        int       `json:"event"`
	Milliseconds int64     `json:"ms"`
	Processor    int64     `json:"processor_wait_ms"`
	Disk         int64     `json:"disk_wait_ms"`
	Stolen       int64     `json:"stolen_ms"`
	Window       int64     `json:"within_ms"`
}

// waits returns the waits of the process and its machine during the entry's window.
func (e stallEntry) waits() environment.Waits {
	return environment.Waits{
		Processor: time.Duration(e.Processor) * time.Millisecond,
		Disk:      time.Duration(e.Disk) * time.Millisecond,
		Stolen:    time.Duration(e.Stolen) * time.Millisecond,
	}
}

// readStalls reads the stalls of every process from the logs. It skips a log that it can't read.
func (r *run) readStalls() (stalls []stall) {
	for _, m := range r.fleet.Machines {
		stalls = append(stalls, r.stallsOf(m)...)
	}
	return stalls
}

func (r *run) stallsOf(m *Machine) (stalls []stall) {
	file, err := os.Open(m.LogFile())
	if err != nil {
		return nil
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var entry stallEntry
		if json.Unmarshal(lines.Bytes(), &entry) != nil || entry.Event != eventlog.ProcessStalled.Number {
			continue
		}
		end := entry.Time.Sub(r.startedAt)
		stalls = append(stalls, stall{
			machine: m, start: end - time.Duration(entry.Milliseconds)*time.Millisecond, end: end,
			waits: entry.waits(), window: time.Duration(entry.Window) * time.Millisecond,
		})
	}
	return stalls
}

// longestStall returns the longest stall of a machine, or of any machine if m is nil, that lies within
// stallMargin of the period, or the zero stall if there is none.
func longestStall(stalls []stall, m *Machine, from, to time.Duration) stall {
	var longest stall
	for _, s := range stalls {
		machineMatches := m == nil || s.machine == m
		if machineMatches && s.start < to+stallMargin && s.end > from-stallMargin && s.length() > longest.length() {
			longest = s
		}
	}
	return longest
}

// printStalls prints the number of stalls and the longest one.
func (r *run) printStalls(stalls []stall) {
	if len(stalls) == 0 {
		r.logf("no process stalled for a tenth of a second or more")
		return
	}
	longest := slices.MaxFunc(stalls, func(a, b stall) int { return int(a.length() - b.length()) })
	r.logf("processes stalled %d times; the longest stall was of %s for %s; within %s its threads waited %s for a processor, its machine waited %s for a disk, and the host stole %s",
		len(stalls), longest.machine.Name, longest.length().Round(time.Millisecond), longest.window, longest.waits.Processor, longest.waits.Disk, longest.waits.Stolen)
}
