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
	// lateLookTime is the last part of a stop's bound, in which the threads of a process that has
	// not ended are looked at.
	lateLookTime     = time.Second
	lateLookInterval = 100 * time.Millisecond
	// minBlockedLooks is how often a thread must have been seen within a disk write.
	minBlockedLooks = 2
)

// diskWrites are the system calls that write to a disk, or wait until it has written.
var diskWrites = []int{unix.SYS_WRITE, unix.SYS_PWRITE64, unix.SYS_WRITEV, unix.SYS_FSYNC, unix.SYS_FDATASYNC, unix.SYS_SYNC_FILE_RANGE}

// blockedThreads tells which threads of a process were within a disk write, in state D, at look after
// look. The kernel does not let such a thread end, nor its process, whatever the process does. One that
// waits for a processor, or waits in state D within another system call, is not among them.
type blockedThreads struct {
	looks  int
	byTask map[string]*blockedThread
}

type blockedThread struct {
	looks    int
	lastLook int    // its number, from 1
	state    string // at the last look
}

// look looks at the threads of a process, by its folder below /proc.
func (b *blockedThreads) look(process string) {
	b.looks++
	tasks, _ := os.ReadDir(filepath.Join(process, "task")) // a process that has ended has none
	for _, task := range tasks {
		folder := filepath.Join(process, "task", task.Name())
		state := threadState(folder)
		call, isKnown := systemCall(folder)
		if !strings.HasPrefix(state, "D") || !isKnown || !slices.Contains(diskWrites, call) {
			continue
		}
		if b.byTask == nil {
			b.byTask = map[string]*blockedThread{}
		}
		thread := b.byTask[task.Name()]
		if thread == nil {
			thread = &blockedThread{}
			b.byTask[task.Name()] = thread
		}
		thread.looks++
		thread.lastLook, thread.state = b.looks, fmt.Sprintf("%s, system call %d", state, call)
	}
}

// atEnd tells of the threads that were within a disk write at the last look, which is made when the
// bound is over, and at one before it; empty if none was.
func (b *blockedThreads) atEnd() string {
	var list []string
	for task, thread := range b.byTask {
		if thread.lastLook == b.looks && thread.looks >= minBlockedLooks {
			list = append(list, fmt.Sprintf("thread %s at %d of %d looks: %s", task, thread.looks, b.looks, thread.state))
		}
	}
	slices.Sort(list)
	return strings.Join(list, "; ")
}

// systemCall is the number of the system call that a thread is within; false if it is within none,
// or the kernel does not tell.
func systemCall(task string) (int, bool) {
	raw, err := os.ReadFile(filepath.Join(task, "syscall"))
	if err != nil {
		return 0, false
	}
	text, _, _ := strings.Cut(strings.TrimSpace(string(raw)), " ")
	number, err := strconv.Atoi(text)
	return number, err == nil && number >= 0
}
