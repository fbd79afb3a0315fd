package harness

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of times in /proc (USER_HZ is 100 on Linux).
const clockTick = 10 * time.Millisecond

// The fields of /proc/PID/stat after the program's name, which ends with the last parenthesis;
// see proc(5).
const (
	statUserTime   = 11
	statSystemTime = 12
)

// processorTime returns the processor time of a process so far, or an error if it is gone.
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
		return 0, fmt.Errorf("%d fields in a process's state", len(fields))
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

// processorTimeByRole returns the processor time of all nodes that are up.
func (r *run) processorTimeByRole() map[role]time.Duration {
	sum := map[role]time.Duration{}
	for _, m := range r.fleet.Machines {
		if !m.IsUp() {
			continue
		}
		if spent, err := processorTime(m.PID()); err == nil { // it may have gone meanwhile
			sum[m.role] += spent
		}
	}
	return sum
}
