package harness

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime/pprof"
	"slices"
	"strings"
)

// goroutinesWithStacks has a goroutine profile written with the stack of each.
const goroutinesWithStacks = 2

// processState tells what a process and its threads do. A process in state Z has ended, and its end
// was not taken; one that is not there has ended, and it was.
func processState(pid int) string {
	folder := fmt.Sprintf("/proc/%d", pid)
	if _, err := os.Stat(folder); err != nil {
		return err.Error()
	}
	return threadState(folder) + ", threads: " + threadStates(folder)
}

// threadStates tells what the threads of a process do: how many are in each state, and where in
// the kernel they wait. A thread in state D can't be ended.
func threadStates(folder string) string {
	tasks, err := os.ReadDir(filepath.Join(folder, "task"))
	if err != nil {
		return err.Error()
	}
	counts := map[string]int{}
	for _, task := range tasks {
		counts[threadState(filepath.Join(folder, "task", task.Name()))]++
	}
	var states []string
	for state, count := range counts {
		states = append(states, fmt.Sprintf("%d %s", count, state))
	}
	slices.Sort(states)
	return strings.Join(states, ", ")
}

// writeGoroutines writes what the tasks of this process do to a file.
func writeGoroutines(path string) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer file.Close()
	return pprof.Lookup("goroutine").WriteTo(file, goroutinesWithStacks)
}

// threadState is the state of one thread, or of a process's first, from its folder below /proc.
func threadState(task string) string {
	stat, err := os.ReadFile(filepath.Join(task, "stat"))
	if err != nil {
		return err.Error()
	}
	// The state follows the name, which stands in parentheses and may hold any character.
	_, rest, _ := strings.Cut(string(stat[strings.LastIndexByte(string(stat), ')')+1:]), " ")
	state, _, _ := strings.Cut(rest, " ")
	if wait, err := os.ReadFile(filepath.Join(task, "wchan")); err == nil && len(wait) > 1 {
		state += " in " + string(wait)
	}
	return state
}
