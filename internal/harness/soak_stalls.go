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

// stallMargin is how far from a moment a stall may lie that is told beside what happened then.
const stallMargin = 500 * time.Millisecond

// stall is a time for which the machine held a process up.
type stall struct {
	machine    *Machine
	start, end time.Duration // since the run's begin
	waits      environment.Waits
	within     time.Duration // before its end, in which the process and its machine had these waits
}

func (s stall) length() time.Duration { return s.end - s.start }

// stallEntry is what of a line of a node's log tells of a stall.
type stallEntry struct {
	Time         time.Time `json:"time"`
	Event        int       `json:"event"`
	Milliseconds int64     `json:"ms"`
	Processor    int64     `json:"processor_wait_ms"`
	Disk         int64     `json:"disk_wait_ms"`
	Stolen       int64     `json:"stolen_ms"`
	Within       int64     `json:"within_ms"`
}

// waits is what the process and its machine waited for within the time that the entry names.
func (e stallEntry) waits() environment.Waits {
	return environment.Waits{
		Processor: time.Duration(e.Processor) * time.Millisecond,
		Disk:      time.Duration(e.Disk) * time.Millisecond,
		Stolen:    time.Duration(e.Stolen) * time.Millisecond,
	}
}

// readStalls reads the stalls of every process from the logs. A log that can't be read tells
// of none.
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
			waits: entry.waits(), within: time.Duration(entry.Within) * time.Millisecond,
		})
	}
	return stalls
}

// longestStall is the longest of the stalls that touch a time at a machine; the zero stall if
// there is none. A machine of nil is for any.
func longestStall(stalls []stall, m *Machine, from, to time.Duration) stall {
	var longest stall
	for _, s := range stalls {
		isMeant := m == nil || s.machine == m
		if isMeant && s.start < to+stallMargin && s.end > from-stallMargin && s.length() > longest.length() {
			longest = s
		}
	}
	return longest
}

// printStalls tells how long the processes were held up at the worst.
func (r *run) printStalls(stalls []stall) {
	if len(stalls) == 0 {
		r.logf("no process was held up by a tenth of a second")
		return
	}
	worst := slices.MaxFunc(stalls, func(a, b stall) int { return int(a.length() - b.length()) })
	r.logf("processes were held up %d times, %s by %s at the most; within %s its threads waited %s for a processor, its machine %s for a disk, and the host withheld %s",
		len(stalls), worst.machine.Name, worst.length().Round(time.Millisecond), worst.within, worst.waits.Processor, worst.waits.Disk, worst.waits.Stolen)
}
