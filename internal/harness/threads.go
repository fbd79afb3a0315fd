package harness

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime/pprof"
	"slices"
	"strings"
)

// goroutineStacks is the pprof debug level that writes the stack of each goroutine.
const goroutineStacks = 2

// describeProcess returns the states of a process and of its threads. State Z means
// that the process has exited and was not waited for, "no such file" that it has exited and was.
func describeProcess(pid int) string {
	processDir := fmt.Sprintf("/proc/%d", pid)
	if _, err := os.Stat(processDir); err != nil {
		return err.Error()
	}
	return describeThread(processDir) + ", threads: " + describeThreads(processDir)
}

// describeThreads returns the number of a process's threads in each state, with the kernel function
// they wait in. A thread in state D can't be killed.
func describeThreads(processDir string) string {
	tasks, err := os.ReadDir(filepath.Join(processDir, "task"))
	if err != nil {
		return err.Error()
	}
	counts := map[string]int{}
	for _, task := range tasks {
		counts[describeThread(filepath.Join(processDir, "task", task.Name()))]++
	}
	var states []string
	for state, count := range counts {
		states = append(states, fmt.Sprintf("%d %s", count, state))
	}
	slices.Sort(states)
	return strings.Join(states, ", ")
}

// writeGoroutines writes the stacks of this process's goroutines to a file.
func writeGoroutines(path string) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer file.Close()
	return pprof.Lookup("goroutine").WriteTo(file, goroutineStacks)
}

// describeThread returns the state of a thread, or of a process's main thread, and the kernel function
// that it waits in, given its directory in /proc.
func describeThread(dir string) string {
	stat, err := os.ReadFile(filepath.Join(dir, "stat"))
	if err != nil {
		return err.Error()
	}
	// The state follows the name, which is in parentheses and may contain any character.
	_, fields, _ := strings.Cut(string(stat[strings.LastIndexByte(string(stat), ')')+1:]), " ")
	state, _, _ := strings.Cut(fields, " ")
	if waitChannel, err := os.ReadFile(filepath.Join(dir, "wchan")); err == nil && len(waitChannel) > 1 {
		state += " in " + string(waitChannel)
	}
	return state
}
