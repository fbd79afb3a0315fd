package environment

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"time"
)

// clockTick is the unit in which the kernel tells how long the machine's processors did what, on
// all architectures that Go builds for.
const clockTick = 10 * time.Millisecond

// stolenColumn is where a line of /proc/stat tells of stolen time; its name is column 0.
const stolenColumn = 8

// Waits is how long this process, or its machine, has had to wait so far, as the kernel counts it.
// What the kernel does not tell is zero.
type Waits struct {
	// Processor is the sum over the process's threads that live of what each waited for a
	// processor.
	Processor time.Duration
	// Disk is for how long a process of this machine, whichever, has waited for a disk.
	Disk time.Duration
	// Stolen is the sum over the machine's processors of the time for which each had work, and
	// the host of this virtual machine did not run it.
	Stolen time.Duration
}

// Since returns the waits since earlier ones. A thread that has ended may take its own along.
func (w Waits) Since(earlier Waits) Waits {
	return Waits{
		Processor: max(0, w.Processor-earlier.Processor),
		Disk:      max(0, w.Disk-earlier.Disk),
		Stolen:    max(0, w.Stolen-earlier.Stolen),
	}
}

// readWaits asks the kernel.
func readWaits() Waits {
	waits := Waits{Disk: readDiskWait("/proc/pressure/io"), Stolen: readStolenTime("/proc/stat")}
	threads, _ := filepath.Glob("/proc/self/task/*/schedstat") // the pattern is sound
	for _, path := range threads {
		waits.Processor += readRunDelay(path)
	}
	return waits
}

// readRunDelay reads how long a thread has waited for a processor: the second number of its file.
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

// readDiskWait reads the total of the line "some" of a file of pressure, in microseconds.
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

// readStolenTime reads the stolen time of all processors from the first line of /proc/stat.
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
