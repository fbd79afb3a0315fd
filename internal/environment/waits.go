package environment

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"time"
)

// clockTick is the unit of the times in /proc/stat, on all architectures that Go builds for.
const clockTick = 10 * time.Millisecond

// stolenColumn is the column of stolen time in a line of /proc/stat; column 0 is the name.
const stolenColumn = 8

// Waits holds the total wait times of this process and its machine, as counted by the kernel.
// A time that the kernel does not provide is zero.
type Waits struct {
	// Processor is the time that threads waited for a processor while runnable, summed over the
	// threads of this process that still exist.
	Processor time.Duration
	// Disk is the time during which at least one process of this machine waited for a disk.
	Disk time.Duration
	// Stolen is the time for which processors of this virtual machine had work but were not run
	// by its host, summed over the processors.
	Stolen time.Duration
}

// Since returns the wait times added since earlier, each at least zero: Processor may decrease,
// since the times of threads that have ended are not included.
func (w Waits) Since(earlier Waits) Waits {
	return Waits{
		Processor: max(0, w.Processor-earlier.Processor),
		Disk:      max(0, w.Disk-earlier.Disk),
		Stolen:    max(0, w.Stolen-earlier.Stolen),
	}
}

// readWaits reads the wait times from the kernel.
func readWaits() Waits {
	waits := Waits{Disk: readDiskWait("/proc/pressure/io"), Stolen: readStolenTime("/proc/stat")}
	threads, _ := filepath.Glob("/proc/self/task/*/schedstat") // the pattern is valid
	for _, path := range threads {
		waits.Processor += readRunDelay(path)
	}
	return waits
}

// readRunDelay returns how long a thread has waited for a processor: the second number of its
// schedstat file, in nanoseconds.
func readRunDelay(path string) time.Duration {
	raw, err := os.ReadFile(path)
	if err != nil {
		return 0
	}
	var running, waiting time.Duration
	if _, err := fmt.Sscan(string(raw), &running, &waiting); err != nil {
		return 0
	}
	return waiting
}

// readDiskWait returns the total of the line "some", the first of a pressure file, which is in
// microseconds.
func readDiskWait(path string) time.Duration {
	raw, err := os.ReadFile(path)
	if err != nil {
		return 0
	}
	line, _, _ := bytes.Cut(raw, []byte("\n"))
	_, text, _ := bytes.Cut(line, []byte("total="))
	var microseconds int64
	if _, err := fmt.Sscan(string(text), &microseconds); err != nil {
		return 0
	}
	return time.Duration(microseconds) * time.Microsecond
}

// readStolenTime returns the stolen time of all processors from the first line of /proc/stat.
func readStolenTime(path string) time.Duration {
	raw, err := os.ReadFile(path)
	if err != nil {
		return 0
	}
	line, _, _ := bytes.Cut(raw, []byte("\n"))
	columns := bytes.Fields(line)
	if len(columns) <= stolenColumn || string(columns[0]) != "cpu" {
		return 0
	}
	ticks, err := strconv.ParseInt(string(columns[stolenColumn]), 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(ticks) * clockTick
}
