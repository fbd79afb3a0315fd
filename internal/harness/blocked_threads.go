package harness

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// blockedSampleWindow is the last part of stopTimeout, in which the threads of a process that
	// still runs are sampled.
	blockedSampleWindow   = time.Second
	blockedSampleInterval = 100 * time.Millisecond
	// minBlockedSamples is the least number of samples in which a thread must be in a disk write.
	minBlockedSamples = 2
)

// diskWriteCalls are the system calls that write to a disk or wait for a write to complete.
var diskWriteCalls = []int{unix.SYS_WRITE, unix.SYS_PWRITE64, unix.SYS_WRITEV, unix.SYS_FSYNC, unix.SYS_FDATASYNC, unix.SYS_SYNC_FILE_RANGE}

// blockedThreads records in which samples the threads of a process were in a disk write in state D
// (uninterruptible sleep). The kernel lets neither such a thread nor its process exit. Threads that
// wait for a processor, or are in state D in another system call, are not recorded.
type blockedThreads struct {
	samples    int
	byThreadID map[string]*blockedThread
}

type blockedThread struct {
	samples    int
	lastSample int    // number of the last sample that recorded the thread, from 1
	state      string // in lastSample
}

// sample records the blocked threads of a process, given its directory in /proc.
func (b *blockedThreads) sample(processDir string) {
	b.samples++
	tasks, _ := os.ReadDir(filepath.Join(processDir, "task")) // none if the process has exited
	for _, task := range tasks {
		taskDir := filepath.Join(processDir, "task", task.Name())
		state := describeThread(taskDir)
		call, isKnown := currentSystemCall(taskDir)
		if !strings.HasPrefix(state, "D") || !isKnown || !slices.Contains(diskWriteCalls, call) {
			continue
		}
		if b.byThreadID == nil {
			b.byThreadID = map[string]*blockedThread{}
		}
		thread := b.byThreadID[task.Name()]
		if thread == nil {
			thread = &blockedThread{}
			b.byThreadID[task.Name()] = thread
		}
		thread.samples++
		thread.lastSample, thread.state = b.samples, fmt.Sprintf("%s, system call %d", state, call)
	}
}

// describe lists the threads that were in a disk write in the last sample and in at least
// minBlockedSamples in all. It returns "" if there are none.
func (b *blockedThreads) describe() string {
	var descriptions []string
	for id, thread := range b.byThreadID {
		if thread.lastSample == b.samples && thread.samples >= minBlockedSamples {
			descriptions = append(descriptions, fmt.Sprintf("thread %s in %d of %d samples: %s", id, thread.samples, b.samples, thread.state))
		}
	}
	slices.Sort(descriptions)
	return strings.Join(descriptions, "; ")
}

// currentSystemCall returns the number of the system call that a thread is in. It returns false if
// the thread is in none or the kernel does not report it.
func currentSystemCall(taskDir string) (int, bool) {
	raw, err := os.ReadFile(filepath.Join(taskDir, "syscall"))
	if err != nil {
		return 0, false
	}
	field, _, _ := strings.Cut(strings.TrimSpace(string(raw)), " ")
	number, err := strconv.Atoi(field)
	return number, err == nil && number >= 0
}
