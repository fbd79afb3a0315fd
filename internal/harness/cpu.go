package harness

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of processor times in /proc (USER_HZ is 100 on Linux).
const clockTick = 10 * time.Millisecond

// Indexes of fields of /proc/PID/stat, counted from the field after the program's name, which ends
// with the last closing parenthesis; see proc(5).
const (
	statUserTime   = 11
	statSystemTime = 12
)

// processorTime returns the user and system time that a process has used since it started. It
// fails if the process no longer exists.
func processorTime(pid int) (time.Duration, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	return parseProcessorTime(string(raw))
}

func parseProcessorTime(stat string) (time.Duration, error) {
	fields := strings.Fields(stat[strings.LastIndexByte(stat, ')')+1:])
	if len(fields) <= statSystemTime {
		return 0, fmt.Errorf("/proc/PID/stat has only %d fields after the program's name", len(fields))
	}
	user, err := strconv.Atoi(fields[statUserTime])
	if err != nil {
		return 0, err
	}
	system, err := strconv.Atoi(fields[statSystemTime])
	if err != nil {
		return 0, err
	}
	return time.Duration(user+system) * clockTick, nil
}

// processorTimeByRole returns the summed processor time of the running nodes of each role.
func (r *run) processorTimeByRole() map[role]time.Duration {
	total := map[role]time.Duration{}
	for _, m := range r.fleet.Machines {
		if !m.IsUp() {
			continue
		}
		if cpuTime, err := processorTime(m.PID()); err == nil { // the process may have exited since IsUp
			total[m.role] += cpuTime
		}
	}
	return total
}
