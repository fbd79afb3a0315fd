package environment

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Waits is how long this process, or its machine, has had to wait so far, as the kernel counts it.
// What the kernel does not tell is zero.
type Waits struct {
	// Processor is the sum over the process's threads that live of what each waited for a
	// processor.
	Processor time.Duration
	// Disk is for how long a process of this machine, whichever, has waited for a disk.
	Disk time.Duration
}

// Since returns the waits since earlier ones. A thread that has ended may take its own along.
func (w Waits) Since(earlier Waits) Waits {
	return Waits{Processor: max(0, w.Processor-earlier.Processor), Disk: max(0, w.Disk-earlier.Disk)}
}

// readWaits asks the kernel.
func readWaits() Waits {
	waits := Waits{Disk: readDiskWait("/proc/pressure/io")}
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
